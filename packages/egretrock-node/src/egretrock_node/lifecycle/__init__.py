"""Message routing and the drain, common to the daemon and the gateway."""

from egretrock_node.lifecycle._drain import (
    DrainController,
    DrainEnd,
    DrainOutcome,
    DrainPort,
    DrainState,
)
from egretrock_node.lifecycle._router import MessageRouter

__all__ = [
    "DrainController",
    "DrainEnd",
    "DrainOutcome",
    "DrainPort",
    "DrainState",
    "MessageRouter",
]
