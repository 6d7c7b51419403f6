"""State of one organisation at one node, as asker, home and share owner."""

import math

import msgspec

from egretrock.coordination.base import Peer
from egretrock.coordination.limits._demand import DemandEstimate, TokenStock
from egretrock.coordination.limits._messages import AskEntry
from egretrock.coordination.limits._pool import (
    ROUNDING_TOLERANCE,
    PoolLimits,
    SharePool,
)
from egretrock.coordination.limits._settings import LimitSettings
from egretrock.state.ids import NodeId, OrganisationId


class Claim(msgspec.Struct, frozen=True):
    """The latest ask of a node, as recorded at the home.

    Attributes:
        demand_per_s: Requests a second that the node expects.
        unmet: Tokens that the node wanted and did not get.
        asked_s: Time at which the ask arrived.
    """

    demand_per_s: float
    unmet: float
    asked_s: float


class GivenLease(msgspec.Struct, frozen=True):
    """The latest lease given on the node's own share."""

    home: Peer
    busy_number: int


class OrganisationState:
    """Tokens, demand and leases of an organisation at a node.

    Args:
        organisation: The organisation.
        settings: Constants.
        own_share_from_s: Time from which the node's own share is usable.
        now_s: Current time.
    """

    def __init__(
        self,
        organisation: OrganisationId,
        settings: LimitSettings,
        own_share_from_s: float,
        now_s: float,
    ) -> None:
        self.organisation = organisation
        self.pool = SharePool(own_share_from_s, now_s)
        self.stock = TokenStock()
        self.demand = DemandEstimate(settings.demand_s)
        self.limits = PoolLimits()
        self.given_lease: GivenLease | None = None
        #: Leases that answer a ``limits.busy`` up to this number are void.
        self.void_busy_number = 0
        self.next_lease_request_s = 0.0
        self.lease_wait_until_s = 0.0
        self.backoff_until_s = 0.0
        self._settings = settings
        self._claims: dict[Peer, Claim] = {}
        self._last_claim_s = -math.inf
        self._last_answer_s = -math.inf
        self._last_remote_claim_s = -math.inf
        self._waiting_count = 0
        self._last_waiting_s = -math.inf
        self._own_allowance = 1.0
        self._own_allowance_s = now_s

    def advance(self, limits: PoolLimits, now_s: float) -> None:
        """Adds the tokens due up to now under the limits in force."""
        self.limits = limits
        self.pool.advance(limits, now_s)

    # Spending.

    def spend(self, now_s: float) -> bool:
        """Spends one token if there is one, granted tokens first."""
        if self.stock.spend(now_s):
            return True
        return self._may_spend_own(now_s) and self.pool.spend()

    def add_waiting(self, now_s: float) -> None:
        """Counts a request that got no token and may wait for one."""
        self._waiting_count = self._recent_waiting_count(now_s) + 1
        self._last_waiting_s = now_s

    def retry_after_ms(self, now_s: float) -> int:
        """Returns the milliseconds until a new request may get a token.

        The demand of this node is the estimate of the requests that compete
        for the next tokens.
        """
        limits = self.limits
        if limits.rate_per_s <= 0:
            return 1000  # 1 s, without a rate in force.
        overload_ratio = max(1.0, self.demand.per_s(now_s) / limits.rate_per_s)
        wait_s = max(
            overload_ratio / limits.rate_per_s, self.backoff_until_s - now_s
        )
        # At least 10 ms and at most 10 s.
        return round(1000 * min(max(wait_s, 0.01), 10.0))

    def is_idle(self, now_s: float) -> bool:
        """Whether there is no demand here or at an asker, and no lease.

        Less than 0.01 requests a second count as no demand.
        """
        if self.is_active_home(now_s) or self.pool.leases:
            return False
        return self.demand.per_s(now_s) < 0.01

    def _recent_waiting_count(self, now_s: float) -> int:
        if now_s - self._last_waiting_s > self._settings.wait_s:
            return 0
        return self._waiting_count

    def _may_spend_own(self, now_s: float) -> bool:
        """Keeps the home's own callers from starving those of other nodes.

        While asks of other nodes are not met, the home's callers get a
        fraction of the added tokens equal to the home's fraction of the demand.
        """
        unmet_tokens = self._unmet_tokens(now_s)
        if unmet_tokens == 0 or self.pool.level - 1 >= unmet_tokens:
            self._own_allowance, self._own_allowance_s = 1.0, now_s
            return True
        fraction = self._fraction_of_demand(self.demand.per_s(now_s), now_s)
        refill_per_s = self.pool.refill_rate_per_s(now_s) * fraction
        allowance = self._own_allowance + refill_per_s * (
            now_s - self._own_allowance_s
        )
        self._own_allowance = min(
            allowance, 1 + refill_per_s * self._settings.claim_s
        )
        self._own_allowance_s = now_s
        if self._own_allowance < 1 or self.pool.level < 1 - ROUNDING_TOLERANCE:
            return False
        self._own_allowance -= 1
        return True

    # Asker.

    def needs_tokens(self, now_s: float) -> bool:
        """Whether the node's own share does not cover the demand.

        A node with a stock needs tokens from 90% of its own rate on.
        """
        if self._recent_waiting_count(now_s) > 0:
            return True
        demand_per_s = self.demand.per_s(now_s)
        if not self._keeps_stock(demand_per_s):
            return False
        own_rate_per_s = self.limits.rate_per_s * self.limits.share
        leased_out = self.pool.own_share_from_s > now_s
        return leased_out or demand_per_s > 0.9 * own_rate_per_s

    def is_ask_due(self, now_s: float) -> bool:
        """Whether it is time to ask the home for tokens."""
        if now_s < self.backoff_until_s or not self.needs_tokens(now_s):
            return False
        if self._recent_waiting_count(now_s) > 0:
            return True
        if self.stock.expires_before(now_s + self._settings.extend_s, now_s):
            return True
        low_tokens = self._settings.low_water * self._wanted_stock(now_s)
        return self._available_tokens(now_s) < low_tokens

    def ask_entry(self, home: NodeId, now_s: float) -> AskEntry | None:
        """Returns the entry for the next ask, or None if none is needed."""
        wanted_tokens = math.ceil(
            self._wanted_stock(now_s)
            - self._available_tokens(now_s)
            - ROUNDING_TOLERANCE
        )
        wanted_tokens = max(0, min(wanted_tokens, math.ceil(self.limits.burst)))
        held = self.stock.held_from_node(home, now_s)
        if wanted_tokens < 1 and held < 1 - ROUNDING_TOLERANCE:
            return None
        demand_per_s = round(self.demand.per_s(now_s), 2)
        return AskEntry(self.organisation, wanted_tokens, demand_per_s, held)

    def on_granted(
        self, wanted_tokens: int, tokens: float, now_s: float
    ) -> None:
        """Records the answer to an ask."""
        self._last_answer_s = now_s
        waiting_count = self._recent_waiting_count(now_s)
        self._waiting_count = max(0, waiting_count - math.floor(tokens))
        if tokens < wanted_tokens:
            self.backoff_until_s = now_s + self._settings.short_wait_s

    def _wanted_stock(self, now_s: float) -> float:
        """Returns the tokens for waiting requests and for a stock.

        The stock is the expected demand of the horizon plus one standard
        deviation.
        """
        waiting_count = self._recent_waiting_count(now_s)
        demand_per_s = self.demand.per_s(now_s)
        if not self._keeps_stock(demand_per_s):
            return waiting_count
        mean = demand_per_s * self._settings.horizon_s
        return mean + math.sqrt(mean) + waiting_count

    def _keeps_stock(self, demand_per_s: float) -> bool:
        """Whether the node keeps a stock of granted tokens.

        With a small burst, stocks at every node would use up the capacity,
        and a request at a node without a stock would be refused although the
        rate is not used up.
        """
        is_enough = demand_per_s >= self._settings.ask_ahead_per_s
        return is_enough and self._allows_stocks()

    def _allows_stocks(self) -> bool:
        own_burst = self.limits.burst * self.limits.share
        return own_burst >= self._settings.stock_tokens

    def _available_tokens(self, now_s: float) -> float:
        return self.stock.total(now_s) + self.pool.level

    # Home.

    def claim_for_self(self, now_s: float) -> None:
        """Records that this node, as home, needs the leased shares itself."""
        self._start_lease_wait(now_s)
        self._last_claim_s = now_s

    def claim(self, asker: Peer, entry: AskEntry, now_s: float) -> None:
        """Records an ask for tokens."""
        self._start_lease_wait(now_s)
        self._last_claim_s = self._last_remote_claim_s = now_s
        claim = Claim(max(0.0, entry.demand_per_s), entry.wanted_tokens, now_s)
        self._claims[asker] = claim
        self.pool.reduce_grant(asker, entry.held)

    def grantable(self, asker: Peer, wanted_tokens: int, now_s: float) -> int:
        """Returns how many of the wanted tokens the asker may get now.

        If the tokens do not suffice for all asks, each asker gets its
        fraction of the demand, and at least one token if there is one.
        """
        end_s = self._grant_end_s(asker, now_s)
        free = self.pool.grantable(now_s, end_s) + ROUNDING_TOLERANCE
        claim = self._claims.get(asker)
        asker_unmet = claim.unmet if claim is not None else 0.0
        other_unmet = (
            self._unmet_tokens(now_s)
            - asker_unmet
            + self._recent_waiting_count(now_s)
        )
        if wanted_tokens <= free - other_unmet:
            return wanted_tokens
        demand_per_s = claim.demand_per_s if claim is not None else 0.0
        fair_tokens = free * self._fraction_of_demand(demand_per_s, now_s)
        minimum = 1 if free >= 1 else 0
        return min(
            wanted_tokens,
            max(math.floor(max(fair_tokens, free - other_unmet)), minimum),
        )

    def grant(
        self, asker: Peer, wanted_tokens: int, now_s: float
    ) -> tuple[int, bool]:
        """Grants tokens to an asker.

        Returns:
            The tokens, and whether the tokens that the asker already holds
            are extended too.
        """
        tokens = self.grantable(asker, wanted_tokens, now_s)
        end_s = self._grant_end_s(asker, now_s)
        extended = self.pool.covers_grants(now_s, end_s)
        if extended:
            self.pool.grant(asker, tokens, end_s)
        claim = self._claims.get(asker)
        if claim is not None:
            unmet_tokens = max(0, wanted_tokens - tokens)
            self._claims[asker] = msgspec.structs.replace(
                claim, unmet=unmet_tokens
            )
        return tokens, extended

    def is_active_home(self, now_s: float) -> bool:
        """Whether this node was needed as home within ``busy_s``."""
        return now_s - self._last_claim_s < self._settings.busy_s

    def is_lease_request_due(self, now_s: float) -> bool:
        """Whether it is time to send the next ``limits.busy``."""
        return self.is_active_home(now_s) and now_s >= self.next_lease_request_s

    def waits_for_leases(self, now_s: float) -> bool:
        """Whether asks wait for the first leases of a busy period."""
        return now_s < self.lease_wait_until_s

    def has_no_remote_askers(self, now_s: float) -> bool:
        """Whether no other node has asked this node within ``release_s``."""
        return now_s - self._last_remote_claim_s >= self._settings.release_s

    def void_leases(self, busy_number: int, now_s: float) -> float:
        """Drops the leased shares; returns the end of the last grant."""
        self.void_busy_number = busy_number
        self._last_claim_s = -math.inf
        return self.pool.drop_leases(now_s)

    def _start_lease_wait(self, now_s: float) -> None:
        if not self.is_active_home(now_s):
            self.lease_wait_until_s = now_s + self._settings.gather_s
            self.next_lease_request_s = now_s

    def grant_life_s(self) -> float:
        """Returns the lifetime of a grant, from the sending of the ask.

        Without stocks an asker spends granted tokens at once, and a short
        lifetime soon frees the capacity that the spent tokens take up.
        """
        if self._allows_stocks():
            return self._settings.grant_s
        return self._settings.short_grant_s

    def _grant_end_s(self, asker: Peer, now_s: float) -> float:
        """Returns until when a grant made now takes up capacity.

        If the grant is lost, the asker keeps the tokens that it held until
        the end of the previous grant.
        """
        end_s = now_s + self.grant_life_s() * self._settings.clock_margin
        previous = self.pool.grants.get(asker)
        if previous is None or previous.tokens <= 0:
            return end_s
        return max(end_s, previous.end_s)

    def _recent_claims(self, now_s: float) -> list[Claim]:
        oldest_s = now_s - self._settings.claim_s
        claims = self._claims
        for ended in [p for p, c in claims.items() if c.asked_s < oldest_s]:
            del claims[ended]
        return list(claims.values())

    def _unmet_tokens(self, now_s: float) -> float:
        return sum(claim.unmet for claim in self._recent_claims(now_s))

    def _fraction_of_demand(self, demand_per_s: float, now_s: float) -> float:
        claims = self._recent_claims(now_s)
        total = sum(claim.demand_per_s for claim in claims)
        total += self.demand.per_s(now_s)
        return demand_per_s / total if total > 0 else 0.0

    # Owner of a share.

    def give_lease(
        self, home: Peer, busy_number: int, duration_s: float, now_s: float
    ) -> float | None:
        """Leases the node's own share to a home, or renews the lease.

        For this node the lease ends ``duration_s`` x ``clock_margin`` from
        now. The home counts ``duration_s`` from an earlier time.

        Returns:
            The tokens that move with the share, or None if no lease was given.
        """
        until_s = now_s + duration_s * self._settings.clock_margin
        is_same_home = (
            self.given_lease is not None and self.given_lease.home == home
        )
        if is_same_home and self.given_lease.busy_number >= busy_number:
            return None
        if self.is_leased_out(now_s):
            if not is_same_home:
                return None
            tokens = 0.0
            self.pool.own_share_from_s = max(
                until_s, self.pool.own_share_from_s
            )
        else:
            if self.is_active_home(now_s) or not self.pool.is_own_share_idle(
                now_s
            ):
                return None
            tokens = self.pool.lease_out(until_s)
        self.given_lease = GivenLease(home, busy_number)
        return tokens

    def is_leased_out(self, now_s: float) -> bool:
        """Whether another node has a lease on the node's own share."""
        return (
            self.given_lease is not None and self.pool.own_share_from_s > now_s
        )

    def should_give_lease(self, now_s: float) -> bool:
        """Whether the node's own share is more useful at the home.

        The home grants tokens of the whole rate to a node that asks, and a
        share of less than one token can never admit a request by itself.
        """
        limits = self.limits
        if self.needs_tokens(now_s) or limits.share * limits.burst < 1:
            return True
        if now_s - self._last_answer_s < self._settings.busy_s:
            return True
        own_rate_per_s = limits.rate_per_s * limits.share
        limit_per_s = self._settings.lend_ratio * own_rate_per_s
        return self.demand.per_s(now_s) < limit_per_s

    def end_given_lease(
        self, home: Peer, busy_number: int, hold_s: float, now_s: float
    ) -> None:
        """Ends a lease early; the share is usable again after ``hold_s``."""
        given_lease = self.given_lease
        if given_lease is None or given_lease.home != home or hold_s < 0:
            return
        if given_lease.busy_number > busy_number:
            return
        # Prevents a late limits.busy up to this number from starting a lease
        # that the home would ignore.
        self.given_lease = GivenLease(home, busy_number)
        until_s = now_s + hold_s * self._settings.clock_margin
        self.pool.own_share_from_s = min(self.pool.own_share_from_s, until_s)

    def is_removable(self, now_s: float) -> bool:
        """Whether no lease, grant or unspent granted token is left."""
        has_usable_share = (
            self.pool.own_share_from_s <= now_s and not self.pool.leases
        )
        idle = self.pool.outstanding(now_s) == 0
        return has_usable_share and idle and self.stock.total(now_s) == 0
