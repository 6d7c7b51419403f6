"""What one node has seen of the targets of a service."""

import math

from egretrock.coordination.evidence._messages import (
    CountEntry,
    instance_hash,
    target_hash,
)
from egretrock.state.ids import InstanceId, TargetId

#: Attempts below which the counts of a target are forgotten.
_MIN_ATTEMPTS = 0.05


class DecayingCounts:
    """Attempts and failures of which each halves within a half-life.

    Args:
        half_life_s: Half-life, > 0.
        now_s: Time.

    Example:
        >>> counts = DecayingCounts(2.0, now_s=0.0)
        >>> counts.add(1.0, now_s=0.0)
        >>> counts.at(2.0)
        (0.5, 0.5)
    """

    __slots__ = ("_attempts", "_failures", "_half_life_s", "_updated_s")

    def __init__(self, half_life_s: float, now_s: float) -> None:
        self._half_life_s = half_life_s
        self._attempts = 0.0
        self._failures = 0.0
        self._updated_s = now_s

    def add(self, failure: float, now_s: float) -> None:
        """Adds an attempt and its failure, from 0 to 1."""
        attempts, failures = self.at(now_s)
        self._attempts = attempts + 1.0
        self._failures = failures + failure
        self._updated_s = max(now_s, self._updated_s)

    def at(self, now_s: float) -> tuple[float, float]:
        """Returns attempts and failures at a time."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        factor = 0.5 ** (elapsed_s / self._half_life_s)
        return self._attempts * factor, self._failures * factor


def window_s(half_life_s: float) -> float:
    """Returns the count at a steady rate, divided by this rate.

    Example:
        >>> round(window_s(2.0), 2)
        2.89
    """
    return half_life_s / math.log(2)


class TargetTotals:
    """Outcomes of one target at one node.

    Attributes:
        instance: Instance that they belong to, or None if it is unknown.
        last_failure_s: When it failed last; -inf if never.
    """

    def __init__(
        self, target: TargetId, half_life_s: float, now_s: float
    ) -> None:
        self.instance: InstanceId | None = None
        self.last_failure_s = float("-inf")
        self._hash = target_hash(target)
        self._previous_instance: InstanceId | None = None
        self._half_life_s = half_life_s
        self._counts = DecayingCounts(half_life_s, now_s)

    def add(
        self, instance: InstanceId | None, failure: float, now_s: float
    ) -> bool:
        """Adds an outcome; returns whether it counts.

        An outcome of a new instance ends the counts of the one before. A late
        outcome of that one does not count.
        """
        if instance is not None and instance != self.instance:
            if instance == self._previous_instance:
                return False
            if self.instance is not None:
                self._previous_instance = self.instance
                self._counts = DecayingCounts(self._half_life_s, now_s)
                self.last_failure_s = float("-inf")
            self.instance = instance
        self._counts.add(failure, now_s)
        if failure:
            self.last_failure_s = now_s
        return True

    def failure_rate(self, prior_attempts: float, now_s: float) -> float:
        """Returns the share of failures, lower if there were few attempts."""
        attempts, failures = self._counts.at(now_s)
        return failures / (attempts + prior_attempts)

    def entry(self, now_s: float) -> CountEntry:
        """Returns the counts in the form in which they are reported."""
        attempts, failures = self._counts.at(now_s)
        return CountEntry(
            self._hash, instance_hash(self.instance), attempts, failures
        )

    def is_forgotten(self, now_s: float) -> bool:
        """Returns whether nothing is left of the counts."""
        return self._counts.at(now_s)[0] < _MIN_ATTEMPTS
