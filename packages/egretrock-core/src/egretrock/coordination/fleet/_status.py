"""Status of the fleet component, for operators."""

import msgspec

from egretrock.coordination.fleet._documents import DocumentStore
from egretrock.coordination.fleet._peers import PeerState
from egretrock.state.ids import NodeId, Revision


class DocumentStatus(msgspec.Struct, frozen=True):
    """Revisions of one document.

    Attributes:
        name: ``config`` or ``vms``.
        revision: Revision in force, or 0.
        digest: SHA-256 of the document in force, or "".
        seen: Highest revision checked.
        findings: Findings of the highest revision, if it was refused.
        confirmed_age_s: Seconds since the latest confirmation, or None.
    """

    name: str
    revision: Revision
    digest: str
    seen: Revision
    findings: list[str]
    confirmed_age_s: float | None


class PeerStatus(msgspec.Struct, frozen=True):
    """Latest reports of one peer."""

    node: NodeId
    heard_age_s: float
    flags: int
    config_seen: Revision
    vms_in_force: Revision


class FleetStatus(msgspec.Struct, frozen=True):
    """Status of the fleet component at one node.

    Attributes:
        established: Whether the process has caught up since its start.
        fresh: Whether requests are admitted.
        ready: Whether the platform's balancer may send requests.
        settled: Whether no VM list change is in progress. A change to a list
            without most of the earlier nodes ends only when these nodes
            report it, or when this process restarts.
        usable_share: Fraction of every rate that this node may use.
        documents: Configuration and VM list.
        peers: Peers heard from since the start.
        held_partitions: Partitions held now.
    """

    established: bool
    fresh: bool
    ready: bool
    settled: bool
    usable_share: float
    documents: list[DocumentStatus]
    peers: list[PeerStatus]
    held_partitions: list[int]


def document_status(
    store: DocumentStore, confirmed_s: float, now_s: float
) -> DocumentStatus:
    """Returns the status of one document."""
    age_s = now_s - confirmed_s
    return DocumentStatus(
        name=store.name.value,
        revision=store.revision,
        digest="" if store.in_force is None else store.in_force.digest,
        seen=store.seen,
        findings=[str(finding) for finding in store.findings],
        confirmed_age_s=max(0.0, age_s) if age_s < float("inf") else None,
    )


def peer_status(state: PeerState, now_s: float) -> PeerStatus:
    """Returns the status of one peer."""
    return PeerStatus(
        node=state.peer.node,
        heard_age_s=now_s - state.heard_s,
        flags=state.flags,
        config_seen=state.config_seen,
        vms_in_force=state.vms_in_force,
    )
