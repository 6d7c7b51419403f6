"""A token bucket."""


class TokenBucket:
    """A token bucket whose rate and size may change at any time.

    Args:
        now_s: Time of the start.
        tokens: Tokens at the start.

    Example:
        >>> bucket = TokenBucket(0.0)
        >>> bucket.refill(2.0, 5.0, 1.5)
        >>> bucket.take(3.0), bucket.take(1.0)
        (True, False)
    """

    def __init__(self, now_s: float, tokens: float = 0.0) -> None:
        self.tokens = tokens
        self._updated_s = now_s

    def refill(self, rate_per_s: float, size: float, now_s: float) -> None:
        """Adds the tokens due since the last call, up to ``size`` in total."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self.tokens = min(size, self.tokens + elapsed_s * rate_per_s)

    def take(self, count: float) -> bool:
        """Takes ``count`` tokens; takes none and returns False if too few."""
        if self.tokens < count:
            return False
        self.tokens -= count
        return True
