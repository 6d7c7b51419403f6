"""Nodes that discover each other, and their store, in virtual time."""

import functools
import random
from collections.abc import Callable

from egretrock.coordination.base import Message, Outbound, Peer
from egretrock.coordination.bounds import BOUND_MESSAGES, TargetBounds
from egretrock.coordination.directory import (
    DIRECTORY_MESSAGES,
    Change,
    Directory,
    FirstRead,
    Position,
    ReadKind,
    ReadRequest,
)
from egretrock.coordination.evidence import EVIDENCE_MESSAGES, FleetEvidence
from egretrock.coordination.gossip import GOSSIP_MESSAGES, Membership
from egretrock.coordination.quota import PooledRates, QuotaSettings
from egretrock.state.config import Organisation, Target
from egretrock.state.ids import (
    DataCentreId,
    Incarnation,
    NodeId,
    OrganisationId,
    Revision,
    ServiceId,
    TargetId,
)
from egretrock_standins.virtual._network import Faults, VirtualNetwork

#: Time until the store answers a read that does not wait for a change.
STORE_ANSWER_S = 0.004


class VirtualStore:
    """A store with revisions that only the operator writes to.

    Attributes:
        entries: Value and revision of each key.
        revision: Revision of the last change.
        refused_nodes: Nodes whose reads fail.
        is_down: Whether the reads of all nodes fail.
        history_from: Reads of changes after an older revision fail, because
            the history was lost.
        read_count: Number of reads, failed ones included.
        snapshot_read_count: Number of snapshot reads.
        era: Number of restores from an older copy.
        watchers: Callbacks that run once, at the next change.
    """

    def __init__(self) -> None:
        self.entries: dict[str, tuple[bytes, Revision]] = {}
        self.revision = Revision(1)
        self.refused_nodes: set[NodeId] = set()
        self.is_down = False
        self.history_from = Revision(1)
        self.read_count = 0
        self.snapshot_read_count = 0
        self.era = 1
        self.watchers: list[Callable[[], None]] = []
        self._history: list[Change] = []

    def put(self, key: str, value: bytes) -> Revision:
        """Writes an entry."""
        self.revision = Revision(self.revision + 1)
        self.entries[key] = (value, self.revision)
        self._history.append(Change(key, self.revision, value))
        self._notify_watchers()
        return self.revision

    def _notify_watchers(self) -> None:
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            watcher()

    def remove(self, key: str) -> Revision:
        """Removes an entry."""
        self.revision = Revision(self.revision + 1)
        del self.entries[key]
        self._history.append(Change(key, self.revision, None))
        self._notify_watchers()
        return self.revision

    def forget_history(self) -> None:
        """Discards the history of changes."""
        self.history_from = self.revision

    @property
    def position(self) -> Position:
        """Position of the entries."""
        return Position(self.era, self.revision)

    def copy(self) -> tuple[dict[str, tuple[bytes, Revision]], list[Change]]:
        """Returns a copy of the entries and their history."""
        return dict(self.entries), list(self._history)

    def restore(
        self, copy: tuple[dict[str, tuple[bytes, Revision]], list[Change]]
    ) -> None:
        """Returns to a copy; later revisions are given out again."""
        entries, history = copy
        self.entries, self._history = dict(entries), list(history)
        self.revision = history[-1].revision
        self.era += 1

    def snapshot(self) -> list[Change]:
        """Returns all entries."""
        return [
            Change(key, revision, value)
            for key, (value, revision) in self.entries.items()
        ]

    def has_lost(self, after: Position) -> bool:
        """Returns whether the changes after a position are not known."""
        return (
            after.era != self.era
            or not self.history_from <= after.revision <= self.revision
        )

    def changes(self, after: Position) -> list[Change]:
        """Returns the changes after a position of this era."""
        return [c for c in self._history if c.revision > after.revision]


