"""The targets that one node keeps connections to."""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from egretrock.coordination.base import placement_weight
from egretrock.state.config import Target
from egretrock.state.ids import DataCentreId, NodeId, ServiceId, TargetId


class SubsetSettings(msgspec.Struct, frozen=True):
    """How many targets of a service a node asks.

    Attributes:
        near: Targets of the own data centre; half as many again as are
            asked first, so that a round has a choice.
        far: Targets of other data centres.
        coverage: Nodes that shall have a target in their subset, on average;
            a target that no node has would get no work.
    """

    near: int = 6
    far: int = 12
    coverage: float = 6.0


class Subset(NamedTuple):
    """Targets of one service in the order in which a node prefers them."""

    near: list[TargetId]
    far: list[TargetId]
    rest: list[TargetId]


class _Ranked(NamedTuple):
    targets: Mapping[TargetId, Target]
    near: list[TargetId]
    far: list[TargetId]
    node_counts: tuple[int, int] = (0, 0)
    subset: Subset = Subset([], [], [])


_DEFAULTS = SubsetSettings()


class TargetSubsets:
    """Chooses the subsets of one node by rendezvous hashing.

    A small service is used whole. Of a large one each node uses a part, which
    keeps its connections few and in use, and a target that joins or leaves
    changes only the subsets that it belongs to.

    Args:
        node: This node.
        data_centre: Data centre of this node.
        near_nodes: Returns the nodes alive in this data centre, this one
            included.
        nodes: Returns the nodes alive.
        settings: Sizes.

    Example:
        >>> targets = {
        ...     TargetId(f"t{i}"): Target(f"10.0.0.{i}:80", "a", 2)
        ...     for i in range(40)
        ... }
        >>> subsets = TargetSubsets("n1", "a", lambda: 30, lambda: 90)
        >>> chosen = subsets.of("records", targets)
        >>> len(chosen.near), len(chosen.far), len(chosen.rest)
        (8, 0, 32)
    """

    def __init__(
        self,
        node: NodeId,
        data_centre: DataCentreId,
        near_nodes: Callable[[], int],
        nodes: Callable[[], int],
        settings: SubsetSettings = _DEFAULTS,
    ) -> None:
        self._node = node
        self._data_centre = data_centre
        self._near_nodes = near_nodes
        self._nodes = nodes
        self._settings = settings
        self._cache: dict[ServiceId, _Ranked] = {}

    def of(
        self, service: ServiceId, targets: Mapping[TargetId, Target]
    ) -> Subset:
        """Returns the subset of a service.

        Args:
            service: The service.
            targets: All its usable targets; the same object as long as
                nothing has changed.
        """
        counts = max(1, self._near_nodes()), max(1, self._nodes())
        cached = self._cache.get(service)
        if cached is None or cached.targets is not targets:
            cached = self._rank(targets)
        elif cached.node_counts == counts:
            return cached.subset
        settings = self._settings
        near_size = _size(settings.near, settings, cached.near, counts[0])
        far_size = _size(settings.far, settings, cached.far, counts[1])
        subset = Subset(
            cached.near[:near_size],
            cached.far[:far_size],
            cached.near[near_size:] + cached.far[far_size:],
        )
        self._cache[service] = cached._replace(
            node_counts=counts, subset=subset
        )
        return subset

    def _rank(self, targets: Mapping[TargetId, Target]) -> _Ranked:
        ranked = sorted(
            targets, key=lambda t: (placement_weight(self._node, t), t)
        )
        near: list[TargetId] = []
        far: list[TargetId] = []
        for target_id in ranked:
            is_near = targets[target_id].data_centre == self._data_centre
            (near if is_near else far).append(target_id)
        return _Ranked(targets, near, far)


def _size(
    least: int, settings: SubsetSettings, among: list[TargetId], nodes: int
) -> int:
    return max(least, math.ceil(settings.coverage * len(among) / nodes))
