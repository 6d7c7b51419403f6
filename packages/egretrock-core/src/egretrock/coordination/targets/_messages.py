"""Messages between the nodes and the home of a service.

A session belongs to one client process and one epoch of the home. Permits
are numbered from 1 within a session, so that a repeated grant is recognised
and a lost one shows as a gap. A client sends totals (numbers received, demand
since the start of the session), so a later message replaces an earlier one.
"""

import enum
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

import msgspec

from egretrock.coordination.base import Message
from egretrock.state.ids import InstanceId, ServiceId, TargetId

T = TypeVar("T")

#: Validity of a permit, counted by the client from the send of its ask.
PERMIT_VALIDITY_S = 0.25
#: Validity of a standing permit, counted from the same time.
STANDING_VALIDITY_S = 1.0
#: Maximum size of one list in a message. A datagram holds 1,400 bytes,
#: including its envelope and the fixed fields.
MAX_LIST_BYTES = 900


class AttemptOutcome(enum.Enum):
    """How the use of a permit ended."""

    OK = "ok"
    ERROR = "err"  # answered with a server error
    SHED = "shed"  # the target answered that it did not run the request
    CONNECT_FAILED = "ref"  # no connection could be made
    LOST = "lost"  # the connection closed during the request
    TIMEOUT = "time"
    CANCELLED = "can"
    UNUSED = "un"  # nothing was sent
    UNUSABLE = "bad"  # the node's configuration does not allow the target


class TargetCondition(enum.Enum):
    """State that a target reports about itself."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


class Trust(enum.Enum):
    """State of a target as the home sees it."""

    COLD = "c"  # warming up: its limit rises with time and successes
    WARM = "w"  # warmed up; its instance is confirmed
    SUSPECT = "s"  # a connection closed; the instance is unconfirmed
    DOWN = "d"  # no connection can be made
    DRAINING = "g"  # it reported that it is draining


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a permit, or of one attempt on a standing permit.

    Attributes:
        number: Number of the permit in its session.
        outcome: How the permit or attempt ended.
        released: Whether the permit is returned.
        latency_ms: Time from dispatch to the end of the answer.
        instance: Instance that answered, if other than the permit's.
        condition: State in the answer, if other than ``ready``.
    """

    number: int
    outcome: AttemptOutcome
    released: bool = True
    latency_ms: float = 0.0
    instance: InstanceId | None = None
    condition: TargetCondition | None = None


class Ask(Message, frozen=True, omit_defaults=True, tag="targets.ask"):
    """Demand and reports of one node for one service.

    Attributes:
        seq: Number of the message in its session, from 1.
        demand: Permits wanted since the start of the session, including
            those received; the home issues up to this number.
        through: All permits up to this number were received.
        beyond: Numbers received above ``through``.
        avoid: Targets that some waiting requests must not use.
        strict: Number of waiting requests that have targets to avoid.
        renew: Standing permits to extend, with the fraction of time in
            use of each.
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


class GrantedPermit(msgspec.Struct, frozen=True, array_like=True):
    """One permit of a grant.

    Attributes:
        number: Number in the session.
        target: Target that may be used.
        ask_seq: Number of the ask from whose send the validity counts.
        instance: Instance that the permit is for, if known.
        new_connection: Whether it may be used without an open connection
            to ``instance``.
        standing: Whether it may be used repeatedly until it expires.
    """

    number: int
    target: TargetId
    ask_seq: int
    instance: InstanceId | None
    new_connection: bool = False
    standing: bool = False


class Grant(Message, frozen=True, omit_defaults=True, tag="targets.permit"):
    """Permits and acknowledgements from the home.

    Attributes:
        ack: Number of the ask that this answers, or 0.
        query: Permits that the client must report as unused unless it holds
            them.
        renewed: Standing permits whose validity now counts from the send of
            ``ack``.
        recall: Whether the client must return idle standing permits.
        summary: Version of the current summary.
    """

    service: ServiceId
    epoch: int
    session: int
    ack: int = 0
    permits: Sequence[GrantedPermit] = ()
    query: Sequence[int] = ()
    renewed: Sequence[int] = ()
    recall: bool = False
    summary: int = 0


class HeldPermit(msgspec.Struct, frozen=True, array_like=True):
    """A permit, or a request in flight, from before the session."""

    number: int
    target: TargetId
    instance: InstanceId | None
    new_connection: bool


class Inventory(
    Message, frozen=True, omit_defaults=True, tag="targets.inventory"
):
    """Start of a session: permits and connections of the client.

    Attributes:
        part: Number of this part, from 0 to ``parts`` - 1.
        held: Permits and requests in flight, numbered from 1.
        connected: Targets with an open connection, each with the instance
            that answered on it.
    """

    service: ServiceId
    epoch: int
    session: int
    part: int
    parts: int
    held: Sequence[HeldPermit] = ()
    connected: Sequence[tuple[TargetId, InstanceId]] = ()


class Census(Message, frozen=True, omit_defaults=True, tag="targets.census"):
    """Request of the home for the inventory of a node.

    Attributes:
        epoch: Random number that the home chose when it took over.
        session: Last session of the node known to the home, or 0.
    """

    service: ServiceId
    epoch: int
    session: int = 0


class NotHome(Message, frozen=True, omit_defaults=True, tag="targets.not_home"):
    """Answer of a node that does not hold the partition."""

    service: ServiceId


class SummaryEntry(msgspec.Struct, frozen=True, array_like=True):
    """State of one target as the home sees it."""

    target: TargetId
    trust: Trust
    instance: InstanceId | None


class Summary(Message, frozen=True, omit_defaults=True, tag="targets.summary"):
    """States of the targets of a service, split into ``parts`` messages."""

    service: ServiceId
    epoch: int
    version: int
    part: int
    parts: int
    targets: list[SummaryEntry]


TARGET_MESSAGES = (Ask, Grant, Inventory, Census, NotHome, Summary)


def chunks(items: Iterable[T], budget_bytes: int) -> Iterator[list[T]]:
    """Splits items into lists whose size as JSON is limited.

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
    """Returns the first items whose size as JSON fits the budget."""
    return next(chunks(items, budget_bytes), [])
