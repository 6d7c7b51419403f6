"""Records of keys, with a bound and an age limit."""

import hashlib
from typing import NewType

import msgspec

from egretrock.coordination.base import partition_of
from egretrock.state.ids import AttemptId, OrganisationId, RouteId
from egretrock.state.outcome import RunState

#: Digest of an organisation, a route and the key that a caller sent.
RecordKey = NewType("RecordKey", str)


def record_key(
    organisation: OrganisationId, route: RouteId, key: str
) -> RecordKey:
    """Returns the digest under which a key is recorded.

    The lengths are part of the input, so that no two triples give the same
    bytes.

    Example:
        >>> a = record_key("acme", "payouts", "k1")
        >>> a == record_key("acme", "payout", "sk1")
        False
        >>> len(a)
        32
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation, route, key):
        raw = part.encode()
        digest.update(len(raw).to_bytes(8, "big") + raw)
    return RecordKey(digest.hexdigest())


def partition_of_key(key: RecordKey) -> int:
    """Returns the partition whose holder keeps the record."""
    return partition_of("key", key)


class Record(msgspec.Struct, frozen=True):
    """The first attempt of a key.

    Attributes:
        attempt: The attempt.
        begun_s: Time of the record.
        run_state: ``UNKNOWN`` while the attempt is in flight.
        status: Status code of the answer, if known.
    """

    attempt: AttemptId
    begun_s: float
    run_state: RunState = RunState.UNKNOWN
    status: int | None = None


class RecordStore:
    """Records by key; never forgets one early.

    Args:
        bound: Most records.
        keep_s: Seconds for which a record is kept.

    Example:
        >>> store = RecordStore(bound=1, keep_s=10.0)
        >>> store.put("k1", Record("a1", 0.0))
        True
        >>> store.put("k2", Record("a2", 5.0))
        False
        >>> store.forget_old(10.0)
        >>> store.put("k2", Record("a2", 10.0))
        True
    """

    def __init__(self, bound: int, keep_s: float) -> None:
        self._bound = bound
        self._keep_s = keep_s
        # Insertion order is the order of age but for handed-over records,
        # which are sorted when they are added.
        self._records: dict[RecordKey, Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: RecordKey) -> Record | None:
        """Returns the record of a key."""
        return self._records.get(key)

    def put(self, key: RecordKey, record: Record) -> bool:
        """Adds a record at the end; False at the bound."""
        if key not in self._records and len(self) >= self._bound:
            return False
        self._records.pop(key, None)
        self._records[key] = record
        return True

    def update(self, key: RecordKey, record: Record) -> None:
        """Replaces a record without changing its age."""
        self._records[key] = record

    def merge(self, records: dict[RecordKey, Record]) -> bool:
        """Adds handed-over records; False if they do not fit."""
        if len(self._records.keys() | records.keys()) > self._bound:
            return False
        merged = {**records, **self._records}
        by_age = sorted(merged.items(), key=lambda item: item[1].begun_s)
        self._records = dict(by_age)
        return True

    def forget_old(self, now_s: float) -> None:
        """Forgets the records that are out of the window."""
        while self._records:
            key = next(iter(self._records))
            if now_s - self._records[key].begun_s < self._keep_s:
                return
            del self._records[key]

    def items(self) -> list[tuple[RecordKey, Record]]:
        """Returns all records."""
        return list(self._records.items())
