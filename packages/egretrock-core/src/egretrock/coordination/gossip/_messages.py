"""Messages of the membership protocol."""

import enum
from collections.abc import Sequence

import msgspec

from egretrock.coordination.base import Message, pack_value, unpack_value
from egretrock.state.ids import DataCentreId, Incarnation, NodeId


class MemberState(enum.Enum):
    """State of a member in the view of one node.

    Declared in order of precedence: of two records of one version the one
    with the later state wins.
    """

    ALIVE = "a"
    SUSPECT = "s"  # did not answer a ping; may refute the suspicion
    GONE = "g"  # did not refute the suspicion in time
    LEFT = "l"  # announced that it leaves; may still serve for ``stop_s``


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of a member as nodes gossip it.

    Attributes:
        node: Peer address of the member.
        data_centre: Its data centre.
        incarnation: Identifies its process. The incarnation number of SWIM
            is ``version`` here.
        started_ms: Start of the process, in milliseconds of its wall clock;
            it orders the processes of one address.
        version: Version of the record. Only the member itself raises it, to
            refute a suspicion or to announce a change of its own state.
        state: State of the member.
        platform_reachable: Whether its last read from the platform succeeded;
            also True before its first read.
    """

    node: NodeId
    data_centre: DataCentreId
    incarnation: Incarnation
    started_ms: int
    version: int
    state: MemberState
    platform_reachable: bool = True


class Ping(Message, frozen=True, omit_defaults=True, tag="gossip.ping"):
    """Checks whether a member is alive.

    Attributes:
        number: Sequence number, which the ack repeats.
        records: Piggybacked member records, the sender's own first.
        is_joining: Whether the sender knows no member yet; the ack then
            carries records of members near the sender.
        view: Digest of the sender's member list; 0 if not given.
    """

    number: int
    records: Sequence[MemberRecord] = msgspec.field(default=(), name="news")
    is_joining: bool = False
    view: int = 0


class Ack(Message, frozen=True, omit_defaults=True, tag="gossip.ack"):
    """Answers a ping, or forwards the answer to another node's ping.

    Attributes:
        number: Number of the ping; 0 if the message only carries records.
        records: Member records.
        view: Digest of the sender's member list; 0 if not given.
    """

    number: int
    records: Sequence[MemberRecord] = msgspec.field(default=(), name="news")
    view: int = 0


class PingRequest(
    Message, frozen=True, omit_defaults=True, tag="gossip.ping_request"
):
    """Asks the receiver to ping a member that does not answer the sender.

    Attributes:
        number: Number of the sender's own ping of ``node``; the forwarded
            ack repeats it.
        node: Member to ping.
        records: Piggybacked member records, the sender's own first.
    """

    number: int
    node: NodeId
    records: Sequence[MemberRecord] = msgspec.field(default=(), name="news")


class SyncRequest(Message, frozen=True, tag="gossip.sync_request"):
    """Requests the records in the buckets whose digests differ.

    Attributes:
        digests: Digest of each bucket of the sender's member list.
    """

    digests: Sequence[int]


class SyncAnswer(Message, frozen=True, tag="gossip.sync"):
    """Carries a part of a member list.

    Attributes:
        data: Packed member records; see ``pack_records``.
    """

    data: bytes


#: Records of one ``SyncAnswer``. A packed record takes 25 bytes, mostly its
#: incarnation, and base64 adds a third, so each answer fits a datagram.
_RECORDS_PER_ANSWER = 30
#: Largest size of the unpacked records of an answer.
_MAX_UNPACKED_BYTES = 100_000


def pack_records(records: Sequence[MemberRecord]) -> list[SyncAnswer]:
    """Returns the messages that carry some records.

    Example:
        >>> pack_records([])
        []
    """
    return [
        SyncAnswer(pack_value(records[start : start + _RECORDS_PER_ANSWER]))
        for start in range(0, len(records), _RECORDS_PER_ANSWER)
    ]


def unpack_records(answer: SyncAnswer) -> list[MemberRecord]:
    """Returns the records that ``pack_records`` packed.

    Raises:
        UnpackError: If the data is damaged or too large.
    """
    return unpack_value(answer.data, list[MemberRecord], _MAX_UNPACKED_BYTES)


GOSSIP_MESSAGES = (Ping, Ack, PingRequest, SyncRequest, SyncAnswer)
