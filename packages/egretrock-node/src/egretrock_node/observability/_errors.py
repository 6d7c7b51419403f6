"""Log and counter of unexpected exceptions."""

import time
import traceback
from collections.abc import Callable
from typing import Any

import logbook
from twisted.logger import LogLevel, formatEvent, globalLogBeginner
from twisted.python.failure import Failure

from egretrock.coordination.base import Counters

_log = logbook.Logger("egretrock.errors")

#: Counter of all unexpected exceptions, logged or not.
ERROR_COUNTER = "errors.unexpected"
#: Interval between two lines about the same exception, which may be raised at
#: each tick or message.
_REPEAT_INTERVAL_S = 60.0
#: Different exceptions whose last line is remembered.
_MAX_REMEMBERED = 64
_MAX_REASON_CHARS = 300
#: The end of a traceback names the place of the error.
_MAX_TRACEBACK_CHARS = 2_000


class ErrorLog:
    """Logs and counts unexpected exceptions.

    An exception that is raised again and again is logged once a minute, with
    the number of times that it was raised since.

    Args:
        counters: Counters of the node.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self, counters: Counters, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._counters = counters
        self._clock = clock
        self._last_logged_s: dict[tuple[str, ...], float] = {}
        self._unlogged_counts: dict[tuple[str, ...], int] = {}

    def report(self, activity: str, error: BaseException) -> None:
        """Reports an exception that ended an activity.

        Args:
            activity: What was done, in words without variable parts.
            error: The exception.
        """
        text = "".join(traceback.format_exception(error))
        frames = traceback.extract_tb(error.__traceback__)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        self._report(activity, error, place, text)

    def observe_twisted(self) -> None:
        """Reports the exceptions that reach the reactor from now on.

        Twisted writes them to standard error otherwise, without a bound on
        their volume.
        """
        globalLogBeginner.beginLoggingTo(
            [self._on_twisted_event],
            discardBuffer=True,
            redirectStandardIO=False,
        )

    def _on_twisted_event(self, event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if isinstance(failure, Failure):
            place = failure.frames[-1][1:3] if failure.frames else ()
            self._report(
                "reactor",
                failure.value,
                ":".join(map(str, place)),
                failure.getTraceback(),
            )
        elif event.get("log_level") is LogLevel.critical:
            if event.get("isError"):
                return  # Only a title; the event with the failure follows.
            reason = formatEvent(event)
            self._report("reactor", RuntimeError(reason), reason, "")

    def _report(
        self, activity: str, error: BaseException, place: str, text: str
    ) -> None:
        self._counters.increment(ERROR_COUNTER)
        kind = (activity, type(error).__name__, place)
        now_s = self._clock()
        last_s = self._last_logged_s.get(kind, float("-inf"))
        if now_s - last_s < _REPEAT_INTERVAL_S:
            count = self._unlogged_counts.get(kind, 0)
            self._unlogged_counts[kind] = count + 1
            return
        if len(self._last_logged_s) >= _MAX_REMEMBERED:
            self._last_logged_s.clear()
            self._unlogged_counts.clear()
        self._last_logged_s[kind] = now_s
        _log.error(
            "unexpected error",
            extra={
                "activity": activity,
                "error": type(error).__name__,
                "reason": _printable(error)[:_MAX_REASON_CHARS],
                "repeats": self._unlogged_counts.pop(kind, 0),
                "traceback": text[-_MAX_TRACEBACK_CHARS:],
            },
        )


def _printable(error: BaseException) -> str:
    # Lone surrogates cannot be encoded in a line of the log.
    return str(error).encode(errors="replace").decode()
