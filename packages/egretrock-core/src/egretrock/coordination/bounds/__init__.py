"""Bounds on the requests that all nodes together send to a target."""

from egretrock.coordination.bounds._bounds import (
    FleetMembers,
    TargetBounds,
    Unbounded,
)
from egretrock.coordination.bounds._connections import idle_connection_share
from egretrock.coordination.bounds._messages import (
    BOUND_MESSAGES,
    BoundAnswer,
    BoundAsk,
    BoundNews,
    BoundReport,
)
from egretrock.coordination.bounds._reports import (
    BoundChange,
    BoundKind,
    LimitReport,
)
from egretrock.coordination.bounds._settings import BoundSettings

__all__ = [
    "BOUND_MESSAGES",
    "BoundAnswer",
    "BoundAsk",
    "BoundChange",
    "BoundKind",
    "BoundNews",
    "BoundReport",
    "BoundSettings",
    "FleetMembers",
    "LimitReport",
    "TargetBounds",
    "Unbounded",
    "idle_connection_share",
]
