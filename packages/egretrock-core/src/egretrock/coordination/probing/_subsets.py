"""Subsetting: the targets that one node keeps connections to."""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from egretrock.coordination.base import placement_weight
from egretrock.state.config import Target
from egretrock.state.ids import DataCentreId, NodeId, ServiceId, TargetId


class SubsetSettings(msgspec.Struct, frozen=True):
    """Sizes of the subset of a service's targets that a node uses.

    Attributes:
        min_near_targets: Minimum number of targets of the node's own data
            centre; 1.5 times ``ChoiceSettings.near_probe_count``, so that a
            round can choose among more targets than it probes.
        min_far_targets: Minimum number of targets of other data centres.
        coverage: Average number of nodes that have a given target in their
            subset; a target in no subset would get no requests.
    """

    min_near_targets: int = 6
    min_far_targets: int = 12
    coverage: float = 6.0


class Subset(NamedTuple):
    """Targets of one service in three tiers, in order of preference.

    Attributes:
        near: Subset of the targets in the node's own data centre.
        far: Subset of the targets in other data centres.
        rest: Targets that are not in the subset.
    """

    near: list[TargetId]
    far: list[TargetId]
    rest: list[TargetId]


class _RankedTargets(NamedTuple):
    targets: Mapping[TargetId, Target]
    near: list[TargetId]
    far: list[TargetId]
    node_counts: tuple[int, int] = (0, 0)
    subset: Subset = Subset([], [], [])


_DEFAULTS = SubsetSettings()


class TargetSubsets:
    """Chooses the subsets of one node by rendezvous hashing.

    A node uses all targets of a small service, but only a subset of a large
    one. It then has few connections, which stay in use, and a target that
    joins or leaves changes only the subsets that it belongs to.

    Args:
        node: This node.
        data_centre: Data centre of this node.
        near_node_count: Returns the number of nodes alive in this data
            centre, including this one.
        node_count: Returns the number of nodes alive.
        settings: Sizes of the subsets.

    Example:
        >>> targets = {
        ...     TargetId(f"t{i}"): Target(f"10.0.0.{i}:80", "a", 2)
        ...     for i in range(40)
        ... }
        >>> subsets = TargetSubsets("n1", "a", lambda: 30, lambda: 90)
        >>> chosen = subsets.subset_of("records", targets)
        >>> len(chosen.near), len(chosen.far), len(chosen.rest)
        (8, 0, 32)
    """

    def __init__(
        self,
        node: NodeId,
        data_centre: DataCentreId,
        near_node_count: Callable[[], int],
        node_count: Callable[[], int],
        settings: SubsetSettings = _DEFAULTS,
    ) -> None:
        self._node = node
        self._data_centre = data_centre
        self._near_node_count = near_node_count
        self._node_count = node_count
        self._settings = settings
        self._cache: dict[ServiceId, _RankedTargets] = {}

    def subset_of(
        self, service: ServiceId, targets: Mapping[TargetId, Target]
    ) -> Subset:
        """Returns the subset for a service, cached until the inputs change.

        Args:
            service: Service.
            targets: All usable targets of the service; must be the same
                object as long as they have not changed.
        """
        counts = max(1, self._near_node_count()), max(1, self._node_count())
        cached = self._cache.get(service)
        if cached is None or cached.targets is not targets:
            cached = self._rank(targets)
        elif cached.node_counts == counts:
            return cached.subset
        settings = self._settings
        near_size = _subset_size(
            settings.min_near_targets, settings, cached.near, counts[0]
        )
        far_size = _subset_size(
            settings.min_far_targets, settings, cached.far, counts[1]
        )
        subset = Subset(
            cached.near[:near_size],
            cached.far[:far_size],
            cached.near[near_size:] + cached.far[far_size:],
        )
        self._cache[service] = cached._replace(
            node_counts=counts, subset=subset
        )
        return subset

    def _rank(self, targets: Mapping[TargetId, Target]) -> _RankedTargets:
        ranked = sorted(
            targets,
            key=lambda target_id: (
                placement_weight(self._node, target_id),
                target_id,
            ),
        )
        near: list[TargetId] = []
        far: list[TargetId] = []
        for target_id in ranked:
            is_near = targets[target_id].data_centre == self._data_centre
            (near if is_near else far).append(target_id)
        return _RankedTargets(targets, near, far)


def _subset_size(
    min_size: int,
    settings: SubsetSettings,
    targets_ranked: list[TargetId],
    node_count: int,
) -> int:
    return max(
        min_size,
        math.ceil(settings.coverage * len(targets_ranked) / node_count),
    )
