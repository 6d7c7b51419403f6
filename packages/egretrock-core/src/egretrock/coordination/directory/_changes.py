"""Changes of entries, whole or as the difference to the previous value.

Values are mostly documents of which a change touches a few fields. They are
compared in chunks that end where a field or an object of JSON ends. Other
values may have long chunks, of which equal ones are found all the same.
The work is linear in the size of both values.
"""

import re
from collections.abc import Callable, Iterable, Sequence
from functools import singledispatch

import msgspec

from egretrock.state.ids import Revision

#: At least 16 bytes, so that no value has very many chunks.
_CHUNK = re.compile(rb"[\s\S]{16}[^,}]*[,}]?|[\s\S]+")
#: Values that are smaller are sent whole; they share a datagram anyway.
_MIN_VALUE_BYTES = 600
#: Bytes that one edit takes, besides those that it adds.
_EDIT_BYTES = 8
#: Largest size of a value, and of the unpacked changes of a message; a
#: directory of 300 targets and 400 routes takes about 200 KB.
MAX_UNPACKED_BYTES = 16_000_000


class Change(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """One written or removed entry.

    Attributes:
        key: Key of the entry.
        revision: Revision of the change.
        value: Value, or None if the entry was removed.
    """

    key: str
    revision: Revision
    value: bytes | None


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


class Difference(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """One written entry, as the difference to its previous value.

    Attributes:
        key: Key of the entry.
        revision: Revision of the change.
        base_revision: Revision of the previous value.
        edits: What leads from the previous value to the new one.
    """

    key: str
    revision: Revision
    base_revision: Revision
    edits: tuple[Edit, ...]


class Entry(msgspec.Struct, frozen=True):
    """A value of a key and the revision of its last change."""

    revision: Revision
    value: bytes


Lookup = Callable[[str], Entry | None]


class EditError(Exception):
    """Edits that do not fit the value that they are applied to."""


class BaseMissingError(Exception):
    """A difference to a value that this node does not have."""


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


def shorten(
    changes: Iterable[Change], entry_of: Lookup
) -> list[Change | Difference]:
    """Replaces changes by differences where these are much shorter.

    Args:
        changes: Changes in the order of their revisions.
        entry_of: Returns the entry of a key before them.
    """
    latest: dict[str, Entry | None] = {}
    shortened: list[Change | Difference] = []
    for change in changes:
        known = _known(change.key, latest, entry_of)
        shortened.append(_difference(change, known) or change)
        latest[change.key] = _entry_after(change)
    return shortened


def resolve(
    steps: Sequence[Change | Difference], entry_of: Lookup
) -> list[Change]:
    """Returns changes with their values.

    Differences of entries that are as new as that already are left out.

    Args:
        steps: Changes and differences in the order of their revisions.
        entry_of: Returns the entry of a key before them.

    Raises:
        BaseMissingError: If the value is unknown that a difference refers to.
    """
    latest: dict[str, Entry | None] = {}
    changes = []
    for step in steps:
        known = _known(step.key, latest, entry_of)
        change = _resolve_step(step, known)
        if change is not None:
            latest[change.key] = _entry_after(change)
            changes.append(change)
    return changes


def _known(
    key: str, latest: dict[str, Entry | None], entry_of: Lookup
) -> Entry | None:
    return latest[key] if key in latest else entry_of(key)


def _entry_after(change: Change) -> Entry | None:
    if change.value is None:
        return None
    return Entry(change.revision, change.value)


def _difference(change: Change, known: Entry | None) -> Difference | None:
    value = change.value
    if value is None or known is None or change.revision <= known.revision:
        return None
    if len(value) < _MIN_VALUE_BYTES:
        return None
    edits = find_edits(known.value, value)
    size_bytes = sum(_EDIT_BYTES + len(edit.added) for edit in edits)
    if 2 * size_bytes > len(value):
        return None
    return Difference(change.key, change.revision, known.revision, tuple(edits))


@singledispatch
def _resolve_step(
    step: Change | Difference, known: Entry | None
) -> Change | None:
    raise NotImplementedError(type(step).__name__)


@_resolve_step.register
def _(step: Change, known: Entry | None) -> Change | None:
    del known
    return step


@_resolve_step.register
def _(step: Difference, known: Entry | None) -> Change | None:
    if known is not None and known.revision >= step.revision:
        return None
    if known is None or known.revision != step.base_revision:
        raise BaseMissingError(
            f"{step.key!r} at revision {step.base_revision} is unknown"
        )
    try:
        value = apply_edits(known.value, step.edits, MAX_UNPACKED_BYTES)
    except EditError as error:
        raise BaseMissingError(f"{step.key!r}: {error}") from error
    return Change(step.key, step.revision, value)
