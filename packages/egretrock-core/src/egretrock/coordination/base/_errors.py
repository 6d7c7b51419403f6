"""Isolation of callbacks from unexpected exceptions of each other."""

from collections.abc import Callable
from types import TracebackType

#: Called with an activity and an unexpected exception that ended it.
ErrorHandler = Callable[[str, Exception], None]


def raise_error(activity: str, error: Exception) -> None:
    """Raises an error again; the handler of callers that isolate nothing."""
    del activity
    raise error


class _Isolation:
    """Context of ``isolated``; a generator would cost more per message."""

    __slots__ = ("_activity", "_on_error")

    def __init__(self, activity: str, on_error: ErrorHandler) -> None:
        self._activity = activity
        self._on_error = on_error

    def __enter__(self) -> None:
        pass

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        if not isinstance(exc, Exception):
            return False
        self._on_error(self._activity, exc)
        return True


def isolated(activity: str, on_error: ErrorHandler) -> _Isolation:
    """Passes an exception to a handler, so that what follows still runs.

    Args:
        activity: What runs in the context, for the log.
        on_error: Handles the exception.

    Example:
        >>> with isolated("division", lambda name, error: print(name, error)):
        ...     1 // 0
        division integer division or modulo by zero
    """
    return _Isolation(activity, on_error)
