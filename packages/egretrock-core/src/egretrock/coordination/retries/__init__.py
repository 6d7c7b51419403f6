"""Retry budgets, and quarantine of requests that crash targets."""

from egretrock.coordination.retries._policy import (
    CallFailure,
    CallState,
    RetryBudget,
    RetryDecision,
    RetryPolicy,
    RetryRefusal,
)
from egretrock.coordination.retries._quarantine import (
    QUARANTINE_S,
    RETRY_MESSAGES,
    CrashQuarantine,
    Evidence,
    EvidenceAck,
    EvidenceBatch,
    EvidencePull,
    fingerprint_of,
)

__all__ = [
    "QUARANTINE_S",
    "RETRY_MESSAGES",
    "CallFailure",
    "CallState",
    "CrashQuarantine",
    "Evidence",
    "EvidenceAck",
    "EvidenceBatch",
    "EvidencePull",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RetryRefusal",
    "fingerprint_of",
]
