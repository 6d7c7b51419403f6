"""Bytes that wait in the send buffers of connections."""

from collections.abc import Iterator
from typing import Any


def buffered_bytes(transport: Any) -> int:
    """Returns the bytes that a TCP transport has not passed to the kernel."""
    # Twisted has no public interface for the size of the buffer.
    waiting_bytes = len(transport.dataBuffer) - transport.offset
    return waiting_bytes + transport._tempDataLen


class SendBuffers:
    """The connections whose send buffers may hold bytes of a body."""

    def __init__(self) -> None:
        self._connections: dict[Any, None] = {}

    def __iter__(self) -> Iterator[Any]:
        return iter(list(self._connections))

    def __contains__(self, connection: Any) -> bool:
        return connection in self._connections

    def add(self, connection: Any) -> None:
        """Adds a connection to which bytes were written."""
        self._connections[connection] = None

    def remove(self, connection: Any) -> None:
        """Removes a connection that was lost."""
        self._connections.pop(connection, None)

    def count(self) -> int:
        """Returns the bytes in all buffers; forgets empty connections."""
        total_bytes = 0
        for connection in self:
            waiting_bytes = buffered_bytes(connection.transport)
            total_bytes += waiting_bytes
            if not waiting_bytes:
                self.remove(connection)
        return total_bytes
