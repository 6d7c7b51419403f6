"""Rate limits of organisations over a fleet without a fixed member list."""

from egretrock.coordination.quota._accounts import HomeChange
from egretrock.coordination.quota._messages import (
    QUOTA_MESSAGES,
    TokenAnswer,
    TokenAsk,
    TokenHandover,
)
from egretrock.coordination.quota._pooled import PooledRates
from egretrock.coordination.quota._settings import QuotaSettings

__all__ = [
    "QUOTA_MESSAGES",
    "HomeChange",
    "PooledRates",
    "QuotaSettings",
    "TokenAnswer",
    "TokenAsk",
    "TokenHandover",
]
