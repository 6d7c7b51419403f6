"""Notices settings that change without a signal."""

from collections.abc import Callable

#: Seconds between two looks at the settings file.
CHECK_PERIOD_S = 1.0


class SettingsWatch:
    """Reloads the settings when their file has changed.

    Args:
        version: Returns a value that differs after each change of the file,
            at the cost of a system call. May raise ``OSError`` while the file
            is replaced.
        reload: Reads and applies the settings; keeps the old ones on errors.
    """

    def __init__(
        self, version: Callable[[], object], reload: Callable[[], None]
    ) -> None:
        self._version = version
        self._reload = reload
        self._seen = self._current()

    def on_tick(self, now_s: float) -> None:
        """Reloads the settings if the file is another one than before."""
        del now_s
        current = self._current()
        if current is not None and current != self._seen:
            self._seen = current
            self._reload()

    def _current(self) -> object | None:
        try:
            return self._version()
        except OSError:
            return None
