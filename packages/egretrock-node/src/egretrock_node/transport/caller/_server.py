"""The listening socket and the limits on callers' connections."""

import socket
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.interfaces import IAddress, IListeningPort
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from egretrock.coordination.base import Counters
from egretrock.state.config import split_address
from egretrock.state.outcome import Refusal, RefusalCode, RunState
from egretrock_node.protocol.http import bad_request, refusal_answer
from egretrock_node.protocol.requests import RequestPipeline
from egretrock_node.transport.caller._channel import CallerChannel


class CallerServerSettings(msgspec.Struct, frozen=True):
    """Bounds of the callers' side.

    Attributes:
        max_connections: Connections at the same time.
        max_header_bytes: Bytes of a request line with its headers.
        max_body_bytes: Bytes of the body of a request; None for any.
        idle_s: Seconds for which a connection may wait for a request.
        head_s: Seconds in which a head must arrive whole.
        linger_s: Seconds for which a connection that is being closed still
            reads, so that the caller gets the answer.
        drain_idle_s: Seconds of idleness after which a drain closes a
            connection. Closing at once could cross a request on its way.
    """

    max_connections: int = 4096
    max_header_bytes: int = 16_384
    max_body_bytes: int | None = None
    idle_s: float = 75.0
    head_s: float = 10.0
    linger_s: float = 1.0
    drain_idle_s: float = 1.0


#: Connections above the limit that wait for their caller to read the answer.
_MAX_REFUSED = 256


class _TooMany(Protocol):
    """Answers a connection above the limit and closes it."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server

    def connectionMade(self) -> None:  # noqa: N802
        """Answers without reading a request."""
        self._server.refused_count += 1
        refusal = Refusal(
            RefusalCode.TOO_MANY_CONNECTIONS,
            RunState.NOT_RUN,
            f"{self._server.settings.max_connections} connections are open",
            1000,
        )
        self._server.count_refusal(refusal)
        answer = refusal_answer(refusal, None)
        lines = [b"HTTP/1.1 %d Service Unavailable\r\n" % answer.head.status]
        lines += [b"%b: %b\r\n" % field for field in answer.head.headers]
        lines.append(b"Content-Length: %d\r\n" % len(answer.body))
        lines.append(b"Connection: close\r\n\r\n")
        lines.append(answer.body)
        self.transport.write(b"".join(lines))
        # The caller's request is read and dropped for a while: closing with
        # unread bytes resets the connection, and the answer may be lost.
        self.transport.loseWriteConnection()
        self._timer = self._server.call_later(
            self._server.settings.linger_s, self.transport.abortConnection
        )

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Ends the wait for the caller."""
        self._server.refused_count -= 1
        if self._timer.active():
            self._timer.cancel()


class CallerServer(Factory):
    """Accepts callers' connections.

    Args:
        reactor: Reactor that listens and keeps time.
        pipeline: Takes the requests.
        clock: Seconds of the node's monotonic clock.
        counters: Counters of the node.
        settings: Bounds.

    Attributes:
        is_draining: Whether answers ask callers to close.
        refused_count: Connections above the limit that are being closed.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        pipeline: RequestPipeline,
        clock: Callable[[], float],
        counters: Counters,
        settings: CallerServerSettings,
    ) -> None:
        self._reactor = reactor
        self.pipeline = pipeline
        self.now = clock
        self._counters = counters
        self.settings = settings
        self.is_draining = False
        self.refused_count = 0
        self._channels: set[CallerChannel] = set()
        self._port: IListeningPort | None = None

    @property
    def connection_count(self) -> int:
        """Open connections."""
        return len(self._channels)

    def adopt(self, listening: socket.socket) -> IListeningPort:
        """Accepts connections of a socket that listens already.

        A process that opens the socket first thing keeps its callers waiting
        while it starts, in place of turning them away.

        Args:
            listening: Listening socket; closed here, its port stays open.
        """
        with listening:
            listening.setblocking(False)
            self._port = self._reactor.adoptStreamPort(
                listening.fileno(), listening.family, self
            )
        return self._port

    def listen(self, address: str, backlog: int = 1024) -> IListeningPort:
        """Starts to accept connections.

        Args:
            address: ``"ip:port"``; port 0 takes any free port.
            backlog: Connections that may wait to be accepted.
        """
        host, port = split_address(address)
        self._port = self._reactor.listenTCP(
            port, self, backlog=backlog, interface=host
        )
        return self._port

    def close_after_answers(self) -> None:
        """Asks callers to close after their answer; still accepts them."""
        self.is_draining = True

    def drain(self) -> None:
        """Accepts no more connections and closes idle ones in ``sweep``."""
        self.is_draining = True
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def close(self) -> None:
        """Closes all connections, once what was written to them has left."""
        self.drain()
        for channel in list(self._channels):
            channel.loseConnection()

    def sweep(self, now_s: float) -> None:
        """Applies the time limits; call it every second."""
        settings = self.settings
        idle_s = settings.drain_idle_s if self.is_draining else settings.idle_s
        for channel in list(self._channels):
            if channel.dropping_since_s is not None:
                if now_s - channel.dropping_since_s >= settings.head_s:
                    channel.close_soon()
            elif not channel.is_awaiting_head:
                continue
            elif channel.head_since_s is not None:
                if now_s - channel.head_since_s >= settings.head_s:
                    message = f"the head took more than {settings.head_s} s"
                    channel.refuse_framing(bad_request(message))
            elif now_s - channel.idle_since_s >= 2 * idle_s:
                # The caller does not read the end of its last answer.
                channel.transport.abortConnection()
            elif now_s - channel.idle_since_s >= idle_s:
                channel.loseConnection()
        self._counters.gauge("caller_connections.open", len(self._channels))

    def buildProtocol(self, addr: IAddress) -> Protocol | None:  # noqa: N802
        """Returns the protocol of an accepted connection."""
        if len(self._channels) >= self.settings.max_connections:
            # None closes the connection without an answer.
            room = self.refused_count < _MAX_REFUSED
            return _TooMany(self) if room else None
        return CallerChannel(self)

    def on_open(self, channel: CallerChannel) -> None:
        """A connection was accepted."""
        self._channels.add(channel)

    def on_lost(self, channel: CallerChannel) -> None:
        """A connection is gone."""
        self._channels.discard(channel)

    def count_refusal(self, refusal: Refusal) -> None:
        """Counts a refusal that the pipeline does not see."""
        self._counters.increment(f"refusals.{refusal.code.value}")

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Any:
        """Calls ``callback`` after a delay, in seconds."""
        return self._reactor.callLater(delay_s, callback)
