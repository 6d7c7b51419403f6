"""A fleet of nodes in virtual time, with a stand-in for the platform."""

import dataclasses
import enum
import random
from collections.abc import Callable, Iterable

from egretrock.coordination.base import Message, Outbound, Peer
from egretrock.coordination.fleet import (
    Document,
    DocumentName,
    DocumentSource,
    Fleet,
    FleetSettings,
)
from egretrock.state.ids import Incarnation, NodeId, Revision
from egretrock_standins.virtual._network import Faults, VirtualNetwork

#: Mean seconds between two platform reads of one document by one node.
_READ_INTERVAL_S = 0.5


class PlatformView(enum.Enum):
    """How a node sees the platform."""

    CURRENT = "current"
    STALE = "stale"
    DOWN = "down"


@dataclasses.dataclass
class _Read:
    """A read whose result arrives at ``due_s`` on the process's clock."""

    due_s: float
    sent_s: float
    document: DocumentName
    source: DocumentSource
    revision: Revision
    value: bytes | None


class VirtualProcess:
    """One process of a node: its fleet part, clock and reads.

    Attributes:
        node: The node.
        fleet: Its fleet part.
    """

    def __init__(self, owner: "VirtualFleet", node: NodeId) -> None:
        rng = owner.rng
        self.node = node
        self._owner = owner
        # The rates of two clocks differ by up to 1%; offsets are arbitrary.
        self._rate = rng.uniform(1 - owner.clock_error, 1 + owner.clock_error)
        self._offset_s = rng.uniform(0, 1000)
        incarnation = Incarnation(rng.getrandbits(64))
        self.fleet = owner.fleet_type(
            owner.settings(node),
            incarnation,
            random.Random(rng.getrandbits(32)),
            self.now_s(),
        )
        self._reads: list[_Read] = []
        self._next_read_s = dict.fromkeys(DocumentName, self.now_s())
        self._fetching = False

    def now_s(self) -> float:
        """Returns the time on the process's own clock."""
        return self._offset_s + self._rate * self._owner.network.now_s

    def on_tick(self, _: float) -> list[Outbound]:
        """Reads the platform, fetches from peers and ticks the fleet part."""
        now_s = self.now_s()
        messages = self._finish_reads(now_s)
        for document in DocumentName:
            if now_s >= self._next_read_s[document]:
                self._start_read(document, now_s)
        self._start_fetch(now_s)
        messages += self.fleet.on_tick(now_s)
        self._owner.notify(self)
        return messages

    def on_message(
        self, sender: Peer, body: Message, _: float
    ) -> list[Outbound]:
        """Passes a message to the fleet part."""
        messages = self.fleet.on_message(sender, body, self.now_s())
        self._owner.notify(self)
        return messages

    def _finish_reads(self, now_s: float) -> list[Outbound]:
        messages: list[Outbound] = []
        due = [read for read in self._reads if read.due_s <= now_s]
        self._reads = [read for read in self._reads if read.due_s > now_s]
        for read in due:
            messages += self.fleet.on_document(
                read.document,
                read.revision,
                read.value,
                read.sent_s,
                now_s,
                read.source,
            )
            if read.source is DocumentSource.PEER:
                self._fetching = False
        return messages

    def _start_read(self, document: DocumentName, now_s: float) -> None:
        rng = self._owner.rng
        interval_s = _READ_INTERVAL_S * rng.uniform(0.5, 1.5)
        self._next_read_s[document] = now_s + interval_s
        visible = self._owner.visible_document(self.node, document)
        if visible is None:
            return
        revision, value = visible
        seen = self.fleet.seen_revision(document)
        body = None if revision <= seen else value
        due_s = now_s + rng.uniform(0.0, 0.4)
        source = DocumentSource.PLATFORM
        read = _Read(due_s, now_s, document, source, revision, body)
        self._reads.append(read)

    def _start_fetch(self, now_s: float) -> None:
        wanted = self.fleet.wanted_document()
        if wanted is None or self._fetching:
            return
        peer, name = wanted
        document = self._owner.fetch(self.node, peer, name)
        if document is None:
            return
        self._fetching = True
        due_s = now_s + self._owner.rng.uniform(0.0, 0.05)
        read = _Read(
            due_s,
            now_s,
            name,
            DocumentSource.PEER,
            document.revision,
            document.value,
        )
        self._reads.append(read)


