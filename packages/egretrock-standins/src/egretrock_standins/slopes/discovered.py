"""Measures the traffic of nodes that discover each other, by fleet size.

Virtual time, one seed, real encoding: ``python -m
egretrock_standins.slopes.discovered --nodes 19 111``.
"""

import collections
import time

import cyclopts

from egretrock.coordination.base import Outbound, Peer
from egretrock.coordination.bounds import BOUND_MESSAGES
from egretrock.coordination.directory import DIRECTORY_MESSAGES
from egretrock.coordination.gossip import GOSSIP_MESSAGES
from egretrock.coordination.quota import QUOTA_MESSAGES
from egretrock.state.ids import Incarnation, NodeId, TargetId
from egretrock_node.protocol.peers import Codec
from egretrock_standins.virtual import DiscoveredFleet, LimitedTarget

#: Time after which a fleet whose nodes start together is stable.
_SETTLE_S = 30.0
_MEASURED_S = 10.0
#: Requests that callers send to a target with a limit, as a multiple of it.
_LIMITED_DEMAND = 6.0
_PARTS = {
    **dict.fromkeys(GOSSIP_MESSAGES, "gossip"),
    **dict.fromkeys(DIRECTORY_MESSAGES, "directory"),
    **dict.fromkeys(QUOTA_MESSAGES, "quota"),
    **dict.fromkeys(BOUND_MESSAGES, "bounds"),
}


def measure(
    nodes: int, entries: int, changes_per_s: float, limit_per_s: float
) -> str:
    """Returns one line of figures for one fleet size.

    Args:
        nodes: Number of nodes.
        entries: Entries that the platform publishes, 150 bytes each.
        changes_per_s: Entries written per second.
        limit_per_s: Limit that one target names; 0 if none names one.
    """
    fleet = DiscoveredFleet(1, nodes)
    for number in range(entries):
        fleet.store.put(f"servers/{number}", b"x" * 150)
    fleet.start_all()
    fleet.run_for(_SETTLE_S)
    run_for = fleet.run_for
    if limit_per_s:
        demand_per_s = _LIMITED_DEMAND * limit_per_s
        target = LimitedTarget(fleet, TargetId("10.0.1.1:80"), demand_per_s)
        target.limit_per_s = limit_per_s
        target.run(_SETTLE_S)
        run_for = target.run
    codec = Codec(Peer(NodeId("10.0.0.1:7000"), Incarnation(2**62)), _PARTS)
    sent_bytes: dict[str, collections.Counter[NodeId]] = (
        collections.defaultdict(collections.Counter)
    )

    def count(sender: NodeId, message: Outbound) -> None:
        size_bytes = sum(map(len, codec.encode([message.body])))
        sent_bytes[_PARTS[type(message.body)]][sender] += size_bytes

    fleet.network.on_send = count
    reads, started_s = fleet.store.read_count, time.process_time()
    end_s = fleet.network.now_s + _MEASURED_S
    while fleet.network.now_s < end_s:
        fleet.store.put(f"servers/{fleet.store.revision % entries}", b"y" * 150)
        run_for(1.0 / changes_per_s)
    cpu_s = (time.process_time() - started_s) / _MEASURED_S / nodes
    figures = [f"{nodes} nodes, {entries} entries"]
    for part, by_node in sorted(sent_bytes.items()):
        rates = sorted(count / _MEASURED_S for count in by_node.values())
        median = rates[len(rates) // 2] if len(rates) > nodes // 2 else 0
        figures.append(
            f"{part} {median:.0f} bytes/s median, {rates[-1]:.0f} maximum"
        )
    reads_per_s = (fleet.store.read_count - reads) / _MEASURED_S
    figures.append(f"{reads_per_s:.1f} platform reads per second")
    figures.append(f"{100 * cpu_s:.2f}% of a core per node, network included")
    return "; ".join(figures)


app = cyclopts.App(help=__doc__)


@app.default
def main(
    *,
    nodes: list[int] | None = None,
    entries: int = 40,
    changes_per_s: float = 1.0,
    limit_per_s: float = 0.0,
) -> None:
    """Prints one line for each fleet size.

    Args:
        nodes: Fleet sizes.
        entries: Entries that the platform publishes.
        changes_per_s: Entries written per second.
        limit_per_s: Limit that one target names, 0 for none; callers send six
            times as much.
    """
    for count in nodes or [19, 111, 300]:
        print(measure(count, entries, changes_per_s, limit_per_s), flush=True)


if __name__ == "__main__":
    app()
