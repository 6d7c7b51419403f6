"""Handover of records at a drain.

The source offers its records, the receiver answers that it is ready, and the
source sends the records. When the source gets ``idempotency.ready``, it checks
that it still holds the partitions. So no other node held them before the
receiver sent ``idempotency.ready``, and the receiver treats the records as
complete as of that time.
"""

import math

import msgspec

from egretrock.coordination.base import Outbound, Peer
from egretrock.coordination.idempotency._messages import (
    Offer,
    Ready,
    RecordEntry,
    Records,
    RecordsAck,
)
from egretrock.coordination.idempotency._records import (
    Record,
    RecordKey,
    partition_of_key,
)
from egretrock.coordination.idempotency._settings import IdempotencySettings
from egretrock.coordination.idempotency._view import PartitionView
from egretrock.state.ids import NodeId


class _Transfer:
    """The handover of records to one successor."""

    def __init__(
        self,
        number: int,
        partitions: set[int],
        chunks: list[list[tuple[RecordKey, Record]]],
    ) -> None:
        self.number = number
        self.partitions = partitions
        self.chunks = chunks
        self.receiver: Peer | None = None
        #: Partitions that this node still held when ``Ready`` arrived.
        self.held_partitions: set[int] = set()
        self.acknowledged_chunks: set[int] = set()
        self.sent_s = [-math.inf] * len(chunks)
        self.offered_s = -math.inf

    def is_acknowledged(self) -> bool:
        """Whether the successor has acknowledged all chunks."""
        return len(self.acknowledged_chunks) == len(self.chunks)


class HandoverSource:
    """Sends the records of a stopping holder to its successors."""

    def __init__(
        self,
        fleet: PartitionView,
        settings: IdempotencySettings,
        partitions_by_successor: dict[NodeId, set[int]],
        records: list[tuple[RecordKey, Record]],
        now_s: float,
    ) -> None:
        self._fleet = fleet
        self._settings = settings
        self._deadline_s = now_s + settings.handover_s
        self._transfers: dict[NodeId, _Transfer] = {}
        chunk_size = settings.chunk_count
        for number, node in enumerate(sorted(partitions_by_successor), start=1):
            partitions = partitions_by_successor[node]
            selected = [
                r for r in records if partition_of_key(r[0]) in partitions
            ]
            chunks = [
                selected[i : i + chunk_size]
                for i in range(0, len(selected), chunk_size)
            ]
            self._transfers[node] = _Transfer(
                number, partitions, chunks or [[]]
            )

    def is_done(self, now_s: float) -> bool:
        """Whether all chunks are acknowledged or the deadline has passed."""
        all_acknowledged = all(
            transfer.is_acknowledged() for transfer in self._transfers.values()
        )
        return all_acknowledged or now_s >= self._deadline_s

    def due_offers(self, now_s: float) -> list[Outbound]:
        """Returns the offers that are due to be sent or resent."""
        messages = []
        for node, transfer in self._transfers.items():
            due_s = transfer.offered_s + self._settings.resend_s
            if transfer.receiver is None and now_s >= due_s:
                transfer.offered_s = now_s
                offer = Offer(transfer.number, len(transfer.chunks))
                messages.append(Outbound(node, offer))
        return messages

    def due_messages(self, now_s: float) -> list[Outbound]:
        """Returns the offers and chunks that are due to be sent or resent."""
        if self.is_done(now_s):
            return []
        messages = self.due_offers(now_s)
        for node, transfer in self._transfers.items():
            messages += self._due_chunks(node, transfer, now_s)
        return messages

    def on_ready(
        self, sender: Peer, body: Ready, now_s: float
    ) -> list[Outbound]:
        """Starts to send; a receiver that restarted gets all chunks again."""
        transfer = self._transfers.get(sender.node)
        if transfer is None or transfer.number != body.number:
            return []
        if transfer.receiver != sender:
            transfer.receiver = sender
            transfer.acknowledged_chunks.clear()
            transfer.sent_s = [-math.inf] * len(transfer.chunks)
            transfer.held_partitions = {
                partition
                for partition in transfer.partitions
                if self._fleet.holds(partition, now_s)
            }
        return self._due_chunks(sender.node, transfer, now_s)

    def on_records_ack(self, sender: Peer, body: RecordsAck) -> None:
        """Marks a chunk as acknowledged."""
        transfer = self._transfers.get(sender.node)
        if transfer is not None and transfer.receiver == sender:
            same_offer = transfer.number == body.number
            if same_offer and 0 <= body.chunk < len(transfer.chunks):
                transfer.acknowledged_chunks.add(body.chunk)

    def _due_chunks(
        self, node: NodeId, transfer: _Transfer, now_s: float
    ) -> list[Outbound]:
        if transfer.receiver is None:
            return []
        messages = []
        for chunk, records in enumerate(transfer.chunks):
            due_s = transfer.sent_s[chunk] + self._settings.resend_s
            if chunk in transfer.acknowledged_chunks or now_s < due_s:
                continue
            if len(messages) == self._settings.chunks_per_tick:
                break
            transfer.sent_s[chunk] = now_s
            body = Records(
                number=transfer.number,
                receiver_incarnation=transfer.receiver.incarnation,
                chunk=chunk,
                partitions=f"{sum(1 << p for p in transfer.held_partitions):x}",
                entries=[_entry(key, r, now_s) for key, r in records],
            )
            messages.append(Outbound(node, body))
        return messages


