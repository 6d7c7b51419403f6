"""Which member passes news on to which."""

import collections
from collections.abc import Sequence

from egretrock.coordination.base import placement_weight
from egretrock.coordination.gossip import MemberRecord
from egretrock.state.ids import DataCentreId, NodeId

#: Fleets up to this size are told by the reader itself: one hop, and 3 KB a
#: second at the reader.
DIRECT_MEMBERS = 24
#: Members that one member passes news on to; a member of a data centre of 320
#: gets them over four hops.
_FAN_OUT = 6
#: Members of each data centre that the reader tells, and that pass the news
#: on to the same members. The second covers for a first one that has failed
#: and is still taken for alive.
_ROOTS = 2
#: News that are remembered as passed on.
_SEEN = 512


class Relay:
    """Tree of the members of each data centre, another one for each reader.

    The cost of a member does not depend on the size of the fleet, and news
    cross from one data centre to another twice only. Two readers use trees
    in different orders, so that a member that passes nothing on keeps the
    news of one reader at most from those below it.

    Args:
        node: This node.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._members: Sequence[MemberRecord] = ()
        self._orders: dict[tuple[NodeId, DataCentreId], list[NodeId]] = {}
        self._seen: collections.OrderedDict[tuple[NodeId, int, int], None] = (
            collections.OrderedDict()
        )

    def entries(self, members: Sequence[MemberRecord]) -> list[NodeId]:
        """Returns the members that a reader tells itself."""
        if len(members) <= DIRECT_MEMBERS:
            return [r.node for r in members if r.node != self._node]
        centres = sorted({record.data_centre for record in members})
        return [
            node
            for centre in centres
            for node in self._order(self._node, centre, members)[:_ROOTS]
        ]

    def next_hops(
        self,
        origin: NodeId,
        number: int,
        part: int,
        members: Sequence[MemberRecord],
    ) -> list[NodeId]:
        """Returns the members to pass a message on to; none the second time.

        Args:
            origin: The reader that sent it first.
            number: Number of the message at its origin.
            part: Part of the message.
            members: Members alive, with this node's record first.
        """
        key = (origin, number, part)
        if key in self._seen or len(members) <= DIRECT_MEMBERS:
            return []
        self._seen[key] = None
        if len(self._seen) > _SEEN:
            self._seen.popitem(last=False)
        order = self._order(origin, members[0].data_centre, members)
        if self._node not in order:
            return []
        place = order.index(self._node)
        first = _ROOTS
        if place >= _ROOTS:
            first += _FAN_OUT * (place - _ROOTS + 1)
        return order[first : first + _FAN_OUT]

    def _order(
        self,
        origin: NodeId,
        centre: DataCentreId,
        members: Sequence[MemberRecord],
    ) -> list[NodeId]:
        if members is not self._members:
            self._members = members
            self._orders.clear()
        key = (origin, centre)
        if key not in self._orders:
            nodes = [
                record.node
                for record in members
                if record.data_centre == centre and record.node != origin
            ]
            nodes.sort(key=lambda node: placement_weight(origin, node))
            self._orders[key] = nodes
        return self._orders[key]
