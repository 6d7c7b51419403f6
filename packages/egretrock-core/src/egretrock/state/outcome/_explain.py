"""Explanations of the refusal codes, for operators and callers."""

import msgspec

from egretrock.state.outcome._outcome import RefusalCode


class Explanation(msgspec.Struct, frozen=True):
    """Explanation of one refusal code.

    Attributes:
        status: HTTP status of the answer.
        meaning: When the load balancer answers with this code.
        action: What a caller or an operator can do.
    """

    status: int
    meaning: str
    action: str


_EXPLANATIONS = {
    RefusalCode.BAD_REQUEST: Explanation(
        400,
        "The framing of the request is malformed or ambiguous; nothing was"
        " sent to a target and the connection is closed.",
        "Correct the caller's HTTP library or the intermediary before it.",
    ),
    RefusalCode.HEADERS_TOO_LARGE: Explanation(
        400,
        "The request line and headers exceed limits.max_header_bytes.",
        "Send smaller headers, or raise the setting.",
    ),
    RefusalCode.BODY_TOO_LARGE: Explanation(
        413,
        "The body exceeds the size that the node accepts.",
        "Send a smaller body.",
    ),
    RefusalCode.NO_ROUTE: Explanation(
        404,
        "No published route has a prefix of the path.",
        "Check the path, or publish a route.",
    ),
    RefusalCode.METHOD_NOT_ALLOWED: Explanation(
        405,
        "A route matches the path, but not the method.",
        "Check the method, or the methods of the route.",
    ),
    RefusalCode.KEY_MISSING: Explanation(
        401,
        "The route is keyed and the request carries no key.",
        "Send the key as 'Authorization: Bearer KEY' or 'X-Api-Key: KEY'.",
    ),
    RefusalCode.KEY_UNKNOWN: Explanation(
        401,
        "The key is not published, or was withdrawn.",
        "Check the key; publish its SHA-256 digest to grant it.",
    ),
    RefusalCode.NODE_NOT_FRESH: Explanation(
        503,
        "The node could not confirm its configuration within freshness_s,"
        " by the platform or by a majority of the listed VMs.",
        "Send again, to another VM. See /status for what is unreachable.",
    ),
    RefusalCode.NODE_NOT_READY: Explanation(
        503,
        "The node has started and not yet confirmed its configuration.",
        "Send again after the time named, or to another VM.",
    ),
    RefusalCode.NODE_DRAINING: Explanation(
        503,
        "The node is stopping and takes no new request.",
        "Send again on a new connection.",
    ),
    RefusalCode.DATA_CENTRE_OUT: Explanation(
        503,
        "Operators took the node's data centre out.",
        "Send again; the platform's balancer chooses another VM.",
    ),
    RefusalCode.OVER_RATE: Explanation(
        429,
        "The organisation has used its rate and burst over all VMs.",
        "Wait for the time named, or raise the organisation's limits.",
    ),
    RefusalCode.QUEUE_FULL: Explanation(
        503,
        "The node's queue for the service is full.",
        "Send again after the time named; add targets if it persists.",
    ),
    RefusalCode.TOO_MANY_CONNECTIONS: Explanation(
        503,
        "The node holds limits.max_connections connections.",
        "Send again, to another VM; raise the setting if memory allows.",
    ),
    RefusalCode.DEADLINE_EXCEEDED: Explanation(
        504,
        "The profile's deadline passed. run_state tells whether the request"
        " had been sent to a target.",
        "Repeat an idempotent request; check a non-idempotent one first.",
    ),
    RefusalCode.NO_TARGET: Explanation(
        503,
        "No target of the service may take the request: all are out,"
        " leaving, draining or unreachable.",
        "Check data centre states and the targets in /status.",
    ),
    RefusalCode.TARGET_REFUSED: Explanation(
        503,
        "The target shed the request and said that it was not run.",
        "Send again after a pause; add targets if it persists.",
    ),
    RefusalCode.TARGET_FAILED: Explanation(
        502,
        "The connection to the target failed. run_state tells whether a part"
        " of the request may have been sent.",
        "Repeat an idempotent request; check a non-idempotent one first.",
    ),
    RefusalCode.CRASH_QUARANTINE: Explanation(
        503,
        "Equal requests were running when several targets crashed, so the"
        " request is held back for a while.",
        "Find out why the request crashes the target.",
    ),
    RefusalCode.DUPLICATE_REQUEST: Explanation(
        409,
        "The idempotency key was used within the window; run_state tells"
        " what is known of the first request.",
        "Look up the result of the first request.",
    ),
    RefusalCode.IDEMPOTENCY_UNAVAILABLE: Explanation(
        503,
        "No node can tell whether the idempotency key was used: its home"
        " is unreachable, or took over less than a window ago.",
        "Send again after the time named.",
    ),
}


def explain_refusal(code: RefusalCode) -> Explanation:
    """Returns the explanation of a refusal code.

    Example:
        >>> explain_refusal(RefusalCode.OVER_RATE).status
        429
    """
    return _EXPLANATIONS[code]
