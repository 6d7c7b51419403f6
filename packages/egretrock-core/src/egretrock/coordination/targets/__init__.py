"""Targets: permits, warm-up, probes and the choice of a target.

The home of a service is the node that holds the service's partition. It
counts the outstanding requests of the whole fleet at each target and issues
permits. Nodes ask it for permits through a ``TargetClient``.
"""

from egretrock.coordination.targets._client import (
    Assignment,
    AttemptResult,
    Permit,
    TargetClient,
)
from egretrock.coordination.targets._fleet import FleetView
from egretrock.coordination.targets._home import TargetHome
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
from egretrock.coordination.targets._parts import Targets
from egretrock.coordination.targets._probes import (
    ProbeKind,
    ProbeRequest,
    ProbeResult,
)
from egretrock.coordination.targets._record import Health
from egretrock.coordination.targets._stake import RequestStake
from egretrock.state.config import usable_target

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
