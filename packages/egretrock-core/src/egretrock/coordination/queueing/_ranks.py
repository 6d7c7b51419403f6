"""Rates of a service by priority, and the share that each is served."""

import math
from collections.abc import Container

#: Time after which a request counts half.
_HALF_LIFE_S = 2.0
#: A priority is served at least this share as often as the whole service.
MIN_SERVED_SHARE = 1 / 3
#: Fewest recent requests of a priority that show how often it is served.
_MIN_OFFERED = 3.0


class _DecayedCount:
    def __init__(self) -> None:
        self._count = 0.0
        self._at_s = 0.0

    def add(self, now_s: float) -> None:
        self._count = self.value(now_s) + 1.0
        self._at_s = now_s

    def value(self, now_s: float) -> float:
        return self._count * 0.5 ** ((now_s - self._at_s) / _HALF_LIFE_S)


class RankRates:
    """Requests of a service that were offered and taken, by priority.

    Old requests fade out with a half-life of two seconds.
    """

    def __init__(self) -> None:
        self._offered: dict[int, _DecayedCount] = {}
        self._taken: dict[int, _DecayedCount] = {}

    def on_offer(self, priority: int, now_s: float) -> None:
        """Records a request that was offered."""
        self._offered.setdefault(priority, _DecayedCount()).add(now_s)

    def on_take(self, priority: int, now_s: float) -> None:
        """Records a request that was sent to a target."""
        self._taken.setdefault(priority, _DecayedCount()).add(now_s)

    def offered_per_s(self, now_s: float) -> float:
        """Returns the requests offered per second."""
        return _per_s(self._offered, now_s)

    def taken_per_s(self, now_s: float) -> float:
        """Returns the requests taken per second."""
        return _per_s(self._taken, now_s)

    def offered_share(
        self, now_s: float, priority: int, above: bool = False
    ) -> float:
        """Returns the share of a priority, or of all above it, of the offers.

        Args:
            now_s: Time.
            priority: Priority.
            above: Whether to count the higher priorities instead.
        """
        total = sum(count.value(now_s) for count in self._offered.values())
        if total <= 0:
            return 0.0
        part = sum(
            count.value(now_s)
            for other, count in self._offered.items()
            if (other < priority if above else other == priority)
        )
        return part / total

    def neglected(self, now_s: float, waiting: Container[int]) -> int | None:
        """Returns the priority that is served too rarely, or None.

        Args:
            now_s: Time.
            waiting: Priorities of which requests wait.
        """
        if len(self._offered) < 2:
            return None
        offered = sum(c.value(now_s) for c in self._offered.values())
        taken = sum(c.value(now_s) for c in self._taken.values())
        worst, worst_share = None, MIN_SERVED_SHARE * taken / max(offered, 1e-9)
        for priority, count in self._offered.items():
            own_offered = count.value(now_s)
            if priority not in waiting or own_offered < _MIN_OFFERED:
                continue
            own_taken = self._taken.get(priority)
            share = own_taken.value(now_s) / own_offered if own_taken else 0.0
            if share < worst_share:
                worst, worst_share = priority, share
        return worst


def _per_s(counts: dict[int, _DecayedCount], now_s: float) -> float:
    total = sum(count.value(now_s) for count in counts.values())
    return total * math.log(2.0) / _HALF_LIFE_S
