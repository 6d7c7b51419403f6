"""Tokens that a node mints: on its own share and on leased shares."""

import msgspec

from egretrock.coordination.base import Peer

#: Sums of shares such as 18 x 1/18 may fall short of 1 by rounding.
ROUNDING = 1e-9


class PoolSize(msgspec.Struct, frozen=True):
    """Limits in force at this node.

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


class Outstanding(msgspec.Struct, frozen=True):
    """Granted tokens that a node may still spend until ``end_s``."""

    tokens: float
    end_s: float


class SharePool:
    """A token bucket over the own share and the shares leased from others.

    At every moment level + outstanding grants <= room, where the room is the
    burst of the shares in hand. Tokens are minted on the shares in hand only.
    With one holder per share, the tokens that exist in the fleet never exceed
    the burst and are minted at no more than the rate.

    Args:
        own_from_s: Time from which the own share is in hand.
        now_s: Time of the first minting.

    Example:
        >>> pool = SharePool(own_from_s=0.0, now_s=0.0)
        >>> size = PoolSize(rate_per_s=10.0, burst=4.0, share=0.5)
        >>> pool.advance(size, 0.0)
        >>> pool.advance(size, 0.2)
        >>> pool.level
        1.0
        >>> pool.advance(size, 9.0)
        >>> pool.level
        2.0
    """

    def __init__(self, own_from_s: float, now_s: float) -> None:
        self.level = 0.0
        self.own_from_s = own_from_s
        self.leases: dict[Peer, HeldLease] = {}
        self.grants: dict[Peer, Outstanding] = {}
        self._size = PoolSize()
        self._advanced_s = now_s

    def advance(self, size: PoolSize, now_s: float) -> None:
        """Mints up to now.

        The interval is cut where a lease or grant ends or the own share
        returns. Without the cuts, tokens minted while grants filled the room
        would stay in the bucket after the grants have ended.
        """
        rate_per_s = min(self._size.rate_per_s, size.rate_per_s)
        own = min(self._size.share, size.share)
        self._size = size
        start_s = self._advanced_s
        if now_s > start_s:
            for end_s in self._cuts(start_s, now_s):
                share = self._share_in_hand(own, start_s)
                minted = rate_per_s * share * (end_s - start_s)
                self._set_level(self.level + minted, start_s)
                start_s = end_s
            self._advanced_s = now_s
            self._drop_ended(now_s)
        self._set_level(self.level, now_s)

    def spend(self) -> bool:
        """Takes one token; the pool must be advanced to now."""
        if self.level < 1 - ROUNDING:
            return False
        self.level = max(0.0, self.level - 1)
        return True

    def mint_rate_per_s(self, now_s: float) -> float:
        """Returns the tokens a second minted on the shares in hand."""
        share = self._share_in_hand(self._size.share, now_s)
        return share * self._size.rate_per_s

    def outstanding(self, now_s: float) -> float:
        """Returns the granted tokens that may still be spent."""
        return sum(g.tokens for g in self.grants.values() if g.end_s > now_s)

    def grantable(self, now_s: float, end_s: float) -> float:
        """Returns the tokens that may be granted until ``end_s``.

        Only leases that are still valid at that time back a grant.
        """
        room = self._room(end_s) - self.outstanding(now_s)
        return max(0.0, min(self.level, room))

    def is_backed(self, now_s: float, end_s: float) -> bool:
        """Whether all grants may last until ``end_s``."""
        return self.outstanding(now_s) <= self._room(end_s) + ROUNDING

    def settle(self, asker: Peer, held: float) -> None:
        """Frees the room of tokens that ``asker`` can no longer spend."""
        grant = self.grants.get(asker)
        if grant is not None and held < grant.tokens:
            tokens = max(0.0, held)
            self.grants[asker] = Outstanding(tokens, grant.end_s)

    def grant(self, asker: Peer, tokens: float, end_s: float) -> None:
        """Moves tokens from the level to a grant.

        The tokens that ``asker`` still holds are counted until the new end
        too, so it may keep them as long as the new ones.
        """
        self.level = max(0.0, self.level - tokens)
        before = self.grants.get(asker)
        kept = before.tokens if before is not None else 0.0
        self.grants[asker] = Outstanding(kept + tokens, end_s)

    def accept(self, lender: Peer, lease: HeldLease, tokens: float) -> bool:
        """Takes a lease; False if a later one of this lender is held."""
        held = self.leases.get(lender)
        if held is not None and held.number >= lease.number:
            return False
        self.leases[lender] = lease
        self._set_level(self.level + max(0.0, tokens), self._advanced_s)
        return True

    def is_own_idle(self, now_s: float) -> bool:
        """Whether the own share is in hand and backs nothing else."""
        if self.own_from_s > now_s or self.leases:
            return False
        return self.outstanding(now_s) == 0

    def lend_own(self, until_s: float) -> float:
        """Gives the own share away until a time; returns its tokens."""
        tokens, self.level = self.level, 0.0
        self.own_from_s = until_s
        return tokens

    def drop_leases(self, now_s: float) -> float:
        """Gives up all leases; returns when the last grant ends."""
        self.leases.clear()
        self._set_level(self.level, now_s)
        return max((g.end_s for g in self.grants.values()), default=now_s)

    def _cuts(self, start_s: float, now_s: float) -> list[float]:
        ends_s = {self.own_from_s}
        ends_s.update(lease.end_s for lease in self.leases.values())
        ends_s.update(grant.end_s for grant in self.grants.values())
        inner = sorted(end for end in ends_s if start_s < end < now_s)
        return [*inner, now_s]

    def _share_in_hand(self, own: float, at_s: float) -> float:
        leased = sum(x.share for x in self.leases.values() if x.end_s > at_s)
        return leased + (own if self.own_from_s <= at_s else 0.0)

    def _room(self, at_s: float) -> float:
        return self._share_in_hand(self._size.share, at_s) * self._size.burst

    def _set_level(self, level: float, at_s: float) -> None:
        free = self._room(at_s) - self.outstanding(at_s)
        self.level = max(0.0, min(level, free))

    def _drop_ended(self, now_s: float) -> None:
        for ended in [p for p, x in self.leases.items() if x.end_s <= now_s]:
            del self.leases[ended]
        for ended in [p for p, x in self.grants.items() if x.end_s <= now_s]:
            del self.grants[ended]
