"""Messages of the idempotency records."""

import enum

import msgspec

from egretrock.coordination.base import Message
from egretrock.coordination.idempotency._records import RecordKey
from egretrock.state.ids import AttemptId, Incarnation
from egretrock.state.outcome import RunState


class BeginOutcome(enum.Enum):
    """The holder's decision on an attempt.

    Attributes:
        FIRST: The attempt is recorded as the first one and may be dispatched.
        SEEN: Another attempt is recorded, which may have run.
        UNAVAILABLE: The holder cannot decide, has no room or did not answer,
            so the attempt is refused.
    """

    FIRST = "first"
    SEEN = "seen"
    UNAVAILABLE = "unavailable"


class BeginResult(msgspec.Struct, frozen=True):
    """Whether a waiting request may be dispatched.

    Attributes:
        record_attempt: The attempt that began the record.
        outcome: Only ``FIRST`` allows the dispatch.
        run_state: For ``SEEN``, whether the first attempt ran; unknown while
            it is in flight.
        status: For ``SEEN``, the status code of the first answer, if known.
        dispatch_until_s: For ``FIRST``, the time before which the dispatch
            must happen; the caller checks it at the dispatch.
    """

    record_attempt: AttemptId
    outcome: BeginOutcome
    run_state: RunState = RunState.UNKNOWN
    status: int | None = None
    dispatch_until_s: float = 0.0


class Begin(Message, frozen=True, tag="idempotency.begin"):
    """Asks whether an attempt is the first one of its key."""

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

    ``not_run`` frees the key for another attempt, because nothing was sent
    to a target.
    """

    key: RecordKey
    attempt: AttemptId
    run_state: RunState
    status: int | None


class CompleteAck(Message, frozen=True, tag="idempotency.noted"):
    """Acknowledges ``idempotency.complete``."""

    attempt: AttemptId


class Offer(Message, frozen=True, tag="idempotency.offer"):
    """Offers the records of a stopping holder to a successor.

    Attributes:
        number: Number of the offer.
        chunk_count: Number of chunks that will be sent.
    """

    number: int
    chunk_count: int


class Ready(Message, frozen=True, tag="idempotency.ready"):
    """Says that the receiver is ready for the records of an offer.

    Attributes:
        number: Number of the offer.
        source_incarnation: Process that made the offer.
    """

    number: int
    source_incarnation: Incarnation = msgspec.field(name="giver_incarnation")


class RecordEntry(msgspec.Struct, frozen=True, array_like=True):
    """One record; ``age_s`` is its age when the message is sent."""

    key: RecordKey
    attempt: AttemptId
    age_s: float
    run_state: RunState
    status: int | None


class Records(Message, frozen=True, tag="idempotency.records"):
    """One chunk of the records that are handed over.

    Attributes:
        number: Number of the offer.
        receiver_incarnation: Process that said that it is ready.
        chunk: Index of this chunk, from 0.
        partitions: Partitions whose records are handed over, as a hexadecimal
            bit mask.
        entries: Records.
    """

    number: int
    receiver_incarnation: Incarnation = msgspec.field(name="taker_incarnation")
    chunk: int
    partitions: str
    entries: list[RecordEntry]


class RecordsAck(Message, frozen=True, tag="idempotency.records_noted"):
    """Acknowledges one chunk."""

    number: int
    source_incarnation: Incarnation = msgspec.field(name="giver_incarnation")
    chunk: int
