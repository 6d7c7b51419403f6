"""Heartbeats between nodes, freshness and partition leases.

``Fleet`` is the coordination component; ``docs/design.md`` describes the rules
of freshness and of partition leases.
"""

from egretrock.coordination.fleet._documents import (
    Document,
    DocumentName,
    DocumentSource,
    OfferResult,
)
from egretrock.coordination.fleet._fleet import Fleet
from egretrock.coordination.fleet._growth import OrganisationLimits
from egretrock.coordination.fleet._messages import (
    Heartbeat,
    NodeFlag,
    Release,
    format_partitions,
    parse_partitions,
)
from egretrock.coordination.fleet._settings import FleetSettings
from egretrock.coordination.fleet._status import (
    DocumentStatus,
    FleetStatus,
    PeerStatus,
)

#: Message types of this component.
FLEET_MESSAGES = (Heartbeat, Release)

__all__ = [
    "FLEET_MESSAGES",
    "Document",
    "DocumentName",
    "DocumentSource",
    "DocumentStatus",
    "Fleet",
    "FleetSettings",
    "FleetStatus",
    "Heartbeat",
    "NodeFlag",
    "OfferResult",
    "OrganisationLimits",
    "PeerStatus",
    "Release",
    "format_partitions",
    "parse_partitions",
]
