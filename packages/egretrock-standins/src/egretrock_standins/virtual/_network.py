"""A network in virtual time that loses, duplicates and delays messages."""

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable

import msgspec

from egretrock.coordination.base import (
    ClockStamp,
    DelayProbe,
    Message,
    MessageDelays,
    Outbound,
    PacedQueue,
    Peer,
)
from egretrock.state.ids import NodeId

MessageHandler = Callable[[Peer, Message, float], list[Outbound]]
TickHandler = Callable[[float], list[Outbound]]

#: Bytes of a datagram besides the message: addresses, version and sender.
_ENVELOPE_BYTES = 120


@dataclasses.dataclass
class Faults:
    """Faults of the network.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message is duplicated.
        delay_s: Minimum and maximum delay in seconds; messages with
            different delays may be reordered.
        handling_s: Processor time of a node for each message that it
            receives or sends. Messages that arrive meanwhile wait.
        backlog_limit: Messages that may wait at a node; further ones are
            lost, as in the receive buffer of a socket.
        link_bytes_per_s: Bandwidth of each node's link for what it sends, or
            None for links without a limit. With one, messages of paced types
            are paced as by the endpoint of a node.
        link_queue_bytes: Bytes that may wait for a link; further messages
            are lost.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: tuple[float, float] = (0.001, 0.002)
    handling_s: float = 0.0
    backlog_limit: int = 250
    link_bytes_per_s: float | None = None
    link_queue_bytes: int = 50_000


@dataclasses.dataclass(frozen=True)
class _Sent:
    """A message on its way, with its stamp if it tells an age."""

    sender: Peer
    message: Outbound
    stamp: ClockStamp | None


@dataclasses.dataclass
class _Node:
    peer: Peer
    on_message: MessageHandler
    on_tick: TickHandler
    tick_s: float
    frozen: bool = False
    queued: list[_Sent] = dataclasses.field(default_factory=list)
    busy_until_s: float = 0.0
    backlog_count: int = 0
    link_busy_until_s: float = 0.0
    paced: PacedQueue[_Sent] = dataclasses.field(
        default_factory=lambda: PacedQueue(0.0)
    )
    is_paced_scheduled: bool = False

    def __post_init__(self) -> None:
        """Creates what depends on the process."""
        self.delays = MessageDelays(self.peer)


class VirtualNetwork:
    """Runs nodes in virtual time; the same seed gives the same run.

    Args:
        rng: Random source of loss, duplication and delays.
        faults: Faults of the network; may be changed while running.

    Attributes:
        now_s: Virtual time.
        sent_count: Messages sent so far, lost ones included.
        on_send: Called with the sender and message of each send, or None.
    """

    def __init__(self, rng: random.Random, faults: Faults) -> None:
        self.now_s = 0.0
        self.faults = faults
        self.sent_count = 0
        self.on_send: Callable[[NodeId, Outbound], None] | None = None
        self._rng = rng
        self._nodes: dict[NodeId, _Node] = {}
        self._blocked_links: set[tuple[NodeId, NodeId]] = set()
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def add(
        self,
        peer: Peer,
        on_message: MessageHandler,
        on_tick: TickHandler,
        tick_s: float = 0.05,
    ) -> None:
        """Adds a node, or replaces the one with the same id."""
        node = _Node(peer, on_message, on_tick, tick_s)
        self._nodes[peer.node] = node
        self.call_at(self.now_s + tick_s * self._rng.random(), self._tick, node)

    def kill(self, node: NodeId) -> None:
        """Kills a node; its state is lost."""
        self._nodes.pop(node, None)

    def freeze(self, node: NodeId) -> None:
        """Freezes a node; messages to it are queued."""
        self._nodes[node].frozen = True

    def is_frozen(self, node: NodeId) -> bool:
        """Returns whether a node is frozen."""
        entry = self._nodes.get(node)
        return entry is not None and entry.frozen

    def resume(self, node: NodeId) -> None:
        """Wakes a frozen node and delivers its queued messages."""
        entry = self._nodes[node]
        entry.frozen = False
        queued, entry.queued = entry.queued, []
        for sent in queued:
            self._handle(entry, sent)

    def block(self, sender: NodeId, receiver: NodeId) -> None:
        """Drops messages from one node to another until ``heal``."""
        self._blocked_links.add((sender, receiver))

    def heal(self) -> None:
        """Delivers messages between all nodes again."""
        self._blocked_links.clear()

    def call_at(
        self, at_s: float, callback: Callable[..., None], *args: object
    ) -> None:
        """Schedules ``callback(*args)`` at a virtual time."""
        event = (at_s, next(self._event_numbers), lambda: callback(*args))
        heapq.heappush(self._events, event)

    def send(self, sender: NodeId, messages: list[Outbound]) -> None:
        """Sends messages on behalf of a node."""
        entry = self._nodes.get(sender)
        if entry is None:
            return
        entry.busy_until_s = max(entry.busy_until_s, self.now_s) + (
            self.faults.handling_s * len(messages)
        )
        for message in messages:
            self.sent_count += 1
            if self.on_send is not None:
                self.on_send(sender, message)
            stamp = None
            if message.body.is_aged:
                stamp = entry.delays.stamp(message.to, self.now_s)
            sent = _Sent(entry.peer, message, stamp)
            copies = 1 + (self._rng.random() < self.faults.duplication)
            for _ in range(copies):
                if self.faults.link_bytes_per_s and message.body.is_paced:
                    entry.paced.add(sent, _size_bytes(message))
                else:
                    self._send_copy(entry, sent)
        if not entry.is_paced_scheduled:
            self._send_paced(entry)

    def _send_paced(self, entry: _Node) -> None:
        entry.is_paced_scheduled = False
        if self._nodes.get(entry.peer.node) is not entry:
            return
        for sent in entry.paced.take(self.now_s):
            self._send_copy(entry, sent)
        next_s = entry.paced.next_s(self.now_s)
        if next_s is not None:
            entry.is_paced_scheduled = True
            self.call_at(next_s, self._send_paced, entry)

    def run(self, until_s: float) -> None:
        """Runs all events up to a virtual time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
        self.now_s = until_s

    def _send_copy(self, entry: _Node, sent: _Sent) -> None:
        left_s = self._pass_link(entry, sent.message)
        link = (sent.sender.node, sent.message.to)
        is_blocked = link in self._blocked_links
        if left_s is None or is_blocked:
            return
        if self._rng.random() < self.faults.loss:
            return
        at_s = left_s + self._rng.uniform(*self.faults.delay_s)
        self.call_at(at_s, self._deliver, sent)

    def _pass_link(self, entry: _Node, message: Outbound) -> float | None:
        """Returns when a message has left its sender, or None if it is lost."""
        bytes_per_s = self.faults.link_bytes_per_s
        if bytes_per_s is None:
            return self.now_s
        free_s = max(entry.link_busy_until_s, self.now_s)
        waiting_bytes = (free_s - self.now_s) * bytes_per_s
        size_bytes = _size_bytes(message)
        if waiting_bytes + size_bytes > self.faults.link_queue_bytes:
            return None
        entry.link_busy_until_s = free_s + size_bytes / bytes_per_s
        return entry.link_busy_until_s

    def _deliver(self, sent: _Sent) -> None:
        entry = self._nodes.get(sent.message.to)
        if entry is None:
            return
        if entry.frozen:
            entry.queued.append(sent)
            return
        if not self.faults.handling_s:
            self._handle(entry, sent)
        elif entry.backlog_count < self.faults.backlog_limit:
            entry.backlog_count += 1
            at_s = max(entry.busy_until_s, self.now_s)
            self.call_at(at_s, self._handle_waiting, entry, sent)

    def _handle_waiting(self, entry: _Node, sent: _Sent) -> None:
        if self._nodes.get(entry.peer.node) is not entry:
            return
        if entry.busy_until_s > self.now_s:
            # Messages that arrived earlier took until then.
            self.call_at(entry.busy_until_s, self._handle_waiting, entry, sent)
            return
        entry.backlog_count -= 1
        entry.busy_until_s = self.now_s + self.faults.handling_s
        self._handle(entry, sent)

    def _handle(self, entry: _Node, sent: _Sent) -> None:
        body = sent.message.body
        if sent.stamp is not None:
            body = self._aged(entry, sent, sent.stamp)
        if not isinstance(body, DelayProbe):
            replies = entry.on_message(sent.sender, body, self.now_s)
            self.send(entry.peer.node, replies)

    def _aged(self, entry: _Node, sent: _Sent, stamp: ClockStamp) -> Message:
        """Returns a received message with its delay added to its ages."""
        body, sender = sent.message.body, sent.sender
        delay_s = entry.delays.receive(sender, stamp, self.now_s)
        is_known = delay_s is not None
        if not isinstance(body, DelayProbe) and entry.delays.is_probe_due(
            sender, is_known, self.now_s
        ):
            probe = Outbound(sender.node, DelayProbe())
            self.send(entry.peer.node, [probe])
        return body.delayed(delay_s if is_known else math.inf)

    def _tick(self, node: _Node) -> None:
        if self._nodes.get(node.peer.node) is not node:
            return
        if not node.frozen:
            self.send(node.peer.node, node.on_tick(self.now_s))
        self.call_at(self.now_s + node.tick_s, self._tick, node)


def _size_bytes(message: Outbound) -> int:
    return len(msgspec.json.encode(message.body)) + _ENVELOPE_BYTES
