"""Retry budgets, and quarantine of requests that crash targets."""

from egretrock.coordination.retries._policy import (
    FailedAttempt,
    RetryBudget,
    RetryDecision,
    RetryPolicy,
    RetryRefusal,
    RetrySavings,
    RetryState,
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
    "CrashQuarantine",
    "Evidence",
    "EvidenceAck",
    "EvidenceBatch",
    "EvidencePull",
    "FailedAttempt",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RetryRefusal",
    "RetrySavings",
    "RetryState",
    "fingerprint_of",
]
