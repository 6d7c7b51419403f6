"""Command line of the experiment."""

import concurrent.futures
from collections.abc import Callable

import cyclopts

from egretrock.coordination.limits import LimitSettings
from egretrock_standins.limits_experiment._scenarios import (
    Figures,
    Parameters,
    Scenario,
    run,
)
from egretrock_standins.limits_experiment._ways import Way

app = cyclopts.App(name="limits_experiment")
Pool = concurrent.futures.ProcessPoolExecutor
DEFAULTS = LimitSettings()


def run_seeds(
    start: Callable,
    way: Way,
    scenario: Scenario,
    offered_per_s: float,
    runs: list[Parameters],
) -> list:
    """Submits one run for each seed."""
    return [start(run, way, scenario, offered_per_s, given) for given in runs]


def line(
    way: Way, scenario: Scenario, offered_per_s: float, runs: list[Figures]
) -> str:
    """Returns one line of the table."""
    within = sum(figures.within for figures in runs)
    refused = sum(figures.refused for figures in runs)
    waited = sum(figures.waited for figures in runs)
    wait_ms = max(figures.wait_ms for figures in runs)
    messages_per_s = sum(f.messages_per_s for f in runs) / len(runs)
    excess = max(figures.excess for figures in runs)
    return (
        f"{scenario.value:<42}{offered_per_s:>8g}  {way.value:<14}"
        f"{100 * refused / within:>9.3f}%{100 * waited / within:>8.1f}%"
        f"{wait_ms:>8.1f}{messages_per_s:>9.0f}{excess:>9.1f}"
    )


@app.default
def main(
    *,
    seeds: int = 5,
    first_seed: int = 1,
    offered: tuple[float, ...] = (60.0, 90.0),
    scenario: tuple[Scenario, ...] = tuple(Scenario),
    way: tuple[Way, ...] = tuple(Way),
    node_count: int = 18,
    caller_nodes: int = 3,
    rate_per_s: float = 100.0,
    burst: float = 50.0,
    loss: float = 0.01,
    tick_s: float = 0.02,
    waiting: bool = True,
    processes: int = 2,
    lease_s: float = DEFAULTS.lease_s,
    renew_s: float = DEFAULTS.renew_s,
    grant_s: float = DEFAULTS.grant_s,
    horizon_s: float = DEFAULTS.horizon_s,
    low_water: float = DEFAULTS.low_water,
    short_wait_s: float = DEFAULTS.short_wait_s,
    wait_s: float = DEFAULTS.wait_s,
    demand_s: float = DEFAULTS.demand_s,
    lend_ratio: float = DEFAULTS.lend_ratio,
    ask_timeout_s: float = DEFAULTS.ask_timeout_s,
    ask_failures: int = DEFAULTS.ask_failures,
    ask_ahead_per_s: float = DEFAULTS.ask_ahead_per_s,
) -> None:
    """Prints refusals within rate, waits and messages of each way.

    Args:
        seeds: Runs of each line; their requests are added up.
        first_seed: Seed of the first run.
        offered: Offered requests a second of the organisation.
        scenario: Scenarios to run.
        way: Ways to compare.
        node_count: Listed nodes.
        caller_nodes: Nodes that the organisation's callers use.
        rate_per_s: Rate of the organisation.
        burst: Burst of the organisation.
        loss: Probability that a message is lost.
        tick_s: Seconds between two ticks of a node.
        waiting: Whether a refused request waits for a token.
        processes: Runs at the same time.
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
    runs = [
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
        planned = [
            (w, s, o, run_seeds(pool.submit, w, s, o, runs))
            for s in scenario
            for o in offered
            for w in way
        ]
        for w, s, o, futures in planned:
            figures = [future.result() for future in futures]
            print(line(w, s, o, figures), flush=True)


if __name__ == "__main__":
    app()
