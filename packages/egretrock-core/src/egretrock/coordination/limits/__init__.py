"""Rates and bursts: leased shares and grants.

Each node owns a share of every organisation's rate. Nodes that do not need
theirs lease them to the organisation's home, which grants the minted tokens
to the nodes that do. See ``docs/decisions/rate-limits.md``.
"""

from egretrock.coordination.limits._limiter import HOME_KIND, RateLimiter
from egretrock.coordination.limits._messages import (
    Ask,
    AskEntry,
    Busy,
    Grant,
    GrantEntry,
    Lease,
    Release,
    TokenEntry,
)
from egretrock.coordination.limits._settings import LimitSettings
from egretrock.coordination.limits._view import FleetView, LimitsInForce

#: Message types of this part.
LIMIT_MESSAGES = (Ask, Busy, Grant, Lease, Release)

__all__ = [
    "HOME_KIND",
    "LIMIT_MESSAGES",
    "Ask",
    "AskEntry",
    "Busy",
    "FleetView",
    "Grant",
    "GrantEntry",
    "Lease",
    "LimitSettings",
    "LimitsInForce",
    "RateLimiter",
    "Release",
    "TokenEntry",
]
