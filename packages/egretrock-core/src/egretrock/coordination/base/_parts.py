"""Messages between nodes and the interface of a coordination part."""

from collections.abc import Callable
from typing import ClassVar, Protocol, Self

import msgspec

from egretrock.state.ids import Incarnation, NodeId


class Message(msgspec.Struct, frozen=True, tag_field="t"):
    """Base of the messages between nodes; each subclass sets its tag.

    Attributes:
        is_paced: Whether messages of the type leave in order and at a rate
            that slow links can take, since many of them may be sent at once.
        is_aged: Whether messages of the type tell how old something is, so
            that each delay on their way must be added by ``delayed``.
    """

    is_paced: ClassVar[bool] = False
    is_aged: ClassVar[bool] = False

    def delayed(self, delay_s: float) -> Self:
        """Returns the message with a delay added to the ages in it.

        Types with ``is_aged`` override it. An infinite delay means that it is
        not known how old anything in the message is.
        """
        del delay_s
        return self


class DelayProbe(Message, frozen=True, tag="delay.probe"):
    """Lets its receiver measure delays; the stamp is all that it is for."""

    is_aged: ClassVar[bool] = True


class Outbound(msgspec.Struct, frozen=True):
    """One message to one peer."""

    to: NodeId
    body: Message


class Peer(msgspec.Struct, frozen=True):
    """A node and its process, as the sender of a message or this node."""

    node: NodeId
    incarnation: Incarnation


class Part(Protocol):
    """Interface of a coordination part, which makes decisions without I/O.

    All times are seconds of one monotonic clock that continues while the
    process is suspended.
    """

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Runs the actions that are due and returns the messages to send."""
        ...

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Handles a message and returns the messages to send."""
        ...


def ignore_message(
    part: object, body: Message, sender: Peer, now_s: float
) -> list[Outbound]:
    """Ignores a message that a part has no method for."""
    del part, body, sender, now_s
    return []


class MessageHandler:
    """Base of the parts that have one method for each message type.

    A subclass sets ``_handle`` to ``singledispatchmethod(ignore_message)`` and
    registers its methods there.
    """

    _handle: Callable[..., list[Outbound]]

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Dispatches a message to the method for its type."""
        return self._handle(body, sender, now_s)


class Counters(Protocol):
    """Interface by which parts record counters, gauges and histograms."""

    def increment(self, name: str, count: int = 1) -> None:
        """Adds ``count`` to the counter ``name``."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge ``name``."""
        ...

    def observe(self, name: str, value_s: float) -> None:
        """Adds a duration, in seconds, to the histogram ``name``."""
        ...


class NullCounters:
    """Metrics that discard all values."""

    def increment(self, name: str, count: int = 1) -> None:
        """Does nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Does nothing."""

    def observe(self, name: str, value_s: float) -> None:
        """Does nothing."""
