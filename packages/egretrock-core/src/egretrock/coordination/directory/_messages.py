"""Messages that spread the directory, and their packing."""

import zlib
from collections.abc import Iterator, Sequence

import msgspec

from egretrock.coordination.base import Message
from egretrock.state.ids import NodeId, Revision


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One entry as it was written or removed.

    Attributes:
        key: Key of the entry.
        revision: Revision of the change.
        value: Value, or None where the entry was removed.
    """

    key: str
    revision: Revision
    value: bytes | None


class News(Message, frozen=True, omit_defaults=True, tag="directory.news"):
    """Changes between two revisions, or the whole directory.

    Attributes:
        since: Revision before the changes; 0 with ``is_whole``.
        until: Revision of the directory after them.
        age_ms: Milliseconds since the read that confirmed ``until`` was sent.
        is_whole: Whether ``data`` holds all entries.
        number: Number of the message at the node that sent it first, the
            same in all parts.
        part: Number of this part, from 0 to ``parts`` - 1.
        parts: Parts of the message.
        data: Piece of the packed changes.
        origin: Reader that sent the message first, where members pass it
            on; None where it answers a question.
    """

    since: Revision
    until: Revision
    age_ms: int
    is_whole: bool = False
    number: int = 0
    part: int = 0
    parts: int = 1
    data: bytes = b""
    origin: NodeId | None = None


class Want(Message, frozen=True, tag="directory.want"):
    """Asks for what came after a revision; 0 asks for everything."""

    since: Revision


DIRECTORY_MESSAGES = (News, Want)

#: Packed bytes of one part. They travel as base64, which adds a third, and a
#: datagram holds 1,400 bytes with its envelope.
PART_BYTES = 850
#: Unpacked bytes of one message; a directory of 300 targets and 400 routes
#: takes about 200 KB.
MAX_UNPACKED_BYTES = 16_000_000


class UnpackError(Exception):
    """Parts that do not make a message."""


def pack(changes: Sequence[Change]) -> list[bytes]:
    """Packs changes into parts; no changes make one empty part.

    Example:
        >>> unpack(pack([Change("a", 1, b"x")]))
        [Change(key='a', revision=1, value=b'x')]
        >>> pack([])
        [b'']
    """
    if not changes:
        return [b""]
    packed = zlib.compress(msgspec.msgpack.encode(changes), 6)
    return list(_pieces(packed))


def unpack(parts: Sequence[bytes]) -> list[Change]:
    """Undoes ``pack``.

    Raises:
        UnpackError: If the parts are damaged or too large.
    """
    packed = b"".join(parts)
    if not packed:
        return []
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        if decompressor.unconsumed_tail:
            raise UnpackError(f"above {MAX_UNPACKED_BYTES} bytes")
        return msgspec.msgpack.decode(raw, type=list[Change])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise UnpackError(str(error)) from error


def _pieces(packed: bytes) -> Iterator[bytes]:
    for start in range(0, len(packed), PART_BYTES):
        yield packed[start : start + PART_BYTES]
