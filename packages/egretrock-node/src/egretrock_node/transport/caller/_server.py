"""The listening socket for callers and the limits of its connections."""

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
from egretrock_node.protocol.requests import MemoryBudget, RequestPipeline
from egretrock_node.transport._sending import SendBuffers
from egretrock_node.transport.caller._channel import CallerChannel


class CallerServerSettings(msgspec.Struct, frozen=True):
    """Limits of callers' connections and requests.

    Attributes:
        max_connections: Maximum number of concurrent connections.
        max_header_bytes: Maximum size of a request line and its headers.
        max_body_bytes: Maximum size of a request's body; None for no limit.
        idle_timeout_s: Idle time after which a connection is closed.
        head_timeout_s: Timeout for receiving a complete head.
        linger_s: Time for which a connection that is being closed still
            reads, so that the caller gets the answer.
        unsent_timeout_s: Time after which a connection is aborted if its
            caller has taken nothing of an answer, or if it is being closed
            and its caller has not taken the whole answer.
        pressed_timeout_s: The same time for callers that take nothing while
            answers use more memory than they may.
        max_read_ahead_bytes: Bytes of an answer that are read ahead of a slow
            caller, so that its target is free for other requests.
        drain_idle_timeout_s: Idle time after which a drain closes a connection.
            Closing without it could race with a request in transit.
    """

    max_connections: int = 4096
    max_header_bytes: int = 16_384
    max_body_bytes: int | None = None
    idle_timeout_s: float = 75.0
    head_timeout_s: float = 10.0
    linger_s: float = 1.0
    unsent_timeout_s: float = 30.0
    pressed_timeout_s: float = 5.0
    max_read_ahead_bytes: int = 262_144
    drain_idle_timeout_s: float = 1.0


#: Maximum number of connections above the limit that stay open for
#: ``linger_s``, so that their caller gets the answer.
_MAX_REFUSED_CONNECTIONS = 256
_DEFAULT_MAX_BYTES = 50_000_000


class _RefusedConnection(Protocol):
    """Answers a connection above the limit with 503 and closes it."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server

    def connectionMade(self) -> None:  # noqa: N802
        """Answers without waiting for a request."""
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
        # The caller's request is read and discarded during ``linger_s``:
        # closing with unread data resets the connection, and the caller
        # may lose the answer.
        self.transport.loseWriteConnection()
        self._timer = self._server.call_later(
            self._server.settings.linger_s, self.transport.abortConnection
        )

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Cancels the linger timer."""
        self._server.refused_count -= 1
        if self._timer.active():
            self._timer.cancel()


