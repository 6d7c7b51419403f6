"""Bounds on the requests per second that all nodes send to a target."""

from egretrock.coordination.base import Counters, NullCounters
from egretrock.coordination.bounds._reports import (
    BoundChange,
    BoundKind,
    LimitReport,
)
from egretrock.state.ids import TargetId


class TargetBounds:
    """Keeps the bounds of targets that this node knows of.

    Args:
        counters: Metrics.
    """

    def __init__(self, counters: Counters | None = None) -> None:
        self._counters = counters or NullCounters()
        self._limits_per_s: dict[TargetId, float] = {}
        self._changes: list[BoundChange] = []

    @property
    def bounded_count(self) -> int:
        """Number of targets with a bound."""
        return len(self._limits_per_s)

    def on_report(
        self, target: TargetId, report: LimitReport, now_s: float
    ) -> None:
        """Records the limit in an answer of a target."""
        del now_s
        rate_per_s = report.rate_per_s
        if rate_per_s == self._limits_per_s.get(target):
            return
        if rate_per_s is None:
            del self._limits_per_s[target]
        else:
            self._limits_per_s[target] = rate_per_s
        self._changes.append(
            BoundChange(target, BoundKind.NAMED_LIMIT, rate_per_s)
        )

    def on_send(self, target: TargetId) -> None:
        """Counts a request that is sent to a target."""
        if target in self._limits_per_s:
            self._counters.increment("bounds.sent")

    def take_changes(self) -> list[BoundChange]:
        """Returns the changes since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes
