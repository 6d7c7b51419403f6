"""HTTP servers of small pages, with bounds on what their callers may send."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IDelayedCall
from twisted.web import http

from egretrock_node.protocol.http import head_line_error
from egretrock_node.transport._receiving import BoundedChannel

#: Time for a request, and longest idle time of a connection.
_TIMEOUT_S = 30.0
#: Largest body of a request. No page reads one; tools send a few bytes.
_MAX_BODY_BYTES = 4_096
_TOO_LARGE = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class PageChannel(BoundedChannel):
    """Connection of a caller of pages.

    ``twisted.web`` stores bodies without a limit, in memory or in a temporary
    file, so only small ones whose length is known are read. The timeout is not
    restarted by the bytes of a slow caller.
    """

    def call_soon(self, callback: Callable[[], None]) -> IDelayedCall:
        """Schedules ``callback`` for the next turn of the reactor."""
        return self.callLater(0, callback)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Refuses lines that continue a field; they may have no end."""
        if line and head_line_error(line) is not None:
            self._respondToBadRequestAndDisconnect()
        else:
            super().lineReceived(line)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Refuses a request whose body is large or of unknown length."""
        if self.length is None or self.length > _MAX_BODY_BYTES:
            self.transport.write(_TOO_LARGE)
            self.loseConnection()
        else:
            super().allHeadersReceived()


class PageFactory(http.HTTPFactory):
    """Accepts callers of pages; subclasses set ``requestFactory``.

    Args:
        reactor: Twisted reactor.
    """

    noisy = False
    requestFactory: Callable[..., http.Request]  # noqa: N815

    def __init__(self, reactor: Any, **arguments: Any) -> None:
        super().__init__(timeout=_TIMEOUT_S, reactor=reactor, **arguments)

    def buildProtocol(self, addr: Any) -> PageChannel:  # noqa: N802
        """Returns the protocol of a connection."""
        channel = PageChannel()
        channel.factory = channel.site = self
        channel.requestFactory = self.requestFactory
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request: http.Request) -> None:
        """Writes no access log, which would contain little but polls."""
