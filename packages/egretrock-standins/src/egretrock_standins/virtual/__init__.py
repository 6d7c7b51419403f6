"""Virtual time and a lossy message queue for tests of coordination parts."""

from egretrock_standins.virtual._fleet import (
    PlatformView,
    VirtualFleet,
    VirtualProcess,
)
from egretrock_standins.virtual._network import Faults, VirtualNetwork

__all__ = [
    "Faults",
    "PlatformView",
    "VirtualFleet",
    "VirtualNetwork",
    "VirtualProcess",
]
