"""Majorities of the VM list in force and of the lists that it replaced."""

import msgspec

from egretrock.state.ids import NodeId, Revision
from egretrock.state.membership import VmList, majority_size

#: Earlier than any time.
NEVER_S = float("-inf")


class _ReplacedList(msgspec.Struct):
    """A replaced VM list that is still valid."""

    nodes: frozenset[NodeId]
    successor: Revision
    adopters: set[NodeId]
    adopted_s: float | None = None


class ListHistory:
    """The VM list in force, and earlier lists that are still valid.

    An earlier list is valid until a majority of its nodes has reported a later
    list in force and ``increase_delay_s`` has passed since. After that, no
    majority of the earlier list can confirm it or give valid votes under it. A
    delay alone is not enough: a majority of the earlier list that is cut off
    from the platform and from this node would continue to use the earlier list.

    Args:
        node: This node.
        increase_delay_s: Seconds for which an earlier list is still valid
            after a majority of its nodes has adopted a later one.
    """

    def __init__(self, node: NodeId, increase_delay_s: float) -> None:
        self.current: VmList | None = None
        self.revision = Revision(0)
        self._node = node
        self._increase_delay_s = increase_delay_s
        self._replaced: list[_ReplacedList] = []
        self._reported: dict[NodeId, Revision] = {}

    def adopt(
        self,
        vm_list: VmList,
        revision: Revision,
        keep_replaced: bool,
        now_s: float,
    ) -> None:
        """Puts a list in force.

        Args:
            vm_list: The new list.
            revision: Its revision.
            keep_replaced: Whether the list in force until now is still valid.
                A process that has not caught up has not used it yet.
            now_s: Current time.
        """
        if self.current is not None and keep_replaced:
            nodes = self.current.nodes
            self._replaced.append(_ReplacedList(nodes, revision, set()))
        self.current = vm_list
        self.revision = revision
        self.report(self._node, revision, now_s)
        for node, reported in list(self._reported.items()):
            self.report(node, reported, now_s)

    def report(self, node: NodeId, revision: Revision, now_s: float) -> None:
        """Records the revision that a node has in force."""
        self._reported[node] = max(revision, self._reported.get(node, revision))
        for replaced in self._replaced:
            if revision < replaced.successor or node not in replaced.nodes:
                continue
            replaced.adopters.add(node)
            needed_count = majority_size(len(replaced.nodes))
            if (
                replaced.adopted_s is None
                and len(replaced.adopters) >= needed_count
            ):
                replaced.adopted_s = now_s

    def expire(self, now_s: float) -> bool:
        """Drops earlier lists that are no longer valid.

        Returns:
            Whether any was dropped.
        """
        count = len(self._replaced)
        self._replaced = [
            replaced
            for replaced in self._replaced
            if replaced.adopted_s is None
            or now_s < replaced.adopted_s + self._increase_delay_s
        ]
        if len(self._replaced) == count:
            return False
        listed = self.nodes()
        self._reported = {
            node: revision
            for node, revision in self._reported.items()
            if node in listed
        }
        return True

    @property
    def is_settled(self) -> bool:
        """Whether only the list in force is valid."""
        return not self._replaced

    def nodes(self) -> frozenset[NodeId]:
        """Nodes of all valid lists."""
        return frozenset().union(*self._node_sets())

    def smallest_share(self, node: NodeId) -> float:
        """Returns the smallest share that a list gives a node.

        It is 0 without a list, or if a valid list lacks the node.
        """
        return min(
            (1 / len(n) if node in n else 0.0 for n in self._node_sets()),
            default=0.0,
        )

    def majority_time_s(self, times_s: dict[NodeId, float]) -> float:
        """Returns the latest time t that a majority of every list has reached.

        In every list, a majority of the nodes has a time of t or later.

        Args:
            times_s: Time of each node; a missing node counts as ``NEVER_S``.

        Example:
            >>> from egretrock.state.membership import Vm
            >>> history = ListHistory(NodeId("a"), 6.0)
            >>> three = VmList({NodeId(n): Vm("d") for n in "abc"})
            >>> history.adopt(three, Revision(1), False, 0.0)
            >>> history.majority_time_s({"a": 9.0, "b": 4.0, "c": 2.0})
            4.0
        """
        lists = self._node_sets()
        if not lists:
            return NEVER_S
        return min(_majority_time_s(nodes, times_s) for nodes in lists)

    def _node_sets(self) -> list[frozenset[NodeId]]:
        if self.current is None:
            return []
        return [self.current.nodes, *(r.nodes for r in self._replaced)]


def _majority_time_s(
    nodes: frozenset[NodeId], times_s: dict[NodeId, float]
) -> float:
    times = sorted((times_s.get(n, NEVER_S) for n in nodes), reverse=True)
    return times[majority_size(len(nodes)) - 1]
