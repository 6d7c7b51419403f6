"""A randomized soak of real programs, with faults from outside them.

A deployment (gateways as processes, stand-ins of what surrounds them) is
loaded by callers on kept connections while a seeded plan disturbs it: signals
stop, pause, kill and restart the programs, and a loopback proxy delays,
resets, silences or cuts connections one way. The promises are checked from
what callers and targets have seen.
"""

from egretrock_standins.soak._callers import (
    CallerProtocol,
    Callers,
    Outcome,
    RequestRecord,
)
from egretrock_standins.soak._checks import (
    Finding,
    Observations,
    RunRecord,
    check_run,
)
from egretrock_standins.soak._plan import Fault, FaultKind, SoakPlan, make_plan
from egretrock_standins.soak._proxy import LoopbackProxy, ProxyMode
from egretrock_standins.soak._report import chart
from egretrock_standins.soak._run import (
    SoakDeployment,
    SoakResult,
    run_soak,
)

__all__ = [
    "CallerProtocol",
    "Callers",
    "Fault",
    "FaultKind",
    "Finding",
    "LoopbackProxy",
    "Observations",
    "Outcome",
    "ProxyMode",
    "RequestRecord",
    "RunRecord",
    "SoakDeployment",
    "SoakPlan",
    "SoakResult",
    "chart",
    "check_run",
    "make_plan",
    "run_soak",
]
