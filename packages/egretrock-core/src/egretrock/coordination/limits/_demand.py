"""What a node needs: its demand and the granted tokens it holds."""

import math

import msgspec

from egretrock.coordination.base import Peer
from egretrock.coordination.limits._pool import ROUNDING


class DemandEstimate:
    """Requests a second, with exponential forgetting.

    Args:
        time_constant_s: Seconds in which old requests lose 63% of weight.

    Example:
        >>> demand = DemandEstimate(0.5)
        >>> demand.add(0.0)
        >>> demand.per_s(0.0)
        2.0
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._count = 0.0
        self._at_s = 0.0

    def add(self, now_s: float) -> None:
        """Counts one request."""
        self._count = self._decayed(now_s) + 1
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Returns the estimate."""
        return self._decayed(now_s) / self._time_constant_s

    def _decayed(self, now_s: float) -> float:
        if self._count == 0:
            return 0.0
        age_s = max(0.0, now_s - self._at_s)
        return self._count * math.exp(-age_s / self._time_constant_s)


class GrantedTokens(msgspec.Struct, frozen=True):
    """Unspent tokens of one home; worthless from ``expires_s`` on."""

    tokens: float
    expires_s: float


class TokenStock:
    """Granted tokens of one organisation, by the process that gave them."""

    def __init__(self) -> None:
        self._granted: dict[Peer, GrantedTokens] = {}

    def add(
        self, home: Peer, tokens: float, expires_s: float, now_s: float
    ) -> None:
        """Takes a grant.

        Tokens of the same process that have not expired live on with the new
        ones, because the home counts them until the end of the new grant.
        """
        total = tokens + self.held(home, now_s)
        self._granted[home] = GrantedTokens(total, expires_s)

    def held(self, home: Peer, now_s: float) -> float:
        """Returns the unspent tokens of one process's grants."""
        entry = self._granted.get(home)
        if entry is None or entry.expires_s <= now_s:
            return 0.0
        return entry.tokens

    def held_from(self, node: str, now_s: float) -> float:
        """Returns the unspent tokens of all processes of a node."""
        return sum(
            self.held(home, now_s)
            for home in self._granted
            if home.node == node
        )

    def expiring(self, before_s: float, now_s: float) -> bool:
        """Whether tokens expire before a time."""
        return any(
            now_s < entry.expires_s < before_s and entry.tokens >= 1 - ROUNDING
            for entry in self._granted.values()
        )

    def total(self, now_s: float) -> float:
        """Returns all unspent tokens."""
        return sum(self.held(home, now_s) for home in self._granted)

    def spend(self, now_s: float) -> bool:
        """Takes one token, of those that expire first."""
        for home in list(self._granted):
            if self.held(home, now_s) < 1 - ROUNDING:
                del self._granted[home]
        if not self._granted:
            return False
        home = min(self._granted, key=lambda h: self._granted[h].expires_s)
        entry = self._granted[home]
        left = max(0.0, entry.tokens - 1)
        self._granted[home] = GrantedTokens(left, entry.expires_s)
        return True
