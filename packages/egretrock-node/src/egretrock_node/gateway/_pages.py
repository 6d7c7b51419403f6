"""HTTP server of a single page, such as readiness or metrics."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IListeningPort
from twisted.web import http

from egretrock.state.config import split_address
from egretrock_node.transport._pages import PageFactory

PageRenderer = Callable[[], tuple[int, bytes]]


class _PageRequest(http.Request):
    """Answers requests for any path with the page of the server."""

    def process(self) -> None:
        """Answers the request."""
        status, body = self.channel.factory.render()
        self.setResponseCode(status)
        self.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class PageServer(PageFactory):
    """Serves one page on its own address.

    Args:
        reactor: Twisted reactor.
        render: Returns the status and the body of the page.
    """

    requestFactory = _PageRequest  # noqa: N815 - a name of twisted.web

    def __init__(self, reactor: Any, render: PageRenderer) -> None:
        super().__init__(reactor)
        self._reactor = reactor
        self.render = render
        self._port: IListeningPort | None = None

    def listen(self, address: str) -> None:
        """Starts to listen on ``"ip:port"``."""
        host, port = split_address(address)
        self._port = self._reactor.listenTCP(port, self, interface=host)

    def close(self) -> None:
        """Stops listening."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None
