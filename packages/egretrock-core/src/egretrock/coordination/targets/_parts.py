"""Home and client of one node as one part."""

import collections
import random
from collections.abc import Iterable

from egretrock.coordination.base import (
    Counters,
    Message,
    Outbound,
    Peer,
)
from egretrock.coordination.targets._client import TargetClient
from egretrock.coordination.targets._fleet import FleetView
from egretrock.coordination.targets._home import TargetHome
from egretrock.coordination.targets._messages import Ask, Inventory


class Targets:
    """Home and client of one node; what they tell each other needs no send.

    Every list of messages that ``home`` or ``client`` returns goes through
    ``route`` before it is sent.

    Args:
        peer: This process.
        fleet: Freshness, documents and leases.
        rng: Source of epochs and choices.
        counters: Counters.
    """

    def __init__(
        self,
        peer: Peer,
        fleet: FleetView,
        rng: random.Random,
        counters: Counters | None = None,
    ) -> None:
        self._peer = peer
        self.client = TargetClient(peer.node, fleet, rng, counters)
        self.home = TargetHome(fleet, rng, self.client.known_targets, counters)

    def route(
        self, messages: Iterable[Outbound], now_s: float
    ) -> list[Outbound]:
        """Delivers messages to this node and returns those to send."""
        waiting = collections.deque(messages)
        out = []
        while waiting:
            message = waiting.popleft()
            if message.to != self._peer.node:
                out.append(message)
                continue
            waiting += self._deliver(self._peer, message.body, now_s)
        return out

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Does what is due at the home and at the client."""
        messages = self.home.on_tick(now_s) + self.client.on_tick(now_s)
        return self.route(messages, now_s)

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Takes a message of another node."""
        return self.route(self._deliver(sender, body, now_s), now_s)

    def _deliver(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        if isinstance(body, Ask | Inventory):
            return self.home.on_message(sender, body, now_s)
        return self.client.on_message(sender, body, now_s)
