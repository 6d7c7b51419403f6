"""Runs one deployment under one policy."""

import dataclasses
import os
import statistics
import time

import msgspec

from egretrock.state.config import BalancingPolicy
from egretrock_standins.bench._parameters import (
    Deployment,
    Parameters,
    bench_callers,
    bench_plan,
)
from egretrock_standins.fleet_runner import Fleet
from egretrock_standins.load import (
    CallerResult,
    Generators,
    LoadResult,
    LoadSpec,
    Mode,
    run_generators,
)

#: Counters in the status of a node.
MESSAGES_COUNTER = "peers.datagrams_sent"
BYTES_COUNTER = "peers.bytes_sent"
#: Data centre that leaves and returns.
CHANGED = "dc1"


class TailLatency(msgspec.Struct):
    """Percentiles in milliseconds, from the intended send time."""

    p50_ms: float
    p99_ms: float
    p99_9_ms: float


class ControlCost(msgspec.Struct):
    """Cost of measuring and coordinating.

    Attributes:
        probes_per_s: Health and load reads at all targets, under load.
        messages_per_s: Control messages sent by a node, without requests.
        bytes_per_s: Their payload; None where no counter tells it.
        loaded_messages_per_s: The same under load.
        loaded_bytes_per_s: The same under load.
        idle_cpu: Median processor time of a node without requests, as a
            share of a core.
        loaded_cpu: The same under load, requests included.
        memory_mb: Largest resident memory of a node after the load.
    """

    probes_per_s: float
    messages_per_s: float | None
    bytes_per_s: float | None
    loaded_messages_per_s: float | None
    loaded_bytes_per_s: float | None
    idle_cpu: float
    loaded_cpu: float
    memory_mb: float


class DataCentreChange(msgspec.Struct):
    """Service while a data centre leaves and returns.

    Attributes:
        ok_share: Share of the requests within rate answered with 200, over
            the whole change.
        worst_second: The smallest such share of one second.
        p99_ms: Over the whole change.
        new_work_s: Seconds after the publication until the last second in
            which a target of the data centre started a request.
        timeline: Second to the share; publication is at ``out_at_s``.
        out_at_s: Second at which "out" was published.
        in_at_s: Second at which "in" was published.
    """

    ok_share: float
    worst_second: float
    p99_ms: float
    new_work_s: float
    timeline: dict[int, float]
    out_at_s: float
    in_at_s: float


class WorstServed(msgspec.Struct):
    """The organisation within its rate that is served worst."""

    lowest_ok_share: float
    lowest_organisation: str
    highest_p99_ms: float
    slowest_organisation: str


class Refusals(msgspec.Struct):
    """Refusals under steady load.

    Attributes:
        within_rate: Refusals ``over_rate`` beyond those of an exact token
            bucket, of organisations that stay within their rate.
        within_rate_share: The same per request of these organisations.
        beyond_rate_served: Requests of the organisation beyond its rate
            that were served beyond its rate and burst; 0 is right.
        outcomes: Count by outcome over all organisations.
    """

    within_rate: int
    within_rate_share: float
    beyond_rate_served: int
    outcomes: dict[str, int]


class VariantResult(msgspec.Struct):
    """The five metrics of one deployment under one policy.

    Attributes:
        policy: Policy of the profile.
        offered_per_s: Offered requests per second.
        late_p99_ms: How late the generators sent; a large value means that
            the machine was too busy for the run.
        machine_load: Processes that wanted a core at the end, on average
            over a minute; the bench itself needs about 4.
        outcomes: Organisation to the count by outcome under steady load.
    """

    policy: BalancingPolicy
    offered_per_s: float
    late_p99_ms: float
    machine_load: float
    tail: TailLatency
    control: ControlCost
    change: DataCentreChange
    worst: WorstServed
    refusals: Refusals
    percentiles_ms: dict[str, float]
    outcomes: dict[str, dict[str, int]]


