"""The pool of connections to targets."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IAddress, IConnector, IDelayedCall
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from egretrock.coordination.base import Counters
from egretrock.state.config import split_address
from egretrock.state.outcome import RetryReason, RunState
from egretrock_node.protocol.http import TargetProtocol
from egretrock_node.protocol.requests import (
    AttemptFailure,
    AttemptListener,
    OutgoingRequest,
    PoolObserver,
)
from egretrock_node.transport._sending import SendBuffers
from egretrock_node.transport.target._connection import TargetConnection
from egretrock_node.transport.target._fetch import (
    DEFAULT_MAX_BODY_BYTES,
    Fetch,
    FetchedAnswer,
    Notification,
)


class TargetPoolSettings(msgspec.Struct, frozen=True):
    """Limits of the pool.

    Attributes:
        connect_timeout_s: Timeout for making a connection.
        max_discard_s: Longest time for which the rest of an unneeded answer
            is read and discarded.
        max_idle_s: Idle time after which a connection is closed.
        max_idle_per_target: Idle connections kept per target.
        at_most_once_idle_s: Longest idle time of a connection on which a
            request that must run at most once may be sent.
        max_alive_connect_s: Longest connect time that proves that the process
            behind a lost connection is still running.
        user_timeout_s: ``TCP_USER_TIMEOUT``: longest time for which data may
            stay unacknowledged, or unsent because the target does not read.
    """

    connect_timeout_s: float = 1.0
    max_discard_s: float = 2.0
    max_idle_s: float = 15.0
    max_idle_per_target: int = 12
    at_most_once_idle_s: float = 1.0
    max_alive_connect_s: float = 0.05
    user_timeout_s: float = 5.0


_DEFAULTS = TargetPoolSettings()
#: Timeout for the answer to a cancellation of a request.
_CANCELLATION_TIMEOUT_S = 2.0


class TargetAttempt:
    """One attempt, sent on an idle connection or else on a new one.

    Attributes:
        listener: Receives the events of the attempt.
        is_head: Whether the request is HEAD, whose answer has no body.
        is_discarding: Whether the rest of the answer is read and discarded.
    """

    def __init__(
        self,
        pool: "TargetPool",
        address: str,
        request_id: bytes,
        at_most_once: bool,
        listener: AttemptListener,
    ) -> None:
        self._pool = pool
        self._address = address
        self.request_id = request_id
        self._at_most_once = at_most_once
        self._connection: TargetConnection | None = None
        self._is_abandoned = False
        self.listener = listener
        self.is_head = False
        self.is_discarding = False

    def start(self) -> None:
        """Gets a connection and sends the request of the listener."""
        connection = self._pool.take_idle(self._address, self._at_most_once)
        if connection is not None:
            self.send_on(connection)
        else:
            self._pool.connect(
                self._address, self.send_on, self._on_connect_failed
            )

    def write(self, data: bytes) -> None:
        """Sends a piece of the request's body."""
        if self._is_in_progress:
            self._connection.write_body(data)

    def finish_body(self) -> None:
        """Ends the request's body."""
        if self._is_in_progress:
            self._connection.finish_body()

    def abandon(self, silent: bool) -> None:
        """Abandons the attempt: closing its connection cancels the request.

        Args:
            silent: Whether the target made no progress in time.
        """
        self._is_abandoned = True
        if not self._is_in_progress:
            return
        connection = self._connection
        connection.abort()
        if silent:
            self._pool.on_attempt_timeout(connection, self.request_id)

    def discard(self) -> None:
        """Reads the rest of the answer without reporting it."""
        self.is_discarding = True
        if self._is_in_progress:
            self._connection.discarding_since_s = self._pool.now()

    def pause(self) -> None:
        """Stops reading the answer."""
        if self._is_in_progress:
            self._connection.pause()

    def resume(self) -> None:
        """Resumes reading the answer."""
        if self._is_in_progress:
            self._connection.resume()

    @property
    def _is_in_progress(self) -> bool:
        connection = self._connection
        return connection is not None and connection.is_busy_with(self)

    def send_on(self, connection: TargetConnection) -> None:
        """Sends the listener's request, if any, unless it was abandoned."""
        request: OutgoingRequest | None = None
        if not self._is_abandoned:
            request = self.listener.prepare()
        if request is None:
            self._pool.on_idle(connection)
            return
        self._connection = connection
        self.is_head = request.method == b"HEAD"
        connection.send(self, request)
        self.listener.on_sent()

    def _on_connect_failed(self, reason: Failure) -> None:
        if self._is_abandoned:
            return
        failure = AttemptFailure(
            RetryReason.CONNECT_FAILED,
            RunState.NOT_RUN,
            f"no connection to the target: {reason.getErrorMessage()}",
            reason.check(ConnectionRefusedError) is not None,
        )
        self.listener.on_failure(failure)


