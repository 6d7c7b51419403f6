"""Digests of a member list, by which two nodes find where they differ."""

import zlib
from collections.abc import Iterable, Sequence

from egretrock.coordination.gossip._messages import MemberRecord, MemberState

#: Parts of a member list that have a digest each. Two lists that differ in
#: one member exchange a sixteenth of their records.
BUCKET_COUNT = 16
LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


def bucket_of(record: MemberRecord) -> int:
    """Returns the part of the member list that a record belongs to."""
    return zlib.crc32(record.node.encode()) % BUCKET_COUNT


class ListDigest:
    """Digests of the live processes of a member list.

    Suspicions and versions are left out: they change too often, and spread
    with the pings. The digests are kept up to date with each change, because
    computing them anew takes time proportional to the size of the fleet.

    Example:
        >>> ListDigest().buckets == [0] * BUCKET_COUNT
        True
    """

    def __init__(self) -> None:
        self.buckets = [0] * BUCKET_COUNT

    @property
    def total(self) -> int:
        """Digest of the whole list, 32 bits."""
        return zlib.crc32(b"".join(d.to_bytes(4, "big") for d in self.buckets))

    def toggle(self, record: MemberRecord) -> None:
        """Adds a record that is absent, or removes one that is present.

        Records of members that are not live are ignored.
        """
        if record.state in LIVE_STATES:
            process = f"{record.node} {record.incarnation}".encode()
            self.buckets[bucket_of(record)] ^= zlib.crc32(process)

    def differing_buckets(self, others: Sequence[int]) -> frozenset[int]:
        """Returns the buckets whose digests differ from those of a peer.

        Raises:
            ValueError: If there is not one digest per bucket.
        """
        if len(others) != BUCKET_COUNT:
            raise ValueError(f"{len(others)} digests, not {BUCKET_COUNT}")
        return frozenset(
            index
            for index, digest in enumerate(self.buckets)
            if digest != others[index]
        )


def records_in(
    records: Iterable[MemberRecord], buckets: frozenset[int]
) -> list[MemberRecord]:
    """Returns the records that belong to one of the buckets."""
    return [record for record in records if bucket_of(record) in buckets]
