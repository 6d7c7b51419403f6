"""Stand-in targets with slots, a queue, cold starts and optional faults."""

from egretrock_standins.target._history import History, RunRecord
from egretrock_standins.target._options import (
    Overload,
    Rule,
    ServiceTime,
    Stop,
    TargetOptions,
)
from egretrock_standins.target._server import TargetServer
from egretrock_standins.target._target import Target

__all__ = [
    "History",
    "Overload",
    "Rule",
    "RunRecord",
    "ServiceTime",
    "Stop",
    "Target",
    "TargetOptions",
    "TargetServer",
]
