"""Differences between two values of an entry.

Values are mostly documents of which a change touches a few fields. They are
compared in chunks that end where a field or an object of JSON ends. Other
values may have long chunks, of which equal ones are found all the same.
The work is linear in the size of both values.
"""

import re
from collections.abc import Sequence

import msgspec

#: At least 16 bytes, so that no value has very many chunks.
_CHUNK = re.compile(rb"[\s\S]{16}[^,}]*[,}]?|[\s\S]+")


class Edit(msgspec.Struct, frozen=True, array_like=True):
    """A part of a value: bytes of the earlier value, then new ones.

    Attributes:
        start: Offset of the first copied byte in the earlier value.
        length: Number of copied bytes.
        added: Bytes that follow them.
    """

    start: int
    length: int
    added: bytes


class EditError(Exception):
    """Edits that do not fit the value that they are applied to."""


def find_edits(earlier: bytes, value: bytes) -> list[Edit]:
    """Returns the edits that lead from an earlier value to a value.

    Example:
        >>> find_edits(b"[1, 2, 3, 4, 5, 6, 7]", b"[1, 2, 3, 4, 5, 6, 8]")
        [Edit(start=0, length=18, added=b' 8]')]
    """
    earlier_chunks = _CHUNK.findall(earlier)
    starts: list[int] = []
    first_index: dict[bytes, int] = {}
    start = 0
    for index, chunk in enumerate(earlier_chunks):
        starts.append(start)
        first_index.setdefault(chunk, index)
        start += len(chunk)
    edits: list[Edit] = []
    copy_start = copy_length = 0
    added: list[bytes] = []
    next_index = 0
    for chunk in _CHUNK.findall(value):
        is_next = (
            next_index < len(earlier_chunks)
            and earlier_chunks[next_index] == chunk
        )
        index = next_index if is_next else first_index.get(chunk)
        if index is None:
            added.append(chunk)
            continue
        if added or starts[index] != copy_start + copy_length:
            if copy_length or added:
                edits.append(Edit(copy_start, copy_length, b"".join(added)))
            added = []
            copy_start, copy_length = starts[index], 0
        copy_length += len(chunk)
        next_index = index + 1
    edits.append(Edit(copy_start, copy_length, b"".join(added)))
    return edits


def apply_edits(earlier: bytes, edits: Sequence[Edit], max_bytes: int) -> bytes:
    """Returns the value to which edits lead from an earlier value.

    Args:
        earlier: Earlier value.
        edits: Edits from ``find_edits``.
        max_bytes: Largest size of the value.

    Raises:
        EditError: If they copy bytes that the earlier value does not have, or
            the value is too large.
    """
    pieces: list[bytes] = []
    size_bytes = 0
    for edit in edits:
        end = edit.start + edit.length
        if edit.start < 0 or edit.length < 0 or end > len(earlier):
            raise EditError(f"bytes {edit.start} to {end} of {len(earlier)}")
        size_bytes += edit.length + len(edit.added)
        if size_bytes > max_bytes:
            raise EditError(f"value of more than {max_bytes} bytes")
        pieces += (earlier[edit.start : end], edit.added)
    return b"".join(pieces)
