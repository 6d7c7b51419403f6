"""Sending at a rate that the links of the nodes can take."""

import collections
from typing import Generic, TypeVar

import msgspec

from egretrock.coordination.base._buckets import TokenBucket

T = TypeVar("T")

#: Shortest pause until more items may leave. It is above the rounding errors
#: of times, so that the item that is waited for does leave then.
_MIN_PAUSE_S = 0.001


class PacingSettings(msgspec.Struct, frozen=True):
    """Rate of the messages that are paced.

    Attributes:
        bytes_per_s: Rate at which they leave. The default is 0.8 of a link of
            5 Mbit/s, the slowest that nodes run on.
        burst_bytes: Bytes that may leave at once after a pause. The default is
            a small update for each node of a fleet without a tree.
        max_waiting_bytes: Bytes that may wait. The default leaves within two
            seconds, by when nodes read the platform themselves.
    """

    bytes_per_s: float = 500_000.0
    burst_bytes: int = 16_000
    max_waiting_bytes: int = 1_000_000


_DEFAULTS = PacingSettings()


class PacedQueue(Generic[T]):
    """Items in order, each of which leaves when its bytes may be sent.

    A burst that is larger than the queue of a link loses what does not fit.

    Args:
        now_s: Time.
        settings: Rate and size.

    Example:
        >>> queue = PacedQueue(0.0, PacingSettings(1000.0, 500, 10_000))
        >>> for item in "abc":
        ...     _ = queue.add(item, 400)
        >>> queue.take(0.0), queue.next_s(0.0), queue.take(0.7)
        (['a'], 0.3, ['b'])
    """

    def __init__(
        self, now_s: float, settings: PacingSettings = _DEFAULTS
    ) -> None:
        self._settings = settings
        self._items: collections.deque[tuple[T, int]] = collections.deque()
        self._waiting_bytes = 0
        self._bucket = TokenBucket(now_s, settings.burst_bytes)

    def add(self, item: T, size_bytes: int) -> bool:
        """Adds an item; returns False if it does not fit and is dropped."""
        waiting_bytes = self._waiting_bytes + size_bytes
        if waiting_bytes > self._settings.max_waiting_bytes:
            return False
        self._items.append((item, size_bytes))
        self._waiting_bytes = waiting_bytes
        return True

    def take(self, now_s: float) -> list[T]:
        """Removes and returns the items that may leave now."""
        burst_bytes = self._settings.burst_bytes
        self._bucket.refill(self._settings.bytes_per_s, burst_bytes, now_s)
        items = []
        while self._items:
            item, size_bytes = self._items[0]
            # A larger item than the burst leaves when the bucket is full.
            if not self._bucket.take(min(size_bytes, burst_bytes)):
                break
            self._items.popleft()
            self._waiting_bytes -= size_bytes
            items.append(item)
        return items

    def next_s(self, now_s: float) -> float | None:
        """Returns when to call ``take`` again, or None if nothing waits.

        By then half of a burst may leave, or all that waits if that is less.
        """
        if not self._items:
            return None
        burst_bytes = self._settings.burst_bytes
        first_bytes = min(self._items[0][1], burst_bytes)
        wanted_bytes = min(self._waiting_bytes, burst_bytes // 2)
        missing_bytes = max(first_bytes, wanted_bytes) - self._bucket.tokens
        pause_s = missing_bytes / self._settings.bytes_per_s
        return now_s + max(_MIN_PAUSE_S, pause_s)
