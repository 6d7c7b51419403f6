"""A randomized fault soak of real processes.

A deployment (gateways as processes, with stand-ins for the store and the
targets) gets load from callers on persistent connections while a seeded plan
injects faults: signals stop, pause, kill and restart the processes, and a
loopback proxy delays, resets, silences or blocks connections in one
direction. The guarantees are checked against what callers and targets
recorded.
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
from egretrock_standins.soak._plan import (
    TARGET_LIMIT_PER_S,
    Fault,
    FaultKind,
    PlayedFault,
    SoakPlan,
    make_plan,
)
from egretrock_standins.soak._proxy import LoopbackProxy, ProxyMode
from egretrock_standins.soak._report import chart
from egretrock_standins.soak._run import (
    SoakDeployment,
    SoakResult,
    play_faults,
    run_soak,
)

__all__ = [
    "TARGET_LIMIT_PER_S",
    "CallerProtocol",
    "Callers",
    "Fault",
    "FaultKind",
    "Finding",
    "LoopbackProxy",
    "Observations",
    "Outcome",
    "PlayedFault",
    "ProxyMode",
    "RequestRecord",
    "RunRecord",
    "SoakDeployment",
    "SoakPlan",
    "SoakResult",
    "chart",
    "check_run",
    "make_plan",
    "play_faults",
    "run_soak",
]
