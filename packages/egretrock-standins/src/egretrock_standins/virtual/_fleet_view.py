"""A scripted fleet: each node's view of the VM list, limits and peers."""

import dataclasses
import itertools

import msgspec

from egretrock.coordination.base import rendezvous_node
from egretrock.state.config import Organisation
from egretrock.state.ids import DataCentreId, NodeId, OrganisationId
from egretrock.state.membership import Vm, VmList


class PublishedRevision(msgspec.Struct, frozen=True):
    """The VM list and the limits of one revision.

    Attributes:
        at_s: Time of publication.
        vms: VM list.
        organisations: Limits by organisation.
    """

    at_s: float
    vms: VmList
    organisations: dict[OrganisationId, Organisation]


class VirtualPlatform:
    """Publishes revisions; the nodes' views see them after a lag.

    Example:
        >>> platform = VirtualPlatform(["127.0.0.1:7"], {})
        >>> platform.views["127.0.0.1:7"].usable_share(99.0)
        1.0
    """

    def __init__(
        self,
        nodes: list[NodeId],
        organisations: dict[OrganisationId, Organisation],
    ) -> None:
        first = PublishedRevision(-1e6, _vm_list(nodes), organisations)
        self.revisions = [first]
        self.down_since_s: dict[NodeId, float] = {}
        self.views = {node: FleetView(node, self) for node in nodes}

    def publish(
        self,
        now_s: float,
        nodes: list[NodeId] | None = None,
        organisations: dict[OrganisationId, Organisation] | None = None,
    ) -> None:
        """Publishes a new revision of the VM list, the limits or both."""
        last = self.revisions[-1]
        vms = last.vms if nodes is None else _vm_list(nodes)
        limits = last.organisations if organisations is None else organisations
        self.revisions.append(PublishedRevision(now_s, vms, limits))
        for node in vms.nodes:
            if node not in self.views:
                self.views[node] = FleetView(node, self)


@dataclasses.dataclass
class FleetView:
    """The view of one node, with the guarantees of ``Fleet``.

    A node that has not seen a revision is fresh for at most
    ``freshness_s`` after its publication. A higher limit applies
    ``freshness_s`` x 1.5 after it was seen.

    Attributes:
        node: Node that has this view.
        platform: Source of revisions.
        lag_s: Seconds from a publication until this node sees it.
        unconfirmed_since_s: Time since which confirmations are missing, or
            None.
        unheard_nodes: Nodes from which this node receives no messages.
        freshness_s: Lifetime of a confirmation in seconds.
        silence_timeout_s: Seconds until a node that is down counts as silent.
        clock_rate: Seconds on the node's clock per second of virtual time.
        clock_offset_s: Reading of the node's clock at virtual time 0.
    """

    node: NodeId
    platform: VirtualPlatform
    lag_s: float = 0.1
    unconfirmed_since_s: float | None = None
    unheard_nodes: frozenset[NodeId] = frozenset()
    freshness_s: float = 4.0
    silence_timeout_s: float = 2.0
    clock_rate: float = 1.0
    clock_offset_s: float = 0.0

    def to_local_s(self, virtual_s: float) -> float:
        """Reads the node's clock at a virtual time."""
        return virtual_s * self.clock_rate + self.clock_offset_s

    def to_virtual_s(self, local_s: float) -> float:
        """Returns the virtual time at which the clock shows ``local_s``."""
        return (local_s - self.clock_offset_s) / self.clock_rate

    def is_fresh(self, now_s: float) -> bool:
        """Whether the last confirmation is younger than ``freshness_s``."""
        now_s = self.to_virtual_s(now_s)
        confirmed_s = now_s
        if self.unconfirmed_since_s is not None:
            confirmed_s = min(confirmed_s, self.unconfirmed_since_s)
        for revision in self.platform.revisions:
            if revision.at_s + self.lag_s > now_s >= revision.at_s:
                confirmed_s = min(confirmed_s, revision.at_s)
        return now_s - confirmed_s < self.freshness_s

    def usable_share(self, now_s: float) -> float:
        """Fraction of every rate that this node may use by itself."""
        shares = [
            1 / len(revision.vms.vms)
            if self.node in revision.vms.nodes
            else 0.0
            for revision in self._usable_revisions(now_s)
        ]
        return min(shares)

    def usable_limits(
        self, organisation: OrganisationId, now_s: float
    ) -> Organisation | None:
        """Smallest limits in force, or None for an unknown organisation."""
        limits = [
            revision.organisations.get(organisation)
            for revision in self._usable_revisions(now_s)
        ]
        if None in limits:
            return None
        rate_per_s = min(limit.rate_per_s for limit in limits)
        burst = min(limit.burst for limit in limits)
        return Organisation(rate_per_s=rate_per_s, burst=burst)

    def alive_nodes(self, now_s: float) -> frozenset[NodeId]:
        """Listed nodes heard within ``silence_timeout_s``, and this node."""
        now_s = self.to_virtual_s(now_s)
        down = self.platform.down_since_s
        silent = {
            n
            for n, at_s in down.items()
            if now_s - at_s > self.silence_timeout_s
        }
        listed = self._seen_revisions(now_s)[-1].vms.nodes
        return (listed - silent - self.unheard_nodes) | {self.node}

    def preferred_home(
        self, kind: str, name: str, now_s: float
    ) -> NodeId | None:
        """First node by rendezvous hashing over the alive nodes."""
        return rendezvous_node(f"{kind} {name}", self.alive_nodes(now_s))

    def vms(self) -> VmList:
        """The newest published VM list."""
        return self.platform.revisions[-1].vms

    def config(self) -> PublishedRevision:
        """The newest published limits."""
        return self.platform.revisions[-1]

    def _seen_revisions(self, now_s: float) -> list[PublishedRevision]:
        revisions = self.platform.revisions
        seen = [r for r in revisions if r.at_s + self.lag_s <= now_s]
        return seen or revisions[:1]

    def _usable_revisions(self, now_s: float) -> list[PublishedRevision]:
        """The newest seen revision and older ones that still cap limits."""
        now_s = self.to_virtual_s(now_s)
        seen = self._seen_revisions(now_s)
        wait_s = self.lag_s + self.freshness_s * 1.5
        usable = [seen[-1]]
        for older, newer in itertools.pairwise(seen):
            if now_s < newer.at_s + wait_s:
                usable.append(older)
        return usable


def _vm_list(nodes: list[NodeId]) -> VmList:
    return VmList({node: Vm(DataCentreId("east")) for node in nodes})
