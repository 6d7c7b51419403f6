"""Virtual time, a lossy network, virtual nodes and targets for tests."""

from egretrock_standins.virtual._discovered import (
    DiscoveredFleet,
    DiscoveredNode,
    VirtualStore,
)
from egretrock_standins.virtual._failing_targets import FailingTargets
from egretrock_standins.virtual._fleet import (
    PlatformView,
    VirtualFleet,
    VirtualProcess,
)
from egretrock_standins.virtual._fleet_view import (
    FleetView,
    PublishedRevision,
    VirtualPlatform,
)
from egretrock_standins.virtual._history import (
    FleetHistory,
    config_json,
    node_id,
    vms_json,
)
from egretrock_standins.virtual._limited_service import (
    CallerResult,
    LimitedService,
    SimulatedTarget,
)
from egretrock_standins.virtual._limited_target import LimitedTarget
from egretrock_standins.virtual._network import Faults, VirtualNetwork
from egretrock_standins.virtual._targets import (
    TargetSimulation,
    VirtualAttempt,
    VirtualNode,
    VirtualTarget,
)
from egretrock_standins.virtual._windows import max_count_in_window

__all__ = [
    "CallerResult",
    "DiscoveredFleet",
    "DiscoveredNode",
    "FailingTargets",
    "Faults",
    "FleetHistory",
    "FleetView",
    "LimitedService",
    "LimitedTarget",
    "PlatformView",
    "PublishedRevision",
    "SimulatedTarget",
    "TargetSimulation",
    "VirtualAttempt",
    "VirtualFleet",
    "VirtualNetwork",
    "VirtualNode",
    "VirtualPlatform",
    "VirtualProcess",
    "VirtualStore",
    "VirtualTarget",
    "config_json",
    "max_count_in_window",
    "node_id",
    "vms_json",
]
