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
from egretrock.coordination.idempotency._handover import (
    HandoverReceiver,
    HandoverSource,
)
from egretrock.coordination.idempotency._messages import (
    Answer,
    Begin,
    BeginOutcome,
    Complete,
    CompleteAck,
    Offer,
    Ready,
    Records,
    RecordsAck,
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

    A key gets ``first`` at most once within ``retention_s``. The records of
    this process are complete for a partition in either of these cases:

    * its current lease began less than ``window_s`` after a time at which its
      records were complete: any holder in between held the partition
      for less than ``retention_s``, which is longer, so it refused all keys;
    * it has held the partition for ``retention_s``: every record that it may
      have missed has expired.

    Args:
        peer: This node and the incarnation of this process.
        fleet: Partition leases.
        settings: Settings; the same on all nodes.
        counters: Counters.
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
            self._settings.record_count, self._settings.retention_s
        )
        #: By partition: if a new lease starts before this time, the records
        #: are still complete.
        self._complete_until_s: dict[int, float] = {}
        self._next_refresh_s = -math.inf
        self._source: HandoverSource | None = None
        self._receiver = HandoverReceiver(peer, self._settings)

    def is_available(self, partition: int, now_s: float) -> bool:
        """Whether keys of a partition can be answered at ``now_s``."""
        if self._source is not None or not self._fleet.holds(partition, now_s):
            return False
        since_s = self._fleet.held_since_s(partition)
        if since_s is None:
            return False
        complete_until_s = self._complete_until_s.get(partition, -math.inf)
        if since_s < complete_until_s:
            return True
        return now_s >= since_s + self._settings.retention_s

    def hand_over(self, now_s: float) -> list[Outbound]:
        """Permanently stops answering and offers the records to successors.

        The caller must keep calling ``on_message`` and ``on_tick`` until
        ``is_handover_complete`` returns true, and release its partitions
        afterwards.
        """
        partitions_by_successor: dict[NodeId, set[int]] = {}
        for partition in range(PARTITION_COUNT):
            if not self.is_available(partition, now_s):
                continue
            successor = self._fleet.next_holder(partition, now_s)
            if successor is not None and successor != self._peer.node:
                partitions_by_successor.setdefault(successor, set()).add(
                    partition
                )
        self._store.discard_expired(now_s)
        records = self._store.items()
        self._source = HandoverSource(
            self._fleet, self._settings, partitions_by_successor, records, now_s
        )
        return self._source.due_offers(now_s)

    def _refresh_complete_until(self, now_s: float) -> None:
        """Extends, once a second, ``_complete_until_s`` of complete partitions.

        If this node loses a partition and soon holds it again, it can then
        answer at once.
        """
        if now_s < self._next_refresh_s:
            return
        self._next_refresh_s = now_s + 1.0
        for partition in range(PARTITION_COUNT):
            if self.is_available(partition, now_s):
                until_s = now_s + self._settings.window_s
                self._complete_until_s[partition] = until_s

    def is_handover_complete(self, now_s: float) -> bool:
        """Whether the handover is complete or abandoned."""
        return self._source is not None and self._source.is_done(now_s)

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Discards expired records and returns due handover messages."""
        self._store.discard_expired(now_s)
        self._receiver.discard_expired(now_s)
        self._refresh_complete_until(now_s)
        self._counters.gauge("idempotency.records", len(self._store))
        if self._source is not None:
            return self._source.due_messages(now_s)
        return []

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Handles a message from a listed node."""
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
        is_seen = outcome is BeginOutcome.SEEN and record is not None
        answer = Answer(
            attempt=body.attempt,
            outcome=outcome,
            run_state=record.run_state if is_seen else RunState.UNKNOWN,
            status=record.status if is_seen else None,
        )
        return [Outbound(sender.node, answer)]

    def _begin(
        self, body: Begin, now_s: float
    ) -> tuple[BeginOutcome, Record | None]:
        self._store.discard_expired(now_s)
        record = self._store.get(body.key)
        if record is None or self._is_free(record, body):
            record = Record(body.attempt, now_s)
            if not self._store.put(body.key, record):
                self._counters.increment("idempotency.full")
                return BeginOutcome.UNAVAILABLE, None
            return BeginOutcome.FIRST, record
        if record.attempt != body.attempt:
            return BeginOutcome.SEEN, record
        # The client resent the message because the answer was lost. An
        # attempt gets one result, so a reported one is not allowed again.
        if record.run_state is RunState.UNKNOWN:
            return BeginOutcome.FIRST, record
        return BeginOutcome.UNAVAILABLE, None

    def _is_free(self, record: Record, body: Begin) -> bool:
        """Whether the recorded attempt was not run and this is another."""
        is_other = record.attempt != body.attempt
        return is_other and record.run_state is RunState.NOT_RUN

    @_handle.register
    def _on_complete(
        self, body: Complete, sender: Peer, now_s: float
    ) -> list[Outbound]:
        record = self._store.get(body.key)
        is_in_flight = (
            record is not None and record.run_state is RunState.UNKNOWN
        )
        if is_in_flight and record.attempt == body.attempt:
            completed = msgspec.structs.replace(
                record, run_state=body.run_state, status=body.status
            )
            self._store.update(body.key, completed)
        return [Outbound(sender.node, CompleteAck(body.attempt))]

    # Handover.

    @_handle.register
    def _on_offer(
        self, body: Offer, sender: Peer, now_s: float
    ) -> list[Outbound]:
        if self._source is not None:
            return []
        return self._receiver.on_offer(sender, body, now_s)

    @_handle.register
    def _on_records(
        self, body: Records, sender: Peer, now_s: float
    ) -> list[Outbound]:
        messages, received = self._receiver.on_records(sender, body, now_s)
        if received is not None and self._store.merge(received.records):
            until_s = received.ready_s + self._settings.window_s
            for partition in received.partitions:
                previous_s = self._complete_until_s.get(partition, -math.inf)
                self._complete_until_s[partition] = max(previous_s, until_s)
            self._counters.increment("idempotency.taken_over")
        return messages

    @_handle.register
    def _on_ready(
        self, body: Ready, sender: Peer, now_s: float
    ) -> list[Outbound]:
        for_this_process = body.source_incarnation == self._peer.incarnation
        if self._source is None or not for_this_process:
            return []
        return self._source.on_ready(sender, body, now_s)

    @_handle.register
    def _on_records_ack(
        self, body: RecordsAck, sender: Peer, now_s: float
    ) -> list[Outbound]:
        for_this_process = body.source_incarnation == self._peer.incarnation
        if self._source is not None and for_this_process:
            self._source.on_records_ack(sender, body)
        return []
