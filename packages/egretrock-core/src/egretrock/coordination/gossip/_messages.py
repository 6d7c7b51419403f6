"""Messages of the membership protocol."""

import enum
from collections.abc import Sequence

import msgspec

from egretrock.coordination.base import Message
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
        wants_all: Whether the sender requests the records of all members.
        alive_count: Members alive in the view of the sender.
    """

    number: int
    records: Sequence[MemberRecord] = msgspec.field(default=(), name="news")
    wants_all: bool = False
    alive_count: int = msgspec.field(default=0, name="alive")


class Ack(Message, frozen=True, omit_defaults=True, tag="gossip.ack"):
    """Answers a ping, or forwards the answer to another node's ping.

    Attributes:
        number: Number of the ping; 0 if the message only carries records.
        records: Member records.
        alive_count: Members alive in the view of the sender; 0 if not
            given.
    """

    number: int
    records: Sequence[MemberRecord] = msgspec.field(default=(), name="news")
    alive_count: int = msgspec.field(default=0, name="alive")


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


GOSSIP_MESSAGES = (Ping, Ack, PingRequest)
