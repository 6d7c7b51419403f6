"""Measures what nodes that find each other send, by the size of the fleet.

Virtual time, one seed, real encoding: ``python -m
egretrock_standins.slopes.discovered --nodes 19 111``.
"""

import collections
import time

import cyclopts

from egretrock.coordination.base import Outbound, Peer
from egretrock.coordination.directory import DIRECTORY_MESSAGES
from egretrock.coordination.gossip import GOSSIP_MESSAGES
from egretrock.coordination.quota import QUOTA_MESSAGES
from egretrock.state.ids import Incarnation, NodeId
from egretrock_node.protocol.peers import Codec
from egretrock_standins.virtual import DiscoveredFleet

#: Seconds in which a fleet that starts at once comes to rest.
_SETTLE_S = 30.0
_SPAN_S = 10.0
_PARTS = {
    **dict.fromkeys(GOSSIP_MESSAGES, "gossip"),
    **dict.fromkeys(DIRECTORY_MESSAGES, "directory"),
    **dict.fromkeys(QUOTA_MESSAGES, "quota"),
}


def measure(nodes: int, entries: int, changes_per_s: float) -> str:
    """Returns one line of figures for a fleet of some size.

    Args:
        nodes: Number of nodes.
        entries: Entries that the platform publishes, 150 bytes each.
        changes_per_s: Entries written a second.
    """
    fleet = DiscoveredFleet(1, nodes)
    for number in range(entries):
        fleet.store.put(f"servers/{number}", b"x" * 150)
    fleet.start_all()
    fleet.run_for(_SETTLE_S)
    codec = Codec(Peer(NodeId("10.0.0.1:7000"), Incarnation(2**62)), _PARTS)
    sent: dict[str, collections.Counter[NodeId]] = collections.defaultdict(
        collections.Counter
    )

    def count(sender: NodeId, message: Outbound) -> None:
        size_bytes = sum(map(len, codec.encode([message.body])))
        sent[_PARTS[type(message.body)]][sender] += size_bytes

    fleet.network.on_send = count
    calls, started_s = fleet.store.calls, time.process_time()
    end_s = fleet.network.now_s + _SPAN_S
    while fleet.network.now_s < end_s:
        fleet.store.put(f"servers/{fleet.store.revision % entries}", b"y" * 150)
        fleet.run_for(1.0 / changes_per_s)
    cpu_s = (time.process_time() - started_s) / _SPAN_S / nodes
    figures = [f"{nodes} nodes, {entries} entries"]
    for part, by_node in sorted(sent.items()):
        rates = sorted(count / _SPAN_S for count in by_node.values())
        middle = rates[len(rates) // 2] if len(rates) > nodes // 2 else 0
        figures.append(
            f"{part} {middle:.0f} bytes/s in the middle, {rates[-1]:.0f} most"
        )
    calls_per_s = (fleet.store.calls - calls) / _SPAN_S
    figures.append(f"{calls_per_s:.1f} calls of the platform a second")
    figures.append(f"{100 * cpu_s:.2f}% of a core a node, network included")
    return "; ".join(figures)


app = cyclopts.App(help=__doc__)


@app.default
def main(
    *,
    nodes: list[int] | None = None,
    entries: int = 40,
    changes_per_s: float = 1.0,
) -> None:
    """Prints one line for each size.

    Args:
        nodes: Sizes of the fleet.
        entries: Entries that the platform publishes.
        changes_per_s: Entries written a second.
    """
    for count in nodes or [19, 111, 300]:
        print(measure(count, entries, changes_per_s), flush=True)


if __name__ == "__main__":
    app()
