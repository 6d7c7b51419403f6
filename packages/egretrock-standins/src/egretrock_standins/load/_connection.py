"""Caller side of HTTP/1.1: one request at a time on a kept connection."""

import collections
import json
from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints, protocol, reactor

from egretrock_standins.http import parse_address

CONNECT_TIMEOUT_S = 5.0
#: Called with outcome and body of each request.
Done = Callable[[str], None]


class CallerProtocol(protocol.Protocol):
    """Sends requests and checks that each answer belongs to its request."""

    def __init__(self) -> None:
        self._data = b""
        self._done: Done | None = None
        self._nonce = b""
        self.closed = False

    def connectionMade(self) -> None:  # noqa: N802 (name of twisted)
        """Sends small requests without delay."""
        self.transport.setTcpNoDelay(True)

    def send(self, request: bytes, nonce: bytes, done: Done) -> None:
        """Sends a request; ``done`` gets the outcome."""
        self._nonce, self._done = nonce, done
        self.transport.write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads the answer."""
        self._data += data
        if self._done is None:
            self._finish("mismatch", keep=False)
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
            self._finish("error:framing", keep=False)
            return
        if len(rest) < length:
            return
        keep = fields.get(b"connection", b"").lower() != b"close"
        if len(rest) > length:
            self._finish("error:framing", keep=False)
            return
        self._data = b""
        self._finish(self._outcome(status, rest), keep)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Ends the request that waits for its answer."""
        self.closed = True
        self._finish("error:connection_lost", keep=False)

    def abort(self) -> None:
        """Closes the connection without telling the caller of ``send``."""
        self.closed, self._done = True, None
        self.transport.abortConnection()

    def _outcome(self, status: int, body: bytes) -> str:
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

    def _finish(self, outcome: str, keep: bool) -> None:
        if not keep and not self.closed:
            self.closed = True
            self.transport.abortConnection()
        done, self._done = self._done, None
        if done is not None:
            done(outcome)


class Pool:
    """Kept connections to one address, at most ``limit``.

    Args:
        address: ``"ip:port"``.
        limit: Connections at the same time; more requests wait.
    """

    def __init__(self, address: str, limit: int) -> None:
        host, port = parse_address(address)
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        self._limit = limit
        self._idle: list[CallerProtocol] = []
        self._open_count = 0
        self._waiting: collections.deque[_Exchange] = collections.deque()

    def send(
        self, request: bytes, nonce: bytes, timeout_s: float, done: Done
    ) -> None:
        """Sends a request on an idle or a new connection."""
        exchange = _Exchange(self, request, nonce, done)
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

    def forget(self, exchange: "_Exchange") -> None:
        """Drops a waiting request."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def _dispatch(self) -> None:
        while self._waiting and self._idle:
            connection = self._idle.pop()
            if connection.closed:
                self._open_count -= 1
                continue
            self._waiting.popleft().start(connection)
        while self._waiting and self._open_count < self._limit:
            self._open_count += 1
            exchange = self._waiting.popleft()
            factory = protocol.Factory.forProtocol(CallerProtocol)
            opening = self._endpoint.connect(factory)
            opening.addCallbacks(
                exchange.start, self._on_connect_failed, errbackArgs=[exchange]
            )

    def _on_connect_failed(self, reason: Any, exchange: "_Exchange") -> None:
        self._open_count -= 1
        exchange.end("error:connect")
        # Not at once: a refused connection must not become a busy loop.
        reactor.callLater(0.01, self._dispatch)


class _Exchange:
    """One request from its arrival to its outcome, which is told once."""

    def __init__(
        self, pool: Pool, request: bytes, nonce: bytes, done: Done
    ) -> None:
        self.timer: Any = None
        self._pool = pool
        self._request = request
        self._nonce = nonce
        self._done: Done | None = done
        self._connection: CallerProtocol | None = None

    def start(self, connection: CallerProtocol) -> None:
        """Sends the request, unless its time is over."""
        if self._done is None:
            self._pool.release(connection)
            return
        self._connection = connection
        connection.send(self._request, self._nonce, self._on_answer)

    def expire(self) -> None:
        """Ends the request without an answer."""
        self._pool.forget(self)
        connection, self._connection = self._connection, None
        self.end("timeout")
        if connection is not None:
            connection.abort()
            self._pool.release(connection)

    def end(self, outcome: str) -> None:
        """Tells the outcome."""
        if self.timer.active():
            self.timer.cancel()
        done, self._done = self._done, None
        if done is not None:
            done(outcome)

    def _on_answer(self, outcome: str) -> None:
        connection, self._connection = self._connection, None
        # Released first, so that a closed loop reuses it at once.
        self._pool.release(connection)
        self.end(outcome)
