"""The UDP socket for messages between nodes."""

import functools
import ipaddress
import math
from collections.abc import Callable
from typing import Any

import logbook
from twisted.internet import defer, interfaces
from twisted.internet.protocol import DatagramProtocol

from egretrock.coordination.base import (
    Counters,
    DelayProbe,
    ErrorHandler,
    Message,
    MessageDelays,
    Outbound,
    PacedQueue,
    PacingSettings,
    Peer,
    isolated,
    raise_error,
)
from egretrock.state.config import split_address
from egretrock.state.ids import NodeId
from egretrock_node.protocol.peers import (
    BadDatagramError,
    Codec,
    OversizeError,
    ReceivedDatagram,
    UnknownVersionError,
)
from egretrock_node.transport._service import Service

_log = logbook.Logger("egretrock.peers")
#: Minimum interval between log lines about the version of one peer, so that a
#: rolling upgrade does not flood the log.
_VERSION_LOG_INTERVAL_S = 60.0
_MAX_LOGGED_PEERS = 256

MessageHandler = Callable[[Peer, Message, float], list[Outbound]]


_DEFAULT_PACING = PacingSettings()


class PeerEndpoint(DatagramProtocol, Service):
    """Sends and receives messages.

    Messages to one peer that are sent in the same iteration of the reactor
    share datagrams. Those of a paced type leave in order, at a bounded rate;
    the others do not wait for them. A message that tells an age arrives with
    the delay on its way added, whether it waited here, on a link or for the
    receiving process.

    Args:
        reactor: Twisted reactor.
        address: ``"ip:port"`` to listen on.
        codec: Codec of the datagrams.
        handler: Called with each message; returns the messages to send.
        clock: Seconds of the node's monotonic clock.
        counters: Counters of the node.
        on_error: Handles an exception of the handler, or of sending to one
            node; the other messages are handled and sent.
        pacing: Rate of the messages of paced types.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        address: str,
        codec: Codec,
        handler: MessageHandler,
        clock: Callable[[], float],
        counters: Counters,
        on_error: ErrorHandler = raise_error,
        pacing: PacingSettings = _DEFAULT_PACING,
    ) -> None:
        self._on_error = on_error
        self._reactor = reactor
        self._address = address
        self._codec = codec
        self._handler = handler
        self._clock = clock
        self._counters = counters
        self._delays = MessageDelays(codec.sender)
        self._outbox: dict[NodeId, list[Message]] = {}
        self._outbox_since_s = 0.0
        self._is_flush_scheduled = False
        self._paced: PacedQueue[tuple[NodeId, bytes]] = PacedQueue(
            clock(), pacing
        )
        self._paced_call: interfaces.IDelayedCall | None = None
        self._last_logged_s: dict[tuple[str, int], float] = {}
        self._port: interfaces.IListeningPort | None = None

    def start(self) -> None:
        """Opens the socket.

        Raises:
            twisted.internet.error.CannotListenError: If the address is in use.
        """
        host, port = split_address(self._address)
        self._port = self._reactor.listenUDP(port, self, interface=host)

    def close(self) -> defer.Deferred[Any]:
        """Closes the socket; sends what is pending and not paced before."""
        self._flush()
        if self._paced_call is not None:
            self._paced_call.cancel()
            self._paced_call = None
        port, self._port = self._port, None
        if port is None:
            return defer.succeed(None)
        return defer.maybeDeferred(port.stopListening)

    def stopProtocol(self) -> None:  # noqa: N802
        """Drops the socket, which ``close`` or the stopping reactor closed."""
        self._port = None

    def send(self, messages: list[Outbound]) -> None:
        """Queues messages to be sent in the next iteration of the reactor."""
        if messages and not self._outbox:
            self._outbox_since_s = self._clock()
        for message in messages:
            self._outbox.setdefault(message.to, []).append(message.body)
        if messages and not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.callLater(0, self._flush)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Handles a datagram; an invalid one is counted and dropped."""
        self._counters.increment("peers.datagrams_received")
        try:
            received = self._codec.decode(datagram)
        except UnknownVersionError as error:
            self._counters.increment("peers.unknown_version")
            self._log_version(addr, error)
            return
        except BadDatagramError:
            self._counters.increment("peers.bad_datagrams")
            return
        # Nodes send from the address that they listen on, so a datagram from
        # another source comes from a misconfigured node or a foreign host.
        if _canonical_address(received.sender.node) != (addr[0], addr[1]):
            self._counters.increment("peers.wrong_sender")
            return
        if received.unknown_count:
            count = received.unknown_count
            self._counters.increment("peers.unknown_messages", count)
        delay_s = self._delay_s(received)
        for body in received.bodies:
            if isinstance(body, DelayProbe):
                continue
            now_s = self._clock()
            with isolated("message from a node", self._on_error):
                aged = body.delayed(delay_s)
                self.send(self._handler(received.sender, aged, now_s))

    def _delay_s(self, received: ReceivedDatagram) -> float:
        """Returns how long messages were under way, or infinity if unknown."""
        if received.stamp is None:
            return math.inf
        now_s, sender = self._clock(), received.sender
        delay_s = self._delays.receive(sender, received.stamp, now_s)
        is_known = delay_s is not None
        if is_known:
            self._counters.observe("peers.delayed", delay_s)
        else:
            self._counters.increment("peers.unknown_delays")
        is_probe = any(isinstance(b, DelayProbe) for b in received.bodies)
        if not is_probe and self._delays.is_probe_due(sender, is_known, now_s):
            self.send([Outbound(sender.node, DelayProbe())])
        return delay_s if is_known else math.inf

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        outbox, self._outbox = self._outbox, {}
        made_s = self._outbox_since_s
        if self._port is None:
            return
        for node, bodies in outbox.items():
            paced = [body for body in bodies if body.is_paced]
            urgent = [body for body in bodies if not body.is_paced]
            with isolated("message to a node", self._on_error):
                self._send_bodies(node, urgent, made_s)
            with isolated("message to a node", self._on_error):
                self._send_bodies(node, paced, made_s, is_paced=True)
        if self._paced_call is None:
            self._send_paced()

    def _send_paced(self) -> None:
        """Sends the paced datagrams that are due, and schedules the others."""
        self._paced_call = None
        now_s = self._clock()
        for node, datagram in self._paced.take(now_s):
            with isolated("message to a node", self._on_error):
                self._write(node, datagram)
        next_s = self._paced.next_s(now_s)
        if next_s is not None and self._port is not None:
            self._paced_call = self._reactor.callLater(
                next_s - now_s, self._send_paced
            )

    def _send_bodies(
        self,
        node: NodeId,
        bodies: list[Message],
        made_s: float,
        is_paced: bool = False,
    ) -> None:
        try:
            stamp = None
            if any(body.is_aged for body in bodies):
                stamp = self._delays.stamp(node, made_s)
            datagrams = list(self._codec.encode(bodies, stamp))
        except OversizeError as error:
            # Coordination parts limit the size of their messages; one that is
            # too large nevertheless must not prevent sending the others.
            self._counters.increment("peers.oversize")
            _log.error("message not sent", extra={"reason": str(error)})
            fitting = [b for b in bodies if type(b) is not error.message_type]
            if len(fitting) < len(bodies):
                self._send_bodies(node, fitting, made_s, is_paced)
            return
        for datagram in datagrams:
            if not is_paced:
                self._write(node, datagram)
            elif not self._paced.add((node, datagram), len(datagram)):
                self._counters.increment("peers.paced_dropped")

    def _write(self, node: NodeId, datagram: bytes) -> None:
        self._counters.increment("peers.datagrams_sent")
        self._counters.increment("peers.bytes_sent", len(datagram))
        try:
            self.transport.write(datagram, split_address(node))
        except OSError:
            # An unreachable peer or a full buffer counts as packet loss.
            self._counters.increment("peers.send_failures")

    def _log_version(self, addr: Any, error: UnknownVersionError) -> None:
        now_s = self._clock()
        peer = (addr[0], addr[1])
        if (
            now_s - self._last_logged_s.get(peer, -_VERSION_LOG_INTERVAL_S)
            < _VERSION_LOG_INTERVAL_S
        ):
            return
        if len(self._last_logged_s) >= _MAX_LOGGED_PEERS:
            self._last_logged_s.clear()
        self._last_logged_s[peer] = now_s
        _log.warning(
            "datagram refused",
            extra={"peer": f"{addr[0]}:{addr[1]}", "reason": str(error)},
        )


@functools.lru_cache(maxsize=1024)
def _canonical_address(address: str) -> tuple[str, int] | None:
    """Returns host and port as a socket reports them, None if invalid."""
    try:
        host, port = split_address(address)
        return str(ipaddress.ip_address(host)), port
    except ValueError:
        return None
