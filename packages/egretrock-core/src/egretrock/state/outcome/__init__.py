"""Outcomes of a request: run states, refusals and retry reasons."""

from egretrock.state.outcome._explain import Explanation, explain_refusal
from egretrock.state.outcome._outcome import (
    Refusal,
    RefusalCode,
    RetryReason,
    RunState,
)

__all__ = [
    "Explanation",
    "Refusal",
    "RefusalCode",
    "RetryReason",
    "RunState",
    "explain_refusal",
]
