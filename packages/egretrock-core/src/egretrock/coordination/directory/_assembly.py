"""Puts messages of several parts together."""

import msgspec

from egretrock.coordination.base import Counters, Peer
from egretrock.coordination.directory._messages import News
from egretrock.state.ids import NodeId

#: Messages of which some parts are missing, over all senders.
_MAX_PARTIAL = 32
_PARTIAL_S = 1.0


class _Partial(msgspec.Struct):
    parts: dict[int, bytes]
    started_s: float


class Assembly:
    """Keeps the parts of messages until all are here.

    Args:
        counters: Counters.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._partial: dict[tuple[NodeId, int], _Partial] = {}

    def add(self, sender: Peer, body: News, now_s: float) -> list[bytes] | None:
        """Returns all parts of a message once they are here."""
        if body.parts == 1:
            return [body.data]
        key = (body.origin or sender.node, body.number)
        partial = self._partial.get(key)
        if partial is None:
            if len(self._partial) >= _MAX_PARTIAL:
                self._counters.increment("directory.partial_dropped")
                self._partial.clear()
            partial = self._partial[key] = _Partial({}, now_s)
        partial.parts[body.part] = body.data
        if len(partial.parts) < body.parts:
            return None
        del self._partial[key]
        return [partial.parts[part] for part in range(body.parts)]

    def expire(self, now_s: float) -> None:
        """Drops messages whose other parts were lost."""
        for key, partial in list(self._partial.items()):
            if now_s - partial.started_s > _PARTIAL_S:
                del self._partial[key]
