"""Small requests that the node itself sends to a target."""

import msgspec
from twisted.internet.defer import Deferred

from egretrock_node.protocol.http import AnswerHead, HeaderList
from egretrock_node.protocol.requests import (
    AttemptFailure,
    AttemptHandle,
    OutgoingRequest,
)

#: Default limit of an answer's body.
DEFAULT_MAX_BODY_BYTES = 65_536


class FetchedAnswer(msgspec.Struct, frozen=True):
    """Answer to a request of the node itself.

    Attributes:
        status: HTTP status.
        headers: Header fields.
        body: Body.
    """

    status: int
    headers: HeaderList
    body: bytes


class FetchError(Exception):
    """A request of the node itself got no complete answer.

    Attributes:
        is_connection_refused: Whether the target refused the connection.
    """

    def __init__(
        self, message: str, is_connection_refused: bool = False
    ) -> None:
        super().__init__(message)
        self.is_connection_refused = is_connection_refused


class Fetch:
    """Listener of an attempt that reads one small resource."""

    method = b"GET"

    def __init__(
        self,
        address: str,
        path: bytes,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        self._address = address
        self._path = path
        self._max_body_bytes = max_body_bytes
        self._head: AnswerHead | None = None
        self._pieces: list[bytes] = []
        self._size_bytes = 0
        self.handle: AttemptHandle = None  # type: ignore[assignment]
        self.answer_deferred: Deferred[FetchedAnswer] = Deferred()

    def prepare(self) -> OutgoingRequest | None:
        """Returns the request."""
        headers = [(b"Host", self._address.encode())]
        return OutgoingRequest(self.method, self._path, headers, 0, b"", True)

    def on_sent(self) -> None:
        """Does nothing: the request has no body."""

    def on_answer(self, head: AnswerHead) -> None:
        """Stores the head of the answer."""
        self._head = head

    def on_data(self, data: bytes) -> None:
        """Stores a piece of the body, up to the limit."""
        self._size_bytes += len(data)
        if self._size_bytes > self._max_body_bytes:
            self._abandon(f"the answer exceeds {self._max_body_bytes} bytes")
        else:
            self._pieces.append(data)

    def on_end(self) -> None:
        """Delivers the complete answer."""
        if not self.answer_deferred.called:
            head = self._head
            body = b"".join(self._pieces)
            self.answer_deferred.callback(
                FetchedAnswer(head.status, head.headers, body)
            )

    def on_failure(self, failure: AttemptFailure) -> None:
        """Delivers the failure of the attempt."""
        if not self.answer_deferred.called:
            self.answer_deferred.errback(
                FetchError(failure.message, failure.is_connection_refused)
            )

    def on_upload_blocked(self, blocked: bool) -> None:
        """Does nothing: the request has no body."""

    def on_timeout(self) -> None:
        """Abandons the attempt."""
        self._abandon("no answer in time")

    def _abandon(self, message: str) -> None:
        self.handle.abandon(False)
        if not self.answer_deferred.called:
            self.answer_deferred.errback(FetchError(message))


class Notification(Fetch):
    """Sends a target a request whose answer is ignored."""

    def __init__(self, address: str, method: bytes, path: bytes) -> None:
        super().__init__(address, path)
        self.method = method
        self.answer_deferred.addErrback(lambda failure: None)
