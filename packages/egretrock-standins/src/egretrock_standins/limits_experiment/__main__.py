"""Command line of the experiment."""

import concurrent.futures
from collections.abc import Callable

import cyclopts

from egretrock.coordination.limits import LimitSettings
from egretrock_standins.limits_experiment._scenarios import (
    Parameters,
    RunMetrics,
    Scenario,
    run,
)
from egretrock_standins.limits_experiment._ways import SharingMethod

app = cyclopts.App(name="limits_experiment")
Pool = concurrent.futures.ProcessPoolExecutor
DEFAULT_SETTINGS = LimitSettings()


def submit_runs(
    submit: Callable,
    method: SharingMethod,
    scenario: Scenario,
    offered_per_s: float,
    parameter_sets: list[Parameters],
) -> list:
    """Submits one run for each seed."""
    return [
        submit(run, method, scenario, offered_per_s, parameters)
        for parameters in parameter_sets
    ]


def format_row(
    method: SharingMethod,
    scenario: Scenario,
    offered_per_s: float,
    runs: list[RunMetrics],
) -> str:
    """Returns one row of the table."""
    counted = sum(metrics.within_rate_count for metrics in runs)
    refused = sum(metrics.refused_count for metrics in runs)
    waited = sum(metrics.waited_count for metrics in runs)
    wait_p99_ms = max(metrics.wait_p99_ms for metrics in runs)
    messages_per_s = sum(m.messages_per_s for m in runs) / len(runs)
    excess = max(metrics.excess for metrics in runs)
    return (
        f"{scenario.value:<42}{offered_per_s:>8g}  {method.value:<14}"
        f"{100 * refused / counted:>9.3f}%{100 * waited / counted:>8.1f}%"
        f"{wait_p99_ms:>8.1f}{messages_per_s:>9.0f}{excess:>9.1f}"
    )


@app.default
def main(
    *,
    seeds: int = 5,
    first_seed: int = 1,
    offered: tuple[float, ...] = (60.0, 90.0),
    scenario: tuple[Scenario, ...] = tuple(Scenario),
    way: tuple[SharingMethod, ...] = tuple(SharingMethod),
    node_count: int = 18,
    caller_nodes: int = 3,
    rate_per_s: float = 100.0,
    burst: float = 50.0,
    loss: float = 0.01,
    tick_s: float = 0.02,
    waiting: bool = True,
    processes: int = 2,
    lease_s: float = DEFAULT_SETTINGS.lease_s,
    renew_s: float = DEFAULT_SETTINGS.renew_s,
    grant_s: float = DEFAULT_SETTINGS.grant_s,
    horizon_s: float = DEFAULT_SETTINGS.horizon_s,
    low_water: float = DEFAULT_SETTINGS.low_water,
    short_wait_s: float = DEFAULT_SETTINGS.short_wait_s,
    wait_s: float = DEFAULT_SETTINGS.wait_s,
    demand_s: float = DEFAULT_SETTINGS.demand_s,
    lend_ratio: float = DEFAULT_SETTINGS.lend_ratio,
    ask_timeout_s: float = DEFAULT_SETTINGS.ask_timeout_s,
    ask_failures: int = DEFAULT_SETTINGS.ask_failures,
    ask_ahead_per_s: float = DEFAULT_SETTINGS.ask_ahead_per_s,
) -> None:
    """Prints refusals within rate, waits and messages of each method.

    Args:
        seeds: Runs of each row of the table; their requests are added up.
        first_seed: Seed of the first run.
        offered: Offered requests per second of the organisation.
        scenario: Scenarios to run.
        way: Methods to share the rate.
        node_count: Number of listed nodes.
        caller_nodes: Number of nodes that the organisation's callers use.
        rate_per_s: Rate limit of the organisation.
        burst: Burst of the organisation.
        loss: Probability that a message is lost.
        tick_s: Seconds between two ticks of a node.
        waiting: Whether a request without a token waits for one.
        processes: Number of parallel processes.
        lease_s: See LimitSettings.
        renew_s: See LimitSettings.
        grant_s: See LimitSettings.
        horizon_s: See LimitSettings.
        low_water: See LimitSettings.
        short_wait_s: See LimitSettings.
        wait_s: See LimitSettings.
        demand_s: See LimitSettings.
        lend_ratio: See LimitSettings.
        ask_timeout_s: See LimitSettings.
        ask_failures: See LimitSettings.
        ask_ahead_per_s: See LimitSettings.
    """
    settings = LimitSettings(
        lease_s=lease_s,
        renew_s=renew_s,
        grant_s=grant_s,
        horizon_s=horizon_s,
        low_water=low_water,
        short_wait_s=short_wait_s,
        wait_s=wait_s,
        demand_s=demand_s,
        lend_ratio=lend_ratio,
        ask_timeout_s=ask_timeout_s,
        ask_failures=ask_failures,
        ask_ahead_per_s=ask_ahead_per_s,
    )
    parameter_sets = [
        Parameters(
            seed=first_seed + index,
            node_count=node_count,
            caller_nodes=caller_nodes,
            rate_per_s=rate_per_s,
            burst=burst,
            loss=loss,
            tick_s=tick_s,
            waiting=waiting,
            settings=settings,
        )
        for index in range(seeds)
    ]
    print(
        f"{'scenario':<42}{'offered':>8}  {'way':<14}{'refused':>10}"
        f"{'waited':>9}{'p99 ms':>8}{'msg/s':>9}{'excess':>9}"
    )
    with Pool(max_workers=processes) as pool:
        rows = [
            (w, s, o, submit_runs(pool.submit, w, s, o, parameter_sets))
            for s in scenario
            for o in offered
            for w in way
        ]
        for w, s, o, futures in rows:
            runs = [future.result() for future in futures]
            print(format_row(w, s, o, runs), flush=True)


if __name__ == "__main__":
    app()
