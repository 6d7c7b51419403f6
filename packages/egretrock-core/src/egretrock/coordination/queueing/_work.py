"""Work that the requests of a route need."""

import collections

import msgspec

from egretrock.state.ids import RouteId, ServiceId

_MAX_SAMPLES = 32
#: Fewest samples that tell the work of a route.
_MIN_SAMPLES = 8
#: Age from which samples are dropped, so that a route whose requests are all
#: refused is tried again.
_MAX_AGE_S = 30.0
#: Share of the samples below the shortest work that is expected. Shorter ones
#: are too rare to begin a request for.
_SHORTEST_QUANTILE = 0.05
#: Share of the samples that the typical work covers, so that most requests that
#: begin at the last moment are in time.
_TYPICAL_QUANTILE = 0.75
#: Largest number of routes whose samples are kept.
_MAX_ROUTES = 10_000
#: Longest slowdown of an attempt whose duration is taken for its work.
MAX_SAMPLE_SLOWDOWN = 1.5


class WorkEstimate(msgspec.Struct, frozen=True):
    """Slot time that a request needs at the usual pace of its service.

    Attributes:
        typical_s: Slot time that three quarters of the requests do not exceed.
        shortest_s: Slot time that nearly all requests exceed; 0 if not known.
    """

    typical_s: float
    shortest_s: float


class _Samples:
    def __init__(self) -> None:
        self.values_s: collections.deque[tuple[float, float]]
        self.values_s = collections.deque(maxlen=_MAX_SAMPLES)
        self.estimate: WorkEstimate | None = None

    def update(self, now_s: float) -> None:
        while self.values_s and now_s - self.values_s[0][0] > _MAX_AGE_S:
            self.values_s.popleft()
        count = len(self.values_s)
        if count < _MIN_SAMPLES:
            self.estimate = None
            return
        ordered = sorted(value_s for _, value_s in self.values_s)
        self.estimate = WorkEstimate(
            ordered[int(count * _TYPICAL_QUANTILE)],
            ordered[int(count * _SHORTEST_QUANTILE)],
        )


class WorkEstimates:
    """Distribution of the slot time of each route, from its last answers."""

    def __init__(self) -> None:
        self._samples: dict[tuple[ServiceId, RouteId], _Samples] = {}

    def report(
        self,
        service: ServiceId,
        route: RouteId,
        work_s: float,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Records an answer.

        The expected slowdown is divided out; answers of targets that were
        expected to be slow are left out.

        Args:
            service: Service of the request.
            route: Route of the request.
            work_s: Time from sending the request to the end of the answer.
            slowdown: Slowdown that was expected.
            now_s: Time.
        """
        if slowdown > MAX_SAMPLE_SLOWDOWN:
            return
        if len(self._samples) >= _MAX_ROUTES:
            self._samples.clear()
        samples = self._samples.setdefault((service, route), _Samples())
        samples.values_s.append((now_s, work_s / max(1.0, slowdown)))
        samples.update(now_s)

    def estimate(
        self, service: ServiceId, route: RouteId, now_s: float
    ) -> WorkEstimate | None:
        """Returns the work of a route, or None if it is not known."""
        samples = self._samples.get((service, route))
        if samples is None:
            return None
        if now_s - samples.values_s[0][0] > _MAX_AGE_S:
            samples.update(now_s)
            if not samples.values_s:
                del self._samples[service, route]
        return samples.estimate
