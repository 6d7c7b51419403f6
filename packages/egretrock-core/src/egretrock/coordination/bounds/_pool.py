"""Requests that the home of a target hands out to the nodes."""

from egretrock.coordination.base import TokenBucket
from egretrock.coordination.bounds._settings import BoundSettings


class TargetPool:
    """Token bucket of a target at its home.

    It starts empty: a predecessor may have granted all that the bound allows
    up to now.

    Args:
        reachable_share: Share of the fleet that the home reaches.
        settings: Settings.
        now_s: Time at which the node became the home.
    """

    def __init__(
        self, reachable_share: float, settings: BoundSettings, now_s: float
    ) -> None:
        self._settings = settings
        self._bucket = TokenBucket(now_s)
        self._reachable_share = reachable_share
        self._queue_end_s = now_s

    def take(
        self,
        count: int,
        rate_per_s: float,
        reachable_share: float,
        now_s: float,
    ) -> tuple[int, float]:
        """Takes up to ``count`` tokens.

        The pools of two homes on two sides of a partition grow by the rate
        once, as each grows by the share of the fleet that it reaches. It
        grows by the lower of the shares at the last call and now, because the
        share may have changed at any time in between.

        Returns:
            The tokens taken, and the seconds after which the asker may ask
            again: its place among those that found the pool empty.
        """
        settings = self._settings
        accrual_share = min(reachable_share, self._reachable_share)
        self._reachable_share = reachable_share
        size = (1.0 + rate_per_s * settings.burst_s) * reachable_share
        self._bucket.refill(rate_per_s * accrual_share, max(1.0, size), now_s)
        granted_count = min(count, int(self._bucket.tokens))
        if granted_count:
            self._bucket.take(granted_count)
            return granted_count, 0.0
        shared_rate_per_s = rate_per_s * reachable_share
        earliest_s = now_s + (1.0 - self._bucket.tokens) / shared_rate_per_s
        self._queue_end_s = max(
            earliest_s, self._queue_end_s + 1.0 / shared_rate_per_s
        )
        self._queue_end_s = min(self._queue_end_s, now_s + settings.max_wait_s)
        return 0, self._queue_end_s - now_s
