"""The members of the fleet as one node knows them."""

import math
import random
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import NamedTuple

import msgspec

from egretrock.coordination.base import (
    Counters,
    Message,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
)
from egretrock.coordination.gossip._messages import (
    Ack,
    MemberRecord,
    MemberState,
    Ping,
    PingRequest,
)
from egretrock.coordination.gossip._settings import GossipSettings
from egretrock.state.ids import DataCentreId, Incarnation, NodeId


class Member(msgspec.Struct):
    """A member and what is known of it.

    Attributes:
        record: The newest record.
        changed_s: When the state was learned.
        sends_left: Messages that still carry the record.
        ended: Earlier processes of the same address.
    """

    record: MemberRecord
    changed_s: float
    sends_left: int
    ended: frozenset[Incarnation] = frozenset()


class _Waiting(msgspec.Struct):
    node: NodeId
    sent_s: float
    asked_helpers: bool = False


class _Relayed(msgspec.Struct):
    asker: NodeId
    number: int
    sent_s: float


class _View(NamedTuple):
    nodes: frozenset[NodeId]
    records: tuple[MemberRecord, ...]
    known: int


_DEFAULTS = GossipSettings()
#: Records of one datagram that answers a new member; each takes 100 bytes.
_ALL_CHUNK = 10
#: Number of answers that tell of many members; no ping has it.
_WHOLE = 0
#: Earlier processes of an address that are remembered.
_MAX_ENDED = 7
#: Seconds from the start for which a node learns of members that are gone.
_JOINING_S = 2.0
#: Weight of the newest ping in the share of pings that were answered.
_PING_WEIGHT = 0.4
_HERE = (MemberState.ALIVE, MemberState.SUSPECT)


