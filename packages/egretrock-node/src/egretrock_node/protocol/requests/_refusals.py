"""Refusals that the steps of a request share."""

from egretrock.state.outcome import Refusal, RefusalCode, RetryReason
from egretrock_node.protocol.requests._exchange import no_answer
from egretrock_node.protocol.requests._values import TryFailure


def idempotency_unavailable() -> Refusal:
    """No holder of the record of a key can be asked."""
    message = "no node can tell whether the Idempotency-Key was used"
    return no_answer(RefusalCode.IDEMPOTENCY_UNAVAILABLE, message)


def key_unknown() -> Refusal:
    """The key is not published, or not any more."""
    message = "the key is not published, or was withdrawn"
    return no_answer(RefusalCode.KEY_UNKNOWN, message)


def not_fresh() -> Refusal:
    """The configuration may be out of date."""
    message = "the node could not confirm its configuration in time"
    return no_answer(RefusalCode.NODE_NOT_FRESH, message)


def not_ready() -> Refusal:
    """No configuration is known yet."""
    message = "the node has not confirmed its configuration yet"
    return no_answer(RefusalCode.NODE_NOT_READY, message)


def deadline_exceeded() -> Refusal:
    """The request ran out of time."""
    message = "the deadline of the route's profile has passed"
    return no_answer(RefusalCode.DEADLINE_EXCEEDED, message)


def refusal_of(failure: TryFailure) -> Refusal:
    """Returns the refusal after a try that is not repeated."""
    if failure.reason in (RetryReason.SHED, RetryReason.DRAINING):
        code = RefusalCode.TARGET_REFUSED
    else:
        code = RefusalCode.TARGET_FAILED
    return Refusal(code, failure.run_state, failure.message)
