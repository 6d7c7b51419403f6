"""JSON control endpoints over twisted.web, and the main loop of a process."""

import sys
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import reactor
from twisted.web import resource, server

#: Handles a control call: gets path segments and body, returns a JSON value.
Handler = Callable[[list[str], bytes], Any]


class ControlError(Exception):
    """Raised by a handler; the call is answered with 400 and the message."""


def parse_address(text: str) -> tuple[str, int]:
    """Returns host and port of ``"ip:port"``.

    Example:
        >>> parse_address("127.0.0.1:80")
        ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def reply(request: server.Request, status: int, value: Any) -> bytes:
    """Sets status and content type; returns the JSON body for ``render``."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    return msgspec.json.encode(value)


class ControlResource(resource.Resource):
    """Calls a handler by method and first path segment.

    Args:
        handlers: ``"METHOD first-segment"`` to a handler, which receives the
            remaining segments and the body.
    """

    isLeaf = True  # noqa: N815 (name of twisted.web)

    def __init__(self, handlers: dict[str, Handler]) -> None:
        super().__init__()
        self._handlers = handlers

    def render(self, request: server.Request) -> bytes:
        """Answers one control call."""
        first, *rest = [part.decode() for part in request.postpath]
        handler = self._handlers.get(f"{request.method.decode()} {first}")
        if handler is None:
            known = ", ".join(sorted(self._handlers))
            return reply(request, 404, {"error": f"known calls are: {known}"})
        try:
            value = handler(rest, request.content.read())
        except (ControlError, KeyError, msgspec.MsgspecError) as error:
            return reply(request, 400, {"error": str(error)})
        return reply(request, 200, value)


def listen(address: str, root: resource.Resource) -> Any:
    """Serves a resource tree; returns the twisted port."""
    host, port = parse_address(address)
    site = server.Site(root)
    # Writing an access log would take more time than answering.
    site.log = lambda request: None
    return reactor.listenTCP(port, site, backlog=1024, interface=host)


def run_process(ready: dict[str, Any]) -> None:
    """Prints one line of JSON once the reactor runs, and serves until a signal.

    Args:
        ready: Value of that line, for which the parent process waits.
    """

    def announce() -> None:
        sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
        sys.stdout.flush()

    reactor.callWhenRunning(announce)
    reactor.run()
