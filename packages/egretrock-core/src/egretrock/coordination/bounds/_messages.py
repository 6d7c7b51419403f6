"""Messages between a node and the home of a target's bounds."""

import msgspec

from egretrock.coordination.base import Message
from egretrock.coordination.bounds._reports import BoundKind
from egretrock.state.ids import TargetId


class BoundReport(msgspec.Struct, frozen=True):
    """The newest observation of one bound that the sender knows.

    Attributes:
        kind: Kind of the bound.
        rate_per_s: Requests per second of all nodes together, or None if the
            target has no such bound.
        age_ms: Milliseconds since the observation, when the message was sent.
    """

    kind: BoundKind
    rate_per_s: float | None
    age_ms: int


class BoundAsk(Message, frozen=True, tag="bound.ask"):
    """Asks the home for requests that may be sent to a target.

    Attributes:
        target: Target.
        number: Identifies the ask; the answer repeats it.
        count: Requests that the sender would send.
        reports: Observations of the sender.
    """

    target: TargetId
    number: int
    count: int
    reports: tuple[BoundReport, ...]


class BoundAnswer(Message, frozen=True, omit_defaults=True, tag="bound.answer"):
    """Tokens that the home has deducted from the pool of a target.

    Attributes:
        target: Target.
        number: Number of the ask.
        count: Tokens granted; 0 if the pool is empty.
        wait_ms: Milliseconds after which the receiver may ask again.
        reports: Observations of the home.
    """

    target: TargetId
    number: int
    count: int
    wait_ms: int
    reports: tuple[BoundReport, ...]


class BoundNews(Message, frozen=True, tag="bound.news"):
    """Bounds of a target that began, changed or ended.

    A node sends them to the home, and the home to all nodes.
    """

    target: TargetId
    reports: tuple[BoundReport, ...]


BOUND_MESSAGES = (BoundAsk, BoundAnswer, BoundNews)
