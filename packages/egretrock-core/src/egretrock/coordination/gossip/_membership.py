"""Members of the fleet in the view of one node."""

import collections
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
    UnpackError,
    ignore_message,
)
from egretrock.coordination.gossip._digests import (
    LIVE_STATES,
    ListDigest,
    records_in,
)
from egretrock.coordination.gossip._messages import (
    Ack,
    MemberRecord,
    MemberState,
    Ping,
    PingRequest,
    SyncAnswer,
    SyncRequest,
    pack_records,
    unpack_records,
)
from egretrock.coordination.gossip._settings import GossipSettings
from egretrock.coordination.gossip._sync import SyncSchedule
from egretrock.state.ids import DataCentreId, Incarnation, NodeId


class Member(msgspec.Struct):
    """A member and its dissemination state.

    Attributes:
        record: The newest record.
        changed_s: When the record was last replaced.
        sends_left: Messages that the record is still to be piggybacked on.
        ended: Ended processes of the same address.
    """

    record: MemberRecord
    changed_s: float
    sends_left: int
    ended: frozenset[Incarnation] = frozenset()


class _PendingPing(msgspec.Struct):
    """A ping that is not acknowledged yet."""

    node: NodeId
    sent_s: float
    asked_helpers: bool = False


class _RelayedPing(msgspec.Struct):
    """An indirect ping; ``number`` is that of the asker's own ping."""

    asker: NodeId
    number: int
    sent_s: float


class _View(NamedTuple):
    """The fleet as of the last change of a record."""

    alive_nodes: frozenset[NodeId]
    alive_records: tuple[MemberRecord, ...]
    member_count: int


_DEFAULTS = GossipSettings()
#: Records of an ack to a joining node, about half of them of members of its
#: data centre. A record takes 100 bytes, so the ack fits a datagram.
_JOIN_RECORDS = 10
#: Sequence number of an ack that carries records and answers no ping; the
#: numbers of pings start at 1.
_RECORDS_ONLY_NUMBER = 0
#: Ended processes of an address that are kept besides the one that ended
#: last; their late records are rejected.
_KEPT_EARLIER_PROCESSES = 7
#: Seconds from the start for which a node accepts records of unknown members
#: that are gone.
_JOINING_S = 2.0
#: The digests of a list have 32 bits.
_DIGEST_MASK = 0xFFFF_FFFF
#: Seconds between two checks which lost members to forget.
_FORGET_INTERVAL_S = 1.0
#: Weight of the newest ping in the moving average of answered pings.
_ACK_RATIO_WEIGHT = 0.4


