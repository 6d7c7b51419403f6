"""The directory of one node: its entries, reads and updates to peers."""

import collections
import math
import random
from collections.abc import Callable, Mapping, Sequence
from functools import singledispatchmethod

from egretrock.coordination.base import (
    Counters,
    MessageHandler,
    NullCounters,
    Outbound,
    Peer,
    TokenBucket,
    UnpackError,
    ignore_message,
)
from egretrock.coordination.directory._changes import (
    BaseMissingError,
    Change,
    Difference,
    Entry,
    resolve,
    shorten,
)
from egretrock.coordination.directory._held import HeldEntries
from egretrock.coordination.directory._messages import (
    MAX_AGE_S,
    NO_POSITION,
    Assembly,
    Position,
    Update,
    UpdateRequest,
    pack,
    unpack,
)
from egretrock.coordination.directory._relay import Relay, choose_readers
from egretrock.coordination.directory._settings import (
    DirectorySettings,
    FirstRead,
    ReadKind,
    ReadRequest,
)
from egretrock.coordination.gossip import MemberRecord
from egretrock.state.ids import NodeId, Revision

_DEFAULTS = DirectorySettings()
#: Share of the requests of a new node that go to its own data centre.
_LOCAL_SHARE = 0.85
#: Share of ``stale_s`` up to which a node's entries are new enough to confirm
#: those of a peer.
_CONFIRMING_AGE_RATIO = 0.5


def _never_newer(key: str, value: bytes, known: bytes | None) -> bool:
    """Returns False: without knowledge of the values none is newer."""
    del key, value, known
    return False


