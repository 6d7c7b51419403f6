"""HTTP endpoint for operators, on a separate address."""

from typing import Any

import msgspec
from twisted.internet import defer, interfaces
from twisted.web import resource, server

from egretrock.state.config import split_address
from egretrock_node.protocol.status import StatusSource
from egretrock_node.transport._page_site import PageSite
from egretrock_node.transport._service import Service

_JSON = b"application/json"
_TEXT = b"text/plain; charset=utf-8"


class _Page(resource.Resource):
    """Base class of the pages; each serves one method."""

    isLeaf = True  # noqa: N815 - the name twisted.web reads

    def __init__(self, source: StatusSource) -> None:
        super().__init__()
        self._source = source


def _write_answer(
    request: server.Request, status: int, content_type: bytes, body: bytes
) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", content_type)
    request.setHeader(b"cache-control", b"no-store")
    return body


class _HealthPage(_Page):
    """200 as long as the reactor runs."""

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        return _write_answer(request, 200, _TEXT, b"ok\n")


class _ReadyPage(_Page):
    """200 while the node accepts requests, else 503 with the reasons."""

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        reasons = self._source.not_ready_reasons()
        if reasons:
            text = "".join(f"{reason}\n" for reason in reasons)
            return _write_answer(request, 503, _TEXT, text.encode())
        return _write_answer(request, 200, _TEXT, b"ready\n")


class _StatusPage(_Page):
    """The status as JSON."""

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        body = msgspec.json.encode(self._source.status())
        return _write_answer(request, 200, _JSON, body)


class _ConfigPage(_Page):
    """The configuration in force as JSON."""

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        body = self._source.effective_config()
        if body is None:
            text = b"no configuration has been accepted yet\n"
            return _write_answer(request, 503, _TEXT, text)
        return _write_answer(request, 200, _JSON, body)


class _DrainPage(_Page):
    """Starts a drain."""

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        self._source.start_drain()
        return _write_answer(request, 202, _JSON, b'{"draining": true}\n')


class OperatorEndpoint(Service):
    """Serves the pages for operators.

    Args:
        reactor: Twisted reactor.
        address: ``"ip:port"``.
        source: Provides the status and starts the drain.
    """

    def __init__(
        self, reactor: Any, address: str, source: StatusSource
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._site = PageSite(_make_root(source), reactor)
        self._port: interfaces.IListeningPort | None = None

    def start(self) -> None:
        """Starts listening.

        Raises:
            twisted.internet.error.CannotListenError: If the address is in use.
        """
        host, port = split_address(self._address)
        self._port = self._reactor.listenTCP(port, self._site, interface=host)

    def port_number(self) -> int:
        """Returns the actual port, also where the address has port 0."""
        if self._port is None:
            raise RuntimeError("the operator endpoint is not listening")
        return self._port.getHost().port

    def close(self) -> defer.Deferred[Any]:
        """Stops listening."""
        port, self._port = self._port, None
        if port is None:
            return defer.succeed(None)
        return defer.maybeDeferred(port.stopListening)


def _make_root(source: StatusSource) -> resource.Resource:
    root = resource.Resource()
    root.putChild(b"healthz", _HealthPage(source))
    root.putChild(b"readyz", _ReadyPage(source))
    root.putChild(b"status", _StatusPage(source))
    root.putChild(b"config", _ConfigPage(source))
    root.putChild(b"drain", _DrainPage(source))
    return root
