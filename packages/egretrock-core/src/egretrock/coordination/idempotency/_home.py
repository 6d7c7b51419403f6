"""The holder's side of idempotency keys."""

import functools
import math

import msgspec

from egretrock.coordination.base import (
    PARTITION_COUNT,
    Counters,
    Message,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
)
from egretrock.coordination.idempotency._handover import Giver, Taker
from egretrock.coordination.idempotency._messages import (
    Answer,
    Begin,
    BeginOutcome,
    Complete,
    Noted,
    Offer,
    Ready,
    Records,
    RecordsNoted,
)
from egretrock.coordination.idempotency._records import (
    Record,
    RecordStore,
    partition_of_key,
)
from egretrock.coordination.idempotency._settings import IdempotencySettings
from egretrock.coordination.idempotency._view import PartitionView
from egretrock.state.ids import NodeId
from egretrock.state.outcome import RunState


class IdempotencyHome:
    """Keeps the records of the partitions that this node holds.

    A key gets ``first`` at most once within ``keep_s``. The memory of this
    process is complete for a partition if one of these holds:

    * its present holding began less than ``keep_s`` after a moment at which
      its memory was complete: any holder in between refused all that time;
    * it has held the partition for ``keep_s``: all that it may have missed
      is out of the window.

    Args:
        peer: This node and the incarnation of this process.
        fleet: Partition leases.
        settings: Constants; equal on all nodes.
        counters: Where events are counted.
    """

    def __init__(
        self,
        peer: Peer,
        fleet: PartitionView,
        settings: IdempotencySettings | None = None,
        counters: Counters | None = None,
    ) -> None:
        self._peer = peer
        self._fleet = fleet
        self._settings = settings or IdempotencySettings()
        self._counters = counters or NullCounters()
        self._store = RecordStore(
            self._settings.record_count, self._settings.keep_s
        )
        #: By partition, the time before which a new holding finds the memory
        #: complete.
        self._complete_until_s: dict[int, float] = {}
        self._next_note_s = -math.inf
        self._giver: Giver | None = None
        self._taker = Taker(peer, self._settings)

    def is_available(self, partition: int, now_s: float) -> bool:
        """Whether keys of a partition can be answered at this moment."""
        if self._giver is not None or not self._fleet.holds(partition, now_s):
            return False
        since_s = self._fleet.held_since_s(partition)
        if since_s is None:
            return False
        complete_until_s = self._complete_until_s.get(partition, -math.inf)
        if since_s < complete_until_s:
            return True
        return now_s >= since_s + self._settings.keep_s

    def hand_over(self, now_s: float) -> list[Outbound]:
        """Stops answering for good and offers the records.

        The caller goes on with ``on_message`` and ``on_tick`` until
        ``is_handed_over``, and releases its partitions afterwards.
        """
        by_successor: dict[NodeId, set[int]] = {}
        for partition in range(PARTITION_COUNT):
            if not self.is_available(partition, now_s):
                continue
            successor = self._fleet.next_holder(partition, now_s)
            if successor is not None and successor != self._peer.node:
                by_successor.setdefault(successor, set()).add(partition)
        self._store.forget_old(now_s)
        records = self._store.items()
        self._giver = Giver(
            self._fleet, self._settings, by_successor, records, now_s
        )
        return self._giver.offers(now_s)

    def _note_complete(self, now_s: float) -> None:
        """Notes once a second for which partitions the memory is complete.

        A holding that starts again soon after may then answer at once.
        """
        if now_s < self._next_note_s:
            return
        self._next_note_s = now_s + 1.0
        for partition in range(PARTITION_COUNT):
            if self.is_available(partition, now_s):
                until_s = now_s + self._settings.window_s
                self._complete_until_s[partition] = until_s

    def is_handed_over(self, now_s: float) -> bool:
        """Whether the hand-over is done or given up."""
        return self._giver is not None and self._giver.is_done(now_s)

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Forgets old records and sends what is due of a hand-over."""
        self._store.forget_old(now_s)
        self._taker.forget_old(now_s)
        self._note_complete(now_s)
        self._counters.gauge("idempotency.records", len(self._store))
        if self._giver is not None:
            return self._giver.due(now_s)
        return []

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Takes a message of a listed node."""
        vms = self._fleet.vms()
        if vms is None or sender.node not in vms.nodes:
            self._counters.increment("idempotency.unlisted_sender")
            return []
        return self._handle(body, sender, now_s)

    _handle = functools.singledispatchmethod(ignore_message)

    @_handle.register
    def _on_begin(
        self, body: Begin, sender: Peer, now_s: float
    ) -> list[Outbound]:
        partition = partition_of_key(body.key)
        outcome, record = BeginOutcome.UNAVAILABLE, None
        if self.is_available(partition, now_s):
            complete_until_s = now_s + self._settings.window_s
            self._complete_until_s[partition] = complete_until_s
            outcome, record = self._begin(body, now_s)
        self._counters.increment(f"idempotency.{outcome.value}")
        seen = outcome is BeginOutcome.SEEN and record is not None
        answer = Answer(
            attempt=body.attempt,
            outcome=outcome,
            run_state=record.run_state if seen else RunState.UNKNOWN,
            status=record.status if seen else None,
        )
        return [Outbound(sender.node, answer)]

    def _begin(
        self, body: Begin, now_s: float
    ) -> tuple[BeginOutcome, Record | None]:
        self._store.forget_old(now_s)
        record = self._store.get(body.key)
        if record is None or self._is_free(record, body):
            record = Record(body.attempt, now_s)
            if not self._store.put(body.key, record):
                self._counters.increment("idempotency.full")
                return BeginOutcome.UNAVAILABLE, None
            return BeginOutcome.FIRST, record
        if record.attempt != body.attempt:
            return BeginOutcome.SEEN, record
        # The question was repeated because the answer was lost. The attempt
        # takes one answer only.
        if record.run_state is RunState.UNKNOWN:
            return BeginOutcome.FIRST, record
        return BeginOutcome.UNAVAILABLE, None

    def _is_free(self, record: Record, body: Begin) -> bool:
        """Whether the recorded attempt was not run and another one asks."""
        other = record.attempt != body.attempt
        return other and record.run_state is RunState.NOT_RUN

    @_handle.register
    def _on_complete(
        self, body: Complete, sender: Peer, now_s: float
    ) -> list[Outbound]:
        record = self._store.get(body.key)
        open_ = record is not None and record.run_state is RunState.UNKNOWN
        if open_ and record.attempt == body.attempt:
            done = msgspec.structs.replace(
                record, run_state=body.run_state, status=body.status
            )
            self._store.update(body.key, done)
        return [Outbound(sender.node, Noted(body.attempt))]

    # Hand-over.

    @_handle.register
    def _on_offer(
        self, body: Offer, sender: Peer, now_s: float
    ) -> list[Outbound]:
        if self._giver is not None:
            return []
        return self._taker.on_offer(sender, body, now_s)

    @_handle.register
    def _on_records(
        self, body: Records, sender: Peer, now_s: float
    ) -> list[Outbound]:
        messages, taken = self._taker.on_records(sender, body, now_s)
        if taken is not None and self._store.merge(taken.records):
            until_s = taken.ready_s + self._settings.window_s
            for partition in taken.partitions:
                before_s = self._complete_until_s.get(partition, -math.inf)
                self._complete_until_s[partition] = max(before_s, until_s)
            self._counters.increment("idempotency.taken_over")
        return messages

    @_handle.register
    def _on_ready(
        self, body: Ready, sender: Peer, now_s: float
    ) -> list[Outbound]:
        mine = body.giver_incarnation == self._peer.incarnation
        if self._giver is None or not mine:
            return []
        return self._giver.on_ready(sender, body, now_s)

    @_handle.register
    def _on_records_noted(
        self, body: RecordsNoted, sender: Peer, now_s: float
    ) -> list[Outbound]:
        mine = body.giver_incarnation == self._peer.incarnation
        if self._giver is not None and mine:
            self._giver.on_noted(sender, body)
        return []
