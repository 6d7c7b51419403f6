"""Choice of the readers, and trees that forward their updates."""

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
#: Roots of the tree of a data centre. The reader sends to each of them, and
#: all have the same children, so the second root covers for a first one that
#: has failed but is still considered alive.
_ROOTS = 2
#: Fragments that are remembered as forwarded.
_MAX_SEEN_FRAGMENTS = 512


class Relay:
    """Computes the forwarding trees: one per reader and data centre.

    The number of members that a member forwards to does not depend on the
    size of the fleet. An update crosses from one data centre to another only
    twice, once to each root. Two readers order their trees differently, so
    that a member that forwards nothing withholds the updates of at most one
    reader from the members below it.

    Args:
        node: This node.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._members: Sequence[MemberRecord] = ()
        self._tree_orders: dict[tuple[NodeId, DataCentreId], list[NodeId]] = {}
        self._seen_fragments: collections.OrderedDict[
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
        fragment_index: int,
        members: Sequence[MemberRecord],
    ) -> list[NodeId]:
        """Returns the members to forward a fragment to; none for a duplicate.

        Args:
            origin: The reader that created the message.
            number: Number of the message at its origin.
            fragment_index: Index of the fragment.
            members: Alive members, with this node's record first.
        """
        key = (origin, number, fragment_index)
        if key in self._seen_fragments or len(members) <= MAX_DIRECT_MEMBERS:
            return []
        self._seen_fragments[key] = None
        if len(self._seen_fragments) > _MAX_SEEN_FRAGMENTS:
            self._seen_fragments.popitem(last=False)
        order = self._tree_order(origin, members[0].data_centre, members)
        if self._node not in order:
            return []
        # The order is a tree like that of a heap: the roots come first, and
        # all have the next ``_FAN_OUT`` members as children; then come the
        # children of the member after the roots, and so on.
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


def choose_readers(members: Sequence[MemberRecord], count: int) -> list[NodeId]:
    """Returns the readers in order of preference.

    They are in different data centres if possible, and members whose reads
    fail come last.

    Args:
        members: Alive members.
        count: Number of readers to choose.
    """
    ranked = sorted(
        members,
        key=lambda record: (
            not record.platform_reachable,
            placement_weight("reader", record.node),
            record.node,
        ),
    )
    chosen: list[MemberRecord] = []
    for is_spread_pass in (True, False):
        for record in ranked:
            if len(chosen) >= count:
                break
            used_data_centres = {r.data_centre for r in chosen}
            if record in chosen:
                continue
            if is_spread_pass and record.data_centre in used_data_centres:
                continue
            if is_spread_pass and not record.platform_reachable and chosen:
                continue
            chosen.append(record)
    return [record.node for record in chosen]
