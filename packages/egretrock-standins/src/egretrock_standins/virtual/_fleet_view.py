"""A scripted fleet: what each node knows of list, limits and peers."""

import dataclasses
import itertools

import msgspec

from egretrock.coordination.base import rendezvous_first
from egretrock.state.config import Organisation
from egretrock.state.ids import DataCentreId, NodeId, OrganisationId
from egretrock.state.membership import Vm, VmList


class Published(msgspec.Struct, frozen=True):
    """The list and the limits of one revision.

    Attributes:
        at_s: Time of the publication.
        vms: VM list.
        organisations: Limits by organisation.
    """

    at_s: float
    vms: VmList
    organisations: dict[OrganisationId, Organisation]


class VirtualPlatform:
    """Publishes revisions; the views of the nodes learn of them.

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
        first = Published(-1e6, _list(nodes), organisations)
        self.revisions = [first]
        self.down_since_s: dict[NodeId, float] = {}
        self.views = {node: FleetStandIn(node, self) for node in nodes}

    def publish(
        self,
        now_s: float,
        nodes: list[NodeId] | None = None,
        organisations: dict[OrganisationId, Organisation] | None = None,
    ) -> None:
        """Publishes a new revision of the list, the limits or both."""
        last = self.revisions[-1]
        vms = last.vms if nodes is None else _list(nodes)
        limits = last.organisations if organisations is None else organisations
        self.revisions.append(Published(now_s, vms, limits))
        for node in vms.nodes:
            if node not in self.views:
                self.views[node] = FleetStandIn(node, self)


@dataclasses.dataclass
class FleetStandIn:
    """What one node knows; keeps the promises of ``Fleet``.

    A node that has not learned of a revision is fresh for at most
    ``freshness_s`` after its publication. A larger limit is used
    ``freshness_s`` x 1.5 after it was learned.

    Attributes:
        node: Whose view this is.
        platform: Source of revisions.
        lag_s: Seconds from a publication until this node learns of it.
        cut_since_s: Start of a time without confirmations, or None.
        unheard: Nodes that this node does not hear.
        freshness_s: Life of a confirmation in seconds.
        heard_s: Seconds until a node that is down counts as silent.
        clock_rate: Seconds of the node's clock in a second.
        clock_offset_s: What the node's clock shows at time 0.
    """

    node: NodeId
    platform: VirtualPlatform
    lag_s: float = 0.1
    cut_since_s: float | None = None
    unheard: frozenset[NodeId] = frozenset()
    freshness_s: float = 4.0
    heard_s: float = 2.0
    clock_rate: float = 1.0
    clock_offset_s: float = 0.0

    def local_s(self, true_s: float) -> float:
        """Reads the node's clock at a virtual time."""
        return true_s * self.clock_rate + self.clock_offset_s

    def true_s(self, local_s: float) -> float:
        """Returns the virtual time at which the clock shows ``local_s``."""
        return (local_s - self.clock_offset_s) / self.clock_rate

    def is_fresh(self, now_s: float) -> bool:
        """Whether the last confirmation is younger than ``freshness_s``."""
        now_s = self.true_s(now_s)
        confirmed_s = now_s
        if self.cut_since_s is not None:
            confirmed_s = min(confirmed_s, self.cut_since_s)
        for revision in self.platform.revisions:
            if revision.at_s + self.lag_s > now_s >= revision.at_s:
                confirmed_s = min(confirmed_s, revision.at_s)
        return now_s - confirmed_s < self.freshness_s

    def usable_share(self, now_s: float) -> float:
        """Fraction of every rate that is this node's own share."""
        shares = [
            1 / len(known.vms.vms) if self.node in known.vms.nodes else 0.0
            for known in self._usable(now_s)
        ]
        return min(shares)

    def usable_limits(
        self, organisation: OrganisationId, now_s: float
    ) -> Organisation | None:
        """Smallest limits in force, or None for an unknown organisation."""
        limits = [
            known.organisations.get(organisation)
            for known in self._usable(now_s)
        ]
        if None in limits:
            return None
        rate_per_s = min(limit.rate_per_s for limit in limits)
        burst = min(limit.burst for limit in limits)
        return Organisation(rate_per_s=rate_per_s, burst=burst)

    def alive_nodes(self, now_s: float) -> frozenset[NodeId]:
        """Listed nodes heard from within ``heard_s``, itself included."""
        now_s = self.true_s(now_s)
        down = self.platform.down_since_s
        silent = {n for n, at_s in down.items() if now_s - at_s > self.heard_s}
        listed = self._learned(now_s)[-1].vms.nodes
        return (listed - silent - self.unheard) | {self.node}

    def preferred_home(
        self, kind: str, name: str, now_s: float
    ) -> NodeId | None:
        """First node by rendezvous hashing over the nodes heard from."""
        return rendezvous_first(f"{kind} {name}", self.alive_nodes(now_s))

    def vms(self) -> VmList:
        """The newest published list."""
        return self.platform.revisions[-1].vms

    def config(self) -> Published:
        """The newest published limits."""
        return self.platform.revisions[-1]

    def _learned(self, now_s: float) -> list[Published]:
        revisions = self.platform.revisions
        known = [r for r in revisions if r.at_s + self.lag_s <= now_s]
        return known or revisions[:1]

    def _usable(self, now_s: float) -> list[Published]:
        """The newest revision and those that still hold back growth."""
        now_s = self.true_s(now_s)
        known = self._learned(now_s)
        wait_s = self.lag_s + self.freshness_s * 1.5
        usable = [known[-1]]
        for older, newer in itertools.pairwise(known):
            if now_s < newer.at_s + wait_s:
                usable.append(older)
        return usable


def _list(nodes: list[NodeId]) -> VmList:
    return VmList({node: Vm(DataCentreId("east")) for node in nodes})
