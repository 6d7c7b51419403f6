"""What the idempotency records need of the fleet."""

from typing import Protocol

from egretrock.state.ids import NodeId
from egretrock.state.membership import VmList


class PartitionView(Protocol):
    """The methods of ``Fleet`` that the idempotency parts call."""

    def holds(self, partition: int, now_s: float) -> bool:
        """Whether this node is the exclusive holder at this moment."""
        ...

    def held_since_s(self, partition: int) -> float | None:
        """Start of the present holding."""
        ...

    def partition_holder(self, partition: int, now_s: float) -> NodeId | None:
        """Best guess of the holder."""
        ...

    def next_holder(self, partition: int, now_s: float) -> NodeId | None:
        """The node that should hold the partition if this one stops."""
        ...

    def vms(self) -> VmList | None:
        """The VM list in force."""
        ...
