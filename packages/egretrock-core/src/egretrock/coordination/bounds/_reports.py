"""What targets report about the requests that they take."""

import enum
from typing import NamedTuple

import msgspec

from egretrock.state.ids import TargetId


class BoundKind(enum.Enum):
    """Why the requests to a target are bounded.

    Attributes:
        NAMED_LIMIT: The target names a limit in its answers.
        WARM_UP: The target is cold.
    """

    NAMED_LIMIT = "named_limit"
    WARM_UP = "warm_up"


class LimitReport(msgspec.Struct, frozen=True):
    """The limit in an answer that a target made itself.

    Attributes:
        rate_per_s: Requests per second that the target takes from all nodes
            together, or None if it names no limit.
    """

    rate_per_s: float | None


class BoundChange(NamedTuple):
    """A bound began, changed or ended, as this node learned.

    Attributes:
        target: Target.
        kind: Kind of the bound.
        rate_per_s: Requests per second of all nodes together, or None if the
            bound has ended.
    """

    target: TargetId
    kind: BoundKind
    rate_per_s: float | None