@dataclasses.dataclass
class _Usage:
    """Totals at one moment, for differences."""

    at_s: float
    cpu_s: list[float]
    probes: int
    messages: float | None
    bytes: float | None

    @staticmethod
    def take(fleet: Fleet) -> "_Usage":
        probes = sum(
            fleet.target_control("stats", target.options.target_id)[
                "counts"
            ].get("probes", 0)
            for target in fleet.plan.targets
        )
        counters = [
            node.operator("/status").json().get("counters", {})
            for node in fleet.nodes
        ]

        def total(name: str) -> float | None:
            if not any(name in entry for entry in counters):
                return None
            return sum(entry.get(name, 0) for entry in counters)

        return _Usage(
            at_s=time.monotonic(),
            cpu_s=[node.process.cpu_s() for node in fleet.nodes],
            probes=probes,
            messages=total(MESSAGES_COUNTER),
            bytes=total(BYTES_COUNTER),
        )

    def per_node_s(self, field: str, earlier: "_Usage") -> float | None:
        """Returns the growth of a total per node and second."""
        first, last = getattr(earlier, field), getattr(self, field)
        if first is None or last is None:
            return None
        seconds = self.at_s - earlier.at_s
        return (last - first) / len(self.cpu_s) / seconds

    def cpu_since(self, earlier: "_Usage") -> float:
        """Returns the median share of a core that a node used."""
        pairs = zip(self.cpu_s, earlier.cpu_s, strict=True)
        seconds = self.at_s - earlier.at_s
        return statistics.median(now - then for now, then in pairs) / seconds


def measure(
    parameters: Parameters, deployment: Deployment, policy: BalancingPolicy
) -> VariantResult:
    """Starts the fleet, runs all phases and returns the metrics."""
    with Fleet(bench_plan(parameters, deployment, policy)) as fleet:
        # A request on each node shows that its part of the fleet is up.
        path = f"/{next(iter(deployment.services))}/0"
        fleet.wait_serving(path, fleet.keys["organisation0"])
        idle_start = _Usage.take(fleet)
        time.sleep(parameters.idle_s)
        idle_end = _Usage.take(fleet)
        steady = run_generators(
            _specs(parameters, deployment, fleet, parameters.steady_s)
        )
        steady_end = _Usage.take(fleet)
        change = _change_data_centre(parameters, deployment, fleet)
        memory = max(node.process.memory_bytes() for node in fleet.nodes)
    histogram = steady.histogram()
    control = ControlCost(
        probes_per_s=(steady_end.probes - idle_end.probes)
        / (steady_end.at_s - idle_end.at_s),
        messages_per_s=idle_end.per_node_s("messages", idle_start),
        bytes_per_s=idle_end.per_node_s("bytes", idle_start),
        loaded_messages_per_s=steady_end.per_node_s("messages", idle_end),
        loaded_bytes_per_s=steady_end.per_node_s("bytes", idle_end),
        idle_cpu=idle_end.cpu_since(idle_start),
        loaded_cpu=steady_end.cpu_since(idle_end),
        memory_mb=memory / 1e6,
    )
    levels = [50, 75, 90, 95, 98, 99, 99.5, 99.9]
    return VariantResult(
        policy=policy,
        offered_per_s=parameters.offered_per_s(deployment),
        late_p99_ms=steady.late_us / 1000,
        machine_load=os.getloadavg()[0],
        tail=TailLatency(
            *(
                histogram.get_value_at_percentile(level) / 1000
                for level in (50, 99, 99.9)
            )
        ),
        control=control,
        change=change,
        worst=_worst_served(parameters, steady),
        refusals=_refusals(parameters, steady),
        percentiles_ms={
            str(level): histogram.get_value_at_percentile(level) / 1000
            for level in levels
        },
        outcomes={n: c.outcomes for n, c in steady.callers.items()},
    )


