"""Latencies and outcomes of a run."""

import collections

import msgspec
from hdrh.histogram import HdrHistogram

from egretrock_standins.load._spec import Caller

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class CallerResult(msgspec.Struct):
    """Outcomes of one caller.

    Attributes:
        latencies: Encoded histogram of answers with status 200, in
            microseconds.
        outcomes: Count by outcome: ``ok``, ``refused:CODE:RUN_STATE``,
            ``status:N``, ``error:TYPE``, ``timeout`` or ``mismatch`` (an
            answer to another request).
        timeline: By second since the start, the count by outcome of the
            requests whose intended time is in that second.
        beyond_rate: Requests that an exact token bucket would refuse.
    """

    latencies: str
    outcomes: dict[str, int]
    timeline: dict[int, dict[str, int]]
    beyond_rate: int = 0

    def histogram(self) -> HdrHistogram:
        """Returns the latencies."""
        return HdrHistogram.decode(self.latencies)

    @property
    def sent(self) -> int:
        """Returns how many requests were sent."""
        return sum(self.outcomes.values())

    @property
    def ok(self) -> int:
        """Returns how many were answered with 200 and the right body."""
        return self.outcomes.get("ok", 0)

    @property
    def refused_within_rate(self) -> int:
        """Returns ``over_rate`` refusals in excess of ``beyond_rate``."""
        over = self.outcomes.get("refused:over_rate:not_run", 0)
        return max(0, over - self.beyond_rate)


class RequestRecord(msgspec.Struct, array_like=True):
    """One request as its caller saw it.

    Attributes:
        caller: Name of the caller.
        address: Server that it was sent to.
        method: Method.
        path: Path, unique to the request.
        intended_s: Intended time of sending by the system's monotonic clock.
        outcome: Outcome as in ``CallerResult``.
    """

    caller: str
    address: str
    method: str
    path: str
    intended_s: float
    outcome: str


class LoadResult(msgspec.Struct):
    """Results of all callers.

    Attributes:
        elapsed_s: Seconds from the start to the last answer.
        callers: Results by caller name.
        late_us: The 99th percentile of the generator's own delay in sending,
            in microseconds; if large, the generator is the bottleneck.
        requests: Each request, if the specification asked for it.
    """

    elapsed_s: float
    callers: dict[str, CallerResult]
    late_us: int = 0
    requests: list[RequestRecord] = []

    def histogram(self) -> HdrHistogram:
        """Returns the latencies of all callers."""
        total = new_histogram()
        for caller in self.callers.values():
            total.add(caller.histogram())
        return total

    def outcomes(self) -> dict[str, int]:
        """Returns the count by outcome over all callers."""
        total: collections.Counter[str] = collections.Counter()
        for caller in self.callers.values():
            total.update(caller.outcomes)
        return dict(total)


class Recorder:
    """Collects the outcomes of one caller during a run."""

    def __init__(self, caller: Caller) -> None:
        self._rate_per_s = caller.limit_rate_per_s
        self._burst = caller.limit_burst
        self._tokens = caller.limit_burst
        self._tokens_at_s = 0.0
        self._beyond_rate = 0
        self._histogram = new_histogram()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._timeline: dict[int, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    def count_arrival(self, intended_s: float) -> None:
        """Takes a token from the exact bucket; calls are in arrival order."""
        if self._rate_per_s is None:
            return
        refill = (intended_s - self._tokens_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._tokens_at_s = intended_s
        if self._tokens >= 1:
            self._tokens -= 1
        else:
            self._beyond_rate += 1

    def add(self, outcome: str, intended_s: float, latency_s: float) -> None:
        """Adds one request; ``intended_s`` counts from the start."""
        if outcome == "ok":
            latency_us = max(1, round(latency_s * 1e6))
            self._histogram.record_value(min(latency_us, MAX_LATENCY_US))
        self._outcomes[outcome] += 1
        self._timeline[int(intended_s)][outcome] += 1

    def result(self) -> CallerResult:
        """Returns what was collected."""
        return CallerResult(
            latencies=self._histogram.encode().decode(),
            outcomes=dict(self._outcomes),
            timeline={s: dict(c) for s, c in self._timeline.items()},
            beyond_rate=self._beyond_rate,
        )


def merge_results(results: list[LoadResult]) -> LoadResult:
    """Adds up the results of generators that ran at the same time."""
    names = sorted({name for result in results for name in result.callers})
    merged: dict[str, CallerResult] = {}
    for name in names:
        parts = [r.callers[name] for r in results if name in r.callers]
        histogram = new_histogram()
        outcomes: collections.Counter[str] = collections.Counter()
        timeline: dict[int, collections.Counter[str]] = collections.defaultdict(
            collections.Counter
        )
        for part in parts:
            histogram.add(part.histogram())
            outcomes.update(part.outcomes)
            for second, counts in part.timeline.items():
                timeline[second].update(counts)
        merged[name] = CallerResult(
            latencies=histogram.encode().decode(),
            outcomes=dict(outcomes),
            timeline={s: dict(c) for s, c in sorted(timeline.items())},
            beyond_rate=sum(part.beyond_rate for part in parts),
        )
    return LoadResult(
        elapsed_s=max(result.elapsed_s for result in results),
        callers=merged,
        late_us=max(result.late_us for result in results),
        requests=[r for result in results for r in result.requests],
    )
