"""Observations of the bounds of one target."""

import msgspec

from egretrock.coordination.bounds._messages import BoundReport
from egretrock.coordination.bounds._reports import BoundKind

#: Seconds for which the end of a bound is remembered, so that older reports
#: of other nodes do not bring it back.
_END_MEMORY_S = 10.0
#: An observation that only repeats the known rate replaces it if it is newer
#: by this. Each transmission makes an observation look a little newer.
_MIN_REPEAT_S = 0.1


class Observation(msgspec.Struct, frozen=True):
    """What is known of one bound.

    Attributes:
        rate_per_s: Requests per second of all nodes, or None for no bound.
        observed_s: When the target said so.
    """

    rate_per_s: float | None
    observed_s: float


class Observations:
    """The newest observation of each bound of one target."""

    def __init__(self) -> None:
        self._newest: dict[BoundKind, Observation] = {}

    def merge(self, kind: BoundKind, new: Observation) -> bool:
        """Adds an observation; returns whether it was the newest one."""
        known = self._newest.get(kind)
        if known is None:
            if new.rate_per_s is None:
                return False
        else:
            is_repeat = new.rate_per_s == known.rate_per_s
            margin_s = _MIN_REPEAT_S if is_repeat else 0.0
            if new.observed_s <= known.observed_s + margin_s:
                return False
        self._newest[kind] = new
        return True

    def newest_s(self, kind: BoundKind) -> float:
        """Returns when a bound was observed last; -inf if never."""
        known = self._newest.get(kind)
        return float("-inf") if known is None else known.observed_s

    def rate_of(self, kind: BoundKind) -> float | None:
        """Returns the rate of one bound, or None if there is none."""
        known = self._newest.get(kind)
        return None if known is None else known.rate_per_s

    def rate_per_s(self) -> float | None:
        """Returns the lowest rate of all bounds, or None without a bound."""
        rates = [
            known.rate_per_s
            for known in self._newest.values()
            if known.rate_per_s is not None
        ]
        return min(rates, default=None)

    def reports(self, now_s: float) -> tuple[BoundReport, ...]:
        """Returns the observations in the form that nodes send."""
        return tuple(
            BoundReport(
                kind,
                known.rate_per_s,
                max(0, round((now_s - known.observed_s) * 1000)),
            )
            for kind, known in self._newest.items()
        )

    def is_older_than(self, age_s: float, now_s: float) -> bool:
        """Returns whether the newest observation is older than ``age_s``."""
        newest_s = max(
            (known.observed_s for known in self._newest.values()),
            default=float("-inf"),
        )
        return now_s - newest_s > age_s

    def forget_ended(self, now_s: float) -> bool:
        """Removes old ends of bounds; returns whether nothing is left."""
        for kind, known in list(self._newest.items()):
            is_old = now_s - known.observed_s > _END_MEMORY_S
            if known.rate_per_s is None and is_old:
                del self._newest[kind]
        return not self._newest
