"""Memory for answers that callers have not taken yet."""

from collections.abc import Callable

#: Part of the limit by which the unsent bytes may be overestimated.
_RECOUNT_DIVISOR = 8


class AnswerBudget:
    """Memory budget for all answers that the node holds.

    An answer is held while it is incomplete, so that a damaged one can be
    replaced, and while it waits in the send buffer of its caller.

    Args:
        max_bytes: Bytes above which answers are neither held back nor read
            ahead of their callers. At twice as many, requests are refused.

    Attributes:
        held_bytes: Bytes that are held back until their answer is complete.
        count_unsent: Returns the bytes that wait in the callers' send buffers;
            set by the owner of these buffers.
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
        """Adds bytes that were written to a caller's send buffer."""
        self._unsent_bytes += size_bytes

    def recount(self) -> int:
        """Counts the unsent bytes; returns all bytes in use."""
        self._unsent_bytes = self._counted_bytes = self.count_unsent()
        return self.held_bytes + self._unsent_bytes

    @property
    def exceeds_read_ahead_limit(self) -> bool:
        """Whether answers must be read only as fast as callers take them."""
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
