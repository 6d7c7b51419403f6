"""Sums of the counts that nodes report of a service."""

import collections
import statistics
from collections.abc import Iterable
from typing import NamedTuple

from egretrock.coordination.evidence._messages import CountEntry

#: Attempts at one target that any node may contribute, and the same as a
#: multiple of what the node in the middle contributes. Nodes spread requests
#: evenly, so a node that claims far more is wrong.
_MIN_CAP_ATTEMPTS = 1.0
_CAP_RATIO = 2.0


class TargetSums(NamedTuple):
    """Counts of one instance of a target, summed over nodes.

    Attributes:
        instance_hash: Instance, 0 if it is unknown.
        attempts: Attempts.
        failures: Failures of these.
        other_failures: Failures without those of the node that saw most.
        nodes: Number of nodes that reported it.
    """

    instance_hash: int
    attempts: float
    failures: float
    other_failures: float
    nodes: int


def sum_counts(
    reports: Iterable[tuple[float, Iterable[CountEntry]]],
) -> dict[int, TargetSums]:
    """Returns the sums of each target's current instance.

    The current instance is the one with the most attempts; those of an ended
    instance decay. Counts of an unknown instance are added to it.

    Args:
        reports: Remaining part of the counts, from 0 to 1, and the counts of
            each node.

    Example:
        >>> entry = CountEntry(7, 1, attempts=1.0, failures=1.0)
        >>> sum_counts([(1.0, [entry]), (0.5, [entry])])[7].failures
        1.5
    """
    by_instance: dict[int, dict[int, list[tuple[float, float]]]] = (
        collections.defaultdict(lambda: collections.defaultdict(list))
    )
    for remaining, entries in reports:
        for entry in entries:
            by_instance[entry.target_hash][entry.instance_hash].append(
                (entry.attempts * remaining, entry.failures * remaining)
            )
    return {
        target: _sum_current(instances)
        for target, instances in by_instance.items()
    }


def _sum_current(
    instances: dict[int, list[tuple[float, float]]],
) -> TargetSums:
    unknown = instances.pop(0, [])
    if not instances:
        return _sum_capped(0, unknown)
    sums = [
        _sum_capped(instance, counts) for instance, counts in instances.items()
    ]
    current = max(sums, key=lambda entry: entry.attempts).instance_hash
    if not unknown:
        return max(sums, key=lambda entry: entry.attempts)
    return _sum_capped(current, instances[current] + unknown)


def _sum_capped(instance: int, counts: list[tuple[float, float]]) -> TargetSums:
    cap = max(
        _MIN_CAP_ATTEMPTS,
        _CAP_RATIO * statistics.median(attempts for attempts, _ in counts),
    )
    attempts_sum = failures_sum = most_failures = 0.0
    for attempts, failures in counts:
        factor = min(1.0, cap / attempts) if attempts else 0.0
        attempts_sum += attempts * factor
        failures_sum += failures * factor
        most_failures = max(most_failures, failures * factor)
    return TargetSums(
        instance,
        attempts_sum,
        failures_sum,
        failures_sum - most_failures,
        len(counts),
    )
