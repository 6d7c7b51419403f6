"""Types that the request pipeline shares with the parts it calls."""

import enum

import msgspec

from egretrock.state.ids import (
    OrganisationId,
    RequestId,
    RouteId,
)
from egretrock.state.outcome import RetryReason, RunState
from egretrock_node.protocol.http import HeaderList

#: Organisation of requests on open routes, which carry no key.
NO_ORGANISATION = OrganisationId("")


class Stage(enum.Enum):
    """Step that a request has reached."""

    #: The body is being read.
    BODY = "body"
    #: It waits for the result of beginning its idempotency record.
    IDEMPOTENCY = "idempotency"
    #: It waits for a token of its organisation's rate limit.
    TOKEN = "token"
    #: It waits in the fair queue, or for a permit for a retry.
    QUEUED = "queued"
    #: It waits for a connection to its target.
    CONNECTING = "connecting"
    #: Its head was sent to a target.
    SENT = "sent"
    #: Its connection was lost; a new one shows whether the target is alive.
    CHECKING = "checking"
    #: The answer is being forwarded to the caller.
    ANSWERING = "answering"
    #: It was answered, refused, aborted or cancelled.
    DONE = "done"


class RequestSnapshot(msgspec.Struct, frozen=True):
    """A request that has no complete answer yet.

    Attributes:
        request_id: Id that is sent to the caller and to the target.
        route: Route of the request.
        stage: Step that it has reached.
        run_state: Whether a target may have run it.
        age_s: Seconds since its head arrived.
    """

    request_id: RequestId
    route: RouteId
    stage: Stage
    run_state: RunState
    age_s: float


class OutgoingRequest(msgspec.Struct):
    """A request in the form that is sent to a target.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Header fields, without the framing fields.
        content_length: Bytes of the body, or None for a chunked body.
        body: Body bytes available so far.
        complete: Whether ``body`` is the whole body.
    """

    method: bytes
    path_and_query: bytes
    headers: HeaderList
    content_length: int | None
    body: bytes
    complete: bool


class AttemptFailure(msgspec.Struct, frozen=True):
    """The failure of an attempt that got no complete answer.

    Attributes:
        reason: Reason.
        run_state: ``NOT_RUN`` only if no byte can have been sent, or if the
            target reported that it did not run the request.
        message: Human-readable text.
        is_connection_refused: Whether the target refused the TCP connection.
    """

    reason: RetryReason
    run_state: RunState
    message: str
    is_connection_refused: bool = False
