"""Forwarding trees that distribute updates to the members."""

import collections
from collections.abc import Sequence

from egretrock.coordination.base import placement_weight
from egretrock.coordination.gossip import MemberRecord
from egretrock.state.ids import DataCentreId, NodeId

#: Fleet size up to which a reader sends updates to each member itself: one
#: hop, and 3 KB a second at the reader.
MAX_DIRECT_MEMBERS = 24
#: Members that one member forwards an update to; in a data centre of 320
#: members the update arrives within four hops.
_FAN_OUT = 6
#: Members of each data centre that the reader sends to, and that forward to
#: the same members. The second one covers for a first one that has failed
#: but is still considered alive.
_ROOTS = 2
#: Message parts that are remembered as forwarded.
_MAX_SEEN_PARTS = 512


class Relay:
    """One tree over the members of each data centre, for each reader.

    The cost of a member does not depend on the size of the fleet, and an
    update crosses from one data centre to another only twice. Two readers
    order their trees differently, so that a member that forwards nothing
    withholds the updates of at most one reader from the members below it.

    Args:
        node: This node.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._members: Sequence[MemberRecord] = ()
        self._tree_orders: dict[tuple[NodeId, DataCentreId], list[NodeId]] = {}
        self._seen_parts: collections.OrderedDict[
            tuple[NodeId, int, int], None
        ] = collections.OrderedDict()

    def first_hops(self, members: Sequence[MemberRecord]) -> list[NodeId]:
        """Returns the members that this node sends to as a reader."""
        if len(members) <= MAX_DIRECT_MEMBERS:
            return [r.node for r in members if r.node != self._node]
        data_centres = sorted({record.data_centre for record in members})
        return [
            node
            for data_centre in data_centres
            for node in self._tree_order(self._node, data_centre, members)[
                :_ROOTS
            ]
        ]

    def next_hops(
        self,
        origin: NodeId,
        number: int,
        part: int,
        members: Sequence[MemberRecord],
    ) -> list[NodeId]:
        """Returns the members to forward a part to; none for a duplicate.

        Args:
            origin: The reader that created the message.
            number: Number of the message at its origin.
            part: Index of the part.
            members: Alive members, with this node's record first.
        """
        key = (origin, number, part)
        if key in self._seen_parts or len(members) <= MAX_DIRECT_MEMBERS:
            return []
        self._seen_parts[key] = None
        if len(self._seen_parts) > _MAX_SEEN_PARTS:
            self._seen_parts.popitem(last=False)
        order = self._tree_order(origin, members[0].data_centre, members)
        if self._node not in order:
            return []
        position = order.index(self._node)
        first_child = _ROOTS
        if position >= _ROOTS:
            first_child += _FAN_OUT * (position - _ROOTS + 1)
        return order[first_child : first_child + _FAN_OUT]

    def _tree_order(
        self,
        origin: NodeId,
        data_centre: DataCentreId,
        members: Sequence[MemberRecord],
    ) -> list[NodeId]:
        """Returns a data centre's members in the order that forms the tree."""
        if members is not self._members:
            self._members = members
            self._tree_orders.clear()
        key = (origin, data_centre)
        if key not in self._tree_orders:
            nodes = [
                record.node
                for record in members
                if record.data_centre == data_centre and record.node != origin
            ]
            nodes.sort(key=lambda node: placement_weight(origin, node))
            self._tree_orders[key] = nodes
        return self._tree_orders[key]