class Directory(MessageHandler):
    """Keeps the entries and decides which nodes read from the platform.

    Reads go to the server that the platform publishes the entries to.

    Args:
        node: This node.
        members: Returns the records of the alive members, this node's first.
        rng: Source of jitter.
        now_s: Time of the start.
        settings: Times and sizes of the directory.
        counters: Metrics.
        first_read: Returns how urgent the first read of a node without
            entries is.
        is_newer: Returns whether a value that a restored platform lists for a
            key is newer than the known one, which is None if the entry was
            removed.

    Attributes:
        generation: Number that is raised with each change of ``entries``.
        source: Node that sent the newest entries, or None if this node read
            them from the platform.
    """

    def __init__(
        self,
        node: NodeId,
        members: Callable[[], Sequence[MemberRecord]],
        rng: random.Random,
        now_s: float,
        settings: DirectorySettings = _DEFAULTS,
        counters: Counters | None = None,
        first_read: Callable[[], FirstRead] = lambda: FirstRead.IMMEDIATE,
        is_newer: Callable[[str, bytes, bytes | None], bool] = _never_newer,
    ) -> None:
        self._node = node
        self._members = members
        self._first_read = first_read
        self._is_newer = is_newer
        self._relay = Relay(node)
        self._rng = rng
        self._settings = settings
        self._counters = counters or NullCounters()
        self._ranked_members: Sequence[MemberRecord] | None = None
        self._readers: list[NodeId] = []
        self._successors: list[NodeId] = []
        self._entries: dict[str, Entry] = {}
        self._held = HeldEntries(settings.removal_memory_s, settings.log_size)
        self._position = NO_POSITION
        self._confirmed_s = float("-inf")
        self._outage_end_s = float("-inf")
        self._change_log: collections.deque[Change | Difference] = (
            collections.deque(maxlen=self._settings.log_size)
        )
        # The change log is complete after this revision, within the era.
        self._change_log_since = Revision(0)
        self._needs_snapshot = True
        self._read_era = self._position.era
        self._failed_reads = 0
        self._next_read_s = now_s
        self._started_s = now_s
        self._first_read_spread = rng.random()
        self._reader_since_s: float | None = None
        self._snapshots = TokenBucket(now_s, settings.snapshots_per_s)
        self._next_request_s = now_s
        self._prefers_earlier = False
        self._gap_sender: NodeId | None = None
        self._last_broadcast_s = float("-inf")
        # A restarted process must not repeat the numbers of the previous one.
        self._last_number = rng.getrandbits(48)
        self._assembly = Assembly(self._counters)
        self.generation = 0
        self.source: NodeId | None = None

    # View of the directory.

    @property
    def position(self) -> Position:
        """Position of the entries; ``NO_POSITION`` until the first read."""
        return self._position

    @property
    def revision(self) -> Revision:
        """Revision of the entries; 0 until the first read or update."""
        return self._position.revision

    @property
    def reads_fail(self) -> bool:
        """Whether the last read of this node failed."""
        return self._failed_reads > 0

    def age_s(self, now_s: float) -> float:
        """Returns the seconds since the entries were last confirmed."""
        return now_s - self._confirmed_s

    def entries(self) -> Mapping[str, bytes]:
        """Returns the value of each key, with those held after an outage."""
        values = {key: entry.value for key, entry in self._entries.items()}
        self._held.apply_to(values)
        return values

    def readers(self) -> list[NodeId]:
        """Returns the nodes that read for the fleet, in order of preference.

        They are in different data centres if possible, and nodes whose reads
        fail come last.
        """
        members = self._members()
        if members is self._ranked_members:
            return self._readers
        self._ranked_members = members
        settings = self._settings
        ranked = choose_readers(
            members, settings.reader_count + settings.successor_count
        )
        self._readers = ranked[: settings.reader_count]
        self._successors = ranked[settings.reader_count :]
        return self._readers

    def is_reader(self) -> bool:
        """Returns whether this node is one that reads for the fleet."""
        return self._node in self.readers()

    def _reads_for_fleet(self, now_s: float) -> bool:
        """Returns whether this node reads for the fleet now.

        A node that has just become a reader does not as long as updates of
        others arrive, and a successor only when they do not.
        """
        settings = self._settings
        age_s = self.age_s(now_s)
        if not self.is_reader():
            self._reader_since_s = None
            return (
                self._node in self._successors
                and age_s > settings.successor_ratio * settings.stale_s
            )
        if self._reader_since_s is None:
            self._reader_since_s = now_s
        is_settled = now_s - self._reader_since_s >= settings.settle_s
        return is_settled or age_s > settings.refresh_ratio * settings.stale_s

    def first_hops(self) -> list[NodeId]:
        """Returns the members that this node sends updates to as a reader."""
        return self._relay.first_hops(self._members())

    # Reads of this node.

    def next_read(self, now_s: float) -> ReadRequest | None:
        """Returns the read that is due, or None.

        The caller reports the result by ``on_snapshot``, ``on_changes``,
        ``on_history_lost`` or ``on_read_failed`` before the next call.
        """
        if now_s < self._next_read_s:
            return None
        self._read_era = self._position.era
        if self._needs_snapshot:
            if not self._has_entries() and now_s < self._first_read_at_s():
                return None
            return ReadRequest(ReadKind.SNAPSHOT)
        if self._reads_for_fleet(now_s):
            wait_s = self._settings.watch_s if self.is_reader() else 0.0
            return ReadRequest(ReadKind.CHANGES, self._position, wait_s)
        if self.age_s(now_s) > self._settings.stale_s:
            # No long poll: it only reads the changes that were missed.
            return ReadRequest(ReadKind.CHANGES, self._position, 0.0)
        return None

    def _has_entries(self) -> bool:
        return self._position != NO_POSITION

    def _first_read_at_s(self) -> float:
        """Returns until when a node without entries asks its peers only.

        Of many nodes that start at the same time only a few read, spread
        over a time that grows with the members that they have met.
        """
        urgency = self._first_read()
        if urgency is FirstRead.IMMEDIATE:
            return self._started_s
        settings = self._settings
        wait_s = settings.first_read_s
        if urgency is FirstRead.URGENT:
            wait_s = settings.urgent_first_read_s
        spread_s = settings.first_read_spread_s * (len(self._members()) - 1)
        return self._started_s + wait_s + self._first_read_spread * spread_s

    def on_snapshot(
        self,
        entries: Sequence[Change],
        position: Position,
        sent_s: float,
        now_s: float,
    ) -> list[Outbound]:
        """Applies a snapshot that was read from the platform.

        Args:
            entries: All entries; none of them is a removal.
            position: Position of the platform before the first entry was read.
            sent_s: When the first request of the read was sent.
            now_s: Time.
        """
        self._on_read_ok(now_s)
        if position < self._position:
            self._on_overtaken_snapshot(position, sent_s, now_s)
            return []
        self._needs_snapshot = False
        previous = self._position
        self._set_source(None, position)
        changes = self._replace_entries(entries, position, now_s)
        self._confirm(sent_s, now_s)
        if not self._is_announcing() or previous == NO_POSITION:
            return []
        return self._broadcast(previous, changes, now_s)

    def _on_overtaken_snapshot(
        self, position: Position, sent_s: float, now_s: float
    ) -> None:
        """Handles a snapshot that is older than the entries.

        Updates of peers that came while it was read led on from the entries,
        so that they are complete without it, unless the era differs.
        """
        self._counters.increment("directory.stale_reads")
        self._next_read_s = now_s + self._settings.retry_s
        if position.era == self._position.era:
            self._needs_snapshot = False
            self._confirm(sent_s, now_s)

    def _is_announcing(self) -> bool:
        """Returns whether this node tells the fleet what it reads."""
        return self.is_reader() or self._node in self._successors

    def on_changes(
        self,
        changes: Sequence[Change],
        position: Position,
        now_s: float,
    ) -> list[Outbound]:
        """Applies the changes after the position of the read.

        Args:
            changes: Changes in the order of their revisions.
            position: Position up to which they are complete, in the era of
                the read.
            now_s: Time of the response. The long poll waited for changes
                until then, so the age of the entries counts from here and
                not from the time of the request.
        """
        self._on_read_ok(now_s)
        previous = self._position
        if position.era != previous.era:
            # A peer told of a restore while the read was in progress.
            self._counters.increment("directory.stale_reads")
            return []
        self._set_source(None, position)
        is_announcing = self._is_announcing()
        steps: Sequence[Change | Difference] = changes
        if is_announcing:
            steps = shorten(changes, self._entries.get)
        self._apply_changes(changes, position, now_s, steps)
        self._confirm(now_s, now_s)
        if not is_announcing:
            return []
        self._next_read_s = now_s + self._settings.pause_s
        return self._broadcast(previous, steps, now_s)

    def on_history_lost(self, now_s: float) -> list[Outbound]:
        """Schedules a snapshot: the platform no longer has the changes.

        It may have returned to an older copy meanwhile. If a peer has told the
        restored entries since the read began, no snapshot is needed.
        """
        self._counters.increment("directory.history_lost")
        self._on_read_ok(now_s)
        self._needs_snapshot = self._read_era == self._position.era
        return []

    def on_read_failed(self, now_s: float) -> list[Outbound]:
        """Schedules the retry of a read that was refused or not answered."""
        self._failed_reads += 1
        settings = self._settings
        if self.is_reader() or not self._has_entries():
            pause_s = settings.retry_s
        else:
            pause_s = settings.non_reader_retry_s * 2 ** min(
                self._failed_reads - 1, 2
            )
        self._next_read_s = now_s + pause_s * (0.75 + 0.5 * self._rng.random())
        return []

    # Methods of the protocol ``Part``.

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Drops entries whose hold has ended and requests missed changes."""
        self.generation += self._held.expire(now_s)
        self._assembly.expire(now_s)
        if now_s < self._next_request_s:
            return []
        peer, self._gap_sender = self._gap_sender, None
        period_s = self._settings.request_interval_s
        if peer is None and not self._has_entries():
            # Peers may have the entries, even during an outage of the platform.
            peer = self._earlier_peer()
            if now_s < self._started_s + self._settings.first_read_s:
                period_s = self._settings.first_request_interval_s
        if peer is None and self._is_ageing(now_s):
            peer = self._random_peer()
        if peer is None or self._assembly.is_snapshot_arriving():
            return []
        self._next_request_s = now_s + period_s
        return [Outbound(peer, UpdateRequest(self._position))]

    def _is_ageing(self, now_s: float) -> bool:
        """Returns whether a peer's newer entries may spare an own read."""
        settings = self._settings
        age_s = self.age_s(now_s)
        return (
            settings.refresh_ratio * settings.stale_s
            < age_s
            < (settings.outage_s)
        )

    def _random_peer(self) -> NodeId | None:
        """Returns a random peer, more often one of this node's data centre."""
        own, *peers = self._members()
        local_peers = [r for r in peers if r.data_centre == own.data_centre]
        if local_peers and self._rng.random() < _LOCAL_SHARE:
            peers = local_peers
        return self._rng.choice(peers).node if peers else None

    def _earlier_peer(self) -> NodeId | None:
        """Returns a random peer that probably started before this node.

        Of a fleet that starts together those have the entries first. Wall
        clocks may be wrong, so that every other choice is of any peer.
        """
        self._prefers_earlier = not self._prefers_earlier
        own, *peers = self._members()
        earlier = [r for r in peers if r.started_ms < own.started_ms]
        if not (earlier and self._prefers_earlier):
            return self._random_peer()
        earlier.sort(key=lambda record: record.started_ms)
        first_half = earlier[: (len(earlier) + 1) // 2]
        return self._rng.choice(first_half).node

    _handle = singledispatchmethod(ignore_message)

    @_handle.register
    def _(
        self, body: UpdateRequest, sender: Peer, now_s: float
    ) -> list[Outbound]:
        if not self._has_entries() or body.since > self._position:
            return []
        if body.since == self._position:
            # Confirms the entries of a peer that updates do not reach.
            limit_s = _CONFIRMING_AGE_RATIO * self._settings.stale_s
            if self.age_s(now_s) > limit_s:
                return []
            return self._updates([sender.node], body.since, [], now_s)
        if self._is_logged_since(body.since):
            since = body.since.revision
            changes = [c for c in self._change_log if c.revision > since]
            return self._updates([sender.node], body.since, changes, now_s)
        rate_per_s = self._settings.snapshots_per_s
        self._snapshots.refill(rate_per_s, rate_per_s, now_s)
        if not self._snapshots.take(1.0):
            self._counters.increment("directory.snapshots_refused")
            return []
        return self._snapshot_updates(sender.node, now_s)

    @_handle.register
    def _(self, body: Update, sender: Peer, now_s: float) -> list[Outbound]:
        forwarded = self._forward(body)
        if body.until < self._position:
            return forwarded
        fragments = self._assembly.add(sender, body, now_s)
        if fragments is None:
            return forwarded
        return forwarded + self._apply_update(sender, body, fragments, now_s)

    def _forward(self, body: Update) -> list[Outbound]:
        if body.origin is None:
            return []
        nodes = self._relay.next_hops(
            body.origin, body.number, body.fragment_index, self._members()
        )
        return [Outbound(node, body) for node in nodes]

    def _apply_update(
        self, sender: Peer, body: Update, fragments: list[bytes], now_s: float
    ) -> list[Outbound]:
        try:
            steps = unpack(fragments)
            changes = resolve(steps, self._entries.get)
        except UnpackError:
            self._counters.increment("directory.bad_news")
            return []
        except BaseMissingError:
            self._counters.increment("directory.base_missing")
            return self._request_missed(sender.node, now_s)
        sent_s = now_s - body.age_ms / 1000
        if body.is_snapshot:
            if body.until > self._position:
                self._set_source(sender.node, body.until)
                self._replace_entries(changes, body.until, now_s)
                self._needs_snapshot = False
        elif not self._continues_entries(body):
            return self._request_missed(sender.node, now_s)
        else:
            self._set_source(sender.node, body.until)
            self._apply_changes(changes, body.until, now_s, steps)
        self._confirm(sent_s, now_s)
        return []

    def _request_missed(self, node: NodeId, now_s: float) -> list[Outbound]:
        """Requests the missed changes from a node, if a request is due."""
        self._counters.increment("directory.gaps")
        self._gap_sender = node
        return self.on_tick(now_s)

    def _is_logged_since(self, since: Position) -> bool:
        """Returns whether the change log has all changes after a position."""
        return (
            since.era == self._position.era
            and self._change_log_since <= since.revision
            and since != NO_POSITION
        )

    def _continues_entries(self, body: Update) -> bool:
        """Returns whether the changes of an update lead on from the entries.

        Changes that lead to restored entries do so from one position only: a
        node that was further has changes that the platform has lost. So has one
        with entries from later pages of a snapshot than its position.
        """
        if not self._has_entries():
            return False
        if body.since.era != body.until.era:
            return body.since == self._position and all(
                entry.revision <= body.since.revision
                for entry in self._entries.values()
            )
        return (
            body.until.era == self._position.era
            and body.since <= self._position
        )

    # Changes.

    def _set_source(self, source: NodeId | None, position: Position) -> None:
        if position > self._position:
            self.source = source

    def _apply_changes(
        self,
        changes: Sequence[Change],
        position: Position,
        now_s: float,
        steps: Sequence[Change | Difference],
    ) -> None:
        """Applies changes; logs them as the shorter ``steps`` to be told."""
        if position.era != self._position.era:
            self._restore(changes, position, now_s)
            return
        for change in changes:
            if change.revision <= self._revision_of(change.key):
                continue
            if change.value is None:
                self._remove(change.key, now_s)
            else:
                self._put(change)
        for step in steps:
            if step.revision > self._position.revision:
                self._log_change(step)
        self._position = max(self._position, position)

    def _replace_entries(
        self, entries: Sequence[Change], position: Position, now_s: float
    ) -> list[Change]:
        """Replaces all entries; returns the resulting changes."""
        if self._has_entries() and position.era != self._position.era:
            changes = self._differences(entries, position.revision)
            self._restore(changes, position, now_s)
            return changes
        revision = position.revision
        changes = [
            change
            for change in entries
            if change.revision > self._revision_of(change.key)
        ]
        listed_keys = {change.key for change in entries}
        for key, entry in list(self._entries.items()):
            # An entry newer than the snapshot was not removed by it.
            if key not in listed_keys and entry.revision <= revision:
                changes.append(Change(key, revision, None))
        for change in changes:
            if change.value is None:
                self._remove(change.key, now_s)
            else:
                self._put(change)
        # The log lacks the removals that only the snapshot showed, so nodes
        # with an older revision need a snapshot too.
        self._change_log.clear()
        self._change_log_since = revision
        self._position = max(self._position, position)
        return changes

    # Restored entries.

    def _differences(
        self, entries: Sequence[Change], revision: Revision
    ) -> list[Change]:
        """Returns the changes that lead from the entries to a snapshot.

        An entry with an equal value and another revision counts as changed:
        its revision decides later whether a change of it is newer.
        """
        listed_keys = {change.key for change in entries}
        changes = [
            change
            for change in entries
            if self._entries.get(change.key)
            != Entry(change.revision, change.value)
        ]
        changes += [
            Change(key, revision, None)
            for key in self._entries
            if key not in listed_keys
        ]
        return changes

    def _value_in_use(self, key: str) -> bytes | None:
        """Returns the value of a key, or None if it is absent."""
        entry = self._entries.get(key)
        return self._held.value_of(key, None if entry is None else entry.value)

    def _restore(
        self, changes: Sequence[Change], position: Position, now_s: float
    ) -> None:
        """Applies the changes that lead to the entries of a new era.

        Owners write again what the platform has lost. Until then older values
        do not replace known ones, and entries that had been removed stay so.
        """
        self._counters.increment("directory.restores")
        self._outage_end_s = now_s
        until_s = now_s + self._settings.restore_hold_s
        for change in changes:
            key, value = change.key, change.value
            if value is None:
                self._remove(key, now_s)
                continue
            known_value = self._value_in_use(key)
            is_known = known_value is not None or self._held.was_removed(
                key, now_s
            )
            self._entries[key] = Entry(change.revision, value)
            self._held.end(key)
            if value == known_value:
                continue
            self.generation += 1
            if is_known and not self._is_newer(key, value, known_value):
                self._counters.increment("directory.held")
                self._held.hold(key, known_value, until_s)
        self._held.extend(self._entries, until_s)
        self._change_log.clear()
        self._change_log_since = position.revision
        self._position = position
        self._needs_snapshot = False

    def _revision_of(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry is not None else 0

    def _put(self, change: Change) -> None:
        self._entries[change.key] = Entry(change.revision, change.value)
        self._held.release(change.key)
        self.generation += 1

    def _remove(self, key: str, now_s: float) -> None:
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        self.generation += 1
        self._held.remember_removal(key, now_s)
        if key in self._held:
            # What was known before a restore does not outlive the entry.
            self._held.end(key)
            return
        until_s = self._outage_end_s + self._settings.hold_s
        if self.age_s(now_s) > self._settings.outage_s:
            until_s = now_s + self._settings.hold_s
        if now_s < until_s:
            self._counters.increment("directory.held")
            self._held.hold(key, entry.value, until_s)

    def _log_change(self, change: Change | Difference) -> None:
        if len(self._change_log) == self._change_log.maxlen:
            self._change_log_since = self._change_log[0].revision
        self._change_log.append(change)

    # Freshness.

    def _confirm(self, sent_s: float, now_s: float) -> None:
        outage_s = self._settings.outage_s
        was_outage = self.age_s(now_s) > outage_s
        self._confirmed_s = max(self._confirmed_s, sent_s)
        if was_outage and self.age_s(now_s) <= outage_s:
            self._outage_end_s = now_s

    def _on_read_ok(self, now_s: float) -> None:
        self._failed_reads = 0
        self._next_read_s = now_s

    # Updates to peers.

    def _broadcast(
        self,
        since: Position,
        changes: Sequence[Change | Difference],
        now_s: float,
    ) -> list[Outbound]:
        """Sends changes to the first hops, which forward them.

        Without changes only the age is sent, and only if the last broadcast
        was at least half of ``watch_s`` ago.
        """
        if (
            not changes
            and now_s - self._last_broadcast_s < self._settings.watch_s / 2
        ):
            return []
        self._last_broadcast_s = now_s
        nodes = self.first_hops()
        return self._updates(nodes, since, changes, now_s, origin=self._node)

    def _snapshot_updates(self, node: NodeId, now_s: float) -> list[Outbound]:
        entries = [
            Change(key, entry.revision, entry.value)
            for key, entry in self._entries.items()
        ]
        return self._updates([node], NO_POSITION, entries, now_s, True)

    def _updates(
        self,
        nodes: Sequence[NodeId],
        since: Position,
        changes: Sequence[Change | Difference],
        now_s: float,
        is_snapshot: bool = False,
        origin: NodeId | None = None,
    ) -> list[Outbound]:
        self._last_number += 1
        fragments = pack(changes)
        age_ms = math.ceil(min(self.age_s(now_s), MAX_AGE_S) * 1000)
        return [
            Outbound(
                node,
                Update(
                    since,
                    self._position,
                    age_ms,
                    is_snapshot,
                    self._last_number,
                    fragment_index,
                    len(fragments),
                    data,
                    origin,
                ),
            )
            for node in nodes
            for fragment_index, data in enumerate(fragments)
        ]
