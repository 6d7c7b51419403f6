"""Refusals that the steps of a request share."""

from egretrock.state.outcome import Refusal, RefusalCode, RetryReason
from egretrock_node.protocol.requests._exchange import no_answer
from egretrock_node.protocol.requests._values import TryFailure

IDEMPOTENCY_UNAVAILABLE = no_answer(
    RefusalCode.IDEMPOTENCY_UNAVAILABLE,
    "no node can tell whether the Idempotency-Key was used",
)
KEY_UNKNOWN = no_answer(
    RefusalCode.KEY_UNKNOWN, "the key is not published, or was withdrawn"
)
NOT_FRESH = no_answer(
    RefusalCode.NODE_NOT_FRESH,
    "the node could not confirm its configuration in time",
)
NOT_READY = no_answer(
    RefusalCode.NODE_NOT_READY,
    "the node has not confirmed its configuration yet",
)
DEADLINE_EXCEEDED = no_answer(
    RefusalCode.DEADLINE_EXCEEDED,
    "the deadline of the route's profile has passed",
)


def refusal_of(failure: TryFailure) -> Refusal:
    """Returns the refusal after a try that is not repeated."""
    if failure.reason in (RetryReason.SHED, RetryReason.DRAINING):
        code = RefusalCode.TARGET_REFUSED
    else:
        code = RefusalCode.TARGET_FAILED
    return Refusal(code, failure.run_state, failure.message)