def _entry(key: RecordKey, record: Record, now_s: float) -> RecordEntry:
    age_s = round(now_s - record.begun_s, 3)
    return RecordEntry(
        key, record.attempt, age_s, record.run_state, record.status
    )


class ReceivedHandover(msgspec.Struct, frozen=True):
    """A complete handover; its records are complete as of ``ready_s``."""

    ready_s: float
    partitions: set[int]
    records: dict[RecordKey, Record]


class _IncomingHandover:
    """A handover that this process receives."""

    def __init__(self, offer: Offer, now_s: float) -> None:
        self.offer = offer
        self.ready_s = now_s
        self.chunks: set[int] = set()
        self.records: dict[RecordKey, Record] = {}


class HandoverReceiver:
    """Collects the records that other nodes hand over."""

    def __init__(self, peer: Peer, settings: IdempotencySettings) -> None:
        self._peer = peer
        self._settings = settings
        self._incoming: dict[Peer, _IncomingHandover] = {}

    def discard_expired(self, now_s: float) -> None:
        """Discards handovers that their source has abandoned by now."""
        timeout_s = 2 * self._settings.handover_s
        for source, handover in list(self._incoming.items()):
            if now_s - handover.ready_s > timeout_s:
                del self._incoming[source]

    def on_offer(
        self, sender: Peer, body: Offer, now_s: float
    ) -> list[Outbound]:
        """Accepts an offer unless its chunks exceed the record store."""
        max_chunk_count = (
            self._settings.record_count // self._settings.chunk_count + 1
        )
        if body.chunk_count > max_chunk_count:
            return []
        handover = self._incoming.get(sender)
        if handover is None or handover.offer != body:
            self._incoming[sender] = _IncomingHandover(body, now_s)
        ready = Ready(body.number, sender.incarnation)
        return [Outbound(sender.node, ready)]

    def on_records(
        self, sender: Peer, body: Records, now_s: float
    ) -> tuple[list[Outbound], ReceivedHandover | None]:
        """Stores a chunk; returns the handover when all have arrived."""
        handover = self._incoming.get(sender)
        for_this_process = body.receiver_incarnation == self._peer.incarnation
        if (
            handover is None
            or not for_this_process
            or handover.offer.number != body.number
        ):
            return [], None
        if not 0 <= body.chunk < handover.offer.chunk_count:
            return [], None
        ack = RecordsAck(body.number, sender.incarnation, body.chunk)
        messages = [Outbound(sender.node, ack)]
        if body.chunk in handover.chunks:
            return messages, None
        handover.chunks.add(body.chunk)
        for entry in body.entries[: self._settings.chunk_count]:
            begun_s = now_s - max(0.0, entry.age_s)
            handover.records[entry.key] = Record(
                entry.attempt, begun_s, entry.run_state, entry.status
            )
        if len(handover.chunks) < handover.offer.chunk_count:
            return messages, None
        mask = int(body.partitions, 16)
        partitions = {p for p in range(mask.bit_length()) if mask >> p & 1}
        received = ReceivedHandover(
            handover.ready_s, partitions, handover.records
        )
        handover.records = {}
        return messages, received
