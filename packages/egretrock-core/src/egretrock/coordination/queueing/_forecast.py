"""Forecasts of when a waiting request begins, and when to return."""

import collections

#: Span of the takes that a pace is computed from.
_WINDOW_S = 1.0
#: Shortest time with requests waiting after which a pace is known.
_MIN_BUSY_S = 0.25
_MAX_TAKES = 1000
#: Smallest share of the pace that is taken to be left for late requests.
_MIN_SURPLUS = 0.05
#: Share of the time that a caller has left within which it is told to return,
#: so that another attempt can still be served.
_MAX_RETURN_SHARE = 1 / 3
#: Takes at the usual rate that fail to come in a stall; fewer are chance.
_MIN_MISSED_TAKES = 8.0
#: A stall is forecast to last at most this many times as long as it has lasted.
_STALL_FACTOR = 4.0
_MIN_RETURN_S = 0.05


class ServicePace:
    """Rates at which a service is offered and takes requests.

    They are measured while requests wait; otherwise the takes are as many as
    the offers and do not show what the service could take.
    """

    def __init__(self) -> None:
        self._taken_s: collections.deque[float] = collections.deque(
            maxlen=_MAX_TAKES
        )
        self._offered_s: collections.deque[float] = collections.deque(
            maxlen=_MAX_TAKES
        )
        self._busy_since_s: float | None = None
        self._last_take_s = float("-inf")
        self._usual_per_s = 0.0

    def on_offer(self, now_s: float) -> None:
        """Records that a request was offered."""
        if self._offered_s and now_s - self._offered_s[-1] > _WINDOW_S:
            self.on_empty()
        self._offered_s.append(now_s)
        if self._busy_since_s is None:
            self._busy_since_s = now_s

    def on_take(self, now_s: float, usual_per_s: float) -> None:
        """Records that a request was taken.

        Args:
            now_s: Time.
            usual_per_s: Requests taken per second in the last seconds.
        """
        if self._stall_s(now_s) is not None:
            # The pace is measured anew after a stall.
            self.on_empty()
            self._busy_since_s = now_s
        self._taken_s.append(now_s)
        self._last_take_s = now_s
        self._usual_per_s = usual_per_s

    def stall_wait_s(self, count: int, now_s: float) -> float | None:
        """Returns the wait in a stall, in which no request is taken.

        The pace of a short stall is no forecast: it may end at any time, and
        requests are taken at the usual rate then.

        Args:
            count: Requests that are taken until then.
            now_s: Time.

        Returns:
            The time in seconds, or None if requests are being taken or no
            rate is known.
        """
        stall_s = self._stall_s(now_s)
        if stall_s is None:
            return None
        return _STALL_FACTOR * stall_s + count / self._usual_per_s

    def _stall_s(self, now_s: float) -> float | None:
        """Returns how long no request has been taken, or None."""
        if self._busy_since_s is None or self._usual_per_s <= 0:
            return None
        stall_s = now_s - max(self._last_take_s, self._busy_since_s)
        missed_count = stall_s * self._usual_per_s
        return stall_s if missed_count >= _MIN_MISSED_TAKES else None

    def on_empty(self) -> None:
        """Records that all waiting requests were taken.

        The takes show no pace then. A queue that is empty because its
        requests were refused keeps its pace.
        """
        self._busy_since_s = None
        self._taken_s.clear()
        self._offered_s.clear()

    def surplus_per_s(self, now_s: float) -> float | None:
        """Returns the rate that is left for requests beyond the new ones.

        It is at least a small share of the pace, as offers vary.
        """
        return self.left_per_s(1.0, now_s)

    def left_per_s(self, offered_share: float, now_s: float) -> float | None:
        """Returns the rate that a share of the new requests leaves to others.

        Args:
            offered_share: Share of the offered requests that go first.
            now_s: Time.
        """
        pace_per_s = self.per_s(now_s)
        if pace_per_s is None:
            return None
        since_s = max(self._busy_since_s, now_s - _WINDOW_S)
        while self._offered_s and self._offered_s[0] < since_s:
            self._offered_s.popleft()
        offered_per_s = offered_share * len(self._offered_s) / (now_s - since_s)
        return max(pace_per_s - offered_per_s, _MIN_SURPLUS * pace_per_s)

    def per_s(self, now_s: float) -> float | None:
        """Returns the requests per second, or None if it is not known yet."""
        if self._busy_since_s is None:
            return None
        since_s = max(self._busy_since_s, now_s - _WINDOW_S)
        busy_s = now_s - since_s
        if busy_s < _MIN_BUSY_S:
            return None
        while self._taken_s and self._taken_s[0] < since_s:
            self._taken_s.popleft()
        # One more, so that a stall of a second is no pace of zero.
        return (len(self._taken_s) + 1) / busy_s


class ReturnTimes:
    """Spreads the returns of refused callers.

    They return in the order in which they were refused, as many per second as
    the service takes.
    """

    def __init__(self) -> None:
        self._next_return_s = float("-inf")

    def retry_after_s(
        self, left_s: float, pace_per_s: float, now_s: float
    ) -> float:
        """Returns after how many seconds the next refused caller returns.

        Args:
            left_s: Seconds to the deadline of its request.
            pace_per_s: Requests that the service takes per second, > 0.
            now_s: Time.
        """
        latest_s = max(_MIN_RETURN_S, left_s * _MAX_RETURN_SHARE)
        earliest_s = max(_MIN_RETURN_S, latest_s / 2)
        at_s = max(self._next_return_s, now_s + earliest_s)
        self._next_return_s = min(at_s + 1 / pace_per_s, now_s + latest_s)
        return min(at_s - now_s, latest_s)
