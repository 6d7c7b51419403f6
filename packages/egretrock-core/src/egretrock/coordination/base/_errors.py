"""Isolation of callbacks from unexpected exceptions of each other."""

import contextlib
from collections.abc import Callable, Iterator

#: Called with an activity and an unexpected exception that ended it.
ErrorHandler = Callable[[str, Exception], None]


def raise_error(activity: str, error: Exception) -> None:
    """Raises an error again; the handler of callers that isolate nothing."""
    del activity
    raise error


@contextlib.contextmanager
def isolated(activity: str, on_error: ErrorHandler) -> Iterator[None]:
    """Passes an exception to a handler, so that what follows still runs.

    Args:
        activity: What runs in the context, for the log.
        on_error: Handles the exception.

    Example:
        >>> with isolated("division", lambda name, error: print(name, error)):
        ...     1 // 0
        division integer division or modulo by zero
    """
    try:
        yield
    except Exception as error:
        on_error(activity, error)
