"""A sequence of alternatives in proportion to their weights."""

import bisect
import itertools
import math
import random
from collections.abc import Mapping
from typing import Generic, TypeVar

T = TypeVar("T")

#: Step through a cycle, as a fraction of its length. Multiples of the inverse
#: golden ratio modulo 1 are spread more evenly than those of other numbers.
_STEP_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


class WeightedRotation(Generic[T]):
    """Chooses among alternatives in proportion to their weights.

    Each position of a cycle belongs to one alternative, and as many positions
    as its weight do. Every choice moves on by the same step. Step and length
    have no common divisor, so any series of choices as long as a cycle has
    exactly the shares of the weights, and shorter ones are close to them.

    The first position is drawn at random. Each single choice therefore has the
    probabilities of the weights, the first one included, so the shares also
    hold over many rotations of which each chooses once or twice.

    Args:
        weights: Weight of each alternative, an integer of 1 or more.
        rng: Source of the first position.

    Raises:
        ValueError: If there is no alternative, or a weight is below 1.

    Example:
        >>> rotation = WeightedRotation({"a": 30, "b": 10}, random.Random(1))
        >>> sorted(rotation.choose() for _ in range(4))
        ['a', 'a', 'a', 'b']
    """

    def __init__(self, weights: Mapping[T, int], rng: random.Random) -> None:
        if not weights:
            raise ValueError("weights: there is no alternative")
        for alternative, weight in weights.items():
            if weight < 1:
                raise ValueError(
                    f"weights: {alternative!r} has {weight!r}, below 1"
                )
        divisor = math.gcd(*weights.values())
        self._alternatives = list(weights)
        # The end of each alternative's positions in a cycle.
        self._ends = list(
            itertools.accumulate(
                weight // divisor for weight in weights.values()
            )
        )
        self._length = self._ends[-1]
        self._step = _step_of(self._length)
        self._position = rng.randrange(self._length)

    def choose(self) -> T:
        """Returns the next alternative."""
        index = bisect.bisect_right(self._ends, self._position)
        self._position = (self._position + self._step) % self._length
        return self._alternatives[index]


def _step_of(length: int) -> int:
    """Returns the step nearest to the ratio without a common divisor."""
    ideal = round(length * _STEP_RATIO)
    for distance in itertools.count():
        for step in (ideal + distance, ideal - distance):
            if math.gcd(step, length) == 1:
                return step
    raise AssertionError("1 has no common divisor with any length")
