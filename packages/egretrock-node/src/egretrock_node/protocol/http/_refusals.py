"""Request ids and the answers to refused requests."""

import itertools

import msgspec

from egretrock.state.ids import Incarnation, RequestId
from egretrock.state.outcome import Refusal, RefusalCode, explain_refusal
from egretrock_node.protocol.http._headers import HeaderList


class AnswerHead(msgspec.Struct):
    """Head of an answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Header fields, without the framing fields.
        content_length: Bytes of the body, or None where the length is unknown.
    """

    status: int
    reason: bytes
    headers: HeaderList
    content_length: int | None


class RefusalAnswer(msgspec.Struct, frozen=True):
    """The answer to a refused request."""

    head: AnswerHead
    body: bytes


class _RefusalBody(msgspec.Struct, frozen=True):
    code: RefusalCode
    run_state: str
    message: str
    retry_after_ms: int | None
    request_id: RequestId | None


class RequestIds:
    """Generates request ids that are unique across processes and restarts.

    Example:
        >>> ids = RequestIds(Incarnation(255))
        >>> ids.generate(), ids.generate()
        ('00000000000000ff-1', '00000000000000ff-2')
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self._prefix = f"{incarnation:016x}-"
        self._numbers = itertools.count(1)

    def generate(self) -> RequestId:
        """Returns a new request id."""
        return RequestId(f"{self._prefix}{next(self._numbers):x}")


def refusal_answer(
    refusal: Refusal, request_id: RequestId | None
) -> RefusalAnswer:
    """Returns the answer to a refused request.

    Oversized headers are answered with 400 like every other framing error.
    """
    body = msgspec.json.encode(
        _RefusalBody(
            refusal.code,
            refusal.run_state.value,
            refusal.message,
            refusal.retry_after_ms,
            request_id,
        )
    )
    headers: HeaderList = [(b"Content-Type", b"application/json")]
    if request_id is not None:
        headers.append((b"Egretrock-Request-Id", request_id.encode()))
    if refusal.retry_after_ms is not None:
        # Retry-After is in whole seconds; rounding down would allow a retry
        # too early.
        seconds = -(-refusal.retry_after_ms // 1000)
        headers.append((b"Retry-After", b"%d" % max(1, seconds)))
    status = explain_refusal(refusal.code).status
    if refusal.code is RefusalCode.HEADERS_TOO_LARGE:
        status = 400
    if status == 401:
        headers.append((b"WWW-Authenticate", b"Bearer"))
    if refusal.code is RefusalCode.METHOD_NOT_ALLOWED:
        allowed = refusal.message.rpartition("allowed are ")[2]
        headers.append((b"Allow", allowed.encode()))
    reason = _REASON_PHRASES.get(status, b"Refused")
    return RefusalAnswer(AnswerHead(status, reason, headers, len(body)), body)


_REASON_PHRASES = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
