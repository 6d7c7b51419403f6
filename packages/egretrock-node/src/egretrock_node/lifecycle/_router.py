"""Dispatches messages to the coordination parts."""

import collections
from collections.abc import Callable, Iterable

from egretrock.coordination.base import (
    Counters,
    ErrorHandler,
    Message,
    Outbound,
    Part,
    Peer,
    isolated,
    raise_error,
)


class MessageRouter:
    """Routes messages to parts by their type.

    Args:
        counters: Counters of the node.
        on_error: Handles an exception of a part; the message counts as
            handled, and the messages after it are delivered.
    """

    def __init__(
        self, counters: Counters, on_error: ErrorHandler = raise_error
    ) -> None:
        self._counters = counters
        self._on_error = on_error
        self._parts: dict[type[Message], Part] = {}

    def register(self, types: Iterable[type[Message]], part: Part) -> None:
        """Routes messages of these types to a part.

        Raises:
            ValueError: If a type is already routed.
        """
        for message_type in types:
            if message_type in self._parts:
                name = message_type.__name__
                raise ValueError(f"{name} is already routed to a part")
            self._parts[message_type] = part

    def deliver_local(
        self,
        local_peer: Peer,
        messages: Iterable[Outbound],
        clock: Callable[[], float],
    ) -> list[Outbound]:
        """Delivers messages to this node itself; returns those to others.

        Messages that the parts send in reply are delivered in the same way.
        """
        pending = collections.deque(messages)
        remote = []
        while pending:
            message = pending.popleft()
            if message.to == local_peer.node:
                pending += self.on_message(local_peer, message.body, clock())
            else:
                remote.append(message)
        return remote

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Passes a message to its part and returns the messages to send."""
        part = self._parts.get(type(body))
        if part is None:
            self._counters.increment("peers.unrouted")
            return []
        with isolated(type(body).__name__, self._on_error):
            return part.on_message(sender, body, now_s)
        return []
