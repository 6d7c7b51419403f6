"""Home and client of one node as one component."""

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
    """Home and client of one node, with local delivery between them.

    Every list of messages that ``home`` or ``client`` returns must pass
    through ``route`` before it is sent.

    Args:
        peer: This process.
        fleet: Configuration, VM list and partition leases.
        rng: Source of epochs and of choices among equal targets.
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
        self.home = TargetHome(fleet, rng, self.client.last_summary, counters)

    def route(
        self, messages: Iterable[Outbound], now_s: float
    ) -> list[Outbound]:
        """Delivers messages for this node and returns those to send."""
        pending = collections.deque(messages)
        out = []
        while pending:
            message = pending.popleft()
            if message.to != self._peer.node:
                out.append(message)
                continue
            pending += self._deliver(self._peer, message.body, now_s)
        return out

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Runs the periodic work of the home and the client."""
        messages = self.home.on_tick(now_s) + self.client.on_tick(now_s)
        return self.route(messages, now_s)

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Handles a message from another node."""
        return self.route(self._deliver(sender, body, now_s), now_s)

    def _deliver(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        if isinstance(body, Ask | Inventory):
            return self.home.on_message(sender, body, now_s)
        return self.client.on_message(sender, body, now_s)
