"""Messages of the membership protocol."""

import enum
from collections.abc import Sequence

import msgspec

from egretrock.coordination.base import Message
from egretrock.state.ids import DataCentreId, Incarnation, NodeId


class MemberState(enum.Enum):
    """What is believed of a member."""

    ALIVE = "a"
    SUSPECT = "s"  # it did not answer; it may refute that
    GONE = "g"  # it did not refute the suspicion
    LEFT = "l"  # it said that it stops


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one node tells of a member.

    Attributes:
        node: Peer address of the member.
        data_centre: Its data centre.
        incarnation: Its process.
        started_ms: Start of the process, in milliseconds of its wall clock;
            it orders the processes of one address.
        version: Number that only the member raises, to refute a suspicion
            or to tell something new of itself.
        state: What is believed.
        reads_store: Whether its last read from the platform succeeded, or
            it has not tried.
    """

    node: NodeId
    data_centre: DataCentreId
    incarnation: Incarnation
    started_ms: int
    version: int
    state: MemberState
    reads_store: bool = True


class Ping(Message, frozen=True, omit_defaults=True, tag="gossip.ping"):
    """Asks whether a member lives.

    Attributes:
        number: Number that the answer repeats.
        news: What the sender tells of members, itself first.
        wants_all: Whether the sender wants to know all members.
        alive: Members that the sender believes to be alive.
    """

    number: int
    news: Sequence[MemberRecord] = ()
    wants_all: bool = False
    alive: int = 0


class Ack(Message, frozen=True, omit_defaults=True, tag="gossip.ack"):
    """Answers a ping, or passes on the answer to another node's ping.

    Attributes:
        number: Number of the ping; 0 in an answer that is not the first.
        news: What the sender tells of members.
        alive: Members that the sender believes to be alive; 0 if it does
            not say.
    """

    number: int
    news: Sequence[MemberRecord] = ()
    alive: int = 0


class PingRequest(
    Message, frozen=True, omit_defaults=True, tag="gossip.ping_request"
):
    """Asks the receiver to ping a member that does not answer the sender."""

    number: int
    node: NodeId
    news: Sequence[MemberRecord] = ()


GOSSIP_MESSAGES = (Ping, Ack, PingRequest)
