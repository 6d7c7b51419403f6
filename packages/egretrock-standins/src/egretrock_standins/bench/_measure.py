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
#: Data centre that is taken out and put back in.
CHANGED_DATA_CENTRE = "dc1"


class TailLatency(msgspec.Struct):
    """Latency percentiles, counted from the intended send time."""

    p50_ms: float
    p99_ms: float
    p99_9_ms: float


class ControlCost(msgspec.Struct):
    """Cost of probing and coordination.

    Attributes:
        probes_per_s: Health and load probes of all targets, under load.
        messages_per_s: Control messages sent per node without requests;
            None if the nodes have no such counter.
        bytes_per_s: Payload of these messages, or None.
        loaded_messages_per_s: Like ``messages_per_s``, under load.
        loaded_bytes_per_s: Like ``bytes_per_s``, under load.
        idle_cpu: Median CPU time of a node without requests, as a fraction
            of a core.
        loaded_cpu: The same under load, including the work for requests.
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
    """Service while a data centre is taken out and put back in.

    Attributes:
        ok_share: Fraction of the requests within rate answered with 200,
            over the whole change.
        worst_second: Smallest such fraction in any one second.
        p99_ms: 99th percentile of the latency over the whole change.
        new_work_s: Seconds from the publication of "out" until a target of
            the data centre last started a request.
        timeline: Fraction answered with 200 by second of the run.
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
    """The worst-served organisations among those within their rate."""

    lowest_ok_share: float
    lowest_organisation: str
    highest_p99_ms: float
    slowest_organisation: str


