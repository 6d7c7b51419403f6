"""A token bucket."""


class TokenBucket:
    """A bucket whose rate and size may change at any time.

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
        """Adds what is due since the last call, up to the size."""
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self.tokens = min(size, self.tokens + passed_s * rate_per_s)

    def take(self, count: float) -> bool:
        """Takes tokens; returns False and takes none if there are too few."""
        if self.tokens < count:
            return False
        self.tokens -= count
        return True
