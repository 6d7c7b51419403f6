"""Bounds on the requests that all nodes together send to a target."""

from egretrock.coordination.bounds._bounds import TargetBounds
from egretrock.coordination.bounds._reports import (
    BoundChange,
    BoundKind,
    LimitReport,
)

__all__ = ["BoundChange", "BoundKind", "LimitReport", "TargetBounds"]
