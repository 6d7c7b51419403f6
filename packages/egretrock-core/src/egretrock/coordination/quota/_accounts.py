"""State of one node for the rate limit of an organisation."""

from typing import NamedTuple

from egretrock.coordination.base import TokenBucket
from egretrock.state.ids import NodeId, OrganisationId


class HomeChange(NamedTuple):
    """This node became the home of a rate, or stopped being it.

    Attributes:
        organisation: Owner of the rate.
        home: The current home, or None if no node can be the home.
        tokens: Tokens in the pool at its start, or handed over at its end.
    """

    organisation: OrganisationId
    home: NodeId | None
    tokens: float


class OrganisationQuota:
    """Token buckets and pending ask of a node for one organisation.

    Attributes:
        local_bucket: This node's share of the divided part of the rate.
        pool_bucket: Bucket of the pooled part of the rate (the pool), while
            this node is its home.
        pool_reachable_share: Share of the fleet reachable at the last refill
            of the pool.
        pending_handover_tokens: Tokens handed over and not yet added to the
            pool; discarded after ``pending_handover_until_s``.
        granted_tokens: Unused tokens granted by the home, valid until
            ``granted_until_s``.
        ask_sent_s: When the pending ask was sent, or None without one.
        ask_number: Number of the pending ask, or 0 without one.
        ask_unserved_count: ``unserved_count`` when the ask was sent.
        ask_home: Home that the pending ask was sent to.
        unserved_count: Requests without a token that no ask has covered.
        home_empty_until_s: When the home expects to have a token again.
        demand_per_s: Decaying estimate of this node's own demand.
        demand_updated_s: When ``demand_per_s`` was updated.
        home_status: Result of the last ask, for the text of a refusal.
        home_status_set_s: When ``home_status`` was set.
    """

    def __init__(self, now_s: float) -> None:
        self.local_bucket = TokenBucket(now_s)
        self.pool_bucket: TokenBucket | None = None
        self.pool_reachable_share = 0.0
        self.pending_handover_tokens = 0.0
        self.pending_handover_until_s = now_s
        self.granted_tokens = 0
        self.granted_until_s = now_s
        self.ask_sent_s: float | None = None
        self.ask_number = 0
        self.ask_unserved_count = 0
        self.ask_home: NodeId | None = None
        self.unserved_count = 0
        self.home_empty_until_s = now_s
        self.demand_per_s = 0.0
        self.demand_updated_s = now_s
        self.home_status = "no home was asked yet"
        self.home_status_set_s = now_s
