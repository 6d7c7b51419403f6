"""The published list of VMs."""

from egretrock.state.membership._membership import (
    Vm,
    VmList,
    VmState,
    majority_size,
)

__all__ = ["Vm", "VmList", "VmState", "majority_size"]
