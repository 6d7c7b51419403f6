"""Starts platform, targets and nodes as processes on loopback addresses."""

from egretrock_standins.fleet_runner._client import (
    Answer,
    Connection,
    ControlCallError,
    call,
    control,
)
from egretrock_standins.fleet_runner._process import (
    ManagedProcess,
    ProcessError,
)

__all__ = [
    "Answer",
    "Connection",
    "ControlCallError",
    "ManagedProcess",
    "ProcessError",
    "call",
    "control",
]
