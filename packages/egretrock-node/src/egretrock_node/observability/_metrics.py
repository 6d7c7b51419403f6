"""Counters and gauges, kept in memory and sent to statsd in batches."""

import bisect
import collections
import contextlib
from typing import Any

from egretrock.state.config import split_address

#: Largest payload that an Ethernet link carries without IP fragmentation.
_MAX_DATAGRAM_BYTES = 1400


#: Upper bounds of the buckets, in seconds. Each is about 1.6 times the
#: previous one, from the fastest answer of a target to the longest deadline.
BUCKETS_S = (
    0.001,
    0.002,
    0.004,
    0.006,
    0.01,
    0.016,
    0.025,
    0.04,
    0.06,
    0.1,
    0.16,
    0.25,
    0.4,
    0.6,
    1.0,
    1.6,
    2.5,
    4.0,
    6.0,
    10.0,
)


class Histogram:
    """A histogram of durations.

    Attributes:
        counts: Number of durations per bucket; the last has no upper bound.
        sum_s: Sum of all durations.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def add(self, value_s: float) -> None:
        """Counts a duration.

        Example:
            >>> histogram = Histogram()
            >>> histogram.add(0.0015)
            >>> histogram.counts[:3]
            [0, 1, 0]
        """
        self.counts[bisect.bisect_left(BUCKETS_S, value_s)] += 1
        self.sum_s += value_s


class StatsdCounters:
    """Metrics of a node; implements ``egretrock.coordination.base.Counters``.

    Counting only updates a dictionary, so it is cheap enough for the hot path.
    ``flush`` sends the counts since the last flush.

    Args:
        address: ``"ip:port"`` of a statsd server, or None to send nothing.
        prefix: Prefix of each metric name.
    """

    def __init__(self, address: str | None, prefix: str = "egretrock") -> None:
        self._totals: collections.Counter[str] = collections.Counter()
        self._unsent: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, Histogram] = {}
        self._client = _make_client(address, prefix) if address else None

    def increment(self, name: str, count: int = 1) -> None:
        """Adds ``count`` to the counter ``name``."""
        self._unsent[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge ``name``."""
        self._gauges[name] = value

    def observe(self, name: str, value_s: float) -> None:
        """Adds a duration to the histogram ``name``."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.add(value_s)

    def histograms(self) -> dict[str, "Histogram"]:
        """Returns the histograms by name."""
        return dict(sorted(self._histograms.items()))

    def totals(self) -> dict[str, int]:
        """Returns all counters since the start of the process, by name."""
        merged = self._totals + self._unsent
        return dict(sorted(merged.items()))

    def gauges(self) -> dict[str, float]:
        """Returns the gauges by name."""
        return dict(sorted(self._gauges.items()))

    def flush(self) -> None:
        """Sends the counts and gauges; an unreachable server loses them."""
        unsent, self._unsent = self._unsent, collections.Counter()
        self._totals.update(unsent)
        if self._client is None:
            return
        with contextlib.suppress(OSError), self._client.pipeline() as batch:
            for name, count in unsent.items():
                batch.incr(name, count)
            for name, value in self._gauges.items():
                batch.gauge(name, value)


def _make_client(address: str, prefix: str) -> Any:
    # Imported here, so that a node without a statsd server starts sooner.
    import statsd

    host, port = split_address(address)
    return statsd.StatsClient(
        host,
        port,
        prefix=prefix,
        maxudpsize=_MAX_DATAGRAM_BYTES,
        ipv6=":" in host,
    )
