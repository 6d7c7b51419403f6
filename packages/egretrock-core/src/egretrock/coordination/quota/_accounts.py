"""What one node holds of the rate of an organisation."""

from typing import NamedTuple

from egretrock.state.ids import NodeId, OrganisationId


class HomeChange(NamedTuple):
    """This node became the home of a rate, or is it no more.

    Attributes:
        organisation: Owner of the rate.
        home: The home now, or None where no node can be it.
        tokens: Tokens that the pool starts with, or that were handed over.
    """

    organisation: OrganisationId
    home: NodeId | None
    tokens: float


class Bucket:
    """A token bucket whose rate and size may change at any time."""

    def __init__(self, now_s: float) -> None:
        self.tokens = 0.0
        self._updated_s = now_s

    def refill(self, rate_per_s: float, size: float, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self.tokens = min(size, self.tokens + passed_s * rate_per_s)

    def take(self, count: float) -> bool:
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class Account:
    """What a node holds for one organisation."""

    def __init__(self, now_s: float) -> None:
        self.local = Bucket(now_s)
        self.pool: Bucket | None = None
        self.pool_reach = 0.0
        self.handed = 0.0
        self.handed_until_s = now_s
        self.granted = 0
        self.granted_until_s = now_s
        self.asked_s: float | None = None
        self.asked_number = 0
        self.asked_count = 0
        self.asked_home: NodeId | None = None
        self.unserved = 0
        self.refused_until_s = now_s
        self.demand_per_s = 0.0
        self.demand_s = now_s
        self.basis = "no home was asked yet"
        self.basis_s = now_s
