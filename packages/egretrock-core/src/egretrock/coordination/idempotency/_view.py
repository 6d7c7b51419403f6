"""Interface to the fleet that the idempotency records need."""

from typing import Protocol

from egretrock.state.ids import NodeId
from egretrock.state.membership import VmList


class PartitionView(Protocol):
    """The methods of ``Fleet`` that this package calls."""

    def holds(self, partition: int, now_s: float) -> bool:
        """Whether this node is the only holder at ``now_s``."""
        ...

    def held_since_s(self, partition: int) -> float | None:
        """Start of the latest uninterrupted lease of this node."""
        ...

    def partition_holder(self, partition: int, now_s: float) -> NodeId | None:
        """The likely holder of the partition."""
        ...

    def next_holder(self, partition: int, now_s: float) -> NodeId | None:
        """The node that should hold the partition if this one stops."""
        ...

    def vms(self) -> VmList | None:
        """The VM list in force."""
        ...
