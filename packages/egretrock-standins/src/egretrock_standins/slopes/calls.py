"""Prints what one call costs a node: processor time, messages and bytes.

Real processes run on loopback under open-loop load at several rates; the
slope over the rates is the cost of a call, without what an idle node costs.
"""

import math
import statistics
import time
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from egretrock.state.config import Organisation, Profile, Route
from egretrock_standins.fleet_runner import Fleet, FleetPlan, PlannedTarget
from egretrock_standins.load import (
    Caller,
    Generators,
    LoadSpec,
    Mode,
    RequestKind,
)
from egretrock_standins.slopes.idle import NodeCost, measure
from egretrock_standins.target import ServiceTime, TargetOptions

app = cyclopts.App(name="slopes.calls", help=__doc__)

_ORGANISATIONS = 8
_SLOTS = 6
_SERVICE_MS = 20.0
_LEAD_S = 4.0


def calls_plan(nodes: int, targets: int) -> FleetPlan:
    """Returns a fleet whose limits are far above the load."""
    return FleetPlan(
        node_data_centres=["east" if n % 2 else "west" for n in range(nodes)],
        targets=[
            PlannedTarget(
                service="records",
                data_centre="east" if n % 2 else "west",
                options=TargetOptions(
                    target_id=f"records-{n}",
                    slots=_SLOTS,
                    service_time=ServiceTime(mean_ms=_SERVICE_MS, sigma=0.5),
                    seed=n,
                ),
            )
            for n in range(targets)
        ],
        services={"records": "records"},
        profiles={"records": Profile()},
        routes={"records": Route("/records", "records", idempotent=True)},
        organisations={
            f"organisation-{n}": Organisation(rate_per_s=500, burst=250)
            for n in range(_ORGANISATIONS)
        },
        log_level="warning",
    )


def _callers(fleet: Fleet, rate_per_s: float) -> list[Caller]:
    return [
        Caller(
            name=name,
            key=key,
            requests=[RequestKind(path="/records")],
            rate_per_s=rate_per_s / len(fleet.keys),
        )
        for name, key in fleet.keys.items()
    ]


def run_rate(
    fleet: Fleet, rate_per_s: float, span_s: float
) -> tuple[list[NodeCost], float]:
    """Returns the cost of each node, and the answers a second with 200."""
    if rate_per_s == 0:
        return measure(fleet, span_s), 0.0
    spec = LoadSpec(
        addresses=[node.caller_address for node in fleet.nodes],
        callers=_callers(fleet, rate_per_s),
        mode=Mode.OPEN,
        duration_s=span_s + 2 * _LEAD_S,
    )
    with Generators([spec]) as generators:
        time.sleep(_LEAD_S)
        costs = measure(fleet, span_s)
        result = generators.results()
    answered = sum(caller.ok for caller in result.callers.values())
    return costs, answered / spec.duration_s


def _slope(xs: list[float], ys: list[float]) -> float:
    return statistics.linear_regression(xs, ys).slope


@app.default
def main(
    *,
    nodes: int = 4,
    targets: int = 12,
    rates_per_s: Annotated[
        tuple[float, ...], Parameter(consume_multiple=True)
    ] = (0, 100, 200, 400),
    span_s: float = 15.0,
) -> None:
    """Prints a row per rate, and the slope per call.

    Args:
        nodes: Nodes of the fleet.
        targets: Targets of the one service, with six slots each.
        rates_per_s: Calls a second over the fleet.
        span_s: Seconds that are measured at each rate.
    """
    print("calls/s a node  cpu %  datagrams/s  bytes/s  resident MB")
    rows = []
    with Fleet(calls_plan(nodes, targets)) as fleet:
        time.sleep(_LEAD_S + _LEAD_S)
        for rate_per_s in rates_per_s:
            costs, answered_per_s = run_rate(fleet, rate_per_s, span_s)
            calls = answered_per_s / nodes
            cpu = statistics.fmean(c.cpu_percent for c in costs)
            sent = statistics.fmean(c.sent_per_s for c in costs)
            size = statistics.fmean(c.bytes_per_s for c in costs)
            memory = max(c.resident_mb for c in costs)
            rows.append((calls, cpu, sent, size))
            print(
                f"{calls:>14.1f}{cpu:>7.2f}{sent:>13.1f}{size:>9.0f}"
                f"{memory:>13.1f}"
            )
    if len(rows) < 2 or math.isclose(rows[0][0], rows[-1][0]):
        return
    calls, cpu, sent, size = (
        list(column) for column in zip(*rows, strict=True)
    )
    print(
        f"per call: {_slope(calls, cpu) * 10_000:.0f} microseconds of a core,"
        f" {_slope(calls, sent):.2f} datagrams, {_slope(calls, size):.0f} bytes"
    )


if __name__ == "__main__":
    app()
