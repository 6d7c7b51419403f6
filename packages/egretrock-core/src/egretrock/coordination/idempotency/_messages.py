"""Messages of the idempotency records."""

import enum

import msgspec

from egretrock.coordination.base import Message
from egretrock.coordination.idempotency._records import RecordKey
from egretrock.state.ids import AttemptId, Incarnation
from egretrock.state.outcome import RunState


class BeginOutcome(enum.Enum):
    """Answer to an attempt."""

    FIRST = "first"
    SEEN = "seen"
    UNAVAILABLE = "unavailable"


class BeginResult(msgspec.Struct, frozen=True):
    """What a waiting request may do.

    Attributes:
        attempt: The attempt.
        outcome: ``FIRST`` allows the dispatch.
        run_state: For ``SEEN``, whether the first attempt ran; unknown while
            it is in flight.
        status: For ``SEEN``, the status code of the first answer, if known.
        dispatch_until_s: For ``FIRST``, the time before which the dispatch
            must happen; the caller checks it at the dispatch.
    """

    attempt: AttemptId
    outcome: BeginOutcome
    run_state: RunState = RunState.UNKNOWN
    status: int | None = None
    dispatch_until_s: float = 0.0


class Begin(Message, frozen=True, tag="idempotency.begin"):
    """Asks whether an attempt is the first of its key."""

    key: RecordKey
    attempt: AttemptId


class Answer(Message, frozen=True, tag="idempotency.answer"):
    """Answers ``idempotency.begin``."""

    attempt: AttemptId
    outcome: BeginOutcome
    run_state: RunState
    status: int | None


class Complete(Message, frozen=True, tag="idempotency.complete"):
    """Reports the outcome of an attempt.

    ``not_run`` frees the key, because nothing was sent to a target.
    """

    key: RecordKey
    attempt: AttemptId
    run_state: RunState
    status: int | None


class Noted(Message, frozen=True, tag="idempotency.noted"):
    """Confirms ``idempotency.complete``."""

    attempt: AttemptId


class Offer(Message, frozen=True, tag="idempotency.offer"):
    """A holder that stops offers its records; each chunk has a number."""

    number: int
    chunk_count: int


class Ready(Message, frozen=True, tag="idempotency.ready"):
    """The successor waits for the records of an offer."""

    number: int
    giver_incarnation: Incarnation


class RecordEntry(msgspec.Struct, frozen=True, array_like=True):
    """One record; the age in seconds is the one at the send."""

    key: RecordKey
    attempt: AttemptId
    age_s: float
    run_state: RunState
    status: int | None


class Records(Message, frozen=True, tag="idempotency.records"):
    """A part of the records of the partitions that are handed over.

    Attributes:
        number: Number of the offer.
        taker_incarnation: Process that is ready for them.
        chunk: Number of this part, from 0.
        partitions: Partitions of the offer, as a mask in hex.
        entries: Records.
    """

    number: int
    taker_incarnation: Incarnation
    chunk: int
    partitions: str
    entries: list[RecordEntry]


class RecordsNoted(Message, frozen=True, tag="idempotency.records_noted"):
    """Confirms one part."""

    number: int
    giver_incarnation: Incarnation
    chunk: int
