"""Measures the cost of a call for a node: processor time and traffic.

Real processes run on loopback under open-loop load at several rates; the
slope over the rates is the cost of a call without that of an idle node.
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

_ORGANISATION_COUNT = 8
_SLOTS_PER_TARGET = 6
_MEAN_SERVICE_MS = 20.0
#: Time under load before and after a measurement.
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
                    slots=_SLOTS_PER_TARGET,
                    service_time=ServiceTime(
                        mean_ms=_MEAN_SERVICE_MS, sigma=0.5
                    ),
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
            for n in range(_ORGANISATION_COUNT)
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
    """Returns the cost of each node, and answers with 200 per second."""
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


def _slope(rates: list[float], costs: list[float]) -> float:
    return statistics.linear_regression(rates, costs).slope


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
    """Prints a row per rate, and the cost per call.

    Args:
        nodes: Number of nodes.
        targets: Number of targets of the one service, with six slots each.
        rates_per_s: Calls per second over the whole fleet.
        span_s: Measured time at each rate in seconds.
    """
    print("calls/s a node  cpu %  datagrams/s  bytes/s  resident MB")
    rows = []
    with Fleet(calls_plan(nodes, targets)) as fleet:
        time.sleep(_LEAD_S + _LEAD_S)
        for rate_per_s in rates_per_s:
            costs, answered_per_s = run_rate(fleet, rate_per_s, span_s)
            calls_per_s = answered_per_s / nodes
            cpu = statistics.fmean(c.cpu_percent for c in costs)
            sent = statistics.fmean(c.sent_per_s for c in costs)
            size = statistics.fmean(c.bytes_per_s for c in costs)
            memory = max(c.resident_mb for c in costs)
            rows.append((calls_per_s, cpu, sent, size))
            print(
                f"{calls_per_s:>14.1f}{cpu:>7.2f}{sent:>13.1f}{size:>9.0f}"
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
