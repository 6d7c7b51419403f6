"""Messages between the nodes and the home of a service.

A session joins one client process to one epoch of the home. Permits are
numbered from 1 within a session, so that a repeated grant is recognised and
a lost one shows as a gap. Everything a client states is absolute (numbers
received, demand in total), so a later message replaces an earlier one.
"""

import enum
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

import msgspec

from egretrock.coordination.base import Message
from egretrock.state.ids import InstanceId, ServiceId, TargetId

T = TypeVar("T")

#: Validity of a permit, counted by the client from the send of the ask.
PERMIT_S = 0.25
#: Validity of a standing permit, counted alike.
STANDING_S = 1.0
#: Bytes of one list in a message. A datagram holds 1,400 bytes with its
#: envelope and the fixed fields.
LIST_BYTES = 900


class CallOutcome(enum.Enum):
    """What came of a permit."""

    OK = "ok"
    ERROR = "err"  # answered with a server error
    SHED = "shed"
    REFUSED = "ref"  # no connection could be made
    LOST = "lost"  # the connection broke in mid-request
    TIMEOUT = "time"
    CANCELLED = "can"
    UNUSED = "un"  # nothing was sent
    UNUSABLE = "bad"  # the node's configuration rules the target out


class TargetCondition(enum.Enum):
    """State that a target reports about itself."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


class Trust(enum.Enum):
    """What the home concludes about a target."""

    COLD = "c"  # on its ramp
    WARM = "w"
    SUSPECT = "s"  # a connection broke; the instance is unconfirmed
    DOWN = "d"  # no connection can be made
    DRAINING = "g"


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a permit, or of one call on a standing permit.

    Attributes:
        number: Number of the permit in its session.
        outcome: What came of it.
        released: Whether the permit is given back.
        latency_ms: Time from dispatch to the end of the answer.
        instance: Instance that answered, if it is not the permit's.
        condition: State named in the answer, if it is not ``ready``.
    """

    number: int
    outcome: CallOutcome
    released: bool = True
    latency_ms: float = 0.0
    instance: InstanceId | None = None
    condition: TargetCondition | None = None


class Ask(Message, frozen=True, omit_defaults=True, tag="targets.ask"):
    """Demand and reports of one node for one service.

    Attributes:
        seq: Number of the message in its session, from 1.
        demand: Permits wanted since the start of the session, received ones
            included; the home issues up to this number.
        through: All permits up to this number were received.
        beyond: Further numbers received.
        avoid: Targets that some waiting requests must not go to.
        strict: Number of waiting requests with targets to avoid.
        renew: Standing permits to prolong, with the busy fraction of each.
        lost: Targets whose last connection closed since the last message.
        summary: Version of the summary that the client has.
    """

    service: ServiceId
    epoch: int
    session: int
    seq: int
    demand: int
    through: int
    beyond: Sequence[int] = ()
    avoid: Sequence[TargetId] = ()
    strict: int = 0
    reports: Sequence[Report] = ()
    renew: Sequence[tuple[int, float]] = ()
    lost: Sequence[TargetId] = ()
    summary: int = 0


class Granted(msgspec.Struct, frozen=True, array_like=True):
    """One permit of a grant.

    Attributes:
        number: Number in the session.
        target: Target that may be used.
        ask: Number of the ask from whose send the validity counts.
        instance: Instance that the permit is for, if known.
        new_connection: Whether it may be used without an open connection
            to ``instance``.
        standing: Whether it may be used again until it expires.
    """

    number: int
    target: TargetId
    ask: int
    instance: InstanceId | None
    new_connection: bool = False
    standing: bool = False


class Grant(Message, frozen=True, omit_defaults=True, tag="targets.permit"):
    """Permits and acknowledgements of the home.

    Attributes:
        ack: Ask that this answers, or 0.
        query: Permits that the client shall give back unless it holds them.
        renewed: Standing permits that count anew from the send of ``ack``.
        recall: Whether idle standing permits shall be given back.
        summary: Version of the current summary.
    """

    service: ServiceId
    epoch: int
    session: int
    ack: int = 0
    permits: Sequence[Granted] = ()
    query: Sequence[int] = ()
    renewed: Sequence[int] = ()
    recall: bool = False
    summary: int = 0


class HeldPermit(msgspec.Struct, frozen=True, array_like=True):
    """A permit, or a request in flight, that a client brings along."""

    number: int
    target: TargetId
    instance: InstanceId | None
    new_connection: bool


class Inventory(
    Message, frozen=True, omit_defaults=True, tag="targets.inventory"
):
    """Start of a session: all that the client holds for a service.

    Attributes:
        part: Number of this part, from 0 to ``parts`` - 1.
        held: Permits and requests in flight, numbered from 1.
        connected: Targets with an open connection, and the instance that
            answered on it.
    """

    service: ServiceId
    epoch: int
    session: int
    part: int
    parts: int
    held: Sequence[HeldPermit] = ()
    connected: Sequence[tuple[TargetId, InstanceId]] = ()


class Census(Message, frozen=True, omit_defaults=True, tag="targets.census"):
    """The home asks a node for its inventory.

    Attributes:
        epoch: Number drawn by the home when it took over.
        session: Session of the node that the home knows, or 0.
    """

    service: ServiceId
    epoch: int
    session: int = 0


class NotHome(Message, frozen=True, omit_defaults=True, tag="targets.not_home"):
    """The receiver of an ask does not hold the partition."""

    service: ServiceId


class SummaryEntry(msgspec.Struct, frozen=True, array_like=True):
    """Trust in one target."""

    target: TargetId
    trust: Trust
    instance: InstanceId | None


class Summary(Message, frozen=True, omit_defaults=True, tag="targets.summary"):
    """Trust in the targets of a service; ``parts`` messages make it whole."""

    service: ServiceId
    epoch: int
    version: int
    part: int
    parts: int
    targets: list[SummaryEntry]


TARGET_MESSAGES = (Ask, Grant, Inventory, Census, NotHome, Summary)


def chunks(items: Iterable[T], budget_bytes: int) -> Iterator[list[T]]:
    """Splits items into lists that stay within a size as JSON.

    Example:
        >>> list(chunks(["aa", "bb", "cc"], 10))
        [['aa', 'bb'], ['cc']]
    """
    chunk: list[T] = []
    size_bytes = 0
    for item in items:
        item_bytes = len(msgspec.json.encode(item)) + 1
        if chunk and size_bytes + item_bytes > budget_bytes:
            yield chunk
            chunk, size_bytes = [], 0
        chunk.append(item)
        size_bytes += item_bytes
    if chunk:
        yield chunk


def first_chunk(items: Iterable[T], budget_bytes: int) -> list[T]:
    """Returns the first items that stay within a size as JSON."""
    return next(chunks(items, budget_bytes), [])