class Membership:
    """Finds the other nodes by seeds and follows who is alive.

    Args:
        peer: This node and process.
        data_centre: Data centre of this node.
        seeds: Addresses to ask at the start; they may be stale or down.
        started_ms: Wall clock at the start of the process.
        rng: Source of the order of pings.
        now_s: Time of the start.
        settings: Times.
        counters: Counters.
    """

    def __init__(
        self,
        peer: Peer,
        data_centre: DataCentreId,
        seeds: Iterable[NodeId],
        started_ms: int,
        rng: random.Random,
        now_s: float,
        settings: GossipSettings = _DEFAULTS,
        counters: Counters | None = None,
    ) -> None:
        self.node = peer.node
        self._settings = settings
        self._seeds: list[NodeId] = []
        self.set_seeds(seeds)
        self._rng = rng
        self._counters = counters or NullCounters()
        self._own = MemberRecord(
            peer.node,
            data_centre,
            peer.incarnation,
            started_ms,
            0,
            MemberState.ALIVE,
        )
        self._members: dict[NodeId, Member] = {}
        self._cached: _View | None = None
        self._order: list[NodeId] = []
        self._waiting: dict[int, _Waiting] = {}
        self._relayed: dict[int, _Relayed] = {}
        self._answered = 1.0
        self._stopping: dict[NodeId, float] = {}
        self._next_number = 0
        self._ping_s = now_s
        self._seek_s = now_s
        self._started_s = now_s
        self._is_new = True
        self._compare_s = now_s
        self._doubted: set[NodeId] = set()
        self._changes: list[MemberRecord] = []

    def set_seeds(self, seeds: Iterable[NodeId]) -> None:
        """Takes new seeds; members that are known stay."""
        self._seeds = [seed for seed in seeds if seed != self.node]

    # What is known.

    def alive_nodes(self) -> frozenset[NodeId]:
        """Returns the members believed to be alive, this node included.

        The same object is returned until something changes.
        """
        return self._view().nodes

    def alive_records(self) -> tuple[MemberRecord, ...]:
        """Returns the records of the members alive, this node's first.

        The same object is returned until something changes.
        """
        return self._view().records

    def _view(self) -> _View:
        if self._cached is None:
            records = (
                self._own,
                *(
                    member.record
                    for member in self._members.values()
                    if member.record.state in _HERE
                ),
            )
            known = 1 + sum(
                member.record.state is not MemberState.LEFT
                for member in self._members.values()
            )
            self._cached = _View(
                frozenset(record.node for record in records), records, known
            )
        return self._cached

    def count_in(self, data_centre: DataCentreId) -> int:
        """Returns the members alive in a data centre."""
        records = self.alive_records()
        return sum(record.data_centre == data_centre for record in records)

    def known_count(self) -> int:
        """Returns the size of the fleet, with members lost of late."""
        return self._view().known

    def serving_count(self) -> int:
        """Returns the nodes that may serve: those known and those that stop."""
        return self._view().known + len(self._stopping)

    def reachable_share(self, assumed_nodes: int = 1) -> float:
        """Returns the share of the known fleet that this node reaches.

        Members are given up one by one. The share of pings that were
        answered of late shows within a few pings that most are out of reach.

        Args:
            assumed_nodes: Least size of the fleet that a new process counts
                with while most of its seeds do not answer: it may have
                started behind a partition.
        """
        known = self.known_count()
        if self._is_new and not self._reaches_seeds():
            known = max(known, assumed_nodes)
        alive = len(self.alive_nodes()) / known
        return min(alive, max(self._answered, 1 / known))

    def _reaches_seeds(self) -> bool:
        alive = self.alive_nodes()
        reached = sum(seed in alive for seed in self._seeds)
        return 2 * reached >= len(self._seeds)

    @property
    def is_leaving(self) -> bool:
        """Whether this node has said that it stops."""
        return self._own.state is MemberState.LEFT

    def is_gone(self, node: NodeId) -> bool:
        """Returns whether a member was given up after it fell silent."""
        member = self._members.get(node)
        return member is not None and member.record.state is MemberState.GONE

    def started_together(self, span_s: float) -> bool:
        """Returns whether most members alive started about when this one did.

        Wall clocks of some may be wrong, not those of most.
        """
        records = self.alive_records()
        near = sum(
            abs(record.started_ms - self._own.started_ms) <= span_s * 1000
            for record in records
        )
        return 2 * near > len(records)

    def incarnation_of(self, node: NodeId) -> Incarnation | None:
        """Returns the process of a member that is believed to be alive."""
        member = self._members.get(node)
        if member is None or member.record.state not in _HERE:
            return None
        return member.record.incarnation

    def take_changes(self) -> list[MemberRecord]:
        """Returns what changed since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes

    def set_reads_store(self, reads_store: bool) -> None:
        """Tells the fleet whether this node's reads succeed."""
        if self._own.reads_store != reads_store:
            self._renew(reads_store=reads_store)

    def doubt(self, node: NodeId) -> None:
        """Pings a member soon that did not answer another part."""
        self._doubted.add(node)

    # Part.

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Sends the pings that are due and follows up on silent members."""
        out = self._follow_up(now_s)
        self._forget(now_s)
        self._is_new = now_s - self._started_s < self._settings.remember_s
        if now_s >= self._seek_s:
            out += self._seek(now_s)
        for node in sorted(self._doubted & self.alive_nodes()):
            pinged = {waiting.node for waiting in self._waiting.values()}
            if node not in pinged:
                out.append(self._ping(node, now_s))
        self._doubted.clear()
        if now_s >= self._ping_s:
            self._ping_s = now_s + self._settings.interval_s * (
                0.8 + 0.4 * self._rng.random()
            )
            node = self._next_in_order()
            if node is not None:
                out.append(self._ping(node, now_s))
        return out

    def leave(self, now_s: float) -> list[Outbound]:
        """Tells some members that this node stops."""
        self._renew(state=MemberState.LEFT)
        nodes = sorted(self.alive_nodes() - {self.node})
        self._rng.shuffle(nodes)
        return [self._ping(node, now_s) for node in nodes[:4]]

    _handle = singledispatchmethod(ignore_message)

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Takes a message of the protocol."""
        if sender.node == self.node:
            return []
        # Others were told of the members of a whole answer before.
        is_whole = isinstance(body, Ack) and body.number == _WHOLE
        self._merge(body.news, now_s, spreads=not is_whole)
        lost = self._merge_own(sender, body.news, now_s)
        out = self._handle(body, sender, now_s)
        if lost is not None:
            # It raises its version, without which others do not believe it.
            out.append(Outbound(sender.node, Ack(_WHOLE, [lost])))
        return out

    @_handle.register
    def _(self, body: Ping, sender: Peer, now_s: float) -> list[Outbound]:
        ack = Ack(body.number, self._news(), len(self.alive_nodes()))
        out = [Outbound(sender.node, ack)]
        out += self._compare(sender, body.alive, now_s)
        if body.wants_all:
            records = [m.record for m in self._members.values()]
            for start in range(0, len(records), _ALL_CHUNK):
                chunk = records[start : start + _ALL_CHUNK]
                out.append(Outbound(sender.node, Ack(_WHOLE, chunk)))
        return out

    @_handle.register
    def _(self, body: Ack, sender: Peer, now_s: float) -> list[Outbound]:
        if self._waiting.pop(body.number, None) is not None:
            self._answered += _PING_WEIGHT * (1.0 - self._answered)
        out = self._compare(sender, body.alive, now_s)
        relayed = self._relayed.pop(body.number, None)
        if relayed is not None:
            passed_on = Ack(relayed.number, body.news)
            out.append(Outbound(relayed.asker, passed_on))
        return out

    @_handle.register
    def _(
        self, body: PingRequest, sender: Peer, now_s: float
    ) -> list[Outbound]:
        number = self._draw_number()
        self._relayed[number] = _Relayed(sender.node, body.number, now_s)
        return [Outbound(body.node, Ping(number, self._news()))]

    # Pings.

    def _seek(self, now_s: float) -> list[Outbound]:
        """Asks the seeds, often while no other member is known."""
        alone = len(self.alive_nodes()) == 1
        period_s = self._settings.join_s if alone else self._settings.seek_s
        self._seek_s = now_s + period_s * (0.8 + 0.4 * self._rng.random())
        if alone:
            seeds = self._seeds
        else:
            # Members that are gone may be back from behind a partition.
            lost = {
                node
                for node, member in self._members.items()
                if member.record.state is MemberState.GONE
            }
            missing = sorted((set(self._seeds) - self.alive_nodes()) | lost)
            self._rng.shuffle(missing)
            seeds = missing[:1]
        number = self._draw_number()
        ping = Ping(number, self._news(), wants_all=alone)
        return [Outbound(seed, ping) for seed in seeds]

    def _next_in_order(self) -> NodeId | None:
        """Returns members in a random order, each at most once in a round."""
        alive = self.alive_nodes()
        while self._order:
            node = self._order.pop()
            if node in alive:
                return node
        own, *others = self.alive_records()
        near, far = [], []
        for record in others:
            is_near = record.data_centre == own.data_centre
            (near if is_near else far).append(record.node)
        self._rng.shuffle(far)
        self._order = sorted(near + far[: self._settings.far])
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _ping(
        self, node: NodeId, now_s: float, wants_all: bool = False
    ) -> Outbound:
        number = self._draw_number()
        self._waiting[number] = _Waiting(node, now_s)
        alive = len(self.alive_nodes())
        return Outbound(node, Ping(number, self._news(), wants_all, alive))

    def _compare(
        self, sender: Peer, alive: int, now_s: float
    ) -> list[Outbound]:
        """Asks a member that knows more than this node for all it knows."""
        if alive <= len(self.alive_nodes()) or now_s < self._compare_s:
            return []
        self._compare_s = now_s + alive / self._settings.compare_per_s
        return [self._ping(sender.node, now_s, wants_all=True)]

    def _follow_up(self, now_s: float) -> list[Outbound]:
        """Asks helpers for silent members, then suspects them."""
        out = []
        settings = self._settings
        for number, waiting in list(self._waiting.items()):
            silent_s = now_s - waiting.sent_s
            if silent_s >= settings.suspect_s:
                del self._waiting[number]
                self._answered -= _PING_WEIGHT * self._answered
                self._suspect(waiting.node, now_s)
            elif silent_s >= settings.answer_s and not waiting.asked_helpers:
                waiting.asked_helpers = True
                helpers = sorted(self.alive_nodes() - {self.node, waiting.node})
                self._rng.shuffle(helpers)
                request = PingRequest(number, waiting.node, self._news())
                out += [
                    Outbound(helper, request)
                    for helper in helpers[: settings.helpers]
                ]
        for number, relayed in list(self._relayed.items()):
            if now_s - relayed.sent_s >= settings.suspect_s:
                del self._relayed[number]
        return out

    def _suspect(self, node: NodeId, now_s: float) -> None:
        member = self._members.get(node)
        if member is None or member.record.state is not MemberState.ALIVE:
            return
        self._counters.increment("gossip.suspected")
        self._set(
            msgspec.structs.replace(member.record, state=MemberState.SUSPECT),
            now_s,
        )

    def _forget(self, now_s: float) -> None:
        settings = self._settings
        for node, until_s in list(self._stopping.items()):
            if now_s >= until_s:
                del self._stopping[node]
        for node, member in list(self._members.items()):
            age_s = now_s - member.changed_s
            state = member.record.state
            if state is MemberState.SUSPECT and age_s >= settings.gone_s:
                self._counters.increment("gossip.gone")
                record = msgspec.structs.replace(
                    member.record, state=MemberState.GONE
                )
                self._set(record, now_s)
            elif state not in _HERE and age_s >= settings.remember_s:
                del self._members[node]
                self._cached = None

    # Records.

    def _merge(
        self, news: Iterable[MemberRecord], now_s: float, spreads: bool
    ) -> None:
        for record in news:
            if record.node == self.node:
                self._refute(record)
            elif self._is_newer(record, now_s):
                self._set(record, now_s, spreads)

    def _merge_own(
        self, sender: Peer, news: Iterable[MemberRecord], now_s: float
    ) -> MemberRecord | None:
        """Believes what a process says of itself, whatever others said.

        Returns:
            The record by which the process was taken for gone, if any.

        A wall clock that was set back makes a new process look older than
        the one before it, and a member that comes back from behind a
        partition does not know that it was given up.
        """
        member = self._members.get(sender.node)
        if member is None:
            return None
        known = member.record
        if known.state in _HERE and known.incarnation == sender.incarnation:
            return None
        for record in news:
            if (
                record.node == sender.node
                and record.incarnation == sender.incarnation
                and record.state in _HERE
            ):
                self._set(record, now_s)
                return known
        return None

    def _refute(self, record: MemberRecord) -> None:
        """Answers what is said of this process by a higher version."""
        if record.incarnation != self._own.incarnation:
            return
        own_state = self._own.state
        if record.state is not own_state and record.version >= (
            self._own.version
        ):
            self._own = msgspec.structs.replace(
                self._own, version=record.version
            )
            self._renew()

    def _renew(
        self,
        state: MemberState | None = None,
        reads_store: bool | None = None,
    ) -> None:
        own = self._own
        self._cached = None
        self._own = msgspec.structs.replace(
            own,
            version=own.version + 1,
            state=own.state if state is None else state,
            reads_store=(
                own.reads_store if reads_store is None else reads_store
            ),
        )

    def _is_newer(self, record: MemberRecord, now_s: float) -> bool:
        member = self._members.get(record.node)
        if member is None:
            # News of members that are gone would bring them back for ever. A
            # process that starts behind a partition must count them, though.
            is_joining = now_s - self._started_s < _JOINING_S
            is_lost = record.state is MemberState.GONE
            return record.state in _HERE or (is_joining and is_lost)
        known = member.record
        if record.incarnation != known.incarnation:
            if record.incarnation in member.ended:
                return False
            if known.state not in _HERE:
                # Wall clocks jump, so the order of starts proves nothing.
                return True
            return (record.started_ms, record.incarnation) > (
                known.started_ms,
                known.incarnation,
            )
        if record.version != known.version:
            return record.version > known.version
        ranks = list(MemberState)
        return ranks.index(record.state) > ranks.index(known.state)

    def _set(
        self, record: MemberRecord, now_s: float, spreads: bool = True
    ) -> None:
        known = self._members.get(record.node)
        if (
            known is None
            or known.record.state is not record.state
            or (known.record.incarnation != record.incarnation)
        ):
            self._changes.append(record)
        size = len(self._members) + 2
        sends = 2 * math.ceil(math.log2(size + 1)) if spreads else 0
        ended: frozenset[Incarnation] = frozenset()
        if known is not None:
            ended = known.ended
            if known.record.incarnation != record.incarnation:
                ended = frozenset(
                    {known.record.incarnation, *list(ended)[:_MAX_ENDED]}
                ) - {record.incarnation}
        self._members[record.node] = Member(record, now_s, sends, ended)
        if record.state is MemberState.LEFT:
            self._stopping[record.node] = now_s + self._settings.stop_s
        else:
            # Its next process is there, so the one that stopped has ended.
            self._stopping.pop(record.node, None)
        self._cached = None

    def _news(self) -> list[MemberRecord]:
        """Returns this node's record and the least-told others."""
        waiting = [m for m in self._members.values() if m.sends_left > 0]
        waiting.sort(key=lambda member: -member.sends_left)
        chosen = waiting[: self._settings.news_count - 1]
        for member in chosen:
            member.sends_left -= 1
        return [self._own, *(member.record for member in chosen)]

    def _draw_number(self) -> int:
        self._next_number += 1
        return self._next_number
