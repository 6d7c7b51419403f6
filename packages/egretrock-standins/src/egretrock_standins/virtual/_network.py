"""A message queue with virtual time that loses, repeats and delays."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from egretrock.coordination.base import Message, Outbound, Peer
from egretrock.state.ids import NodeId

Handler = Callable[[Peer, Message, float], list[Outbound]]
Ticker = Callable[[float], list[Outbound]]


@dataclasses.dataclass
class Faults:
    """What the network does to messages.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message arrives twice.
        delay_s: Smallest and largest delay in seconds; messages with
            different delays overtake each other.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: tuple[float, float] = (0.001, 0.002)


@dataclasses.dataclass
class _Node:
    peer: Peer
    on_message: Handler
    on_tick: Ticker
    tick_s: float
    frozen: bool = False
    held: list[tuple[Peer, Message]] = dataclasses.field(default_factory=list)


class VirtualNetwork:
    """Runs nodes in virtual time; the same seed gives the same run.

    Args:
        rng: Source of loss, duplication and delays.
        faults: What happens to messages; may be changed while running.

    Attributes:
        on_send: Called with sender and message of each send, or None.
    """

    def __init__(self, rng: random.Random, faults: Faults) -> None:
        self.now_s = 0.0
        self.faults = faults
        self.sent_count = 0
        self.on_send: Callable[[NodeId, Outbound], None] | None = None
        self._rng = rng
        self._nodes: dict[NodeId, _Node] = {}
        self._cuts: set[tuple[NodeId, NodeId]] = set()
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def add(
        self,
        peer: Peer,
        on_message: Handler,
        on_tick: Ticker,
        tick_s: float = 0.05,
    ) -> None:
        """Adds a node, or replaces the one with the same id."""
        node = _Node(peer, on_message, on_tick, tick_s)
        self._nodes[peer.node] = node
        self.at(self.now_s + tick_s * self._rng.random(), self._tick, node)

    def kill(self, node: NodeId) -> None:
        """Ends a node; its state is lost."""
        self._nodes.pop(node, None)

    def freeze(self, node: NodeId) -> None:
        """Stops a node; messages to it wait."""
        self._nodes[node].frozen = True

    def wake(self, node: NodeId) -> None:
        """Lets a stopped node go on; waiting messages arrive now."""
        entry = self._nodes[node]
        entry.frozen = False
        held, entry.held = entry.held, []
        for sender, body in held:
            self.send(node, entry.on_message(sender, body, self.now_s))

    def cut(self, sender: NodeId, receiver: NodeId) -> None:
        """Drops messages in one direction."""
        self._cuts.add((sender, receiver))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def at(self, at_s: float, call: Callable[..., None], *args: object) -> None:
        """Runs ``call(*args)`` at a virtual time."""
        event = (at_s, next(self._order), lambda: call(*args))
        heapq.heappush(self._events, event)

    def send(self, sender: NodeId, messages: list[Outbound]) -> None:
        """Sends messages on behalf of a node."""
        entry = self._nodes.get(sender)
        if entry is None:
            return
        for message in messages:
            self.sent_count += 1
            if self.on_send is not None:
                self.on_send(sender, message)
            copies = 1 + (self._rng.random() < self.faults.duplication)
            for _ in range(copies):
                self._send_copy(entry.peer, message)

    def run(self, until_s: float) -> None:
        """Runs all events up to a virtual time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._events)
            call()
        self.now_s = until_s

    def _send_copy(self, sender: Peer, message: Outbound) -> None:
        cut = (sender.node, message.to) in self._cuts
        if cut or self._rng.random() < self.faults.loss:
            return
        at_s = self.now_s + self._rng.uniform(*self.faults.delay_s)
        self.at(at_s, self._deliver, sender, message)

    def _deliver(self, sender: Peer, message: Outbound) -> None:
        entry = self._nodes.get(message.to)
        if entry is None:
            return
        if entry.frozen:
            entry.held.append((sender, message.body))
            return
        replies = entry.on_message(sender, message.body, self.now_s)
        self.send(message.to, replies)

    def _tick(self, node: _Node) -> None:
        if self._nodes.get(node.peer.node) is not node:
            return
        if not node.frozen:
            self.send(node.peer.node, node.on_tick(self.now_s))
        self.at(self.now_s + node.tick_s, self._tick, node)
