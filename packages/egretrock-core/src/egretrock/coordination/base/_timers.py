"""Timer service for periodic calls."""

from collections.abc import Callable
from types import TracebackType

from egretrock.coordination.base._errors import (
    ErrorHandler,
    isolated,
    raise_error,
)


class PeriodicTimer:
    """A periodic call; closing it, or leaving its context, cancels it."""

    def __init__(
        self,
        interval_s: float,
        callback: Callable[[float], None],
        due_s: float,
    ) -> None:
        if interval_s <= 0:
            raise ValueError(f"interval_s is {interval_s}; it must be above 0")
        self.interval_s = interval_s
        self.due_s = due_s
        self.active = True
        self._callback = callback

    def close(self) -> None:
        """Cancels the timer."""
        self.active = False

    def run(self, now_s: float) -> None:
        """Runs the callback and schedules the next call.

        The next call is scheduled from ``now_s``, so a process that resumes
        late runs the callback once and not once for each missed interval.
        """
        self.due_s = now_s + self.interval_s
        self._callback(now_s)

    def __enter__(self) -> "PeriodicTimer":
        """Returns the timer itself."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancels the timer."""
        self.close()


class TimerService:
    """Runs the timers that are due when ``advance`` is called.

    Args:
        now_s: Time.
        on_error: Handles an exception of a callback; the other callbacks run
            on, and the failed one is called again when it is due.

    Example:
        >>> timers = TimerService(now_s=0.0)
        >>> calls = []
        >>> subscription = timers.subscribe(1.0, calls.append)
        >>> timers.advance(0.5)
        >>> timers.advance(7.0)
        >>> calls
        [7.0]
    """

    def __init__(
        self, now_s: float, on_error: ErrorHandler = raise_error
    ) -> None:
        self._now_s = now_s
        self._on_error = on_error
        self._timers: list[PeriodicTimer] = []

    def subscribe(
        self,
        interval_s: float,
        callback: Callable[[float], None],
        first_delay_s: float | None = None,
    ) -> PeriodicTimer:
        """Calls ``callback(now_s)`` every ``interval_s`` seconds.

        Args:
            interval_s: Interval.
            callback: Called with the time.
            first_delay_s: Delay of the first call; None is one interval.

        Raises:
            ValueError: If ``interval_s`` is not above 0.
        """
        delay_s = interval_s if first_delay_s is None else first_delay_s
        due_s = self._now_s + delay_s
        timer = PeriodicTimer(interval_s, callback, due_s)
        self._timers.append(timer)
        return timer

    def advance(self, now_s: float) -> None:
        """Runs the callback of each timer that is due, once."""
        self._now_s = now_s
        for timer in list(self._timers):
            if timer.active and timer.due_s <= now_s:
                with isolated("timer", self._on_error):
                    timer.run(now_s)
        self._timers = [s for s in self._timers if s.active]

    def next_due_s(self) -> float | None:
        """Returns when the next timer is due, or None without one."""
        due = [s.due_s for s in self._timers if s.active]
        return min(due, default=None)
