"""The methods to share a rate that the experiment compares.

The two baselines are the limiter with messages suppressed, so all methods
have the same buckets, demand estimate and waiting.
"""

import enum

from egretrock.coordination.base import Outbound
from egretrock.coordination.limits import ORGANISATION_HOME_KIND, RateLimiter
from egretrock.state.ids import OrganisationId
from egretrock_standins.virtual import FleetView


class SharingMethod(enum.Enum):
    """How nodes share a rate."""

    STATIC = "static shares"
    OWNER = "one owner"
    LEASED = "leased shares"


class StaticLimiter(RateLimiter):
    """Each node uses only its own share and sends no messages."""

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Sends nothing."""
        super().on_tick(now_s)
        return []

    def request_tokens(
        self, organisation: OrganisationId, now_s: float
    ) -> list[Outbound]:
        """Sends nothing."""
        return []

    def wait_until_s(
        self, organisation: OrganisationId, now_s: float
    ) -> float | None:
        """Returns None; no token can arrive from another node."""
        return None


class OwnerLimiter(RateLimiter):
    """One exclusive owner has the whole rate and grants tokens to others."""

    def _send_busy(self, now_s: float) -> list[Outbound]:
        return []


class OwnerView(FleetView):
    """A view of the fleet in which one owner has the whole rate.

    ``heard_s`` is the life of a vote; a lost owner is replaced after it.
    """

    last_organisation = OrganisationId("")

    def usable_share(self, now_s: float) -> float:
        """Returns 1 at the owner and 0 at the other nodes."""
        home = self.preferred_home(
            ORGANISATION_HOME_KIND, self.last_organisation, now_s
        )
        return 1.0 if home == self.node else 0.0

    def usable_limits(
        self, organisation: OrganisationId, now_s: float
    ) -> object | None:
        """Returns limits; the limiter asks for the matching share next."""
        self.last_organisation = organisation
        return super().usable_limits(organisation, now_s)
