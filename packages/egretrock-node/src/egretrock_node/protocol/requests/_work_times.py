"""How long the requests of each route take at an idle target."""

from collections.abc import Set

from egretrock.state.ids import RouteId

#: Weight of the newest answer in the moving average.
_WEIGHT = 0.05


class WorkTimes:
    """Moving averages of the time at a target, by route.

    The slowdown that was expected when a request was sent is divided out, so
    that the average does not grow while targets are slow or have queues.

    Example:
        >>> work = WorkTimes()
        >>> work.expected_s("status") is None
        True
        >>> work.on_answer("status", 0.3, 1.5)
        >>> work.expected_s("status")
        0.2
    """

    def __init__(self) -> None:
        self._mean_s: dict[RouteId, float] = {}

    def on_answer(
        self, route: RouteId, latency_s: float, slowdown: float
    ) -> None:
        """Records a complete answer.

        Args:
            route: Route of the request.
            latency_s: Time from sending the request to the end of the answer.
            slowdown: Slowdown that was expected of the target.
        """
        sample_s = latency_s / max(1.0, slowdown)
        mean_s = self._mean_s.get(route, sample_s)
        self._mean_s[route] = mean_s + _WEIGHT * (sample_s - mean_s)

    def expected_s(self, route: RouteId) -> float | None:
        """Returns the usual time, or None before the first answer."""
        return self._mean_s.get(route)

    def retain(self, routes: Set[RouteId]) -> None:
        """Keeps only the averages of ``routes``."""
        for route in self._mean_s.keys() - routes:
            del self._mean_s[route]
