"""The ways to limit a rate that the experiment compares.

The two baselines reuse the limiter and take its messages away, so all ways
share the same buckets, demand estimate and waiting.
"""

import enum

from egretrock.coordination.base import Outbound
from egretrock.coordination.limits import HOME_KIND, RateLimiter
from egretrock.state.ids import OrganisationId
from egretrock_standins.virtual import FleetStandIn


class Way(enum.Enum):
    """A way to share a rate between nodes."""

    STATIC = "static shares"
    OWNER = "one owner"
    LEASED = "leased shares"


class StaticLimiter(RateLimiter):
    """Each node spends its own share; no messages."""

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Sends nothing."""
        super().on_tick(now_s)
        return []

    def flush(
        self, organisation: OrganisationId, now_s: float
    ) -> list[Outbound]:
        """Sends nothing."""
        return []

    def wait_until_s(
        self, organisation: OrganisationId, now_s: float
    ) -> float | None:
        """No token is on its way."""
        return None


class OwnerLimiter(RateLimiter):
    """The exclusive owner has the whole rate and leases tokens."""

    def _send_busy(self, now_s: float) -> list[Outbound]:
        return []


class OwnerView(FleetStandIn):
    """A view in which the holder of the partition has the whole rate.

    ``heard_s`` is the life of a vote: a lost owner is replaced after it.
    """

    organisation = OrganisationId("")

    def usable_share(self, now_s: float) -> float:
        """All at the owner, none elsewhere."""
        home = self.preferred_home(HOME_KIND, self.organisation, now_s)
        return 1.0 if home == self.node else 0.0

    def usable_limits(
        self, organisation: OrganisationId, now_s: float
    ) -> object | None:
        """Limits; the share that follows is the one of this organisation."""
        self.organisation = organisation
        return super().usable_limits(organisation, now_s)
