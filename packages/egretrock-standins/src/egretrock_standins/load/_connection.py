"""HTTP/1.1 client: one request at a time on a persistent connection."""

import collections
import json
from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints, protocol, reactor

from egretrock_standins.http import parse_address

CONNECT_TIMEOUT_S = 5.0
#: Called with the outcome of a request.
OutcomeCallback = Callable[[str], None]


class CallerProtocol(protocol.Protocol):
    """Sends requests and checks that each answer belongs to its request."""

    def __init__(self) -> None:
        self._data = b""
        self._on_outcome: OutcomeCallback | None = None
        self._nonce = b""
        self.closed = False

    def connectionMade(self) -> None:  # noqa: N802 (name of twisted)
        """Disables Nagle's algorithm, which would delay small requests."""
        self.transport.setTcpNoDelay(True)

    def send(
        self, request: bytes, nonce: bytes, on_outcome: OutcomeCallback
    ) -> None:
        """Sends a request; ``on_outcome`` gets its outcome."""
        self._nonce, self._on_outcome = nonce, on_outcome
        self.transport.write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads the answer."""
        self._data += data
        if self._on_outcome is None:
            self._finish("mismatch", keep_open=False)
            return
        head, separator, rest = self._data.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.split(b"\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip()
        try:
            status = int(lines[0].split(b" ", 2)[1])
            length = int(fields[b"content-length"])
        except (KeyError, ValueError, IndexError):
            self._finish("error:framing", keep_open=False)
            return
        if len(rest) < length:
            return
        keep_open = fields.get(b"connection", b"").lower() != b"close"
        if len(rest) > length:
            self._finish("error:framing", keep_open=False)
            return
        self._data = b""
        self._finish(self._classify_answer(status, rest), keep_open)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Ends the request in flight with an error, if there is one."""
        self.closed = True
        self._finish("error:connection_lost", keep_open=False)

    def abort(self) -> None:
        """Closes the connection without reporting an outcome."""
        self.closed, self._on_outcome = True, None
        self.transport.abortConnection()

    def _classify_answer(self, status: int, body: bytes) -> str:
        # The stand-in target repeats the nonce of the request in its answers.
        expected = b'"nonce":"' + self._nonce + b'"'
        if status == 200:
            return "ok" if expected in body else "mismatch"
        if b'"nonce":"' in body and expected not in body:
            return "mismatch"
        try:
            refusal = json.loads(body)
            return f"refused:{refusal['code']}:{refusal['run_state']}"
        except (ValueError, KeyError, TypeError):
            return f"status:{status}"

    def _finish(self, outcome: str, keep_open: bool) -> None:
        if not keep_open and not self.closed:
            self.closed = True
            self.transport.abortConnection()
        on_outcome, self._on_outcome = self._on_outcome, None
        if on_outcome is not None:
            on_outcome(outcome)


class Pool:
    """Persistent connections to one address.

    Args:
        address: ``"ip:port"``.
        max_connections: Bound of open connections; further requests wait.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        host, port = parse_address(address)
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        self._max_connections = max_connections
        self._idle: list[CallerProtocol] = []
        self._open_count = 0
        self._waiting: collections.deque[_Exchange] = collections.deque()

    def send(
        self,
        request: bytes,
        nonce: bytes,
        timeout_s: float,
        on_outcome: OutcomeCallback,
    ) -> None:
        """Sends a request on an idle or a new connection."""
        exchange = _Exchange(self, request, nonce, on_outcome)
        exchange.timer = reactor.callLater(timeout_s, exchange.expire)
        self._waiting.append(exchange)
        self._dispatch()

    def release(self, connection: CallerProtocol) -> None:
        """Takes back a connection whose request has ended."""
        if connection.closed:
            self._open_count -= 1
        else:
            self._idle.append(connection)
        self._dispatch()

    def remove_waiting(self, exchange: "_Exchange") -> None:
        """Removes a request from the waiting ones."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def _dispatch(self) -> None:
        while self._waiting and self._idle:
            connection = self._idle.pop()
            if connection.closed:
                self._open_count -= 1
                continue
            self._waiting.popleft().start(connection)
        while self._waiting and self._open_count < self._max_connections:
            self._open_count += 1
            exchange = self._waiting.popleft()
            factory = protocol.Factory.forProtocol(CallerProtocol)
            connecting = self._endpoint.connect(factory)
            connecting.addCallbacks(
                exchange.start, self._on_connect_failed, errbackArgs=[exchange]
            )

    def _on_connect_failed(self, reason: Any, exchange: "_Exchange") -> None:
        self._open_count -= 1
        exchange.end("error:connect")
        # Delayed, so that refused connections do not cause a busy loop.
        reactor.callLater(0.01, self._dispatch)


class _Exchange:
    """One request from its arrival to its outcome, which is reported once."""

    def __init__(
        self,
        pool: Pool,
        request: bytes,
        nonce: bytes,
        on_outcome: OutcomeCallback,
    ) -> None:
        self.timer: Any = None
        self._pool = pool
        self._request = request
        self._nonce = nonce
        self._on_outcome: OutcomeCallback | None = on_outcome
        self._connection: CallerProtocol | None = None

    def start(self, connection: CallerProtocol) -> None:
        """Sends the request, unless it has timed out."""
        if self._on_outcome is None:
            self._pool.release(connection)
            return
        self._connection = connection
        connection.send(self._request, self._nonce, self._on_answer)

    def expire(self) -> None:
        """Ends the request without an answer."""
        self._pool.remove_waiting(self)
        connection, self._connection = self._connection, None
        self.end("timeout")
        if connection is not None:
            connection.abort()
            self._pool.release(connection)

    def end(self, outcome: str) -> None:
        """Reports the outcome."""
        if self.timer.active():
            self.timer.cancel()
        on_outcome, self._on_outcome = self._on_outcome, None
        if on_outcome is not None:
            on_outcome(outcome)

    def _on_answer(self, outcome: str) -> None:
        connection, self._connection = self._connection, None
        # Released first, so that a closed loop reuses it at once.
        self._pool.release(connection)
        self.end(outcome)