class DiscoveredNode:
    """One process of a node: membership, directory and what builds on them."""

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
            first_read=lambda: (
                FirstRead.IMMEDIATE if node in fleet.seeds else fleet.first_read
            ),
        )
        self.rates = PooledRates(
            self.membership, fleet.organisations.get, now_s, fleet.quota
        )
        self.rates.set_organisations(fleet.organisations, now_s)
        self.bounds = TargetBounds(self.membership)
        self.evidence = FleetEvidence(
            self.membership, lambda service: fleet.services.get(service, {})
        )
        self._is_reading = False
        self._read_number = 0

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Dispatches a message to the part that handles its type."""
        if isinstance(body, GOSSIP_MESSAGES):
            part = self.membership
        elif isinstance(body, DIRECTORY_MESSAGES):
            part = self.directory
        elif isinstance(body, BOUND_MESSAGES):
            part = self.bounds
        elif isinstance(body, EVIDENCE_MESSAGES):
            part = self.evidence
        else:
            part = self.rates
        out = part.on_message(sender, body, now_s)
        if self.directory.revision == 0:
            out += self.directory.on_tick(now_s)
        return self._handle_own(out, now_s)

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Ticks the parts and starts a read of the store if one is due."""
        out = []
        for part in (
            self.membership,
            self.directory,
            self.rates,
            self.bounds,
            self.evidence,
        ):
            out += part.on_tick(now_s)
        self._start_read(now_s)
        return self._handle_own(out, now_s)

    def send(self, messages: list[Outbound]) -> None:
        """Sends messages; those to itself are handled immediately."""
        network = self._fleet.network
        network.send(self.peer.node, self._handle_own(messages, network.now_s))

    def _handle_own(
        self, messages: list[Outbound], now_s: float
    ) -> list[Outbound]:
        out = []
        for message in messages:
            if message.to == self.peer.node:
                out += self.on_message(self.peer, message.body, now_s)
            else:
                out.append(message)
        return out

    def _start_read(self, now_s: float) -> None:
        read = None if self._is_reading else self.directory.next_read(now_s)
        if read is None:
            return
        self._is_reading = True
        self._fleet.store.read_count += 1
        self._fleet.store.snapshot_read_count += read.kind is ReadKind.SNAPSHOT
        network, store = self._fleet.network, self._fleet.store
        self._read_number += 1
        finish = functools.partial(
            self._finish_read, read, now_s, self._read_number
        )
        wait_s = read.wait_s or STORE_ANSWER_S
        if read.kind is ReadKind.CHANGES and read.wait_s:
            if store.has_lost(read.after) or store.changes(read.after):
                wait_s = STORE_ANSWER_S
            else:
                store.watchers.append(
                    lambda: network.call_at(
                        network.now_s + STORE_ANSWER_S, finish
                    )
                )
        network.call_at(now_s + wait_s, finish)

    def _finish_read(
        self, read: ReadRequest, sent_s: float, read_number: int
    ) -> None:
        if self._fleet.nodes.get(self.peer.node) is not self:
            return
        if not self._is_reading or read_number != self._read_number:
            return
        self._is_reading = False
        store, directory = self._fleet.store, self.directory
        now_s = self._fleet.network.now_s
        if store.is_down or self.peer.node in store.refused_nodes:
            self.membership.set_platform_reachable(False)
            self.send(directory.on_read_failed(now_s))
            return
        self.membership.set_platform_reachable(True)
        if read.kind is ReadKind.SNAPSHOT:
            entries = store.snapshot()
            self.send(
                directory.on_snapshot(entries, store.position, sent_s, now_s)
            )
        elif store.has_lost(read.after):
            self.send(directory.on_history_lost(now_s))
        else:
            changes = store.changes(read.after)
            self.send(directory.on_changes(changes, store.position, now_s))


class DiscoveredFleet:
    """A fleet of discovered nodes over several data centres.

    Args:
        seed: Seed of the run.
        count: Number of nodes.
        data_centres: Number of data centres over which they are spread.
        faults: Faults of the network.
        organisations: Limits by organisation.
        quota: Settings by which rates are divided over the nodes.

    Attributes:
        node_ids: Ids of all nodes, also of those that do not run.
        seeds: Nodes through which the others join.
        wall_step_ms: Steps of wall clocks, from the next start of a node.
        nodes: Running processes.
        first_read: Urgency of the first read of nodes that are not seeds.
        services: Targets in service by service.
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
        self.node_ids = [NodeId(f"10.0.{i}.1:7000") for i in range(count)]
        self.seeds = tuple(self.node_ids[:3])
        self.wall_step_ms: dict[NodeId, int] = {}
        self.nodes: dict[NodeId, DiscoveredNode] = {}
        self.first_read = FirstRead.RELAXED
        self.services: dict[ServiceId, dict[TargetId, Target]] = {}
        self._data_centres = data_centres
        self._incarnations = 0

    def start(self, node: NodeId) -> DiscoveredNode:
        """Starts a process of a node, replacing an earlier one."""
        self._incarnations += 1
        index = self.node_ids.index(node)
        data_centre = DataCentreId(f"dc{index % self._data_centres}")
        process = DiscoveredNode(self, node, data_centre, self._incarnations)
        self.nodes[node] = process
        self.network.add(process.peer, process.on_message, process.on_tick)
        return process

    def start_all(self) -> None:
        """Starts all nodes."""
        for node in self.node_ids:
            self.start(node)

    def kill(self, node: NodeId) -> None:
        """Kills a process; its state is lost."""
        self.nodes.pop(node, None)
        self.network.kill(node)

    def partition(self, nodes: set[NodeId]) -> None:
        """Partitions some nodes from the others, in both directions."""
        for inner in nodes:
            for outer in set(self.node_ids) - nodes:
                self.network.block(inner, outer)
                self.network.block(outer, inner)

    def run_for(self, span_s: float) -> None:
        """Advances virtual time."""
        self.network.run(self.network.now_s + span_s)
