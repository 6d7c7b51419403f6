"""Memory for the bodies of requests, or of answers, that a node holds."""

from collections.abc import Callable

#: Part of the limit by which the unsent bytes may be overestimated.
_RECOUNT_DIVISOR = 8


class MemoryBudget:
    """Memory budget for all bodies of one kind that the node holds.

    A body uses memory while it is held back, and while it waits in the send
    buffer of a connection whose peer reads slowly.

    Args:
        max_bytes: Bytes above which bodies are kept no longer than needed:
            they are read only as fast as they can be sent, and those that
            were sent are dropped. At twice as many, requests are refused.

    Attributes:
        held_bytes: Bytes that are held back.
        count_unsent: Returns the bytes that wait in the send buffers; set by
            the owner of the connections.
    """

    __slots__ = (
        "_counted_bytes",
        "_max_bytes",
        "_unsent_bytes",
        "count_unsent",
        "held_bytes",
    )

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0
        self.count_unsent: Callable[[], int] = lambda: 0
        # At least the bytes that wait: what was sent meanwhile is only
        # deducted at the next count.
        self._unsent_bytes = 0
        self._counted_bytes = 0

    def add_unsent(self, size_bytes: int) -> None:
        """Adds bytes that were written to a send buffer."""
        self._unsent_bytes += size_bytes

    def recount(self) -> int:
        """Counts the unsent bytes; returns all bytes in use."""
        self._unsent_bytes = self._counted_bytes = self.count_unsent()
        return self.held_bytes + self._unsent_bytes

    @property
    def exceeds_soft_limit(self) -> bool:
        """Whether bodies must be kept no longer than needed."""
        return self._exceeds(self._max_bytes)

    @property
    def exceeds_hard_limit(self) -> bool:
        """Whether requests must be refused."""
        return self._exceeds(2 * self._max_bytes)

    def _exceeds(self, limit_bytes: int) -> bool:
        if self.held_bytes + self._unsent_bytes <= limit_bytes:
            return False
        written_bytes = self._unsent_bytes - self._counted_bytes
        if written_bytes > self._max_bytes // _RECOUNT_DIVISOR:
            self.recount()
        return self.held_bytes + self._unsent_bytes > limit_bytes