class VirtualFleet:
    """Runs the fleet parts of many nodes under faults.

    Args:
        rng: Random source of clocks, delays and faults.
        faults: Faults of the network.
        settings: Returns the settings of a node.
        fleet_type: ``Fleet``, or a subclass with one rule disabled.
        clock_error: Maximum deviation of a clock's rate from 1.
        tick_s: Seconds between ticks of a node.
    """

    def __init__(
        self,
        rng: random.Random,
        faults: Faults,
        settings: Callable[[NodeId], FleetSettings] = FleetSettings,
        fleet_type: type[Fleet] = Fleet,
        clock_error: float = 0.0049,
        tick_s: float = 0.05,
    ) -> None:
        self.rng = rng
        self.network = VirtualNetwork(rng, faults)
        self.settings = settings
        self.fleet_type = fleet_type
        self.clock_error = clock_error
        self.processes: dict[NodeId, VirtualProcess] = {}
        self.frozen: set[NodeId] = set()
        self.views: dict[NodeId, PlatformView] = {}
        self.observers: list[Callable[[VirtualProcess], None]] = []
        self._tick_s = tick_s
        self._published: dict[DocumentName, tuple[Revision, bytes]] = {}
        self._stale_documents: dict[tuple[NodeId, DocumentName], tuple] = {}
        self._blocked_links: set[tuple[NodeId, NodeId]] = set()

    def publish(self, document: DocumentName, value: bytes) -> Revision:
        """Publishes the next revision of a document."""
        current, _ = self._published.get(document, (Revision(0), b""))
        revision = Revision(current + 1)
        self._published[document] = (revision, value)
        return revision

    def start(self, node: NodeId) -> VirtualProcess:
        """Starts a process of a node, replacing a running one."""
        self.kill(node)
        process = VirtualProcess(self, node)
        self.processes[node] = process
        self.network.add(
            process.fleet.peer,
            process.on_message,
            process.on_tick,
            self._tick_s,
        )
        return process

    def kill(self, node: NodeId) -> None:
        """Kills a process; it sends no last message."""
        self.processes.pop(node, None)
        self.frozen.discard(node)
        self.network.kill(node)

    def freeze(self, node: NodeId) -> None:
        """Freezes a process."""
        if node in self.processes and node not in self.frozen:
            self.frozen.add(node)
            self.network.freeze(node)

    def resume(self, node: NodeId) -> None:
        """Wakes a frozen process."""
        if node in self.frozen:
            self.frozen.discard(node)
            self.network.resume(node)

    def block(self, sender: NodeId, receiver: NodeId) -> None:
        """Drops messages from one node to another until ``heal``."""
        self._blocked_links.add((sender, receiver))
        self.network.block(sender, receiver)

    def partition(self, group: Iterable[NodeId]) -> None:
        """Partitions a group from all other nodes, in both directions."""
        inside = set(group)
        for inner in inside:
            for outer in set(self.processes) - inside:
                self.block(inner, outer)
                self.block(outer, inner)

    def heal(self) -> None:
        """Heals all partitions."""
        self._blocked_links.clear()
        self.network.heal()

    def set_view(self, node: NodeId, view: PlatformView) -> None:
        """Sets how a node sees the platform.

        A stale view stays at the revisions that are published now.
        """
        self.views[node] = view
        for document, published in self._published.items():
            self._stale_documents[node, document] = published

    def visible_document(
        self, node: NodeId, document: DocumentName
    ) -> tuple[Revision, bytes] | None:
        """Returns what a node reads from the platform; None for no answer."""
        view = self.views.get(node, PlatformView.CURRENT)
        if view is PlatformView.DOWN:
            return None
        if view is PlatformView.STALE:
            return self._stale_documents.get((node, document))
        return self._published.get(document)

    def fetch(
        self, node: NodeId, peer: NodeId, name: DocumentName
    ) -> Document | None:
        """Returns a document of a reachable peer, or None."""
        links = {(node, peer), (peer, node)}
        if peer not in self.processes or peer in self.frozen:
            return None
        if links & self._blocked_links:
            return None
        return self.processes[peer].fleet.document(name)

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        self.network.run(self.network.now_s + seconds)

    def notify(self, process: VirtualProcess) -> None:
        """Calls the observers after a process has handled an event."""
        for observer in self.observers:
            observer(process)
