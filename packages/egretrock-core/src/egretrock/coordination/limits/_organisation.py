"""State of one organisation at one node: owner, lender, home and asker."""

import math

import msgspec

from egretrock.coordination.base import Peer
from egretrock.coordination.limits._demand import DemandEstimate, TokenStock
from egretrock.coordination.limits._messages import AskEntry
from egretrock.coordination.limits._pool import (
    ROUNDING,
    PoolSize,
    SharePool,
)
from egretrock.coordination.limits._settings import LimitSettings
from egretrock.state.ids import NodeId, OrganisationId


class Claim(msgspec.Struct, frozen=True):
    """What a node last asked the home for.

    Attributes:
        demand_per_s: Requests a second that it expects.
        unmet: Tokens that it wanted and did not get.
        at_s: Time of the ask.
    """

    demand_per_s: float
    unmet: float
    at_s: float


class Loan(msgspec.Struct, frozen=True):
    """The own share in another node's hands."""

    home: Peer
    busy_number: int


class OrganisationState:
    """Tokens, demand and duties of one organisation at one node.

    Args:
        organisation: The organisation.
        settings: Constants.
        own_from_s: Time from which the own share is in hand.
        now_s: Current time.
    """

    def __init__(
        self,
        organisation: OrganisationId,
        settings: LimitSettings,
        own_from_s: float,
        now_s: float,
    ) -> None:
        self.organisation = organisation
        self.pool = SharePool(own_from_s, now_s)
        self.stock = TokenStock()
        self.demand = DemandEstimate(settings.demand_s)
        self.size = PoolSize()
        self.loan: Loan | None = None
        #: Busy numbers up to this one are void at this home.
        self.void_busy_number = 0
        self.next_busy_s = 0.0
        self.gather_until_s = 0.0
        self.hold_off_until_s = 0.0
        self._settings = settings
        self._claims: dict[Peer, Claim] = {}
        self._claimed_s = -math.inf
        self._asked_s = -math.inf
        self._remote_claim_s = -math.inf
        self._missed = 0
        self._missed_s = -math.inf
        self._allowance = 1.0
        self._allowance_s = now_s

    def advance(self, size: PoolSize, now_s: float) -> None:
        """Brings the pool up to now under the limits in force."""
        self.size = size
        self.pool.advance(size, now_s)

    # Spending.

    def spend(self, now_s: float) -> bool:
        """Takes one token, granted ones first."""
        if self.stock.spend(now_s):
            return True
        return self._may_spend_own(now_s) and self.pool.spend()

    def add_miss(self, now_s: float) -> None:
        """Counts a request that found no token and may wait for one."""
        self._missed = self._missed_now(now_s) + 1
        self._missed_s = now_s

    def retry_after_ms(self, now_s: float) -> int:
        """Milliseconds until a token may be there for a new request.

        The demand of this node stands for the requests that compete for the
        next tokens.
        """
        size = self.size
        if size.rate_per_s <= 0:
            return 1000
        excess = max(1.0, self.demand.per_s(now_s) / size.rate_per_s)
        wait_s = max(excess / size.rate_per_s, self.hold_off_until_s - now_s)
        return round(1000 * min(max(wait_s, 0.01), 10.0))

    def is_idle(self, now_s: float) -> bool:
        """Whether there is no demand, here or at an asker, and no lease."""
        if self.is_acting(now_s) or self.pool.leases:
            return False
        return self.demand.per_s(now_s) < 0.01

    def _missed_now(self, now_s: float) -> int:
        if now_s - self._missed_s > self._settings.wait_s:
            return 0
        return self._missed

    def _may_spend_own(self, now_s: float) -> bool:
        """Keeps the home's own callers from starving the other nodes'.

        While other nodes' wants are unmet, the home's callers get the part of
        the minted tokens that the home has of the demand.
        """
        unmet = self._unmet(now_s)
        if unmet == 0 or self.pool.level - 1 >= unmet:
            self._allowance, self._allowance_s = 1.0, now_s
            return True
        part = self._part_of_demand(self.demand.per_s(now_s), now_s)
        minted = self.pool.mint_rate_per_s(now_s) * part
        allowance = self._allowance + minted * (now_s - self._allowance_s)
        self._allowance = min(allowance, 1 + minted * self._settings.claim_s)
        self._allowance_s = now_s
        if self._allowance < 1 or self.pool.level < 1 - ROUNDING:
            return False
        self._allowance -= 1
        return True

    # The asker.

    def is_asking(self, now_s: float) -> bool:
        """Whether the own share does not cover the demand."""
        if self._missed_now(now_s) > 0:
            return True
        demand_per_s = self.demand.per_s(now_s)
        if not self._asks_ahead(demand_per_s):
            return False
        own_per_s = self.size.rate_per_s * self.size.share
        lent = self.pool.own_from_s > now_s
        return lent or demand_per_s > 0.9 * own_per_s

    def is_short(self, now_s: float) -> bool:
        """Whether it is time to ask the home for tokens."""
        if now_s < self.hold_off_until_s or not self.is_asking(now_s):
            return False
        if self._missed_now(now_s) > 0:
            return True
        if self.stock.expiring(now_s + self._settings.extend_s, now_s):
            return True
        low = self._settings.low_water * self._target(now_s)
        return self._stock(now_s) < low

    def ask_entry(self, home: NodeId, now_s: float) -> AskEntry | None:
        """Returns what to ask for, or None if the stock is full."""
        want = math.ceil(self._target(now_s) - self._stock(now_s) - ROUNDING)
        want = max(0, min(want, math.ceil(self.size.burst)))
        held = self.stock.held_from(home, now_s)
        if want < 1 and held < 1 - ROUNDING:
            return None
        demand_per_s = round(self.demand.per_s(now_s), 2)
        return AskEntry(self.organisation, want, demand_per_s, held)

    def on_granted(self, wanted: int, tokens: float, now_s: float) -> None:
        """Notes the answer to an ask."""
        self._asked_s = now_s
        missed = self._missed_now(now_s)
        self._missed = max(0, missed - math.floor(tokens))
        if tokens < wanted:
            self.hold_off_until_s = now_s + self._settings.short_wait_s

    def _target(self, now_s: float) -> float:
        """Expected demand of the horizon plus one standard deviation."""
        missed = self._missed_now(now_s)
        demand_per_s = self.demand.per_s(now_s)
        if not self._asks_ahead(demand_per_s):
            return missed
        mean = demand_per_s * self._settings.horizon_s
        return mean + math.sqrt(mean) + missed

    def _asks_ahead(self, demand_per_s: float) -> bool:
        """Whether the node keeps a stock of granted tokens.

        If every node kept one of a small burst, the stocks would fill the
        room, and a request at a node without one would be refused although
        the rate is not used.
        """
        enough = demand_per_s >= self._settings.ask_ahead_per_s
        return enough and self._allows_stocks()

    def _allows_stocks(self) -> bool:
        part = self.size.burst * self.size.share
        return part >= self._settings.stock_tokens

    def _stock(self, now_s: float) -> float:
        return self.stock.total(now_s) + self.pool.level

    # The home.

    def claim_self(self, now_s: float) -> None:
        """Notes that this node, as home, needs the leased shares itself."""
        self._start_gathering(now_s)
        self._claimed_s = now_s

    def claim(self, asker: Peer, entry: AskEntry, now_s: float) -> None:
        """Notes a request for tokens."""
        self._start_gathering(now_s)
        self._claimed_s = self._remote_claim_s = now_s
        claim = Claim(max(0.0, entry.demand_per_s), entry.want, now_s)
        self._claims[asker] = claim
        self.pool.settle(asker, entry.held)

    def grantable(self, asker: Peer, want: int, now_s: float) -> int:
        """Returns how many of the wanted tokens the node may get now.

        When not all wants can be met, each node gets the part that it has of
        the demand, and at least one token if there is one.
        """
        end_s = self._grant_end_s(asker, now_s)
        free = self.pool.grantable(now_s, end_s) + ROUNDING
        claim = self._claims.get(asker)
        own_unmet = claim.unmet if claim is not None else 0.0
        others = self._unmet(now_s) - own_unmet + self._missed_now(now_s)
        if want <= free - others:
            return want
        demand_per_s = claim.demand_per_s if claim is not None else 0.0
        fair = free * self._part_of_demand(demand_per_s, now_s)
        least = 1 if free >= 1 else 0
        return min(want, max(math.floor(max(fair, free - others)), least))

    def grant(self, asker: Peer, want: int, now_s: float) -> tuple[int, bool]:
        """Deducts tokens for an asker.

        Returns:
            The tokens, and whether what the asker holds is extended too.
        """
        tokens = self.grantable(asker, want, now_s)
        end_s = self._grant_end_s(asker, now_s)
        extended = self.pool.is_backed(now_s, end_s)
        if extended:
            self.pool.grant(asker, tokens, end_s)
        claim = self._claims.get(asker)
        if claim is not None:
            unmet = max(0, want - tokens)
            self._claims[asker] = msgspec.structs.replace(claim, unmet=unmet)
        return tokens, extended

    def is_acting(self, now_s: float) -> bool:
        """Whether this node was needed as home recently."""
        return now_s - self._claimed_s < self._settings.busy_s

    def is_busy_due(self, now_s: float) -> bool:
        """Whether the other nodes' shares are to be asked for now."""
        return self.is_acting(now_s) and now_s >= self.next_busy_s

    def is_gathering(self, now_s: float) -> bool:
        """Whether the first leases of a busy period are on their way."""
        return now_s < self.gather_until_s

    def is_abandoned(self, now_s: float) -> bool:
        """Whether no other node has asked here for ``release_s``."""
        return now_s - self._remote_claim_s >= self._settings.release_s

    def void_leases(self, busy_number: int, now_s: float) -> float:
        """Gives up the leased shares; returns when the last grant ends."""
        self.void_busy_number = busy_number
        self._claimed_s = -math.inf
        return self.pool.drop_leases(now_s)

    def _start_gathering(self, now_s: float) -> None:
        if not self.is_acting(now_s):
            self.gather_until_s = now_s + self._settings.gather_s
            self.next_busy_s = now_s

    def grant_life_s(self) -> float:
        """Returns the life of a grant, from the send of the ask.

        Without stocks an asker spends at once what it is granted, and a short
        life frees the room of spent tokens soon.
        """
        if self._allows_stocks():
            return self._settings.grant_s
        return self._settings.short_grant_s

    def _grant_end_s(self, asker: Peer, now_s: float) -> float:
        """Returns until when a grant of now takes up room.

        A lost grant leaves the asker with what it held, until the end of the
        grant before.
        """
        end_s = now_s + self.grant_life_s() * self._settings.clock_margin
        before = self.pool.grants.get(asker)
        if before is None or before.tokens <= 0:
            return end_s
        return max(end_s, before.end_s)

    def _recent_claims(self, now_s: float) -> list[Claim]:
        oldest_s = now_s - self._settings.claim_s
        claims = self._claims
        for ended in [p for p, c in claims.items() if c.at_s < oldest_s]:
            del claims[ended]
        return list(claims.values())

    def _unmet(self, now_s: float) -> float:
        return sum(claim.unmet for claim in self._recent_claims(now_s))

    def _part_of_demand(self, demand_per_s: float, now_s: float) -> float:
        claims = self._recent_claims(now_s)
        total = sum(claim.demand_per_s for claim in claims)
        total += self.demand.per_s(now_s)
        return demand_per_s / total if total > 0 else 0.0

    # The lender.

    def lend(
        self, home: Peer, busy_number: int, duration_s: float, now_s: float
    ) -> float | None:
        """Gives the own share to a home, or renews the loan to it.

        The loan ends here ``duration_s`` x ``clock_margin`` after now. The
        home counts ``duration_s`` from an earlier time.

        Returns:
            The tokens that move with the share, or None if it stays here.
        """
        until_s = now_s + duration_s * self._settings.clock_margin
        known = self.loan is not None and self.loan.home == home
        if known and self.loan.busy_number >= busy_number:
            return None
        if self.is_lent(now_s):
            if not known:
                return None
            tokens = 0.0
            self.pool.own_from_s = max(until_s, self.pool.own_from_s)
        else:
            if self.is_acting(now_s) or not self.pool.is_own_idle(now_s):
                return None
            tokens = self.pool.lend_own(until_s)
        self.loan = Loan(home, busy_number)
        return tokens

    def is_lent(self, now_s: float) -> bool:
        """Whether another node holds the own share."""
        return self.loan is not None and self.pool.own_from_s > now_s

    def is_spare(self, now_s: float) -> bool:
        """Whether the own share is of more use at the home.

        A node that asks the home for tokens gets them from the whole rate,
        and a share below one token can never admit a request by itself.
        """
        size = self.size
        if self.is_asking(now_s) or size.share * size.burst < 1:
            return True
        if now_s - self._asked_s < self._settings.busy_s:
            return True
        own_per_s = size.rate_per_s * size.share
        limit_per_s = self._settings.lend_ratio * own_per_s
        return self.demand.per_s(now_s) < limit_per_s

    def take_back(
        self, home: Peer, busy_number: int, hold_s: float, now_s: float
    ) -> None:
        """Ends a loan early; the share returns after the last grant."""
        loan = self.loan
        if loan is None or loan.home != home or hold_s < 0:
            return
        if loan.busy_number > busy_number:
            return
        # A late limits.busy up to this number must not start a loan that the
        # home ignores.
        self.loan = Loan(home, busy_number)
        until_s = now_s + hold_s * self._settings.clock_margin
        self.pool.own_from_s = min(self.pool.own_from_s, until_s)

    def may_forget(self, now_s: float) -> bool:
        """Whether nothing is lent, leased, granted or held."""
        in_hand = self.pool.own_from_s <= now_s and not self.pool.leases
        idle = self.pool.outstanding(now_s) == 0
        return in_hand and idle and self.stock.total(now_s) == 0
