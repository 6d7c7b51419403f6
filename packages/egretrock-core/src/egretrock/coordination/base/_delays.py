"""Upper bounds on how long messages were under way."""

import collections
import math
from typing import Annotated

import msgspec

from egretrock.coordination.base._parts import Peer
from egretrock.state.ids import Incarnation, NodeId

#: Seconds after which a least difference is measured anew, so that the drift
#: of the clocks does not add up.
_WINDOW_S = 30.0
#: Seconds between two probes of a process whose delays are known, and of one
#: whose delays are not.
_PROBE_INTERVAL_S = 10.0
_FIRST_PROBE_INTERVAL_S = 0.2
#: Processes that are remembered; bounds the memory.
_MAX_PEERS = 4096
# Greater times lose their milliseconds as a float.
_Milliseconds = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]


class ClockStamp(msgspec.Struct, frozen=True, array_like=True):
    """Times in the envelope of messages that tell ages.

    Attributes:
        made_ms: Time of the sender's clock when the messages were made.
        back_ms: Least difference that the sender has seen between its clock
            on arrival and the stamp of a message of the receiver, or None.
        receiver_mark: Mark of the receiver's process to which ``back_ms``
            applies. A new process may have another clock.
    """

    made_ms: _Milliseconds
    back_ms: _Milliseconds | None = None
    receiver_mark: int = 0


class _PeerClock(msgspec.Struct):
    """Least differences of one process in two successive windows."""

    incarnation: Incarnation
    window_start_s: float
    least_s: float
    previous_least_s: float
    probed_s: float = float("-inf")


class MessageDelays:
    """Bounds the delay of each message by the clocks of both sides.

    The difference between the receiver's clock on arrival and the sender's
    when a message was made is the difference of the two clocks plus the delay.
    The same holds in the other direction, where the clocks count with the
    opposite sign. So the difference of one message, plus the least one that
    the sender has seen of messages in the other direction, is its delay plus
    the least delay of those. But for the drift of the clocks within a minute,
    it is never below the delay of the message, wherever that waited: in a
    queue, on a link or in a busy or frozen process.

    Args:
        own: This process.
    """

    def __init__(self, own: Peer) -> None:
        self._mark = _mark(own.incarnation)
        self._clocks: collections.OrderedDict[NodeId, _PeerClock] = (
            collections.OrderedDict()
        )

    def stamp(self, receiver: NodeId, made_s: float) -> ClockStamp:
        """Returns the stamp of messages that are made for a node.

        Args:
            receiver: The node.
            made_s: Time of this node's clock.
        """
        # Both are rounded so that the bound does not fall below the delay.
        made_ms = math.floor(made_s * 1000)
        clock = self._clocks.get(receiver)
        if clock is None:
            return ClockStamp(made_ms)
        least_s = min(clock.least_s, clock.previous_least_s)
        return ClockStamp(
            made_ms, math.ceil(least_s * 1000), _mark(clock.incarnation)
        )

    def receive(
        self, sender: Peer, stamp: ClockStamp, now_s: float
    ) -> float | None:
        """Notes the arrival of a message and bounds its delay.

        Args:
            sender: Process that made the message.
            stamp: Its stamp.
            now_s: Time of this node's clock.

        Returns:
            Seconds that the message was under way at most, or None if the
            sender has not heard this process yet.
        """
        difference_s = now_s - stamp.made_ms / 1000
        self._note(sender, difference_s, now_s)
        if stamp.back_ms is None or stamp.receiver_mark != self._mark:
            return None
        return max(0.0, difference_s + stamp.back_ms / 1000)

    def is_probe_due(self, sender: Peer, is_known: bool, now_s: float) -> bool:
        """Returns whether to send a probe to a process, and notes that it is.

        Args:
            sender: The process, after a call of ``receive``.
            is_known: Whether the delay of its last message is known.
            now_s: Time.
        """
        clock = self._clocks[sender.node]
        interval_s = _PROBE_INTERVAL_S if is_known else _FIRST_PROBE_INTERVAL_S
        if now_s - clock.probed_s < interval_s:
            return False
        clock.probed_s = now_s
        return True

    def _note(self, sender: Peer, difference_s: float, now_s: float) -> None:
        clock = self._clocks.get(sender.node)
        if clock is None or clock.incarnation != sender.incarnation:
            self._clocks[sender.node] = _PeerClock(
                sender.incarnation, now_s, difference_s, difference_s
            )
            if len(self._clocks) > _MAX_PEERS:
                self._clocks.popitem(last=False)
            return
        if now_s - clock.window_start_s >= _WINDOW_S:
            clock.window_start_s = now_s
            clock.previous_least_s = clock.least_s
            clock.least_s = difference_s
        clock.least_s = min(clock.least_s, difference_s)


def _mark(incarnation: Incarnation) -> int:
    """Returns a short number that tells the processes of a node apart."""
    return incarnation % 2**20
