"""How long ago the callers of a route first sent their requests."""

import collections

from egretrock.state.ids import RouteId

_MAX_SAMPLES = 64
_MIN_SAMPLES = 16
#: Samples that are taken for first attempts: from this share upwards, the
#: times that callers have left are the same.
_FIRST_ATTEMPT_SHARES = (0.7, 0.95)
#: Largest difference between them, which the network causes.
_MAX_SPREAD_MS = 20.0
#: Age below which a request is taken for a first attempt.
_MIN_AGE_MS = 30.0
#: Difference between the same deadline of several callers, and the share of the
#: callers from which it is one that they set themselves; callers that return
#: have different times left.
_SAME_MS, _MAX_ALIKE_SHARE = 5.0, 0.1
#: Largest number of routes whose samples are kept.
_MAX_ROUTES = 10_000


class CallerAges:
    """Tells by the time that callers have left since when they wait.

    Callers of a route mostly set the same deadline. One that returns after a
    refusal has less left than the others, by the time since its first attempt.
    Where callers set deadlines of their own, nothing is concluded.
    """

    def __init__(self) -> None:
        self._left_ms: dict[RouteId, collections.deque[float]] = {}

    def age_s(self, route: RouteId, left_ms: float) -> float:
        """Records a request and returns the time since its first attempt.

        Args:
            route: Route of the request.
            left_ms: Milliseconds that its caller waits for the answer.

        Returns:
            Seconds since the first attempt; 0 if it is one, or if the callers
            of the route differ.
        """
        if len(self._left_ms) >= _MAX_ROUTES:
            self._left_ms.clear()
        samples = self._left_ms.get(route)
        if samples is None:
            samples = collections.deque(maxlen=_MAX_SAMPLES)
            self._left_ms[route] = samples
        samples.append(left_ms)
        if len(samples) < _MIN_SAMPLES or left_ms >= max(samples):
            return 0.0
        ordered = sorted(samples)
        low_ms, high_ms = (
            ordered[int(share * (len(ordered) - 1))]
            for share in _FIRST_ATTEMPT_SHARES
        )
        age_ms = high_ms - left_ms
        if high_ms - low_ms > _MAX_SPREAD_MS or age_ms < _MIN_AGE_MS:
            return 0.0
        alike_count = sum(abs(other - left_ms) < _SAME_MS for other in samples)
        if alike_count > _MAX_ALIKE_SHARE * len(samples):
            return 0.0
        return age_ms / 1000
