"""The metrics of a node in the Prometheus text format."""

import itertools
import re
from collections.abc import Iterator
from typing import Any

from egretrock_node.observability._metrics import (
    BUCKETS_S,
    Histogram,
    StatsdCounters,
)

_INVALID_NAME_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")


def metrics_text(counters: StatsdCounters) -> bytes:
    """Returns all counters, gauges and histograms.

    The library is imported on the first call: a process whose metrics are
    never requested starts sooner and uses less memory without it.

    Args:
        counters: Counters of the node.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(_Collector(counters))
    return generate_latest(registry)


class _Collector:
    def __init__(self, counters: StatsdCounters) -> None:
        self._counters = counters

    def collect(self) -> Iterator[Any]:
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, value in self._counters.totals().items():
            yield CounterMetricFamily(_metric_name(name), name, value=value)
        for name, value in self._counters.gauges().items():
            yield GaugeMetricFamily(_metric_name(name), name, value=value)
        for name, histogram in self._counters.histograms().items():
            yield HistogramMetricFamily(
                _metric_name(name) + "_seconds",
                name,
                buckets=_cumulative_buckets(histogram),
                sum_value=histogram.sum_s,
            )


def _cumulative_buckets(histogram: Histogram) -> list[tuple[str, int]]:
    bounds = [*(str(bound_s) for bound_s in BUCKETS_S), "+Inf"]
    totals = itertools.accumulate(histogram.counts)
    return list(zip(bounds, totals, strict=True))


def _metric_name(name: str) -> str:
    return "egretrock_" + _INVALID_NAME_CHARACTER.sub("_", name)
