"""Refusals that several steps of the pipeline use."""

from egretrock.state.outcome import (
    Refusal,
    RefusalCode,
    RetryReason,
    RunState,
)
from egretrock_node.protocol.requests._exchange import refusal_not_run
from egretrock_node.protocol.requests._values import AttemptFailure

IDEMPOTENCY_UNAVAILABLE = refusal_not_run(
    RefusalCode.IDEMPOTENCY_UNAVAILABLE,
    "no node can tell whether the Idempotency-Key was used",
)
KEY_UNKNOWN = refusal_not_run(
    RefusalCode.KEY_UNKNOWN, "the key is not published, or was withdrawn"
)
NOT_FRESH = refusal_not_run(
    RefusalCode.NODE_NOT_FRESH,
    "the node could not confirm its configuration in time",
)
NOT_READY = refusal_not_run(
    RefusalCode.NODE_NOT_READY,
    "the node has not confirmed its configuration yet",
)
#: Tells the caller to return at once, as a new connection reaches another node.
NODE_STOPPING = Refusal(
    RefusalCode.NODE_DRAINING, RunState.NOT_RUN, "the node is stopping", 1
)
DEADLINE_EXCEEDED = refusal_not_run(
    RefusalCode.DEADLINE_EXCEEDED,
    "the deadline of the route's profile has passed",
)


def refusal_after(failure: AttemptFailure) -> Refusal:
    """Returns the refusal after an attempt that is not retried."""
    if failure.reason in (RetryReason.SHED, RetryReason.DRAINING):
        code = RefusalCode.TARGET_REFUSED
    else:
        code = RefusalCode.TARGET_FAILED
    return Refusal(code, failure.run_state, failure.message)