class _ConnectionFactory(ClientFactory):
    """Factory that makes one connection."""

    noisy = False

    def __init__(
        self,
        pool: "TargetPool",
        address: str,
        on_connected: Callable[[TargetConnection], None],
        on_failed: Callable[[Failure], None],
    ) -> None:
        self._pool = pool
        self._address = address
        self._on_connected = on_connected
        self._on_failed = on_failed

    def buildProtocol(self, addr: IAddress) -> TargetConnection:  # noqa: N802
        """Returns the protocol of the connection that was made."""
        on_connected = self._on_connected
        # The factory lives as long as the connection. The callbacks refer to
        # the request that needed it, and that to the connection before.
        del self._on_connected, self._on_failed
        return _NewConnection(self._pool, self._address, on_connected)

    def clientConnectionFailed(  # noqa: N802
        self, connector: IConnector, reason: Failure
    ) -> None:
        """Reports that no connection was made."""
        self._pool.counters.increment("target_connections.failed")
        self._on_failed(reason)


class _NewConnection(TargetConnection):
    """A connection that is passed to a callback once it is made."""

    def __init__(
        self,
        pool: "TargetPool",
        address: str,
        on_connected: Callable[[TargetConnection], None],
    ) -> None:
        super().__init__(pool, address)
        self._on_connected = on_connected

    def connectionMade(self) -> None:  # noqa: N802
        """Passes the connection to the callback."""
        super().connectionMade()
        on_connected, self._on_connected = self._on_connected, None
        self._pool.on_opened(self)
        on_connected(self)


