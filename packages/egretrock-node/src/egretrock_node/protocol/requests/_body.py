"""The body of a request on its way from the caller to a target."""


class BodyBudget:
    """Bytes of all bodies that the node holds.

    Args:
        max_bytes: Bytes above which bodies are passed on as they come, and
            not kept for a retry. At twice as many, bodies are refused.
    """

    __slots__ = ("_max_bytes", "held_bytes")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0

    @property
    def is_over(self) -> bool:
        """Whether no more should be held for longer than needed."""
        return self.held_bytes > self._max_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more may be held."""
        return self.held_bytes > 2 * self._max_bytes


class BodyBuffer:
    """Holds the start of a body, so that it can be sent more than once.

    A body within ``limit_bytes`` is kept until the answer begins. A larger
    one is dropped as soon as it was sent, and can then not be sent again.

    Attributes:
        complete: Whether the whole body has arrived.
        replayable: Whether all bytes so far are held.
        received_bytes: Bytes received so far.
        held: Bytes held. One buffer, because a list of pieces takes many
            times its bytes where a caller sends chunks of one byte.
    """

    __slots__ = (
        "_budget",
        "_limit_bytes",
        "complete",
        "held",
        "received_bytes",
        "replayable",
    )

    def __init__(self, limit_bytes: int, budget: BodyBudget) -> None:
        self._limit_bytes = limit_bytes
        self._budget = budget
        self.complete = False
        self.replayable = True
        self.received_bytes = 0
        self.held = bytearray()

    @property
    def is_full(self) -> bool:
        """Whether no more should be read before something was sent."""
        return self.received_bytes >= self._limit_bytes or self._budget.is_over

    def add(self, data: bytes, sent: bool) -> None:
        """Takes a piece.

        Args:
            data: The piece.
            sent: Whether it went to the target already.
        """
        self.received_bytes += len(data)
        if not sent or (self.replayable and not self._is_over):
            self.held += data
            self._budget.held_bytes += len(data)
        elif self.replayable:
            self.drop()

    def after_send(self) -> None:
        """Called once what is held was sent; drops what is too large."""
        if self._is_over or (self.is_full and not self.complete):
            self.drop()

    def drop(self) -> None:
        """Gives up the held bytes."""
        if self.received_bytes:
            self._budget.held_bytes -= len(self.held)
            self.held = bytearray()
            self.replayable = False

    @property
    def _is_over(self) -> bool:
        return self.received_bytes > self._limit_bytes or self._budget.is_over
