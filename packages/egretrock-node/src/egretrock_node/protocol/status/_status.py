"""Types of the status of a node."""

from typing import Protocol

import msgspec

from egretrock.state.findings import Finding
from egretrock.state.ids import (
    DataCentreId,
    NodeId,
    OrganisationId,
    ServiceId,
    TargetId,
)


class DocumentStatus(msgspec.Struct, frozen=True):
    """State of a published document on the node.

    Attributes:
        revision: Revision in force, or None before the first one.
        refused_revision: Newest revision that was refused because of its
            findings, if any.
        findings: Findings of the refused revision.
    """

    revision: int | None
    refused_revision: int | None = None
    findings: list[Finding] = []


class PeerStatus(msgspec.Struct, frozen=True):
    """Another listed node as this node sees it.

    Attributes:
        node: The other node.
        data_centre: Its data centre.
        alive: Whether it was heard from recently.
    """

    node: NodeId
    data_centre: DataCentreId
    alive: bool


class OrganisationStatus(msgspec.Struct, frozen=True):
    """Rate limit of an organisation and the node that counts it.

    Attributes:
        organisation: The organisation.
        rate_per_s: Rate in force on this node.
        burst: Burst in force on this node.
        home: Node that this node asks for tokens.
    """

    organisation: OrganisationId
    rate_per_s: float
    burst: float
    home: NodeId | None


class TargetStatus(msgspec.Struct, frozen=True):
    """A target as this node sees it.

    Attributes:
        service: Service of the target.
        target: The target.
        data_centre: Its data centre.
        home: Node that grants its permits.
        in_flight: Requests of this node that run there.
        state: Its state as known to this node, such as ``warm`` or ``cold``.
    """

    service: ServiceId
    target: TargetId
    data_centre: DataCentreId
    home: NodeId | None
    in_flight: int
    state: str


class NodeStatus(msgspec.Struct, frozen=True):
    """Status of a node and of the fleet as the node sees it.

    Attributes:
        node: The node.
        data_centre: Its data centre.
        incarnation: Random number that identifies the process.
        version: Version of the daemon.
        ready: Whether it accepts new requests.
        not_ready_reasons: Why it is not ready; empty while it is.
        fresh: Whether its configuration is confirmed.
        draining: Whether it is stopping.
        uptime_s: Seconds since its start.
        in_flight: Number of requests that wait or run.
        config: The configuration document.
        vms: The VM list.
        peers: The other listed nodes.
        partitions_held: Partitions of which the node is the home.
        organisations: Rate limits in force.
        targets: Targets of all services.
        counters: Counters since the start, by name.
        gauges: Gauges, by name.
    """

    node: NodeId
    data_centre: DataCentreId
    incarnation: int
    version: str
    ready: bool
    not_ready_reasons: list[str]
    fresh: bool
    draining: bool
    uptime_s: float
    in_flight: int
    config: DocumentStatus
    vms: DocumentStatus
    peers: list[PeerStatus]
    partitions_held: list[int]
    organisations: list[OrganisationStatus]
    targets: list[TargetStatus]
    counters: dict[str, int]
    gauges: dict[str, float]


class StatusSource(Protocol):
    """Methods of a node that the operator endpoint calls."""

    def status(self) -> NodeStatus:
        """Returns the current status."""
        ...

    def not_ready_reasons(self) -> list[str]:
        """Returns why the node accepts no requests; empty if it does."""
        ...

    def effective_config(self) -> bytes | None:
        """Returns the configuration in force as JSON, or None."""
        ...

    def start_drain(self) -> None:
        """Starts a planned stop; further calls have no effect."""
        ...
