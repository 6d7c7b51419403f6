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


class _Cached(NamedTuple):
    targets: Mapping[TargetId, Target]
    near_size: int
    far_size: int
    subset: Subset


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
        self._cache: dict[ServiceId, _Cached] = {}

    def of(
        self, service: ServiceId, targets: Mapping[TargetId, Target]
    ) -> Subset:
        """Returns the subset of a service.

        Args:
            service: The service.
            targets: All its usable targets; the same object as long as
                nothing has changed.
        """
        settings = self._settings
        count = len(targets)
        near_size = max(
            settings.near,
            math.ceil(settings.coverage * count / max(1, self._near_nodes())),
        )
        far_size = max(
            settings.far,
            math.ceil(settings.coverage * count / max(1, self._nodes())),
        )
        cached = self._cache.get(service)
        if (
            cached is not None
            and cached.targets is targets
            and cached.near_size == near_size
            and cached.far_size == far_size
        ):
            return cached.subset
        subset = self._choose(targets, near_size, far_size)
        self._cache[service] = _Cached(targets, near_size, far_size, subset)
        return subset

    def _choose(
        self,
        targets: Mapping[TargetId, Target],
        near_size: int,
        far_size: int,
    ) -> Subset:
        ranked = sorted(
            targets, key=lambda t: (placement_weight(self._node, t), t)
        )
        near, far = [], []
        for target_id in ranked:
            is_near = targets[target_id].data_centre == self._data_centre
            (near if is_near else far).append(target_id)
        return Subset(
            near[:near_size],
            far[:far_size],
            near[near_size:] + far[far_size:],
        )
