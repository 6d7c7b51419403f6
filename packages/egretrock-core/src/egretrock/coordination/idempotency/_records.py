"""Records of keys, limited in number and age."""

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

    Each part is hashed with its length, so that different triples are never
    hashed as the same bytes.

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
        begun_s: Time at which the record was made.
        run_state: ``UNKNOWN`` while the attempt is in flight.
        status: Status code of the answer, if known.
    """

    attempt: AttemptId
    begun_s: float
    run_state: RunState = RunState.UNKNOWN
    status: int | None = None


class RecordStore:
    """Records by key; none is discarded before its retention ends.

    Args:
        max_records: Maximum number of records.
        retention_s: Seconds for which a record is kept.

    Example:
        >>> store = RecordStore(max_records=1, retention_s=10.0)
        >>> store.put("k1", Record("a1", 0.0))
        True
        >>> store.put("k2", Record("a2", 5.0))
        False
        >>> store.discard_expired(10.0)
        >>> store.put("k2", Record("a2", 10.0))
        True
    """

    def __init__(self, max_records: int, retention_s: float) -> None:
        self._max_records = max_records
        self._retention_s = retention_s
        # Ordered from the oldest record to the newest; ``merge`` restores
        # this order.
        self._records: dict[RecordKey, Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: RecordKey) -> Record | None:
        """Returns the record of a key."""
        return self._records.get(key)

    def put(self, key: RecordKey, record: Record) -> bool:
        """Adds a record as the newest; returns False if the store is full."""
        if key not in self._records and len(self) >= self._max_records:
            return False
        self._records.pop(key, None)
        self._records[key] = record
        return True

    def update(self, key: RecordKey, record: Record) -> None:
        """Replaces a record in place; its age must stay the same."""
        self._records[key] = record

    def merge(self, records: dict[RecordKey, Record]) -> bool:
        """Adds handed-over records; returns False if they do not fit."""
        if len(self._records.keys() | records.keys()) > self._max_records:
            return False
        merged = {**records, **self._records}
        by_age = sorted(merged.items(), key=lambda item: item[1].begun_s)
        self._records = dict(by_age)
        return True

    def discard_expired(self, now_s: float) -> None:
        """Discards the records whose retention is over."""
        while self._records:
            key = next(iter(self._records))
            if now_s - self._records[key].begun_s < self._retention_s:
                return
            del self._records[key]

    def items(self) -> list[tuple[RecordKey, Record]]:
        """Returns all records."""
        return list(self._records.items())
