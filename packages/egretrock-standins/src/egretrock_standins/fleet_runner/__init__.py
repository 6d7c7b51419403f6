"""Starts platform, targets and nodes as processes on loopback addresses."""

from egretrock_standins.fleet_runner._client import (
    Answer,
    Connection,
    ControlCallError,
    call_control,
    send_request,
)
from egretrock_standins.fleet_runner._fleet import (
    Fleet,
    NodeProcess,
    free_address,
    key_digest,
)
from egretrock_standins.fleet_runner._plan import FleetPlan, PlannedTarget
from egretrock_standins.fleet_runner._process import (
    ManagedProcess,
    ProcessError,
)
from egretrock_standins.fleet_runner._statsd import StatsdSink

__all__ = [
    "Answer",
    "Connection",
    "ControlCallError",
    "Fleet",
    "FleetPlan",
    "ManagedProcess",
    "NodeProcess",
    "PlannedTarget",
    "ProcessError",
    "StatsdSink",
    "call_control",
    "free_address",
    "key_digest",
    "send_request",
]
