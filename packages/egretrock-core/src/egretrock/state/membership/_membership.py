"""Typed model of the published VM list."""

import enum

import msgspec

from egretrock.state.ids import DataCentreId, NodeId


class VmState(enum.Enum):
    """Published state of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list.

    Attributes:
        data_centre: Data centre of the VM.
        state: Published state.
        operator_address: ``"ip:port"`` of the operator endpoint, if listed.
    """

    data_centre: DataCentreId
    state: VmState = VmState.LIVE
    operator_address: str | None = None


class VmList(msgspec.Struct, frozen=True):
    """The listed VMs, both live and leaving, by node id."""

    vms: dict[NodeId, Vm]

    @property
    def nodes(self) -> frozenset[NodeId]:
        """All listed nodes."""
        return frozenset(self.vms)

    @property
    def live_nodes(self) -> frozenset[NodeId]:
        """Listed nodes that are not leaving."""
        return frozenset(
            node for node, vm in self.vms.items() if vm.state is VmState.LIVE
        )


def majority_size(count: int) -> int:
    """Returns the size of the smallest majority of ``count`` nodes.

    Example:
        >>> majority_size(18)
        10
        >>> majority_size(1)
        1
    """
    return count // 2 + 1
