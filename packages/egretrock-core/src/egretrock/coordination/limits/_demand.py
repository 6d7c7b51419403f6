"""Demand estimate and granted tokens of one organisation at a node."""

import math

import msgspec

from egretrock.coordination.base import Peer
from egretrock.coordination.limits._pool import ROUNDING_TOLERANCE


class DemandEstimate:
    """Requests a second, as an exponentially decaying average.

    Args:
        time_constant_s: Seconds in which a request loses 63% of its weight.

    Example:
        >>> demand = DemandEstimate(0.5)
        >>> demand.add(0.0)
        >>> demand.per_s(0.0)
        2.0
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._count = 0.0
        self._updated_s = 0.0

    def add(self, now_s: float) -> None:
        """Counts one request."""
        self._count = self._decayed_count(now_s) + 1
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Returns the estimate."""
        return self._decayed_count(now_s) / self._time_constant_s

    def _decayed_count(self, now_s: float) -> float:
        if self._count == 0:
            return 0.0
        age_s = max(0.0, now_s - self._updated_s)
        return self._count * math.exp(-age_s / self._time_constant_s)


class GrantedTokens(msgspec.Struct, frozen=True):
    """Unspent tokens granted by one home; invalid from ``expires_s`` on."""

    tokens: float
    expires_s: float


class TokenStock:
    """Granted tokens of one organisation, by the process that granted them."""

    def __init__(self) -> None:
        self._granted: dict[Peer, GrantedTokens] = {}

    def add(
        self, home: Peer, tokens: float, expires_s: float, now_s: float
    ) -> None:
        """Adds a grant.

        Unexpired tokens granted by the same process get the new expiry time
        too, because the home counts them until the end of the new grant.
        """
        total = tokens + self.held(home, now_s)
        self._granted[home] = GrantedTokens(total, expires_s)

    def held(self, home: Peer, now_s: float) -> float:
        """Returns the unspent tokens granted by one process."""
        entry = self._granted.get(home)
        if entry is None or entry.expires_s <= now_s:
            return 0.0
        return entry.tokens

    def held_from_node(self, node: str, now_s: float) -> float:
        """Returns the unspent tokens granted by all processes of a node."""
        return sum(
            self.held(home, now_s)
            for home in self._granted
            if home.node == node
        )

    def expires_before(self, before_s: float, now_s: float) -> bool:
        """Whether unspent tokens expire before ``before_s``."""
        return any(
            now_s < entry.expires_s < before_s
            and entry.tokens >= 1 - ROUNDING_TOLERANCE
            for entry in self._granted.values()
        )

    def total(self, now_s: float) -> float:
        """Returns all unspent tokens."""
        return sum(self.held(home, now_s) for home in self._granted)

    def spend(self, now_s: float) -> bool:
        """Spends one of the tokens that expire first, if there is one."""
        for home in list(self._granted):
            if self.held(home, now_s) < 1 - ROUNDING_TOLERANCE:
                del self._granted[home]
        if not self._granted:
            return False
        home = min(self._granted, key=lambda h: self._granted[h].expires_s)
        entry = self._granted[home]
        remaining = max(0.0, entry.tokens - 1)
        self._granted[home] = GrantedTokens(remaining, entry.expires_s)
        return True
