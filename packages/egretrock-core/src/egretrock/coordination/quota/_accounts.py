"""What one node holds of the rate of an organisation."""

from typing import NamedTuple

from egretrock.coordination.base import TokenBucket
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


class Account:
    """What a node holds for one organisation."""

    def __init__(self, now_s: float) -> None:
        self.local = TokenBucket(now_s)
        self.pool: TokenBucket | None = None
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
