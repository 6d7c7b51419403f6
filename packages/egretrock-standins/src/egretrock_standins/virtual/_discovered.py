"""Nodes that find each other, with a published store, in virtual time."""

import functools
import random
from collections.abc import Callable

from egretrock.coordination.base import Message, Outbound, Peer
from egretrock.coordination.directory import (
    DIRECTORY_MESSAGES,
    Change,
    Directory,
    ReadKind,
    ReadOrder,
)
from egretrock.coordination.gossip import GOSSIP_MESSAGES, Membership
from egretrock.coordination.quota import PooledRates, QuotaSettings
from egretrock.state.config import Organisation
from egretrock.state.ids import (
    DataCentreId,
    Incarnation,
    NodeId,
    OrganisationId,
    Revision,
)
from egretrock_standins.virtual._network import Faults, VirtualNetwork

#: Time that the store takes for an answer without a wait.
STORE_ANSWER_S = 0.004


class VirtualStore:
    """A store that only the operator writes to.

    Attributes:
        entries: Value and revision of each key.
        revision: Revision of the last change.
        refuses: Nodes that it turns away.
        is_down: Whether it answers nobody.
        history_from: Revision from which it knows the changes.
        calls: Reads, refused ones included.
        whole_reads: Those that asked for everything.
        watchers: Called once at the next change.
    """

    def __init__(self) -> None:
        self.entries: dict[str, tuple[bytes, Revision]] = {}
        self.revision = Revision(1)
        self.refuses: set[NodeId] = set()
        self.is_down = False
        self.history_from = Revision(1)
        self.calls = 0
        self.whole_reads = 0
        self.watchers: list[Callable[[], None]] = []
        self._history: list[Change] = []

    def put(self, key: str, value: bytes) -> Revision:
        """Writes an entry."""
        self.revision = Revision(self.revision + 1)
        self.entries[key] = (value, self.revision)
        self._history.append(Change(key, self.revision, value))
        self._wake()
        return self.revision

    def _wake(self) -> None:
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            watcher()

    def remove(self, key: str) -> Revision:
        """Removes an entry."""
        self.revision = Revision(self.revision + 1)
        del self.entries[key]
        self._history.append(Change(key, self.revision, None))
        self._wake()
        return self.revision

    def forget_history(self) -> None:
        """Drops the history of changes."""
        self.history_from = self.revision

    def whole(self) -> list[Change]:
        """Returns all entries."""
        return [
            Change(key, revision, value)
            for key, (value, revision) in self.entries.items()
        ]

    def changes(self, after: Revision) -> list[Change]:
        """Returns the changes after a revision."""
        return [c for c in self._history if c.revision > after]