class Refusals(msgspec.Struct):
    """Refusals under steady load.

    Attributes:
        within_rate: ``over_rate`` refusals that an exact token bucket would
            not have made, of organisations that stay within their rate.
        within_rate_share: The same as a fraction of the requests of these
            organisations.
        beyond_rate_served: Requests of the organisation beyond its rate
            that were served in excess of rate and burst; 0 is correct.
        outcomes: Number of requests by outcome, over all organisations.
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
        late_p99_ms: 99th percentile of how late the generators sent; a
            large value means that the machine was overloaded.
        machine_load: Load average over the last minute of the run; the
            bench itself needs about 4.
        percentiles_ms: Latency under steady load by percentile.
        outcomes: Number of requests by organisation and outcome, under
            steady load.
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
class _UsageSnapshot:
    """Totals since the start of the processes; rates are differences."""

    at_s: float
    cpu_s: list[float]
    probes: int
    messages: float | None
    bytes: float | None

    @staticmethod
    def take(fleet: Fleet) -> "_UsageSnapshot":
        probes = sum(
            fleet.call_target_control("stats", target.options.target_id)[
                "counts"
            ].get("probes", 0)
            for target in fleet.plan.targets
        )
        counters = [
            node.call_operator("/status").json().get("counters", {})
            for node in fleet.nodes
        ]

        def total(name: str) -> float | None:
            if not any(name in entry for entry in counters):
                return None
            return sum(entry.get(name, 0) for entry in counters)

        return _UsageSnapshot(
            at_s=time.monotonic(),
            cpu_s=[node.process.cpu_s() for node in fleet.nodes],
            probes=probes,
            messages=total(MESSAGES_COUNTER),
            bytes=total(BYTES_COUNTER),
        )

    def rate_per_node(
        self, field: str, earlier: "_UsageSnapshot"
    ) -> float | None:
        """Returns the increase of a total per node and second."""
        first, last = getattr(earlier, field), getattr(self, field)
        if first is None or last is None:
            return None
        elapsed_s = self.at_s - earlier.at_s
        return (last - first) / len(self.cpu_s) / elapsed_s

    def cpu_since(self, earlier: "_UsageSnapshot") -> float:
        """Returns the median CPU use of a node as a fraction of a core."""
        pairs = zip(self.cpu_s, earlier.cpu_s, strict=True)
        elapsed_s = self.at_s - earlier.at_s
        return (
            statistics.median(last - first for last, first in pairs) / elapsed_s
        )


def measure(
    parameters: Parameters, deployment: Deployment, policy: BalancingPolicy
) -> VariantResult:
    """Starts the fleet, runs all phases and returns the metrics."""
    with Fleet(bench_plan(parameters, deployment, policy)) as fleet:
        # A served request on each node shows that the whole fleet is up.
        path = f"/{next(iter(deployment.services))}/0"
        fleet.wait_serving(path, fleet.keys["organisation0"])
        idle_start = _UsageSnapshot.take(fleet)
        time.sleep(parameters.idle_s)
        idle_end = _UsageSnapshot.take(fleet)
        steady = run_generators(
            _load_specs(parameters, deployment, fleet, parameters.steady_s)
        )
        steady_end = _UsageSnapshot.take(fleet)
        change = _measure_data_centre_change(parameters, deployment, fleet)
        memory_bytes = max(node.process.memory_bytes() for node in fleet.nodes)
    histogram = steady.histogram()
    control = ControlCost(
        probes_per_s=(steady_end.probes - idle_end.probes)
        / (steady_end.at_s - idle_end.at_s),
        messages_per_s=idle_end.rate_per_node("messages", idle_start),
        bytes_per_s=idle_end.rate_per_node("bytes", idle_start),
        loaded_messages_per_s=steady_end.rate_per_node("messages", idle_end),
        loaded_bytes_per_s=steady_end.rate_per_node("bytes", idle_end),
        idle_cpu=idle_end.cpu_since(idle_start),
        loaded_cpu=steady_end.cpu_since(idle_end),
        memory_mb=memory_bytes / 1e6,
    )
    percentiles = [50, 75, 90, 95, 98, 99, 99.5, 99.9]
    return VariantResult(
        policy=policy,
        offered_per_s=parameters.offered_per_s(deployment),
        late_p99_ms=steady.late_us / 1000,
        machine_load=os.getloadavg()[0],
        tail=TailLatency(
            *(
                histogram.get_value_at_percentile(percentile) / 1000
                for percentile in (50, 99, 99.9)
            )
        ),
        control=control,
        change=change,
        worst=_worst_served(parameters, steady),
        refusals=_refusals(parameters, steady),
        percentiles_ms={
            str(percentile): histogram.get_value_at_percentile(percentile)
            / 1000
            for percentile in percentiles
        },
        outcomes={n: c.outcomes for n, c in steady.callers.items()},
    )


def _load_specs(
    parameters: Parameters,
    deployment: Deployment,
    fleet: Fleet,
    duration_s: float,
) -> list[LoadSpec]:
    callers = bench_callers(parameters, deployment, fleet.keys)
    generator_count = parameters.generators
    return [
        LoadSpec(
            addresses=[node.caller_address for node in fleet.nodes],
            callers=callers[index::generator_count],
            mode=Mode.OPEN,
            duration_s=duration_s,
            timeout_s=parameters.timeout_s,
            # The arrivals are the same under each policy.
            seed=parameters.seed + index,
        )
        for index in range(generator_count)
    ]


def _measure_data_centre_change(
    parameters: Parameters, deployment: Deployment, fleet: Fleet
) -> DataCentreChange:
    duration_s = (
        parameters.before_out_s + parameters.out_s + parameters.after_return_s
    )
    changed_targets = [
        target.options.target_id
        for target in fleet.plan.targets
        if target.data_centre == CHANGED_DATA_CENTRE
    ]

    def run_count() -> int:
        return sum(
            fleet.call_target_control("stats", target_id)["runs"]
            for target_id in changed_targets
        )

    specs = _load_specs(parameters, deployment, fleet, duration_s)
    with Generators(specs) as generators:
        _sleep_until(generators.start_at_s + parameters.before_out_s)
        out_at_s = time.monotonic()
        _set_data_centre_state(fleet, "out")
        in_at_s = out_at_s + parameters.out_s
        last_run_s, count = out_at_s, run_count()
        while time.monotonic() < in_at_s - 0.5:
            time.sleep(0.25)
            previous, count = count, run_count()
            if count != previous:
                last_run_s = time.monotonic()
        _sleep_until(in_at_s)
        _set_data_centre_state(fleet, "in")
        result = generators.results()
    timeline = _ok_share_by_second(parameters, result, duration_s)
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


def _set_data_centre_state(fleet: Fleet, state: str) -> None:
    fleet.publish_config(
        lambda config: config["data_centres"][CHANGED_DATA_CENTRE].update(
            state=state
        )
    )


def _callers_within_rate(
    parameters: Parameters, result: LoadResult
) -> dict[str, CallerResult]:
    excessive = parameters.excessive_organisation
    return {n: c for n, c in result.callers.items() if n != excessive}


def _sent_and_ok(parameters: Parameters, result: LoadResult) -> tuple[int, int]:
    callers = _callers_within_rate(parameters, result).values()
    return sum(c.sent for c in callers), sum(c.ok for c in callers)


def _ok_share_by_second(
    parameters: Parameters, result: LoadResult, duration_s: float
) -> dict[int, float]:
    callers = _callers_within_rate(parameters, result).values()
    timeline = {}
    for second in range(int(duration_s)):
        counts = [c.timeline.get(second, {}) for c in callers]
        sent = sum(sum(entry.values()) for entry in counts)
        if sent:
            timeline[second] = sum(e.get("ok", 0) for e in counts) / sent
    return timeline


def _worst_served(parameters: Parameters, result: LoadResult) -> WorstServed:
    callers = _callers_within_rate(parameters, result)
    shares = {n: c.ok / max(1, c.sent) for n, c in callers.items()}
    p99_ms = {
        n: c.histogram().get_value_at_percentile(99) / 1000
        for n, c in callers.items()
    }
    lowest = min(shares, key=shares.__getitem__)
    slowest = max(p99_ms, key=p99_ms.__getitem__)
    return WorstServed(shares[lowest], lowest, p99_ms[slowest], slowest)


def _refusals(parameters: Parameters, result: LoadResult) -> Refusals:
    callers = _callers_within_rate(parameters, result).values()
    excessive = result.callers[parameters.excessive_organisation]
    refused = sum(c.refused_within_rate for c in callers)
    allowed = excessive.sent - excessive.beyond_rate
    return Refusals(
        within_rate=refused,
        within_rate_share=refused / sum(c.sent for c in callers),
        beyond_rate_served=max(0, excessive.ok - allowed),
        outcomes=result.outcomes(),
    )
