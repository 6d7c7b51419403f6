"""Interface of the fleet that the rate limiter uses."""

from collections.abc import Mapping
from typing import Protocol

from egretrock.state.ids import NodeId, OrganisationId
from egretrock.state.membership import VmList


class LimitsInForce(Protocol):
    """Rate and burst of an organisation over all VMs."""

    @property
    def rate_per_s(self) -> float:
        """Requests per second."""
        ...

    @property
    def burst(self) -> float:
        """Requests admitted at once after a pause."""
        ...


class ConfigInForce(Protocol):
    """The organisations of the published configuration."""

    @property
    def organisations(self) -> Mapping[OrganisationId, object]:
        """Published organisations by id."""
        ...


class FleetView(Protocol):
    """The methods of ``Fleet`` that the rate limiter calls.

    ``usable_share`` and ``usable_limits`` return the smaller of the old and
    the new value until ``freshness_s`` x 1.5 after a change.
    """

    def is_fresh(self, now_s: float) -> bool:
        """Whether config and VM list were confirmed within ``freshness_s``."""
        ...

    def usable_share(self, now_s: float) -> float:
        """Fraction of every rate that is this node's own share."""
        ...

    def usable_limits(
        self, organisation: OrganisationId, now_s: float
    ) -> LimitsInForce | None:
        """Limits in force, or None for an unknown organisation."""
        ...

    def alive_nodes(self, now_s: float) -> frozenset[NodeId]:
        """Nodes of the VM list that were heard from recently."""
        ...

    def preferred_home(
        self, kind: str, name: str, now_s: float
    ) -> NodeId | None:
        """The home by hashing, such as of kind organisation and an id."""
        ...

    def vms(self) -> VmList | None:
        """The VM list in force."""
        ...

    def config(self) -> ConfigInForce | None:
        """The configuration in force."""
        ...
