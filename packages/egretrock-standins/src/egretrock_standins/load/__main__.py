"""Compares requests through one node with direct requests to its target."""

import statistics
import sys

import cyclopts

from egretrock.state.config import Access, Organisation, Profile, Route
from egretrock_standins.fleet_runner import Fleet, FleetPlan, PlannedTarget
from egretrock_standins.load._processes import run_generators
from egretrock_standins.load._results import LoadResult
from egretrock_standins.load._spec import Caller, LoadSpec, Mode, RequestKind
from egretrock_standins.target import ServiceTime, TargetOptions

app = cyclopts.App(name="load", help=__doc__)
#: High enough never to limit; the run measures the path, not the limiter.
UNLIMITED_RATE_PER_S = 1_000_000


def load_plan() -> FleetPlan:
    """Returns a plan of one node and one target that answers at once."""
    options = TargetOptions(
        target_id="t1",
        slots=256,
        service_time=ServiceTime(mean_ms=0),
        keep_history=False,
    )
    return FleetPlan(
        node_data_centres=["east"],
        targets=[
            PlannedTarget(service="s", data_centre="east", options=options)
        ],
        services={"s": "p"},
        profiles={"p": Profile()},
        routes={"r": Route("/", "s", access=Access.KEYED, idempotent=True)},
        organisations={
            "alder": Organisation(UNLIMITED_RATE_PER_S, UNLIMITED_RATE_PER_S)
        },
    )


def measure(address: str, key: str, concurrency: int, count: int) -> LoadResult:
    """Runs one closed loop of ``count`` requests, at most 60 s."""
    spec = LoadSpec(
        addresses=[address],
        callers=[
            Caller(name="alder", key=key, requests=[RequestKind(path="/load")])
        ],
        mode=Mode.CLOSED,
        concurrency=concurrency,
        max_requests=count,
        duration_s=60.0,
    )
    return run_generators([spec])


def show(fleet: Fleet, concurrency: int, count: int, rounds: int) -> bool:
    """Measures and prints both; returns whether all requests succeeded."""
    key = fleet.keys["alder"]
    addresses = {
        "direct": fleet.target_address("t1"),
        "node": fleet.nodes[0].caller_address,
    }
    measurements: dict[str, list[tuple[float, float, float]]] = {}
    all_ok = True
    # Alternates between both, so that a busy machine affects both alike.
    for _ in range(rounds):
        for name, address in addresses.items():
            result = measure(address, key, concurrency, count)
            outcomes = result.outcomes()
            if outcomes != {"ok": count}:
                print(f"  {name}: not all were answered: {outcomes}")
                all_ok = False
            histogram = result.histogram()
            measurements.setdefault(name, []).append(
                (
                    outcomes.get("ok", 0) / result.elapsed_s,
                    histogram.get_value_at_percentile(50) / 1000,
                    histogram.get_value_at_percentile(99) / 1000,
                )
            )
    medians = {
        name: [statistics.median(column) for column in zip(*rows, strict=True)]
        for name, rows in measurements.items()
    }
    print(f"{concurrency} connections, {rounds} rounds of {count} requests:")
    for name, (rate, p50, p99) in medians.items():
        print(
            f"  {name:7}{rate:9.0f} requests/s  p50 {p50:.2f} ms"
            f"  p99 {p99:.2f} ms"
        )
    direct, node = medians["direct"], medians["node"]
    print(
        f"  node/direct: {node[0] / direct[0]:.2f} of the requests/s;"
        f" added latency p50 {node[1] - direct[1]:.2f} ms"
        f" ({node[1] / direct[1]:.1f}x),"
        f" p99 {node[2] - direct[2]:.2f} ms ({node[2] / direct[2]:.1f}x)"
    )
    return all_ok


@app.default
def main(count: int = 2000, rounds: int = 3) -> int:
    """Runs the comparison with 1 and with 16 connections.

    Args:
        count: Requests of each round.
        rounds: Rounds; medians are printed.
    """
    with Fleet(load_plan()) as fleet:
        fleet.wait_serving("/load/0", fleet.keys["alder"])
        comparisons_ok = [show(fleet, c, count, rounds) for c in (1, 16)]
    return 0 if all(comparisons_ok) else 1


if __name__ == "__main__":
    sys.exit(app())
