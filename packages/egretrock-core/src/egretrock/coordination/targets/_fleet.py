"""Interface of the fleet that this package uses."""

from typing import Protocol

from egretrock.state.config import PublishedConfig
from egretrock.state.ids import NodeId
from egretrock.state.membership import VmList


class FleetView(Protocol):
    """Configuration, VM list and partition leases as this node sees them."""

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether configuration and VM list were confirmed recently."""
        ...

    def config(self) -> PublishedConfig | None:
        """Returns the configuration in force."""
        ...

    def vms(self) -> VmList | None:
        """Returns the VM list in force."""
        ...

    def alive_nodes(self, now_s: float) -> frozenset[NodeId]:
        """Returns the nodes heard from recently."""
        ...

    def partition_holder(self, partition: int, now_s: float) -> NodeId | None:
        """Returns the likely holder of a partition."""
        ...

    def holds(self, partition: int, now_s: float) -> bool:
        """Returns whether this node, and no other, holds a partition."""
        ...

    def held_since_s(self, partition: int) -> float | None:
        """Returns when this node became the holder of a partition, or None."""
        ...
