"""Identifiers used across the layers."""

from egretrock.state.ids._ids import (
    AttemptId,
    DataCentreId,
    Fingerprint,
    Incarnation,
    InstanceId,
    NodeId,
    OrganisationId,
    ProfileName,
    RequestId,
    Revision,
    RouteId,
    ServiceId,
    TargetId,
    TicketId,
)

__all__ = [
    "AttemptId",
    "DataCentreId",
    "Fingerprint",
    "Incarnation",
    "InstanceId",
    "NodeId",
    "OrganisationId",
    "ProfileName",
    "RequestId",
    "Revision",
    "RouteId",
    "ServiceId",
    "TargetId",
    "TicketId",
]
