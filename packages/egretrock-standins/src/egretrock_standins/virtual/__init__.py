"""Virtual time and a lossy message queue for tests of coordination parts."""

from egretrock_standins.virtual._fleet_view import (
    FleetStandIn,
    Published,
    VirtualPlatform,
)
from egretrock_standins.virtual._network import Faults, VirtualNetwork

__all__ = [
    "Faults",
    "FleetStandIn",
    "Published",
    "VirtualNetwork",
    "VirtualPlatform",
]
