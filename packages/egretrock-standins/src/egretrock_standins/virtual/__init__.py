"""Virtual time, a lossy network and virtual targets for tests."""

from egretrock_standins.virtual._network import Faults, VirtualNetwork
from egretrock_standins.virtual._targets import (
    VirtualNode,
    VirtualTarget,
    VirtualWorld,
)

__all__ = [
    "Faults",
    "VirtualNetwork",
    "VirtualNode",
    "VirtualTarget",
    "VirtualWorld",
]
