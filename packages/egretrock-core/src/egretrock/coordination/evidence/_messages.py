"""Messages between a node and the home of a service's evidence.

Entries are packed, since a report names the targets of a few seconds and a
table up to ``MAX_TABLE_ENTRIES`` of them, and each fits a datagram.
"""

import struct
from collections.abc import Iterable
from typing import NamedTuple

from egretrock.coordination.base import Message, placement_weight
from egretrock.state.ids import InstanceId, ServiceId, TargetId

#: Most entries of a report and of a table.
MAX_REPORT_ENTRIES = 64
MAX_TABLE_ENTRIES = 96
#: Most ranks of a room.
MAX_RANKS = 16

_REPORT_ENTRY = struct.Struct(">IHHH")
_TABLE_ENTRY = struct.Struct(">IHB")
#: Parts of an attempt that a count of a report is rounded to.
_COUNT_PARTS = 8
_MAX_COUNT = 0xFFFF
#: Steps of a failure rate in a table. Coarse steps keep a table the same for
#: longer, so that it need not be sent again.
_RATE_STEPS = 16
_OUT_BIT = 0x80


class EntryError(Exception):
    """Packed entries of a wrong length."""


class CountEntry(NamedTuple):
    """What a node has seen of one target.

    Attributes:
        target_hash: ``target_hash`` of the target.
        instance_hash: ``instance_hash`` of its instance, 0 if unknown.
        attempts: Attempts, decayed.
        failures: Weighted failures of these, at most ``attempts``.
    """

    target_hash: int
    instance_hash: int
    attempts: float
    failures: float


class VerdictEntry(NamedTuple):
    """What the fleet knows of one target.

    Attributes:
        target_hash: ``target_hash`` of the target.
        instance_hash: ``instance_hash`` of its instance, 0 if unknown.
        failure_rate: Share of failures, from 0 to 1.
        is_out: Whether the target gets only tries.
    """

    target_hash: int
    instance_hash: int
    failure_rate: float
    is_out: bool


#: ``offered_per_s``, ``taken_per_s`` and ``waiting`` of a ``ServiceRoom``.
RoomFigures = tuple[float, float, tuple[int, ...]]


class EvidenceReport(
    Message, frozen=True, omit_defaults=True, tag="evidence.report"
):
    """Totals of one node for one service; they replace its earlier ones.

    Attributes:
        service: Service.
        number: Number of the report, increasing within a process.
        version: Version of the table that the sender holds; 0 without one.
        attempts_per_s: Attempts per second at all targets.
        entries: ``CountEntry`` values, packed.
        room: Room of the service at the sender, or None if it is unknown.
    """

    service: ServiceId
    number: int
    version: int = 0
    attempts_per_s: float = 0.0
    entries: bytes = b""
    room: RoomFigures | None = None


class EvidenceTable(
    Message, frozen=True, omit_defaults=True, tag="evidence.table"
):
    """What the home of a service has judged.

    Attributes:
        service: Service.
        number: Number of the last report of the receiver.
        is_judged: Whether the home has collected for long enough to judge.
        version: Version of the table; 0 if no target is listed.
        entries: ``VerdictEntry`` values, packed, or None if the receiver
            holds this version, or is told to report to get it.
        tries: ``target_hash`` of the targets that the receiver may try once.
        room: Sum of the rooms of the other nodes, or None if none reported.
    """

    service: ServiceId
    number: int
    is_judged: bool = True
    version: int = 0
    entries: bytes | None = None
    tries: tuple[int, ...] = ()
    room: RoomFigures | None = None


EVIDENCE_MESSAGES = (EvidenceReport, EvidenceTable)


def target_hash(target: TargetId) -> int:
    """Returns the 32-bit hash by which messages name a target."""
    return placement_weight("evidence target", target) & 0xFFFF_FFFF


def instance_hash(instance: InstanceId | None) -> int:
    """Returns the 16-bit hash of an instance, 0 if it is unknown."""
    if instance is None:
        return 0
    return 1 + placement_weight("evidence instance", instance) % 0xFFFF


def pack_counts(entries: Iterable[CountEntry]) -> bytes:
    """Returns counts in packed form, those with most failures first.

    Entries beyond ``MAX_REPORT_ENTRIES``, and those that round to nothing,
    are left out.

    Example:
        >>> tuple(unpack_counts(pack_counts([CountEntry(1, 2, 3.0, 1.5)]))[0])
        (1, 2, 3.0, 1.5)
    """
    ordered = sorted(entries, key=lambda e: (-e.failures, -e.attempts))
    packed = []
    for entry in ordered[:MAX_REPORT_ENTRIES]:
        attempts = min(_MAX_COUNT, round(entry.attempts * _COUNT_PARTS))
        failures = min(attempts, round(entry.failures * _COUNT_PARTS))
        if attempts:
            packed.append(
                _REPORT_ENTRY.pack(
                    entry.target_hash, entry.instance_hash, attempts, failures
                )
            )
    return b"".join(packed)


def unpack_counts(data: bytes) -> list[CountEntry]:
    """Returns the counts that ``pack_counts`` packed.

    Raises:
        EntryError: If the length is not that of a whole number of entries.
    """
    _check_length(data, _REPORT_ENTRY, MAX_REPORT_ENTRIES)
    return [
        CountEntry(
            target,
            instance,
            attempts / _COUNT_PARTS,
            min(attempts, failures) / _COUNT_PARTS,
        )
        for target, instance, attempts, failures in _REPORT_ENTRY.iter_unpack(
            data
        )
    ]


def pack_verdicts(entries: Iterable[VerdictEntry]) -> bytes:
    """Returns verdicts in packed form, in the order of the hashes.

    Of more than ``MAX_TABLE_ENTRIES`` those that are out, and then those with
    the highest failure rate, are kept.

    Example:
        >>> data = pack_verdicts([VerdictEntry(1, 2, 0.5, is_out=True)])
        >>> tuple(unpack_verdicts(data)[0])
        (1, 2, 0.5, True)
    """
    worst = sorted(entries, key=lambda e: (-e.is_out, -e.failure_rate))
    return b"".join(
        _TABLE_ENTRY.pack(
            entry.target_hash,
            entry.instance_hash,
            round(entry.failure_rate * _RATE_STEPS)
            | (_OUT_BIT if entry.is_out else 0),
        )
        for entry in sorted(worst[:MAX_TABLE_ENTRIES])
    )


def unpack_verdicts(data: bytes) -> list[VerdictEntry]:
    """Returns the verdicts that ``pack_verdicts`` packed.

    Raises:
        EntryError: If the length is not that of a whole number of entries.
    """
    _check_length(data, _TABLE_ENTRY, MAX_TABLE_ENTRIES)
    return [
        VerdictEntry(
            target,
            instance,
            min(1.0, (value & ~_OUT_BIT) / _RATE_STEPS),
            bool(value & _OUT_BIT),
        )
        for target, instance, value in _TABLE_ENTRY.iter_unpack(data)
    ]


def _check_length(data: bytes, entry: struct.Struct, max_entries: int) -> None:
    if len(data) % entry.size or len(data) > max_entries * entry.size:
        raise EntryError(
            f"{len(data)} bytes of entries; at most {max_entries} of"
            f" {entry.size} bytes each are allowed"
        )
