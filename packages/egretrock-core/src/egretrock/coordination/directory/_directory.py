"""The directory of one node: who reads it, who is told, how old it is."""

import collections
import random
from collections.abc import Callable, Mapping, Sequence
from functools import singledispatchmethod

import msgspec

from egretrock.coordination.base import (
    Counters,
    MessageHandler,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
)
from egretrock.coordination.directory._assembly import Assembly
from egretrock.coordination.directory._messages import (
    Change,
    News,
    UnpackError,
    Want,
    pack,
    unpack,
)
from egretrock.coordination.directory._readers import choose_readers
from egretrock.coordination.directory._relay import Relay
from egretrock.coordination.directory._settings import (
    DirectorySettings,
    ReadKind,
    ReadOrder,
)
from egretrock.coordination.gossip import MemberRecord
from egretrock.state.ids import NodeId, Revision


class _Entry(msgspec.Struct, frozen=True):
    revision: Revision
    value: bytes


_DEFAULTS = DirectorySettings()
#: Share of the questions of a new node that go to its own data centre.
_NEAR_SHARE = 0.7


class Directory(MessageHandler):
    """Keeps the entries and decides who reads.

    Args:
        node: This node.
        members: Returns the records of the members alive, with this node's.
        rng: Source of jitter.
        now_s: Time of the start.
        settings: Times.
        counters: Counters.
        reads_at_once: Returns whether a node that knows nothing must not
            wait for what its peers know.
    """

    def __init__(
        self,
        node: NodeId,
        members: Callable[[], Sequence[MemberRecord]],
        rng: random.Random,
        now_s: float,
        settings: DirectorySettings = _DEFAULTS,
        counters: Counters | None = None,
        reads_at_once: Callable[[], bool] = lambda: True,
    ) -> None:
        self._node = node
        self._members = members
        self._reads_at_once = reads_at_once
        self._relay = Relay(node)
        self._rng = rng
        self._settings = settings
        self._counters = counters or NullCounters()
        self._ranked_members: Sequence[MemberRecord] | None = None
        self._readers: list[NodeId] = []
        self._entries: dict[str, _Entry] = {}
        self._held: dict[str, tuple[bytes, float]] = {}
        self._revision = Revision(0)
        self._confirmed_s = float("-inf")
        self._outage_end_s = float("-inf")
        self._log: collections.deque[Change] = collections.deque(
            maxlen=self._settings.log_size
        )
        self._log_since = Revision(0)
        self._needs_whole = True
        self._failures = 0
        self._next_read_s = now_s
        self._first_read_s = now_s + self._settings.first_read_s
        self._want_s = now_s
        self._missed_from: NodeId | None = None
        self._told_s = float("-inf")
        # A process that follows another one must not repeat its numbers.
        self._number = rng.getrandbits(48)
        self._assembly = Assembly(self._counters)
        self.generation = 0

    # What is known.

    @property
    def revision(self) -> Revision:
        """Revision of the entries; 0 while nothing was read."""
        return self._revision

    @property
    def reads_fail(self) -> bool:
        """Whether the last read of this node failed."""
        return self._failures > 0

    def age_s(self, now_s: float) -> float:
        """Returns the seconds since the entries were confirmed."""
        return now_s - self._confirmed_s

    def entries(self) -> Mapping[str, bytes]:
        """Returns the value of each key, with those held after an outage."""
        found = {key: value for key, (value, _) in self._held.items()}
        found.update((key, e.value) for key, e in self._entries.items())
        return found

    def readers(self) -> list[NodeId]:
        """Returns the nodes that read for the fleet, in order.

        They stand in different data centres where that is possible, and
        nodes whose reads fail come last.
        """
        members = self._members()
        if members is self._ranked_members:
            return self._readers
        self._ranked_members = members
        self._readers = choose_readers(members, self._settings.readers)
        return self._readers

    def is_reader(self) -> bool:
        """Returns whether this node reads for the fleet."""
        return self._node in self.readers()

    def told_directly(self) -> list[NodeId]:
        """Returns the members that this node tells where it is a reader."""
        return self._relay.entries(self._members())

    # Reads of this node.

    def next_read(self, now_s: float) -> ReadOrder | None:
        """Returns the read that is due, or None.

        The caller reports its end by ``on_whole``, ``on_changes``,
        ``on_history_lost`` or ``on_read_failed`` before it asks again.
        """
        if now_s < self._next_read_s:
            return None
        if self._needs_whole:
            is_first = not self._revision and now_s < self._first_read_s
            if is_first and not self._reads_at_once():
                return None
            return ReadOrder(ReadKind.WHOLE)
        if self.is_reader():
            return ReadOrder(
                ReadKind.CHANGES, self._revision, self._settings.watch_s
            )
        if self.age_s(now_s) > self._settings.stale_s:
            # Without a wait: it asks only for what was missed.
            return ReadOrder(ReadKind.CHANGES, self._revision, 0.0)
        return None

    def on_whole(
        self,
        entries: Sequence[Change],
        revision: Revision,
        sent_s: float,
        now_s: float,
    ) -> list[Outbound]:
        """Takes all entries, read from ``sent_s`` on.

        Args:
            entries: All entries; none is removed.
            revision: Revision before the first of them was read.
            sent_s: When the first read was sent.
            now_s: Time.
        """
        self._on_read_ok(now_s)
        if self._revision and revision < self._revision:
            self._counters.increment("directory.stale_reads")
            return []
        self._needs_whole = False
        before = self._revision
        changes = self._replace(entries, revision, now_s)
        self._confirm(sent_s, now_s)
        if not self.is_reader() or not before:
            return []
        return self._tell(before, changes, now_s)

    def on_changes(
        self,
        changes: Sequence[Change],
        revision: Revision,
        now_s: float,
    ) -> list[Outbound]:
        """Takes the changes after the revision that was asked for.

        Args:
            changes: Changes in the order of their revisions.
            revision: Revision up to which they are complete.
            now_s: Time of the answer. The read waited for changes until
                then, so the time of its send says nothing.
        """
        self._on_read_ok(now_s)
        before = self._revision
        self._apply(changes, revision, now_s)
        self._confirm(now_s, now_s)
        if not self.is_reader():
            return []
        self._next_read_s = now_s + self._settings.pause_s
        return self._tell(before, changes, now_s)

    def on_history_lost(self, now_s: float) -> list[Outbound]:
        """The platform no longer knows the changes that were asked for."""
        self._counters.increment("directory.history_lost")
        self._on_read_ok(now_s)
        self._needs_whole = True
        return []

    def on_read_failed(self, now_s: float) -> list[Outbound]:
        """A read was refused or not answered."""
        self._failures += 1
        settings = self._settings
        if self.is_reader() or not self._revision:
            pause_s = settings.retry_s
        else:
            pause_s = settings.own_retry_s * 2 ** min(self._failures - 1, 2)
        self._next_read_s = now_s + pause_s * (0.75 + 0.5 * self._rng.random())
        return []

    # Part.

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Drops what was held and asks for what was missed."""
        for key, (_, until_s) in list(self._held.items()):
            if now_s >= until_s:
                del self._held[key]
                self.generation += 1
        self._assembly.expire(now_s)
        if now_s < self._want_s:
            return []
        missed, self._missed_from = self._missed_from, None
        period_s = self._settings.want_s
        if missed is None and not self._revision:
            # Other nodes may know the entries, also while the platform is
            # away.
            missed = self._draw_peer()
            if now_s < self._first_read_s:
                period_s = self._settings.first_want_s
        if missed is None:
            return []
        self._want_s = now_s + period_s
        return [Outbound(missed, Want(self._revision))]

    def _draw_peer(self) -> NodeId | None:
        """Returns any member, more often one of the own data centre."""
        own, *others = self._members()
        near = [r for r in others if r.data_centre == own.data_centre]
        if near and self._rng.random() < _NEAR_SHARE:
            others = near
        return self._rng.choice(others).node if others else None

    _handle = singledispatchmethod(ignore_message)

    @_handle.register
    def _(self, body: Want, sender: Peer, now_s: float) -> list[Outbound]:
        if not self._revision or body.since >= self._revision:
            return []
        if body.since and body.since >= self._log_since:
            changes = [c for c in self._log if c.revision > body.since]
            return self._messages([sender.node], body.since, changes, now_s)
        return self._whole(sender.node, now_s)

    @_handle.register
    def _(self, body: News, sender: Peer, now_s: float) -> list[Outbound]:
        passed_on = self._pass_on(body)
        if body.until < self._revision:
            return passed_on
        parts = self._assembly.add(sender, body, now_s)
        if parts is None:
            return passed_on
        return passed_on + self._take_news(sender, body, parts, now_s)

    def _pass_on(self, body: News) -> list[Outbound]:
        if body.origin is None:
            return []
        nodes = self._relay.next_hops(
            body.origin, body.number, body.part, self._members()
        )
        return [Outbound(node, body) for node in nodes]

    def _take_news(
        self, sender: Peer, body: News, parts: list[bytes], now_s: float
    ) -> list[Outbound]:
        try:
            changes = unpack(parts)
        except UnpackError:
            self._counters.increment("directory.bad_news")
            return []
        sent_s = now_s - body.age_ms / 1000
        if body.is_whole:
            if body.until > self._revision:
                self._replace(changes, body.until, now_s)
                self._needs_whole = False
        elif body.since > self._revision or not self._revision:
            self._counters.increment("directory.gaps")
            self._missed_from = sender.node
            return self.on_tick(now_s)
        else:
            self._apply(changes, body.until, now_s)
        self._confirm(sent_s, now_s)
        return []

    # Changes.

    def _apply(
        self, changes: Sequence[Change], revision: Revision, now_s: float
    ) -> None:
        for change in changes:
            if change.revision <= self._revision_of(change.key):
                continue
            if change.value is None:
                self._remove(change.key, now_s)
            else:
                self._put(change)
            self._remember(change)
        self._revision = max(self._revision, revision)

    def _replace(
        self, entries: Sequence[Change], revision: Revision, now_s: float
    ) -> list[Change]:
        """Makes ``entries`` all there is; returns what that changes."""
        changes = [
            change
            for change in entries
            if change.revision > self._revision_of(change.key)
        ]
        listed = {change.key for change in entries}
        for key, entry in list(self._entries.items()):
            # An entry that is newer than the read is not missing from it.
            if key not in listed and entry.revision <= revision:
                changes.append(Change(key, revision, None))
        for change in changes:
            if change.value is None:
                self._remove(change.key, now_s)
            else:
                self._put(change)
        # Nodes that lag behind must read everything too: removals that no
        # event told are not in the log.
        self._log.clear()
        self._log_since = revision
        self._revision = max(self._revision, revision)
        return changes

    def _revision_of(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry is not None else 0

    def _put(self, change: Change) -> None:
        self._entries[change.key] = _Entry(change.revision, change.value)
        self._held.pop(change.key, None)
        self.generation += 1

    def _remove(self, key: str, now_s: float) -> None:
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        self.generation += 1
        until_s = self._outage_end_s + self._settings.hold_s
        if self.age_s(now_s) > self._settings.outage_s:
            until_s = now_s + self._settings.hold_s
        if now_s < until_s:
            self._counters.increment("directory.held")
            self._held[key] = (entry.value, until_s)

    def _remember(self, change: Change) -> None:
        if len(self._log) == self._log.maxlen:
            self._log_since = self._log[0].revision
        self._log.append(change)

    # Confirmation.

    def _confirm(self, sent_s: float, now_s: float) -> None:
        if self.age_s(now_s) > self._settings.outage_s:
            self._outage_end_s = now_s
        self._confirmed_s = max(self._confirmed_s, sent_s)

    def _on_read_ok(self, now_s: float) -> None:
        self._failures = 0
        self._next_read_s = now_s

    # Telling.

    def _tell(
        self, since: Revision, changes: Sequence[Change], now_s: float
    ) -> list[Outbound]:
        """Tells all members what is new, or that nothing is."""
        if not changes and now_s - self._told_s < self._settings.watch_s / 2:
            return []
        self._told_s = now_s
        nodes = self.told_directly()
        return self._messages(nodes, since, changes, now_s, origin=self._node)

    def _whole(self, node: NodeId, now_s: float) -> list[Outbound]:
        entries = [
            Change(key, entry.revision, entry.value)
            for key, entry in self._entries.items()
        ]
        return self._messages([node], Revision(0), entries, now_s, True)

    def _messages(
        self,
        nodes: Sequence[NodeId],
        since: Revision,
        changes: Sequence[Change],
        now_s: float,
        is_whole: bool = False,
        origin: NodeId | None = None,
    ) -> list[Outbound]:
        self._number += 1
        pieces = pack(changes)
        age_ms = int(min(self.age_s(now_s), 3600.0) * 1000)
        return [
            Outbound(
                node,
                News(
                    since,
                    self._revision,
                    age_ms,
                    is_whole,
                    self._number,
                    part,
                    len(pieces),
                    piece,
                    origin,
                ),
            )
            for node in nodes
            for part, piece in enumerate(pieces)
        ]
