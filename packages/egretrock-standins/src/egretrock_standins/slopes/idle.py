"""Measures the cost of an idle node at several fleet sizes.

Real processes run on loopback. Processor time comes from the kernel's
accounting of each node process, messages and bytes from the nodes' counters.
"""

import json
import os
import pathlib
import statistics
import time
from typing import Annotated

import cyclopts
import msgspec
from cyclopts import Parameter

from egretrock.state.config import Organisation, Profile, Route
from egretrock_standins.fleet_runner import (
    Fleet,
    FleetPlan,
    NodeProcess,
    PlannedTarget,
)
from egretrock_standins.target import TargetOptions

app = cyclopts.App(name="slopes.idle", help=__doc__)

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
#: Time for which the fleet runs before the measurement.
_SETTLE_S = 10.0


class NodeCost(msgspec.Struct, frozen=True):
    """Cost of one node over the measured time.

    Attributes:
        cpu_percent: Processor time in percent of one core.
        sent_per_s: Datagrams sent per second.
        bytes_per_s: Bytes sent in datagrams per second.
        reads_per_s: Reads of the platform per second.
        probes_per_s: Probes of targets per second.
        resident_mb: Resident memory in megabytes.
    """

    cpu_percent: float
    sent_per_s: float
    bytes_per_s: float
    reads_per_s: float
    probes_per_s: float
    resident_mb: float


def _cpu_s(pid: int) -> float:
    """Returns the processor time of a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"process {pid} has no resident size")


def _counters(node: NodeProcess) -> dict[str, int]:
    return json.loads(node.call_operator("/status").body)["counters"]


def measure(fleet: Fleet, span_s: float) -> list[NodeCost]:
    """Returns the cost of each node over the next ``span_s`` seconds."""
    nodes = fleet.nodes
    pids = [node.process.pid for node in nodes]
    counters_before = [_counters(node) for node in nodes]
    cpus_before_s = [_cpu_s(pid) for pid in pids]
    start_s = time.monotonic()
    time.sleep(span_s)
    costs = []
    for node, pid, before, cpu_before_s in zip(
        nodes, pids, counters_before, cpus_before_s, strict=True
    ):
        elapsed_s = time.monotonic() - start_s
        cpu_used_s = _cpu_s(pid) - cpu_before_s
        after = _counters(node)

        def rate(
            name: str,
            after: dict[str, int] = after,
            before: dict[str, int] = before,
            elapsed_s: float = elapsed_s,
        ) -> float:
            return (after.get(name, 0) - before.get(name, 0)) / elapsed_s

        costs.append(
            NodeCost(
                100 * cpu_used_s / elapsed_s,
                rate("peers.datagrams_sent"),
                rate("peers.bytes_sent"),
                rate("platform.reads"),
                rate("probes.sent"),
                _resident_mb(pid),
            )
        )
    return costs


def idle_plan(nodes: int, targets: int, organisations: int) -> FleetPlan:
    """Returns a fleet over two data centres, with one service."""
    return FleetPlan(
        node_data_centres=["east" if n % 2 else "west" for n in range(nodes)],
        targets=[
            PlannedTarget(
                service="records",
                data_centre="east" if n % 2 else "west",
                options=TargetOptions(target_id=f"records-{n}", seed=n),
            )
            for n in range(targets)
        ],
        services={"records": "records"},
        profiles={"records": Profile()},
        routes={"records": Route("/records", "records", idempotent=True)},
        organisations={
            f"organisation-{n}": Organisation(rate_per_s=50, burst=25)
            for n in range(organisations)
        },
        log_level="warning",
    )


@app.default
def main(
    *,
    nodes: Annotated[tuple[int, ...], Parameter(consume_multiple=True)] = (
        3,
        9,
        18,
    ),
    targets: int = 12,
    organisations: int = 8,
    span_s: float = 20.0,
) -> None:
    """Prints a row per fleet size; each figure is the mean over its nodes.

    Args:
        nodes: Fleet sizes.
        targets: Number of targets of the one service.
        organisations: Number of organisations.
        span_s: Measured time in seconds.
    """
    print(
        "nodes  cpu %  datagrams/s  bytes/s  reads/s  probes/s (fleet)"
        "  resident MB"
    )
    for count in nodes:
        with Fleet(idle_plan(count, targets, organisations)) as fleet:
            time.sleep(_SETTLE_S)
            costs = measure(fleet, span_s)
        mean = {
            name: statistics.fmean(getattr(cost, name) for cost in costs)
            for name in NodeCost.__struct_fields__
        }
        print(
            f"{count:>5}{mean['cpu_percent']:>7.2f}"
            f"{mean['sent_per_s']:>13.1f}{mean['bytes_per_s']:>9.0f}"
            f"{mean['reads_per_s']:>9.2f}"
            f"{mean['probes_per_s'] * count:>18.2f}"
            f"{mean['resident_mb']:>13.1f}"
        )


if __name__ == "__main__":
    app()
