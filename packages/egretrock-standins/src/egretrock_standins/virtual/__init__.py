"""Virtual time, a lossy network, virtual nodes and targets for tests."""

from egretrock_standins.virtual._discovered import (
    DiscoveredFleet,
    DiscoveredNode,
    VirtualStore,
)
from egretrock_standins.virtual._fleet import (
    PlatformView,
    VirtualFleet,
    VirtualProcess,
)
from egretrock_standins.virtual._fleet_view import (
    FleetStandIn,
    Published,
    VirtualPlatform,
)
from egretrock_standins.virtual._history import (
    FleetHistory,
    config_json,
    node,
    vms_json,
)
from egretrock_standins.virtual._network import Faults, VirtualNetwork
from egretrock_standins.virtual._targets import (
    VirtualCall,
    VirtualNode,
    VirtualTarget,
    VirtualWorld,
)
from egretrock_standins.virtual._windows import most_in_window

__all__ = [
    "DiscoveredFleet",
    "DiscoveredNode",
    "Faults",
    "FleetHistory",
    "FleetStandIn",
    "PlatformView",
    "Published",
    "VirtualCall",
    "VirtualFleet",
    "VirtualNetwork",
    "VirtualNode",
    "VirtualPlatform",
    "VirtualProcess",
    "VirtualStore",
    "VirtualTarget",
    "VirtualWorld",
    "config_json",
    "most_in_window",
    "node",
    "vms_json",
]