class DiscoveredNode:
    """One process: membership, directory and rates."""

    def __init__(
        self,
        fleet: "DiscoveredFleet",
        node: NodeId,
        data_centre: DataCentreId,
        incarnation: int,
    ) -> None:
        self._fleet = fleet
        now_s = fleet.network.now_s
        self.peer = Peer(node, Incarnation(incarnation))
        rng = random.Random(f"{fleet.seed} {node} {incarnation}")
        self.membership = Membership(
            self.peer,
            data_centre,
            fleet.seeds,
            int(now_s * 1000) + fleet.wall_step_ms.get(node, 0),
            rng,
            now_s,
        )
        self.directory = Directory(
            node,
            self.membership.alive_records,
            rng,
            now_s,
            reads_at_once=lambda: node in fleet.seeds,
        )
        self.rates = PooledRates(
            self.membership, fleet.organisations.get, now_s, fleet.quota
        )
        self.rates.set_organisations(fleet.organisations, now_s)
        self._is_reading = False
        self._read_number = 0

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Hands a message to its part."""
        if isinstance(body, GOSSIP_MESSAGES):
            part = self.membership
        elif isinstance(body, DIRECTORY_MESSAGES):
            part = self.directory
        else:
            part = self.rates
        return self._settle(part.on_message(sender, body, now_s), now_s)

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Drives the parts and starts the read that is due."""
        out = []
        for part in (self.membership, self.directory, self.rates):
            out += part.on_tick(now_s)
        self._read(now_s)
        return self._settle(out, now_s)

    def send(self, messages: list[Outbound]) -> None:
        """Sends messages; those to this node arrive at once."""
        network = self._fleet.network
        network.send(self.peer.node, self._settle(messages, network.now_s))

    def _settle(self, messages: list[Outbound], now_s: float) -> list[Outbound]:
        out = []
        for message in messages:
            if message.to == self.peer.node:
                out += self.on_message(self.peer, message.body, now_s)
            else:
                out.append(message)
        return out

    def _read(self, now_s: float) -> None:
        order = None if self._is_reading else self.directory.next_read(now_s)
        if order is None:
            return
        self._is_reading = True
        self._fleet.store.calls += 1
        self._fleet.store.whole_reads += order.kind is ReadKind.WHOLE
        network, store = self._fleet.network, self._fleet.store
        self._read_number += 1
        answer = functools.partial(
            self._answer, order, now_s, self._read_number
        )
        wait_s = order.wait_s or STORE_ANSWER_S
        if order.kind is ReadKind.CHANGES and order.wait_s:
            if store.changes(order.after):
                wait_s = STORE_ANSWER_S
            else:
                store.watchers.append(
                    lambda: network.at(network.now_s + STORE_ANSWER_S, answer)
                )
        network.at(now_s + wait_s, answer)

    def _answer(self, order: ReadOrder, sent_s: float, number: int) -> None:
        if self._fleet.nodes.get(self.peer.node) is not self:
            return
        if not self._is_reading or number != self._read_number:
            return
        self._is_reading = False
        store, directory = self._fleet.store, self.directory
        now_s = self._fleet.network.now_s
        if store.is_down or self.peer.node in store.refuses:
            self.membership.set_reads_store(False)
            self.send(directory.on_read_failed(now_s))
            return
        self.membership.set_reads_store(True)
        if order.kind is ReadKind.WHOLE:
            entries = store.whole()
            self.send(
                directory.on_whole(entries, store.revision, sent_s, now_s)
            )
        elif order.after < store.history_from:
            self.send(directory.on_history_lost(now_s))
        else:
            changes = store.changes(order.after)
            self.send(directory.on_changes(changes, store.revision, now_s))


class DiscoveredFleet:
    """A fleet of such nodes over data centres.

    Args:
        seed: Seed of the run.
        count: Nodes at the start.
        data_centres: Data centres over which they are spread.
        faults: What the network does to messages.
        organisations: Limits by organisation.
        quota: How rates are divided.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        data_centres: int = 4,
        faults: Faults | None = None,
        organisations: dict[OrganisationId, Organisation] | None = None,
        quota: QuotaSettings | None = None,
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(self.rng, faults or Faults())
        self.store = VirtualStore()
        self.organisations = organisations or {}
        self.quota = quota or QuotaSettings()
        self.names = [NodeId(f"10.0.{i}.1:7000") for i in range(count)]
        self.seeds = tuple(self.names[:3])
        self.wall_step_ms: dict[NodeId, int] = {}
        self.nodes: dict[NodeId, DiscoveredNode] = {}
        self._data_centres = data_centres
        self._incarnations = 0

    def start(self, node: NodeId) -> DiscoveredNode:
        """Starts a process, in the place of an earlier one."""
        self._incarnations += 1
        index = self.names.index(node)
        centre = DataCentreId(f"dc{index % self._data_centres}")
        process = DiscoveredNode(self, node, centre, self._incarnations)
        self.nodes[node] = process
        self.network.add(process.peer, process.on_message, process.on_tick)
        return process

    def start_all(self) -> None:
        """Starts all nodes."""
        for node in self.names:
            self.start(node)

    def kill(self, node: NodeId) -> None:
        """Ends a process; its state is lost."""
        self.nodes.pop(node, None)
        self.network.kill(node)

    def cut_off(self, nodes: set[NodeId]) -> None:
        """Separates some nodes from the others, both ways."""
        for one in nodes:
            for other in set(self.names) - nodes:
                self.network.cut(one, other)
                self.network.cut(other, one)

    def run_for(self, span_s: float) -> None:
        """Runs for some seconds."""
        self.network.run(self.network.now_s + span_s)
