"""Messages that distribute the directory, their packing and reassembly."""

import math
from collections.abc import Iterator, Sequence
from typing import ClassVar, Self

import msgspec

from egretrock.coordination.base import (
    Counters,
    Message,
    Peer,
    pack_value,
    unpack_value,
)
from egretrock.coordination.directory._changes import (
    MAX_UNPACKED_BYTES,
    Change,
    Difference,
)
from egretrock.state.ids import NodeId, Revision


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A point in the history of the platform's entries.

    Positions are ordered by era first: after a restore the platform gives out
    revisions again that it had given out before.

    Attributes:
        era: Number of restores of the platform from an older copy.
        revision: Revision since then, or of the copy.
    """

    era: int
    revision: Revision


#: Position of a directory without entries.
NO_POSITION = Position(0, Revision(0))


#: Greatest age that updates tell; stands for any greater and unknown ones.
MAX_AGE_S = 3600.0


class Update(Message, frozen=True, omit_defaults=True, tag="directory.news"):
    """Changes between two positions, or a snapshot of the directory.

    Attributes:
        since: Position before the changes; ``NO_POSITION`` with
            ``is_snapshot``.
        until: Position of the directory after them. If its era differs, the
            changes lead from exactly ``since`` to the restored entries.
        age_ms: Milliseconds since ``until`` was confirmed, when the message
            was made; on receipt, the delay on the way is part of it.
        is_snapshot: Whether the message holds all entries.
        number: Sequence number of the message at the node that created it,
            the same in all fragments.
        fragment_index: Index of this fragment, from 0 to ``fragment_count``
            - 1.
        fragment_count: Number of fragments of the message.
        data: This fragment of the packed changes.
        origin: Reader that created the message, if members forward it; None
            in the answer to an ``UpdateRequest``.
    """

    is_paced: ClassVar[bool] = True
    is_aged: ClassVar[bool] = True

    since: Position
    until: Position
    age_ms: int
    is_snapshot: bool = msgspec.field(default=False, name="is_whole")
    number: int = 0
    fragment_index: int = msgspec.field(default=0, name="part")
    fragment_count: int = msgspec.field(default=1, name="parts")
    data: bytes = b""
    origin: NodeId | None = None

    def delayed(self, delay_s: float) -> Self:
        """Returns the update with a delay added to its age."""
        age_s = min(self.age_ms / 1000 + delay_s, MAX_AGE_S)
        age_ms = math.ceil(age_s * 1000)
        return msgspec.structs.replace(self, age_ms=age_ms)


class UpdateRequest(Message, frozen=True, tag="directory.want"):
    """Requests the changes after a position, or a snapshot if it has none.

    It has no age, but its stamp tells how long the answer is under way.
    """

    is_aged: ClassVar[bool] = True

    since: Position


DIRECTORY_MESSAGES = (Update, UpdateRequest)

#: Packed bytes of one fragment. They are sent as base64, which adds a third,
#: and a datagram holds 1,400 bytes with its envelope.
FRAGMENT_BYTES = 850
#: Maximum number of incomplete messages over all senders; one more drops all
#: that were kept.
_MAX_PARTIAL_MESSAGES = 32
#: Seconds after the first fragment at which an incomplete message is dropped.
_PARTIAL_TIMEOUT_S = 1.0


def pack(changes: Sequence[Change | Difference]) -> list[bytes]:
    """Packs changes into fragments; one empty one if there are no changes.

    Example:
        >>> unpack(pack([Change("a", 1, b"x")]))
        [Change(key='a', revision=1, value=b'x')]
        >>> pack([])
        [b'']
    """
    if not changes:
        return [b""]
    return list(_split(pack_value(changes)))


def unpack(fragments: Sequence[bytes]) -> list[Change | Difference]:
    """Returns the changes that ``pack`` packed.

    Raises:
        UnpackError: If the fragments are damaged or too large.
    """
    packed = b"".join(fragments)
    if not packed:
        return []
    return unpack_value(packed, list[Change | Difference], MAX_UNPACKED_BYTES)


def _split(packed: bytes) -> Iterator[bytes]:
    for start in range(0, len(packed), FRAGMENT_BYTES):
        yield packed[start : start + FRAGMENT_BYTES]


class _PartialMessage(msgspec.Struct):
    fragment_count: int
    fragments: dict[int, bytes]
    started_s: float
    is_snapshot: bool


class Assembly:
    """Keeps the fragments of each message until all have arrived.

    Args:
        counters: Metrics.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._incomplete: dict[tuple[NodeId, int], _PartialMessage] = {}

    def add(
        self, sender: Peer, body: Update, now_s: float
    ) -> list[bytes] | None:
        """Returns all fragments of a message if this is the last, or None."""
        if not 0 <= body.fragment_index < body.fragment_count:
            self._counters.increment("directory.bad_news")
            return None
        if body.fragment_count == 1:
            return [body.data]
        key = (body.origin or sender.node, body.number)
        partial = self._incomplete.get(key)
        if partial is None:
            if len(self._incomplete) >= _MAX_PARTIAL_MESSAGES:
                self._counters.increment("directory.partial_dropped")
                self._incomplete.clear()
            partial = self._incomplete[key] = _PartialMessage(
                body.fragment_count, {}, now_s, body.is_snapshot
            )
        if body.fragment_count != partial.fragment_count:
            self._counters.increment("directory.bad_news")
            return None
        partial.fragments[body.fragment_index] = body.data
        if len(partial.fragments) < body.fragment_count:
            return None
        del self._incomplete[key]
        return [
            partial.fragments[fragment_index]
            for fragment_index in range(body.fragment_count)
        ]

    def is_snapshot_arriving(self) -> bool:
        """Returns whether fragments of a snapshot have arrived, not all."""
        return any(p.is_snapshot for p in self._incomplete.values())

    def expire(self, now_s: float) -> None:
        """Drops incomplete messages after the timeout and counts them."""
        for key, partial in list(self._incomplete.items()):
            if now_s - partial.started_s > _PARTIAL_TIMEOUT_S:
                del self._incomplete[key]
                self._counters.increment("directory.partial_expired")
