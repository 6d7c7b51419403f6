"""Hand-over of records at a planned stop.

The giver offers, the taker says that it is ready, the giver sends. The taker
counts from its send of ``idempotency.ready``; the giver checks after the
receipt that it still holds the partitions. So no other node held them before
the time from which the taker counts.
"""

import math

import msgspec

from egretrock.coordination.base import Outbound, Peer
from egretrock.coordination.idempotency._messages import (
    Offer,
    Ready,
    RecordEntry,
    Records,
    RecordsNoted,
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
    """Records on their way to one successor."""

    def __init__(
        self,
        number: int,
        partitions: set[int],
        chunks: list[list[tuple[RecordKey, Record]]],
    ) -> None:
        self.number = number
        self.partitions = partitions
        self.chunks = chunks
        self.taker: Peer | None = None
        self.held: set[int] = set()
        self.noted: set[int] = set()
        self.sent_s = [-math.inf] * len(chunks)
        self.offered_s = -math.inf

    def is_noted(self) -> bool:
        """Whether the successor has everything."""
        return len(self.noted) == len(self.chunks)


class Giver:
    """Gives the records of a stopping holder to its successors."""

    def __init__(
        self,
        fleet: PartitionView,
        settings: IdempotencySettings,
        by_successor: dict[NodeId, set[int]],
        records: list[tuple[RecordKey, Record]],
        now_s: float,
    ) -> None:
        self._fleet = fleet
        self._settings = settings
        self._end_s = now_s + settings.handover_s
        self._transfers: dict[NodeId, _Transfer] = {}
        size = settings.chunk_count
        for number, node in enumerate(sorted(by_successor), start=1):
            partitions = by_successor[node]
            mine = [r for r in records if partition_of_key(r[0]) in partitions]
            chunks = [mine[i : i + size] for i in range(0, len(mine), size)]
            self._transfers[node] = _Transfer(
                number, partitions, chunks or [[]]
            )

    def is_done(self, now_s: float) -> bool:
        """Whether all is noted, or the time is over."""
        noted = all(
            transfer.is_noted() for transfer in self._transfers.values()
        )
        return noted or now_s >= self._end_s

    def offers(self, now_s: float) -> list[Outbound]:
        """Returns the offers that are due."""
        messages = []
        for node, transfer in self._transfers.items():
            due_s = transfer.offered_s + self._settings.resend_s
            if transfer.taker is None and now_s >= due_s:
                transfer.offered_s = now_s
                offer = Offer(transfer.number, len(transfer.chunks))
                messages.append(Outbound(node, offer))
        return messages

    def due(self, now_s: float) -> list[Outbound]:
        """Returns offers and parts whose confirmation is missing."""
        if self.is_done(now_s):
            return []
        messages = self.offers(now_s)
        for node, transfer in self._transfers.items():
            messages += self._parts(node, transfer, now_s)
        return messages

    def on_ready(
        self, sender: Peer, body: Ready, now_s: float
    ) -> list[Outbound]:
        """Starts to send; a taker that restarted gets all again."""
        transfer = self._transfers.get(sender.node)
        if transfer is None or transfer.number != body.number:
            return []
        if transfer.taker != sender:
            transfer.taker = sender
            transfer.noted.clear()
            transfer.sent_s = [-math.inf] * len(transfer.chunks)
            transfer.held = {
                partition
                for partition in transfer.partitions
                if self._fleet.holds(partition, now_s)
            }
        return self._parts(sender.node, transfer, now_s)

    def on_noted(self, sender: Peer, body: RecordsNoted) -> None:
        """Takes a confirmation."""
        transfer = self._transfers.get(sender.node)
        if transfer is not None and transfer.taker == sender:
            known = transfer.number == body.number
            if known and 0 <= body.chunk < len(transfer.chunks):
                transfer.noted.add(body.chunk)

    def _parts(
        self, node: NodeId, transfer: _Transfer, now_s: float
    ) -> list[Outbound]:
        if transfer.taker is None:
            return []
        messages = []
        for chunk, records in enumerate(transfer.chunks):
            due_s = transfer.sent_s[chunk] + self._settings.resend_s
            if chunk in transfer.noted or now_s < due_s:
                continue
            if len(messages) == self._settings.chunks_per_tick:
                break
            transfer.sent_s[chunk] = now_s
            body = Records(
                number=transfer.number,
                taker_incarnation=transfer.taker.incarnation,
                chunk=chunk,
                partitions=f"{sum(1 << p for p in transfer.held):x}",
                entries=[_entry(key, r, now_s) for key, r in records],
            )
            messages.append(Outbound(node, body))
        return messages


def _entry(key: RecordKey, record: Record, now_s: float) -> RecordEntry:
    age_s = round(now_s - record.begun_s, 3)
    return RecordEntry(
        key, record.attempt, age_s, record.run_state, record.status
    )


class Taken(msgspec.Struct, frozen=True):
    """A complete hand-over; ``ready_s`` is the time to count from."""

    ready_s: float
    partitions: set[int]
    records: dict[RecordKey, Record]


class _Staged:
    """A hand-over on its way in."""

    def __init__(self, offer: Offer, now_s: float) -> None:
        self.offer = offer
        self.ready_s = now_s
        self.chunks: set[int] = set()
        self.records: dict[RecordKey, Record] = {}


class Taker:
    """Collects the records that other nodes hand over."""

    def __init__(self, peer: Peer, settings: IdempotencySettings) -> None:
        self._peer = peer
        self._settings = settings
        self._staged: dict[Peer, _Staged] = {}

    def forget_old(self, now_s: float) -> None:
        """Forgets hand-overs that were given up."""
        keep_s = 2 * self._settings.handover_s
        for giver, staged in list(self._staged.items()):
            if now_s - staged.ready_s > keep_s:
                del self._staged[giver]

    def on_offer(
        self, sender: Peer, body: Offer, now_s: float
    ) -> list[Outbound]:
        """Accepts an offer that fits the bound."""
        bound = self._settings.record_count // self._settings.chunk_count + 1
        if body.chunk_count > bound:
            return []
        staged = self._staged.get(sender)
        if staged is None or staged.offer != body:
            self._staged[sender] = _Staged(body, now_s)
        ready = Ready(body.number, sender.incarnation)
        return [Outbound(sender.node, ready)]

    def on_records(
        self, sender: Peer, body: Records, now_s: float
    ) -> tuple[list[Outbound], Taken | None]:
        """Takes a part; returns the hand-over with its last part."""
        staged = self._staged.get(sender)
        mine = body.taker_incarnation == self._peer.incarnation
        if staged is None or not mine or staged.offer.number != body.number:
            return [], None
        if not 0 <= body.chunk < staged.offer.chunk_count:
            return [], None
        noted = RecordsNoted(body.number, sender.incarnation, body.chunk)
        messages = [Outbound(sender.node, noted)]
        if body.chunk in staged.chunks:
            return messages, None
        staged.chunks.add(body.chunk)
        for entry in body.entries[: self._settings.chunk_count]:
            begun_s = now_s - max(0.0, entry.age_s)
            staged.records[entry.key] = Record(
                entry.attempt, begun_s, entry.run_state, entry.status
            )
        if len(staged.chunks) < staged.offer.chunk_count:
            return messages, None
        mask = int(body.partitions, 16)
        partitions = {p for p in range(mask.bit_length()) if mask >> p & 1}
        taken = Taken(staged.ready_s, partitions, staged.records)
        staged.records = {}
        return messages, taken
