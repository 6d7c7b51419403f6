"""Changes told as differences, and their resolution."""

from collections.abc import Callable, Iterable, Sequence
from functools import singledispatch

import msgspec

from egretrock.coordination.directory._edits import (
    EditError,
    apply_edits,
    find_edits,
)
from egretrock.coordination.directory._messages import (
    MAX_UNPACKED_BYTES,
    Change,
    Difference,
)
from egretrock.state.ids import Revision

#: Values that are smaller are sent whole; they share a datagram anyway.
_MIN_VALUE_BYTES = 600
#: Bytes that one edit takes, besides those that it adds.
_EDIT_BYTES = 8


class Entry(msgspec.Struct, frozen=True):
    """A value of a key and the revision of its last change."""

    revision: Revision
    value: bytes


Lookup = Callable[[str], Entry | None]


class BaseMissingError(Exception):
    """A difference to a value that this node does not have."""


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
