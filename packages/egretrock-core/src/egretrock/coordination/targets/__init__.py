"""Targets: permits, warm-up, probes and the choice of a target.

The home of a service is the node that holds the service's partition. It
counts the outstanding requests of the whole fleet at each target and issues
permits. Nodes ask it for permits through a ``TargetClient``.
"""

import importlib
from typing import TYPE_CHECKING, Any

from egretrock.coordination.targets._client import (
    Assignment,
    AttemptResult,
    Permit,
    TargetClient,
)
from egretrock.coordination.targets._fleet import FleetView
from egretrock.coordination.targets._messages import (
    PERMIT_VALIDITY_S,
    STANDING_VALIDITY_S,
    TARGET_MESSAGES,
    Ask,
    AttemptOutcome,
    Census,
    Grant,
    GrantedPermit,
    HeldPermit,
    Inventory,
    NotHome,
    Report,
    Summary,
    SummaryEntry,
    TargetCondition,
    Trust,
)
from egretrock.coordination.targets._stake import RequestStake
from egretrock.state.config import usable_target

if TYPE_CHECKING:
    from egretrock.coordination.targets._home import TargetHome
    from egretrock.coordination.targets._parts import Targets
    from egretrock.coordination.targets._probes import (
        ProbeKind,
        ProbeRequest,
        ProbeResult,
    )
    from egretrock.coordination.targets._record import Health

#: Modules of the names that only a home uses. They are imported on first use,
#: so that a gateway, which has no homes of targets, starts sooner.
_MODULES = {
    "Health": "_record",
    "ProbeKind": "_probes",
    "ProbeRequest": "_probes",
    "ProbeResult": "_probes",
    "TargetHome": "_home",
    "Targets": "_parts",
}

__all__ = [
    "PERMIT_VALIDITY_S",
    "STANDING_VALIDITY_S",
    "TARGET_MESSAGES",
    "Ask",
    "Assignment",
    "AttemptOutcome",
    "AttemptResult",
    "Census",
    "FleetView",
    "Grant",
    "GrantedPermit",
    "Health",
    "HeldPermit",
    "Inventory",
    "NotHome",
    "Permit",
    "ProbeKind",
    "ProbeRequest",
    "ProbeResult",
    "Report",
    "RequestStake",
    "Summary",
    "SummaryEntry",
    "TargetClient",
    "TargetCondition",
    "TargetHome",
    "Targets",
    "Trust",
    "usable_target",
]


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    return getattr(module, name)