def _specs(
    parameters: Parameters,
    deployment: Deployment,
    fleet: Fleet,
    duration_s: float,
) -> list[LoadSpec]:
    callers = bench_callers(parameters, deployment, fleet.keys)
    count = parameters.generators
    return [
        LoadSpec(
            addresses=[node.caller_address for node in fleet.nodes],
            callers=callers[number::count],
            mode=Mode.OPEN,
            duration_s=duration_s,
            timeout_s=parameters.timeout_s,
            # The same arrivals under each policy.
            seed=parameters.seed + number,
        )
        for number in range(count)
    ]


def _change_data_centre(
    parameters: Parameters, deployment: Deployment, fleet: Fleet
) -> DataCentreChange:
    duration_s = (
        parameters.before_out_s + parameters.out_s + parameters.after_return_s
    )
    changed_targets = [
        target.options.target_id
        for target in fleet.plan.targets
        if target.data_centre == CHANGED
    ]

    def runs() -> int:
        return sum(
            fleet.target_control("stats", target_id)["runs"]
            for target_id in changed_targets
        )

    specs = _specs(parameters, deployment, fleet, duration_s)
    with Generators(specs) as generators:
        _sleep_until(generators.start_at_s + parameters.before_out_s)
        out_at_s = time.monotonic()
        _set_state(fleet, "out")
        in_at_s = out_at_s + parameters.out_s
        last_run_s, count = out_at_s, runs()
        while time.monotonic() < in_at_s - 0.5:
            time.sleep(0.25)
            before, count = count, runs()
            if count != before:
                last_run_s = time.monotonic()
        _sleep_until(in_at_s)
        _set_state(fleet, "in")
        result = generators.results()
    timeline = _ok_timeline(parameters, result, duration_s)
    histogram = result.histogram()
    sent, ok = _sent_and_ok(parameters, result)
    return DataCentreChange(
        ok_share=ok / sent,
        worst_second=min(timeline.values()),
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        new_work_s=last_run_s - out_at_s,
        timeline=timeline,
        out_at_s=out_at_s - generators.start_at_s,
        in_at_s=in_at_s - generators.start_at_s,
    )


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


def _set_state(fleet: Fleet, state: str) -> None:
    fleet.publish_config(
        lambda config: config["data_centres"][CHANGED].update(state=state)
    )


def _within_rate(
    parameters: Parameters, result: LoadResult
) -> dict[str, CallerResult]:
    excessive = parameters.excessive_organisation
    return {n: c for n, c in result.callers.items() if n != excessive}


def _sent_and_ok(parameters: Parameters, result: LoadResult) -> tuple[int, int]:
    callers = _within_rate(parameters, result).values()
    return sum(c.sent for c in callers), sum(c.ok for c in callers)


def _ok_timeline(
    parameters: Parameters, result: LoadResult, duration_s: float
) -> dict[int, float]:
    callers = _within_rate(parameters, result).values()
    timeline = {}
    for second in range(int(duration_s)):
        counts = [c.timeline.get(second, {}) for c in callers]
        sent = sum(sum(entry.values()) for entry in counts)
        if sent:
            timeline[second] = sum(e.get("ok", 0) for e in counts) / sent
    return timeline


def _worst_served(parameters: Parameters, result: LoadResult) -> WorstServed:
    callers = _within_rate(parameters, result)
    shares = {n: c.ok / max(1, c.sent) for n, c in callers.items()}
    p99_ms = {
        n: c.histogram().get_value_at_percentile(99) / 1000
        for n, c in callers.items()
    }
    lowest = min(shares, key=shares.__getitem__)
    slowest = max(p99_ms, key=p99_ms.__getitem__)
    return WorstServed(shares[lowest], lowest, p99_ms[slowest], slowest)


def _refusals(parameters: Parameters, result: LoadResult) -> Refusals:
    callers = _within_rate(parameters, result).values()
    excessive = result.callers[parameters.excessive_organisation]
    within = sum(c.refused_within_rate for c in callers)
    due = excessive.sent - excessive.beyond_rate
    return Refusals(
        within_rate=within,
        within_rate_share=within / sum(c.sent for c in callers),
        beyond_rate_served=max(0, excessive.ok - due),
        outcomes=result.outcomes(),
    )
