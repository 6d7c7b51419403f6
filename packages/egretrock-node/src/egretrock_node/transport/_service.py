"""Base class of the services that own sockets."""

import abc
from types import TracebackType
from typing import Any, Self

from twisted.internet import defer


class Service(abc.ABC):
    """Owns sockets from ``start`` to ``close``; a context manager for both."""

    @abc.abstractmethod
    def start(self) -> None:
        """Opens the sockets."""

    @abc.abstractmethod
    def close(self) -> defer.Deferred[Any]:
        """Closes the sockets; the deferred fires once they are closed."""

    def __enter__(self) -> Self:
        """Opens the sockets."""
        self.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes the sockets."""
        self.close()
