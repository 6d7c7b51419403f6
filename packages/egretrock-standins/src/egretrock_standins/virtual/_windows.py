"""Sliding windows over recorded times."""

import collections
from collections.abc import Iterable


def max_count_in_window(times_s: Iterable[float], window_s: float) -> int:
    """Returns the largest number of times in any window of this length.

    Args:
        times_s: Times in ascending order.
        window_s: Length of a window; a time exactly at its start is excluded.

    Example:
        >>> most_in_window([0.0, 1.0, 4.0, 5.0, 5.5], 5.0)
        4
    """
    window: collections.deque[float] = collections.deque()
    most = 0
    for at_s in times_s:
        window.append(at_s)
        while window[0] <= at_s - window_s:
            window.popleft()
        most = max(most, len(window))
    return most
