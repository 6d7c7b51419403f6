"""Rate limits of organisations, by leased shares and granted tokens.

Each node owns a share of every organisation's rate. Nodes that do not need
their share lease it to the organisation's home. The home refills its token
bucket at the rate of the leased shares too, and grants tokens to the nodes that
need more. See ``docs/decisions/rate-limits.md``.
"""

from egretrock.coordination.limits._limiter import (
    ORGANISATION_HOME_KIND,
    RateLimiter,
)
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

#: Message types of this component.
LIMIT_MESSAGES = (Ask, Busy, Grant, Lease, Release)

__all__ = [
    "LIMIT_MESSAGES",
    "ORGANISATION_HOME_KIND",
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