class CallerServer(Factory):
    """Accepts connections from callers.

    Args:
        reactor: Twisted reactor.
        pipeline: Pipeline that handles the requests.
        clock: Seconds of the node's monotonic clock.
        counters: Counters of the node.
        settings: Limits.
        answer_budget: Memory budget that the connections share with the
            pipeline.

    Attributes:
        answer_budget: The memory budget.
        is_draining: Whether answers ask callers to close.
        refused_count: Number of open connections above the limit.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        pipeline: RequestPipeline,
        clock: Callable[[], float],
        counters: Counters,
        settings: CallerServerSettings,
        answer_budget: MemoryBudget | None = None,
    ) -> None:
        self._reactor = reactor
        self.pipeline = pipeline
        self.now = clock
        self._counters = counters
        self.settings = settings
        self.is_draining = False
        self.refused_count = 0
        self._channels: set[CallerChannel] = set()
        self._sending = SendBuffers()
        self.answer_budget = answer_budget or MemoryBudget(_DEFAULT_MAX_BYTES)
        self.answer_budget.count_unsent = self._sending.count
        self._port: IListeningPort | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._channels)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that slow callers have not taken."""
        return sum(channel.unsent_bytes for channel in self._channels)

    def adopt(self, listening: socket.socket) -> IListeningPort:
        """Accepts connections on a socket that is already listening.

        If the process opens the socket before anything else, callers that
        connect during its start wait in the backlog instead of being refused.

        Args:
            listening: Listening socket; closed here after it was duplicated.
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
            address: ``"ip:port"``; port 0 selects any free port.
            backlog: Backlog of connections that are not accepted yet.
        """
        host, port = split_address(address)
        self._port = self._reactor.listenTCP(
            port, self, backlog=backlog, interface=host
        )
        return self._port

    def announce_close(self) -> None:
        """Asks callers to close after their answer, but still accepts."""
        self.is_draining = True

    def drain(self) -> None:
        """Stops accepting; ``close_expired`` then closes idle connections."""
        self.is_draining = True
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def close(self) -> None:
        """Closes all connections after their pending data was sent."""
        self.drain()
        for channel in list(self._channels):
            channel.loseConnection()

    def close_expired(self, now_s: float) -> None:
        """Enforces the timeouts; call it every second."""
        settings = self.settings
        idle_s = (
            settings.drain_idle_timeout_s
            if self.is_draining
            else settings.idle_timeout_s
        )
        for channel in list(self._channels):
            if channel.discarding_since_s is not None:
                if (
                    now_s - channel.discarding_since_s
                    >= settings.head_timeout_s
                ):
                    channel.close_gracefully()
            elif not channel.is_awaiting_head:
                continue
            elif channel.head_since_s is not None:
                if now_s - channel.head_since_s >= settings.head_timeout_s:
                    message = (
                        f"the head took more than {settings.head_timeout_s} s"
                    )
                    channel.refuse_and_close(bad_request(message))
            elif now_s - channel.idle_since_s >= idle_s:
                channel.close_idle()
        self._abort_stalled(now_s)
        self._counters.gauge("caller_connections.open", len(self._channels))

    def buildProtocol(self, addr: IAddress) -> Protocol | None:  # noqa: N802
        """Returns the protocol of an accepted connection."""
        if len(self._channels) >= self.settings.max_connections:
            # None makes Twisted close the connection without an answer.
            has_room = self.refused_count < _MAX_REFUSED_CONNECTIONS
            return _RefusedConnection(self) if has_room else None
        return CallerChannel(self)

    def on_open(self, channel: CallerChannel) -> None:
        """Registers an accepted connection."""
        self._channels.add(channel)

    def on_lost(self, channel: CallerChannel) -> None:
        """Removes a lost connection."""
        self._channels.discard(channel)
        self._sending.remove(channel)

    def on_written(self, channel: CallerChannel, size_bytes: int) -> None:
        """Counts bytes of an answer until its caller has taken them."""
        if channel not in self._sending:
            self._sending.add(channel)
            channel.progress_s = self.now()
        self.answer_budget.add_unsent(size_bytes)

    def count_refusal(self, refusal: Refusal) -> None:
        """Counts a refusal that bypasses the pipeline."""
        self._counters.increment(f"refusals.{refusal.code.value}")

    def on_answer_blocked(self) -> None:
        """Counts an answer that is not read on until its caller reads."""
        self._counters.increment("answers.blocked")

    def _abort_stalled(self, now_s: float) -> None:
        """Ends connections whose callers take nothing of their answers."""
        self.pipeline.body_budget.recount()
        unsent_bytes = self.answer_budget.recount()
        settings = self.settings
        limit_s = settings.unsent_timeout_s
        if self.answer_budget.exceeds_hard_limit:
            limit_s = min(limit_s, settings.pressed_timeout_s)
        for channel in self._sending:
            if channel.stalled_s(now_s) >= limit_s:
                self._counters.increment("caller_connections.stalled")
                channel.transport.abortConnection()
        self._counters.gauge("answers.unsent_bytes", unsent_bytes)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Any:
        """Schedules ``callback``; returns its ``IDelayedCall``."""
        return self._reactor.callLater(delay_s, callback)