class Membership:
    """Discovers the other nodes through seeds and detects failed ones.

    Args:
        peer: This node and its process.
        data_centre: Data centre of this node.
        seeds: Addresses to ping at the start; they may be stale or down.
        started_ms: Wall clock at the start of the process, in milliseconds.
        rng: Source of the order of pings and of jitter.
        now_s: Time of the start.
        settings: Times and sizes of the protocol.
        counters: Metrics.
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
        self._own_record = MemberRecord(
            peer.node,
            data_centre,
            peer.incarnation,
            started_ms,
            0,
            MemberState.ALIVE,
        )
        self._members: dict[NodeId, Member] = {}
        self._digest = ListDigest()
        self._digest.toggle(self._own_record)
        self._sync = SyncSchedule(settings, rng, now_s)
        self._join_interval_s = settings.join_s
        self._cached_view: _View | None = None
        self._ping_order: list[NodeId] = []
        self._pending_pings: dict[int, _PendingPing] = {}
        self._relayed_pings: dict[int, _RelayedPing] = {}
        self._ack_ratio = 1.0
        self._leaving_until_s: dict[NodeId, float] = {}
        self._last_number = 0
        self._next_ping_s = now_s
        self._next_seek_s = now_s
        self._started_s = now_s
        self._is_recently_started = True
        self._next_forget_s = now_s
        self._forgotten_s: dict[NodeId, float] = {}
        self._has_whole_list = False
        self._nodes_to_ping: set[NodeId] = set()
        self._unreported_changes: list[MemberRecord] = []

    def set_seeds(self, seeds: Iterable[NodeId]) -> None:
        """Replaces the seeds; known members stay."""
        self._seeds = [seed for seed in seeds if seed != self.node]

    # View of the fleet.

    def alive_nodes(self) -> frozenset[NodeId]:
        """Returns the alive and suspected members, this node included.

        The same object is returned until something changes.
        """
        return self._view().alive_nodes

    def alive_records(self) -> tuple[MemberRecord, ...]:
        """Returns the records of the alive members, this node's first.

        The same object is returned until something changes.
        """
        return self._view().alive_records

    def _view(self) -> _View:
        if self._cached_view is None:
            records = (
                self._own_record,
                *(
                    member.record
                    for member in self._members.values()
                    if member.record.state in LIVE_STATES
                ),
            )
            member_count = 1 + sum(
                member.record.state is not MemberState.LEFT
                for member in self._members.values()
            )
            self._cached_view = _View(
                frozenset(record.node for record in records),
                records,
                member_count,
            )
        return self._cached_view

    def alive_count_in(self, data_centre: DataCentreId) -> int:
        """Returns how many members of a data centre are alive."""
        records = self.alive_records()
        return sum(record.data_centre == data_centre for record in records)

    def member_count(self) -> int:
        """Returns the size of the fleet, members lost recently included."""
        return self._view().member_count

    def serving_count(self) -> int:
        """Returns how many nodes may serve: known and leaving ones."""
        return self._view().member_count + len(self._leaving_until_s)

    def reachable_share(self, assumed_nodes: int = 1) -> float:
        """Returns the share of the known fleet that this node reaches.

        In a partition the share of alive members falls slowly, because
        members are declared gone one by one. The share of answered pings
        falls within a few pings. The smaller of the two is returned.

        Args:
            assumed_nodes: Smallest fleet size that a recently started
                process assumes while most of its seeds do not answer: it may
                have started on the small side of a partition.
        """
        member_count = self.member_count()
        if self._is_recently_started and not self._reaches_half_of_seeds():
            member_count = max(member_count, assumed_nodes)
        alive_ratio = len(self.alive_nodes()) / member_count
        # A node always reaches itself, even if no ping is answered.
        return min(alive_ratio, max(self._ack_ratio, 1 / member_count))

    def _reaches_half_of_seeds(self) -> bool:
        alive = self.alive_nodes()
        reached_count = sum(seed in alive for seed in self._seeds)
        return 2 * reached_count >= len(self._seeds)

    @property
    def is_leaving(self) -> bool:
        """Whether this node has announced that it leaves."""
        return self._own_record.state is MemberState.LEFT

    def is_gone(self, node: NodeId) -> bool:
        """Returns whether a member was declared gone."""
        member = self._members.get(node)
        return member is not None and member.record.state is MemberState.GONE

    def started_together(self, span_s: float) -> bool:
        """Returns whether most alive members started when this node did.

        Start times that differ by at most ``span_s`` count as the same. It
        compares wall clocks, of which only a minority may be wrong.
        """
        records = self.alive_records()
        close_count = sum(
            abs(record.started_ms - self._own_record.started_ms)
            <= span_s * 1000
            for record in records
        )
        return 2 * close_count > len(records)

    def incarnation_of(self, node: NodeId) -> Incarnation | None:
        """Returns the process of a member, or None if it is not alive."""
        member = self._members.get(node)
        if member is None or member.record.state not in LIVE_STATES:
            return None
        return member.record.incarnation

    def take_home_changes(self) -> list[MemberRecord]:
        """Returns the state changes since the last call, for the log."""
        changes, self._unreported_changes = self._unreported_changes, []
        return changes

    def set_platform_reachable(self, platform_reachable: bool) -> None:
        """Announces whether this node's reads from the platform succeed."""
        if self._own_record.platform_reachable != platform_reachable:
            self._raise_version(platform_reachable=platform_reachable)

    def ping_soon(self, node: NodeId) -> None:
        """Pings a member that did not answer another part, at the next tick."""
        self._nodes_to_ping.add(node)

    # Methods of the protocol ``Part``.

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Sends the pings that are due and suspects silent members."""
        out = self._check_pending_pings(now_s)
        self._expire_members(now_s)
        self._is_recently_started = (
            now_s - self._started_s < self._settings.lost_s
        )
        if now_s >= self._next_seek_s:
            out += self._ping_seeds(now_s)
        for node in sorted(self._nodes_to_ping & self.alive_nodes()):
            pinged = {ping.node for ping in self._pending_pings.values()}
            if node not in pinged:
                out.append(self._ping(node, now_s))
        self._nodes_to_ping.clear()
        if now_s >= self._next_ping_s:
            self._next_ping_s = now_s + self._settings.interval_s * (
                0.8 + 0.4 * self._rng.random()
            )
            node = self._next_peer()
            if node is not None:
                out.append(self._ping(node, now_s))
        return out

    def leave(self, now_s: float) -> list[Outbound]:
        """Announces to up to four random members that this node leaves."""
        self._raise_version(state=MemberState.LEFT)
        nodes = sorted(self.alive_nodes() - {self.node})
        self._rng.shuffle(nodes)
        return [self._ping(node, now_s) for node in nodes[:4]]

    _handle = singledispatchmethod(ignore_message)

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Handles a message of the protocol."""
        if sender.node == self.node:
            return []
        out = []
        outdated = None
        if isinstance(body, (Ping, Ack, PingRequest)):
            # An ack with this number returns a record to the node that it is
            # about; the record has already spread in the fleet.
            spreads = (
                not isinstance(body, Ack) or body.number != _RECORDS_ONLY_NUMBER
            )
            self._merge_records(body.records, now_s, spreads)
            outdated = self._merge_sender_record(sender, body.records, now_s)
        out += self._handle(body, sender, now_s)
        if outdated is not None:
            # The sender must raise its version before other nodes accept
            # that it is alive; the outdated record makes it do so.
            out.append(
                Outbound(sender.node, Ack(_RECORDS_ONLY_NUMBER, [outdated]))
            )
        return out

    @_handle.register
    def _(self, body: Ping, sender: Peer, now_s: float) -> list[Outbound]:
        records = self._records_to_send()
        if body.is_joining:
            records = self._records_for_joining(sender.node)
        ack = Ack(body.number, records, self._digest.total)
        out = [Outbound(sender.node, ack)]
        return out + self._request_sync(sender, body.view, now_s)

    @_handle.register
    def _(self, body: Ack, sender: Peer, now_s: float) -> list[Outbound]:
        if self._pending_pings.pop(body.number, None) is not None:
            self._ack_ratio += _ACK_RATIO_WEIGHT * (1.0 - self._ack_ratio)
        out = self._request_sync(sender, body.view, now_s)
        relayed = self._relayed_pings.pop(body.number, None)
        if relayed is not None:
            forwarded = Ack(relayed.number, body.records)
            out.append(Outbound(relayed.asker, forwarded))
        return out

    @_handle.register
    def _(
        self, body: PingRequest, sender: Peer, now_s: float
    ) -> list[Outbound]:
        number = self._next_number()
        self._relayed_pings[number] = _RelayedPing(
            sender.node, body.number, now_s
        )
        return [Outbound(body.node, Ping(number, self._records_to_send()))]

    @_handle.register
    def _(
        self, body: SyncRequest, sender: Peer, now_s: float
    ) -> list[Outbound]:
        try:
            buckets = self._digest.differing_buckets(body.digests)
        except ValueError:
            self._counters.increment("gossip.bad_sync")
            return []
        if not buckets or not self._sync.take_answer(now_s):
            return []
        known = [self._own_record, *(m.record for m in self._members.values())]
        self._counters.increment("gossip.syncs_answered")
        return [
            Outbound(sender.node, answer)
            for answer in pack_records(records_in(known, buckets))
        ]

    @_handle.register
    def _(self, body: SyncAnswer, sender: Peer, now_s: float) -> list[Outbound]:
        del sender
        try:
            records = unpack_records(body)
        except UnpackError:
            self._counters.increment("gossip.bad_sync")
            return []
        self._has_whole_list = True
        # The records have already spread in the fleet and are not
        # piggybacked again.
        if self._merge_records(records, now_s, spreads=False):
            self._sync.on_news(now_s)
        return []

    # Pings.

    def _ping_seeds(self, now_s: float) -> list[Outbound]:
        """Pings all seeds, or one missing node once members are known."""
        is_alone = len(self.alive_nodes()) == 1
        period_s = self._settings.seek_s
        if is_alone:
            period_s = self._join_interval_s
            self._join_interval_s = min(
                2 * self._join_interval_s, self._settings.max_join_s
            )
        self._next_seek_s = now_s + period_s * (0.8 + 0.4 * self._rng.random())
        if is_alone:
            nodes = self._seeds
        else:
            # Gone members may be reachable again after a partition.
            gone = {
                node
                for node, member in self._members.items()
                if member.record.state is MemberState.GONE
            }
            missing = sorted((set(self._seeds) - self.alive_nodes()) - gone)
            # One of each, as there may be many that are gone for good.
            nodes = [
                self._rng.choice(candidates)
                for candidates in (missing, sorted(gone))
                if candidates
            ]
        number = self._next_number()
        ping = Ping(
            number,
            self._records_to_send(),
            is_joining=is_alone,
            view=self._digest.total,
        )
        return [Outbound(node, ping) for node in nodes]

    def _next_peer(self) -> NodeId | None:
        """Returns the next member in a random order, once in each round."""
        alive = self.alive_nodes()
        while self._ping_order:
            node = self._ping_order.pop()
            if node in alive:
                return node
        own, *peers = self.alive_records()
        local, remote = [], []
        for record in peers:
            is_local = record.data_centre == own.data_centre
            (local if is_local else remote).append(record.node)
        self._rng.shuffle(remote)
        self._ping_order = sorted(
            local + remote[: self._settings.remote_peer_count]
        )
        self._rng.shuffle(self._ping_order)
        return self._ping_order.pop() if self._ping_order else None

    def _ping(self, node: NodeId, now_s: float) -> Outbound:
        number = self._next_number()
        self._pending_pings[number] = _PendingPing(node, now_s)
        return Outbound(
            node,
            Ping(number, self._records_to_send(), view=self._digest.total),
        )

    def _request_sync(
        self, sender: Peer, view: int, now_s: float
    ) -> list[Outbound]:
        """Requests the records by which a peer's list differs.

        Where the peer is in another data centre and no request to it is due,
        a member of this node's data centre is asked, which may have them.
        """
        member = self._members.get(sender.node)
        # Equal digests say nothing of members that are gone, which a process
        # without the whole list does not know.
        is_same = self._has_whole_list and view == self._digest.total
        if not view or is_same or member is None:
            return []
        own, *others = self.alive_records()
        local = [r.node for r in others if r.data_centre == own.data_centre]
        node = sender.node
        if member.record.data_centre == own.data_centre or not local:
            is_due = self._sync.take_local(now_s)
        elif self._sync.take_remote(len(local) + 1, now_s):
            is_due = True
        else:
            node = self._rng.choice(local)
            is_due = self._sync.take_local(now_s)
        if not is_due:
            return []
        digests = self._digest.buckets[:]
        if not self._has_whole_list:
            # Digests leave out the members that are gone, which a new process
            # must know as well: by differing, it gets all parts of the list.
            digests = [~digest & _DIGEST_MASK for digest in digests]
        return [Outbound(node, SyncRequest(digests))]

    def _records_for_joining(self, node: NodeId) -> list[MemberRecord]:
        """Returns this node's record and those of members near a node."""
        own, *others = self.alive_records()
        others = [record for record in others if record.node != node]
        self._rng.shuffle(others)
        member = self._members.get(node)
        if member is not None:
            data_centre = member.record.data_centre
            local = [r for r in others if r.data_centre == data_centre]
            local = local[: _JOIN_RECORDS // 2]
            remote = [r for r in others if r not in local]
            others = local + remote
        return [own, *others[: _JOIN_RECORDS - 1]]

    def _check_pending_pings(self, now_s: float) -> list[Outbound]:
        """Starts indirect pings of silent members, then suspects them."""
        out = []
        settings = self._settings
        for number, ping in list(self._pending_pings.items()):
            silent_s = now_s - ping.sent_s
            if silent_s >= settings.suspect_s:
                del self._pending_pings[number]
                self._ack_ratio -= _ACK_RATIO_WEIGHT * self._ack_ratio
                self._suspect(ping.node, now_s)
            elif silent_s >= settings.answer_s and not ping.asked_helpers:
                ping.asked_helpers = True
                helpers = sorted(self.alive_nodes() - {self.node, ping.node})
                self._rng.shuffle(helpers)
                request = PingRequest(
                    number, ping.node, self._records_to_send()
                )
                out += [
                    Outbound(helper, request)
                    for helper in helpers[: settings.helpers]
                ]
        for number, relayed in list(self._relayed_pings.items()):
            if now_s - relayed.sent_s >= settings.suspect_s:
                del self._relayed_pings[number]
        return out

    def _suspect(self, node: NodeId, now_s: float) -> None:
        member = self._members.get(node)
        if member is None or member.record.state is not MemberState.ALIVE:
            return
        self._counters.increment("gossip.suspected")
        self._set_record(
            msgspec.structs.replace(member.record, state=MemberState.SUSPECT),
            now_s,
        )

    def _expire_members(self, now_s: float) -> None:
        settings = self._settings
        for node, until_s in list(self._leaving_until_s.items()):
            if now_s >= until_s:
                del self._leaving_until_s[node]
        for node, member in list(self._members.items()):
            age_s = now_s - member.changed_s
            state = member.record.state
            if state is MemberState.SUSPECT and age_s >= settings.gone_s:
                self._counters.increment("gossip.gone")
                record = msgspec.structs.replace(
                    member.record, state=MemberState.GONE
                )
                self._set_record(record, now_s)
            elif state is MemberState.LEFT and age_s >= settings.remember_s:
                self._forget(node)
        if now_s >= self._next_forget_s:
            self._next_forget_s = now_s + _FORGET_INTERVAL_S
            self._forget_gone_members(now_s)

    def _forget_gone_members(self, now_s: float) -> None:
        """Forgets members that have ended rather than been cut off.

        A partition mostly separates whole data centres. Where most of a data
        centre is reached, a member of it that is not has probably ended. As
        it may be partitioned off alone, only a small part of the fleet is
        forgotten for that reason.
        """
        settings = self._settings
        gone = sorted(
            (member.changed_s, node)
            for node, member in self._members.items()
            if member.record.state is MemberState.GONE
        )
        excess_count = len(gone) - settings.max_gone_count
        for index, (changed_s, node) in enumerate(gone):
            is_old = now_s - changed_s >= settings.lost_s
            if is_old or index < excess_count:
                self._forget(node)
        for node, forgotten_s in list(self._forgotten_s.items()):
            if now_s - forgotten_s >= settings.lost_s:
                del self._forgotten_s[node]
        reached, lost = self._data_centre_counts()
        for changed_s, node in gone:
            member = self._members.get(node)
            if member is None or now_s - changed_s < settings.remember_s:
                continue
            data_centre = member.record.data_centre
            forgotten_count = len(self._forgotten_s) + 1
            if (
                reached[data_centre] > lost[data_centre]
                and forgotten_count
                <= settings.forgotten_ratio * self.member_count()
            ):
                self._forget(node)
                self._forgotten_s[node] = now_s

    def _data_centre_counts(
        self,
    ) -> tuple[
        collections.Counter[DataCentreId], collections.Counter[DataCentreId]
    ]:
        """Returns the alive and the gone members by data centre."""
        reached = collections.Counter(
            record.data_centre for record in self.alive_records()
        )
        lost = collections.Counter(
            member.record.data_centre
            for member in self._members.values()
            if member.record.state is MemberState.GONE
        )
        return reached, lost

    def _forget(self, node: NodeId) -> None:
        del self._members[node]
        self._cached_view = None

    # Records.

    def _merge_records(
        self, records: Iterable[MemberRecord], now_s: float, spreads: bool
    ) -> bool:
        """Keeps the newer records; returns whether there was one."""
        any_newer = False
        for record in records:
            if record.node == self.node:
                self._refute(record)
            elif self._is_newer(record, now_s):
                self._set_record(record, now_s, spreads)
                any_newer = True
        return any_newer

    def _merge_sender_record(
        self, sender: Peer, records: Iterable[MemberRecord], now_s: float
    ) -> MemberRecord | None:
        """Accepts a process's record of itself over records from others.

        Returns:
            The outdated record that was replaced, or None if nothing was
            replaced.

        A wall clock that was set back makes a new process look older than
        the one before it, and a member that is reachable again after a
        partition does not know that it was declared gone.
        """
        member = self._members.get(sender.node)
        if member is None:
            return None
        current = member.record
        if (
            current.state in LIVE_STATES
            and current.incarnation == sender.incarnation
        ):
            return None
        for record in records:
            if (
                record.node == sender.node
                and record.incarnation == sender.incarnation
                and record.state in LIVE_STATES
            ):
                self._set_record(record, now_s)
                return current
        return None

    def _refute(self, record: MemberRecord) -> None:
        """Raises this node's version if a record of its process is wrong."""
        if record.incarnation != self._own_record.incarnation:
            return
        own_state = self._own_record.state
        if record.state is not own_state and record.version >= (
            self._own_record.version
        ):
            self._own_record = msgspec.structs.replace(
                self._own_record, version=record.version
            )
            self._raise_version()

    def _raise_version(
        self,
        state: MemberState | None = None,
        platform_reachable: bool | None = None,
    ) -> None:
        own = self._own_record
        self._cached_view = None
        self._own_record = msgspec.structs.replace(
            own,
            version=own.version + 1,
            state=own.state if state is None else state,
            platform_reachable=(
                own.platform_reachable
                if platform_reachable is None
                else platform_reachable
            ),
        )

    def _is_newer(self, record: MemberRecord, now_s: float) -> bool:
        member = self._members.get(record.node)
        if member is None:
            # If nodes accepted records of unknown gone members, they would
            # send each other records that both had already dropped, forever.
            # A process that starts on one side of a partition must count
            # these members, though.
            is_joining = now_s - self._started_s < _JOINING_S
            is_gone = record.state is MemberState.GONE
            return record.state in LIVE_STATES or (is_joining and is_gone)
        current = member.record
        if record.incarnation != current.incarnation:
            if record.incarnation in member.ended:
                return False
            if current.state not in LIVE_STATES:
                # Wall clocks jump, so the order of start times proves nothing.
                return True
            return (record.started_ms, record.incarnation) > (
                current.started_ms,
                current.incarnation,
            )
        if record.version != current.version:
            return record.version > current.version
        ranks = list(MemberState)
        return ranks.index(record.state) > ranks.index(current.state)

    def _set_record(
        self, record: MemberRecord, now_s: float, spreads: bool = True
    ) -> None:
        current = self._members.get(record.node)
        if (
            current is None
            or current.record.state is not record.state
            or (current.record.incarnation != record.incarnation)
        ):
            self._unreported_changes.append(record)
        # SWIM piggybacks a record lambda * log(n) times; lambda is 2 here.
        size = len(self._members) + 2
        sends = 2 * math.ceil(math.log2(size + 1)) if spreads else 0
        ended: frozenset[Incarnation] = frozenset()
        if current is not None:
            ended = current.ended
            if current.record.incarnation != record.incarnation:
                ended = frozenset(
                    {
                        current.record.incarnation,
                        *list(ended)[:_KEPT_EARLIER_PROCESSES],
                    }
                ) - {record.incarnation}
            self._digest.toggle(current.record)
        self._digest.toggle(record)
        if record.state in LIVE_STATES:
            self._forgotten_s.pop(record.node, None)
        self._members[record.node] = Member(record, now_s, sends, ended)
        if record.state is MemberState.LEFT:
            self._leaving_until_s[record.node] = now_s + self._settings.stop_s
        else:
            # A new process of the address shows that the old one has ended.
            self._leaving_until_s.pop(record.node, None)
        self._cached_view = None

    def _records_to_send(self) -> list[MemberRecord]:
        """Returns this node's record and the least-sent other records."""
        unsent = [m for m in self._members.values() if m.sends_left > 0]
        unsent.sort(key=lambda member: -member.sends_left)
        chosen = unsent[: self._settings.records_per_message - 1]
        for member in chosen:
            member.sends_left -= 1
        return [self._own_record, *(member.record for member in chosen)]

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number
