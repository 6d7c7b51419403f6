"""Status that a node reports to operators, about itself and its fleet."""

from egretrock_node.protocol.status._status import (
    DocumentStatus,
    NodeStatus,
    OrganisationStatus,
    PeerStatus,
    StatusSource,
    TargetStatus,
)

__all__ = [
    "DocumentStatus",
    "NodeStatus",
    "OrganisationStatus",
    "PeerStatus",
    "StatusSource",
    "TargetStatus",
]