class TargetPool:
    """Persistent connections to targets, used for one request at a time.

    Args:
        reactor: Twisted reactor.
        clock: Seconds of the node's monotonic clock.
        counters: Counters of the node.
        protocol: Adapter for the targets' protocol.
        settings: Limits.

    Attributes:
        observer: Notified of lost connections; set after the pipeline is
            created.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        counters: Counters,
        protocol: TargetProtocol,
        settings: TargetPoolSettings = _DEFAULTS,
    ) -> None:
        self._reactor = reactor
        self.now = clock
        self.counters = counters
        self.settings = settings
        self.protocol = protocol
        self._idle: dict[str, list[TargetConnection]] = {}
        self._open: dict[str, set[TargetConnection]] = {}
        self._sending = SendBuffers()
        self._is_closed = False
        self.observer: PoolObserver | None = None

    @property
    def open_count(self) -> int:
        """Number of open connections, idle and busy."""
        return sum(map(len, self._open.values()))

    @property
    def unsent_bytes(self) -> int:
        """Bytes of requests that wait because targets read slowly."""
        return self._sending.count()

    def create_attempt(
        self,
        address: str,
        request_id: bytes,
        at_most_once: bool,
        listener: AttemptListener,
    ) -> TargetAttempt:
        """Returns an attempt that is not started yet."""
        return TargetAttempt(self, address, request_id, at_most_once, listener)

    def check_alive(
        self, address: str, callback: Callable[[bool | None], None]
    ) -> None:
        """Checks by a new connection whether a target process still runs.

        A process that ends closes its listening socket along with its
        connections, and a restart takes longer than ``max_alive_connect_s``.
        The new connection stays in the pool and replaces the lost one.

        Args:
            address: ``"ip:port"`` of a target that a connection was lost to.
            callback: Called with True if the process still runs, False if the
                connection was refused, and None if it is unknown.
        """
        started_s = self.now()

        def on_connected(connection: TargetConnection) -> None:
            self.on_idle(connection)
            is_prompt = (
                self.now() - started_s <= self.settings.max_alive_connect_s
            )
            callback(True if is_prompt else None)

        def on_failed(reason: Failure) -> None:
            callback(False if reason.check(ConnectionRefusedError) else None)

        self.connect(address, on_connected, on_failed)

    def fetch(
        self,
        address: str,
        path: bytes,
        timeout_s: float,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> Deferred[FetchedAnswer]:
        """Fetches a small resource of a target, such as its health.

        Args:
            address: ``"ip:port"`` of the target.
            path: Path and query.
            timeout_s: Timeout for the complete answer.
            max_body_bytes: Largest size of the body.

        Returns:
            A deferred answer; it fails with ``FetchError``.
        """
        fetch = Fetch(address, path, max_body_bytes)
        fetch.handle = self.create_attempt(address, b"", False, fetch)
        timer = self._reactor.callLater(timeout_s, fetch.on_timeout)

        def stop_timer(result: Any) -> Any:
            if timer.active():
                timer.cancel()
            return result

        fetch.answer_deferred.addBoth(stop_timer)
        fetch.handle.start()
        return fetch.answer_deferred

    def close_expired(self, now_s: float) -> None:
        """Closes connections that are idle or discard an answer for too long.

        Call it every second.
        """
        oldest_s = now_s - self.settings.max_idle_s
        for connections in list(self._idle.values()):
            # The connections in use most recently are last.
            excess_count = len(connections) - self.settings.max_idle_per_target
            for index, connection in enumerate(list(connections)):
                idle_s = now_s - connection.answered_s
                if (
                    index < excess_count
                    or connection.answered_s < oldest_s
                    or idle_s > connection.idle_limit_s
                ):
                    connections.remove(connection)
                    connection.close()
        oldest_s = now_s - self.settings.max_discard_s
        for connections in list(self._open.values()):
            for connection in list(connections):
                since_s = connection.discarding_since_s
                if since_s is not None and since_s < oldest_s:
                    connection.abort()
        self.counters.gauge("target_connections.open", self.open_count)

    def close(self) -> None:
        """Closes idle connections now and busy ones after their answer."""
        self._is_closed = True
        for connections in list(self._idle.values()):
            for connection in list(connections):
                connection.close()

    # Interface for connections and attempts.

    def call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> IDelayedCall:
        """Schedules ``callback``; returns its delayed call."""
        return self._reactor.callLater(delay_s, callback)

    def take_idle(
        self, address: str, at_most_once: bool
    ) -> TargetConnection | None:
        """Takes the most recently used connection, unless it idled too long."""
        connections = self._idle.get(address)
        idle_limit_s = self._idle_limit_s(at_most_once)
        while connections:
            connection = connections[-1]
            idle_s = self.now() - connection.answered_s
            if idle_s > idle_limit_s:
                return None
            connections.pop()
            if idle_s > connection.idle_limit_s:
                connection.close()
                continue
            if connection.is_unusable:
                continue  # Already closing.
            if connection.is_still_idle():
                return connection
            connection.close()
            if self.observer is not None:
                self.observer.on_connection_lost(address)
        return None

    def has_idle_connection(
        self, address: str, at_most_once: bool = False
    ) -> bool:
        """Returns whether an attempt would find an idle connection.

        Args:
            address: ``"ip:port"`` of the target.
            at_most_once: Whether the request must run at most once.
        """
        connections = self._idle.get(address)
        if not connections:
            return False
        connection = connections[-1]
        idle_s = self.now() - connection.answered_s
        return not connection.is_unusable and idle_s <= min(
            self._idle_limit_s(at_most_once), connection.idle_limit_s
        )

    def connect(
        self,
        address: str,
        on_connected: Callable[[TargetConnection], None],
        on_failed: Callable[[Failure], None],
    ) -> None:
        """Opens a connection."""
        host, port = split_address(address)
        factory = _ConnectionFactory(self, address, on_connected, on_failed)
        self._reactor.connectTCP(
            host,
            port,
            factory,
            timeout=self.settings.connect_timeout_s,
        )

    def _idle_limit_s(self, at_most_once: bool) -> float:
        if at_most_once:
            return self.settings.at_most_once_idle_s
        return self.settings.max_idle_s

    def on_opened(self, connection: TargetConnection) -> None:
        """Registers a connection that was made."""
        self.counters.increment("target_connections.opened")
        self._open.setdefault(connection.address, set()).add(connection)

    def on_idle(self, connection: TargetConnection) -> None:
        """Keeps a connection for the next request, or closes it."""
        connections = self._idle.setdefault(connection.address, [])
        if (
            self._is_closed
            or connection.is_unusable
            or len(connections) >= self.settings.max_idle_per_target
        ):
            connection.close()
        else:
            connections.append(connection)

    def on_body_written(self, connection: TargetConnection) -> None:
        """Counts the send buffer of a connection until it is empty."""
        self._sending.add(connection)

    def on_lost(self, connection: TargetConnection) -> None:
        """Removes a lost connection and notifies the observer."""
        self._sending.remove(connection)
        address = connection.address
        was_idle = False
        connections = self._idle.get(address)
        if connections is not None:
            was_idle = connection in connections
            if was_idle:
                connections.remove(connection)
            if not connections:
                del self._idle[address]
        open_connections = self._open.get(address)
        if open_connections is None or connection not in open_connections:
            return
        open_connections.remove(connection)
        if not open_connections:
            del self._open[address]
        if self.observer is None:
            return
        if was_idle and not connection.is_unusable:
            self.observer.on_connection_lost(address)
        if not open_connections:
            self.observer.on_pool_empty(address)

    def on_attempt_timeout(
        self, connection: TargetConnection, request_id: bytes
    ) -> None:
        """Handles an attempt whose target made no progress in time.

        Other connections without an answer since the request was sent may be
        broken too and are not used again. The target is told to cancel the
        request on a new connection, opened immediately, because the packets
        that close the old one may be lost too.
        """
        self.counters.increment("target_connections.silent")
        address = connection.address
        for other in list(self._open.get(address, ())):
            if other.answered_s <= connection.sent_s:
                other.is_unusable = True
                if other in self._idle.get(address, ()):
                    self._idle[address].remove(other)
                    other.close()
        cancel = request_id and self.protocol.cancel_request(
            request_id.decode()
        )
        if cancel:
            method, path = cancel
            cancellation = Notification(address, method, path)
            cancellation.handle = TargetAttempt(
                self, address, b"", True, cancellation
            )
            self.connect(
                address, cancellation.handle.send_on, lambda reason: None
            )
            self._reactor.callLater(
                _CANCELLATION_TIMEOUT_S, cancellation.on_timeout
            )
