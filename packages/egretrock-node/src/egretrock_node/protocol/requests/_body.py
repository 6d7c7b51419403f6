"""The body of a request on its way to a target, and memory for bodies."""

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


class BodyBuffer:
    """Holds the start of a body, so that it can be sent again on a retry.

    A body of at most ``limit_bytes`` is kept until the answer begins. A larger
    one is dropped as soon as it was sent and cannot be sent again; while it
    waits to be sent, it is read up to ``max_waiting_bytes``.

    Attributes:
        complete: Whether the whole body has arrived.
        replayable: Whether all bytes so far are held.
        received_bytes: Bytes received so far.
        held: Bytes held. One buffer, because a list of chunks needs many
            times their bytes if a caller sends chunks of one byte.
    """

    __slots__ = (
        "_budget",
        "_limit_bytes",
        "_max_waiting_bytes",
        "complete",
        "held",
        "received_bytes",
        "replayable",
    )

    def __init__(
        self, limit_bytes: int, max_waiting_bytes: int, budget: MemoryBudget
    ) -> None:
        self._limit_bytes = limit_bytes
        self._max_waiting_bytes = max(limit_bytes, max_waiting_bytes)
        self._budget = budget
        self.complete = False
        self.replayable = True
        self.received_bytes = 0
        self.held = bytearray()

    @property
    def is_full(self) -> bool:
        """Whether the request should be sent although the body is incomplete.

        A target is occupied while it receives a body, so it gets the request
        only once much of the body can be sent at once.
        """
        return (
            self.received_bytes >= self._limit_bytes
            or self._budget.exceeds_soft_limit
        )

    @property
    def must_wait(self) -> bool:
        """Whether reading should stop until the held bytes were sent."""
        return (
            self.received_bytes >= self._max_waiting_bytes
            or self._budget.exceeds_soft_limit
        )

    def add(self, data: bytes, sent: bool) -> None:
        """Adds a chunk.

        Args:
            data: The chunk.
            sent: Whether it is sent to the target right away.
        """
        self.received_bytes += len(data)
        if not sent or (self.replayable and not self._exceeds_limit):
            self.held += data
            self._budget.held_bytes += len(data)
        elif self.replayable:
            self.drop()

    def on_held_sent(self) -> None:
        """Called once the held bytes were sent; drops an oversize body."""
        if self._exceeds_limit or (self.is_full and not self.complete):
            self.drop()

    def drop(self) -> None:
        """Frees the held bytes; the body can then not be sent again."""
        # A body of which no byte has arrived can still be sent again.
        if self.received_bytes:
            self._budget.held_bytes -= len(self.held)
            self.held = bytearray()
            self.replayable = False

    @property
    def _exceeds_limit(self) -> bool:
        return (
            self.received_bytes > self._limit_bytes
            or self._budget.exceeds_soft_limit
        )
