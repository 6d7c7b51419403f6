"""Reassembly of messages that consist of several fragments."""

import msgspec

from egretrock.coordination.base import Counters, Peer
from egretrock.coordination.directory._messages import Update
from egretrock.state.ids import NodeId

#: Maximum number of incomplete messages over all senders; one more drops all
#: that were kept.
_MAX_PARTIAL_MESSAGES = 32
#: Seconds after the first fragment at which an incomplete message is dropped.
_PARTIAL_TIMEOUT_S = 1.0


class _PartialMessage(msgspec.Struct):
    fragment_count: int
    fragments: dict[int, bytes]
    started_s: float
    is_snapshot: bool


class Assembly:
    """Keeps the fragments of each message until all have arrived.

    Args:
        counters: Metrics.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._incomplete: dict[tuple[NodeId, int], _PartialMessage] = {}

    def add(
        self, sender: Peer, body: Update, now_s: float
    ) -> list[bytes] | None:
        """Returns all fragments of a message if this is the last, or None."""
        if not 0 <= body.fragment_index < body.fragment_count:
            self._counters.increment("directory.bad_news")
            return None
        if body.fragment_count == 1:
            return [body.data]
        key = (body.origin or sender.node, body.number)
        partial = self._incomplete.get(key)
        if partial is None:
            if len(self._incomplete) >= _MAX_PARTIAL_MESSAGES:
                self._counters.increment("directory.partial_dropped")
                self._incomplete.clear()
            partial = self._incomplete[key] = _PartialMessage(
                body.fragment_count, {}, now_s, body.is_snapshot
            )
        if body.fragment_count != partial.fragment_count:
            self._counters.increment("directory.bad_news")
            return None
        partial.fragments[body.fragment_index] = body.data
        if len(partial.fragments) < body.fragment_count:
            return None
        del self._incomplete[key]
        return [
            partial.fragments[fragment_index]
            for fragment_index in range(body.fragment_count)
        ]

    def is_snapshot_arriving(self) -> bool:
        """Returns whether fragments of a snapshot have arrived, not all."""
        return any(p.is_snapshot for p in self._incomplete.values())

    def expire(self, now_s: float) -> None:
        """Drops incomplete messages after the timeout and counts them."""
        for key, partial in list(self._incomplete.items()):
            if now_s - partial.started_s > _PARTIAL_TIMEOUT_S:
                del self._incomplete[key]
                self._counters.increment("directory.partial_expired")
