"""Token bucket on a node's own share and the shares leased to it."""

import msgspec

from egretrock.coordination.base import Peer

#: Sums of shares such as 18 x 1/18 may fall short of 1 by rounding.
ROUNDING_TOLERANCE = 1e-9


class PoolLimits(msgspec.Struct, frozen=True):
    """Limits of one organisation in force at this node.

    Attributes:
        rate_per_s: Rate of the organisation over the fleet.
        burst: Burst of the organisation over the fleet.
        share: Fraction of both that is the node's own share.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0
    share: float = 0.0


class HeldLease(msgspec.Struct, frozen=True):
    """A share leased from another node; counted until ``end_s``."""

    number: int
    share: float
    end_s: float


class OutstandingGrant(msgspec.Struct, frozen=True):
    """Granted tokens that an asker may still spend until ``end_s``."""

    tokens: float
    end_s: float


class SharePool:
    """A token bucket on a node's own share and the shares leased to it.

    The usable shares are the node's own share, unless it is leased to another
    node, and the shares leased from others. Tokens are added at the rate of the
    usable shares only. At any time level + outstanding grants <= capacity,
    where the capacity is the burst of the usable shares. Since each share has
    one holder, the tokens in the fleet never exceed the burst and are added at
    no more than the rate.

    Args:
        own_share_from_s: Time from which the node's own share is usable.
        now_s: Time from which tokens are added.

    Example:
        >>> pool = SharePool(own_share_from_s=0.0, now_s=0.0)
        >>> limits = PoolLimits(rate_per_s=10.0, burst=4.0, share=0.5)
        >>> pool.advance(limits, 0.0)
        >>> pool.advance(limits, 0.2)
        >>> pool.level
        1.0
        >>> pool.advance(limits, 9.0)
        >>> pool.level
        2.0
    """

    def __init__(self, own_share_from_s: float, now_s: float) -> None:
        self.level = 0.0
        self.own_share_from_s = own_share_from_s
        self.leases: dict[Peer, HeldLease] = {}
        self.grants: dict[Peer, OutstandingGrant] = {}
        self._limits = PoolLimits()
        self._last_advance_s = now_s

    def advance(self, limits: PoolLimits, now_s: float) -> None:
        """Adds the tokens due up to now.

        The interval is split where a lease or grant ends or the node's own
        share becomes usable. Otherwise tokens added while grants filled the
        capacity would still be in the bucket after the grants have ended.
        """
        rate_per_s = min(self._limits.rate_per_s, limits.rate_per_s)
        own_share = min(self._limits.share, limits.share)
        self._limits = limits
        start_s = self._last_advance_s
        if now_s > start_s:
            for end_s in self._interval_ends(start_s, now_s):
                share = self._usable_share(own_share, start_s)
                added_tokens = rate_per_s * share * (end_s - start_s)
                self._set_level(self.level + added_tokens, start_s)
                start_s = end_s
            self._last_advance_s = now_s
            self._drop_expired(now_s)
        self._set_level(self.level, now_s)

    def spend(self) -> bool:
        """Spends one token if there is one, as of the last advance."""
        if self.level < 1 - ROUNDING_TOLERANCE:
            return False
        self.level = max(0.0, self.level - 1)
        return True

    def refill_rate_per_s(self, now_s: float) -> float:
        """Returns the tokens added per second for the usable shares."""
        share = self._usable_share(self._limits.share, now_s)
        return share * self._limits.rate_per_s

    def outstanding(self, now_s: float) -> float:
        """Returns the granted tokens that may still be spent."""
        return sum(g.tokens for g in self.grants.values() if g.end_s > now_s)

    def grantable(self, now_s: float, end_s: float) -> float:
        """Returns the tokens that may be granted until ``end_s``.

        Only leases that are still valid at that time count for a grant.
        """
        free_capacity = self._capacity(end_s) - self.outstanding(now_s)
        return max(0.0, min(self.level, free_capacity))

    def covers_grants(self, now_s: float, end_s: float) -> bool:
        """Whether the shares usable at ``end_s`` suffice for all grants."""
        return (
            self.outstanding(now_s)
            <= self._capacity(end_s) + ROUNDING_TOLERANCE
        )

    def reduce_grant(self, asker: Peer, held_tokens: float) -> None:
        """Reduces a grant to the tokens that ``asker`` can still spend."""
        grant = self.grants.get(asker)
        if grant is not None and held_tokens < grant.tokens:
            tokens = max(0.0, held_tokens)
            self.grants[asker] = OutstandingGrant(tokens, grant.end_s)

    def grant(self, asker: Peer, tokens: float, end_s: float) -> None:
        """Moves tokens from the bucket to a grant.

        The tokens that ``asker`` already holds are counted until the new end
        too, so it may spend them as long as the new ones.
        """
        self.level = max(0.0, self.level - tokens)
        previous = self.grants.get(asker)
        kept = previous.tokens if previous is not None else 0.0
        self.grants[asker] = OutstandingGrant(kept + tokens, end_s)

    def accept(self, owner: Peer, lease: HeldLease, tokens: float) -> bool:
        """Adds a lease; False if this or a later one of the owner is held."""
        held = self.leases.get(owner)
        if held is not None and held.number >= lease.number:
            return False
        self.leases[owner] = lease
        self._set_level(self.level + max(0.0, tokens), self._last_advance_s)
        return True

    def is_own_share_idle(self, now_s: float) -> bool:
        """Whether the node's own share is usable, without leases or grants."""
        if self.own_share_from_s > now_s or self.leases:
            return False
        return self.outstanding(now_s) == 0

    def lease_out(self, until_s: float) -> float:
        """Leases the node's own share out; returns the bucket's tokens."""
        tokens, self.level = self.level, 0.0
        self.own_share_from_s = until_s
        return tokens

    def drop_leases(self, now_s: float) -> float:
        """Drops all leases; returns the end of the last grant."""
        self.leases.clear()
        self._set_level(self.level, now_s)
        return max((g.end_s for g in self.grants.values()), default=now_s)

    def _interval_ends(self, start_s: float, now_s: float) -> list[float]:
        ends_s = {self.own_share_from_s}
        ends_s.update(lease.end_s for lease in self.leases.values())
        ends_s.update(grant.end_s for grant in self.grants.values())
        inner = sorted(end for end in ends_s if start_s < end < now_s)
        return [*inner, now_s]

    def _usable_share(self, own_share: float, at_s: float) -> float:
        leased = sum(x.share for x in self.leases.values() if x.end_s > at_s)
        return leased + (own_share if self.own_share_from_s <= at_s else 0.0)

    def _capacity(self, at_s: float) -> float:
        return self._usable_share(self._limits.share, at_s) * self._limits.burst

    def _set_level(self, level: float, at_s: float) -> None:
        free = self._capacity(at_s) - self.outstanding(at_s)
        self.level = max(0.0, min(level, free))

    def _drop_expired(self, now_s: float) -> None:
        for ended in [p for p, x in self.leases.items() if x.end_s <= now_s]:
            del self.leases[ended]
        for ended in [p for p, x in self.grants.items() if x.end_s <= now_s]:
            del self.grants[ended]
