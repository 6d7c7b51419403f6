"""A connection to a target: one request at a time, bodies streamed."""

import re
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IDelayedCall, IPushProducer
from twisted.python.failure import Failure

# HTTP11ClientProtocol of twisted.web is built on this parser, which is in a
# private module. HTTP11ClientProtocol itself delays an early answer until the
# whole request is sent, hides Connection and the framing fields, and accepts
# answers with ambiguous framing.
from twisted.web._newclient import HEADER, STATUS, HTTPParser
from twisted.web.http import _IdentityTransferDecoder, toChunk
from zope.interface import implementer

from egretrock.state.outcome import RetryReason, RunState
from egretrock_node.protocol.http import (
    MAX_LENGTH_DIGITS,
    AnswerHead,
    HeaderList,
    header_values,
    is_persistent,
    keep_alive_s,
)
from egretrock_node.protocol.requests import AttemptFailure, OutgoingRequest
from egretrock_node.transport._receiving import (
    BoundedReceiver,
    ChunkedDecoder,
    ReadGate,
)

if TYPE_CHECKING:
    from egretrock_node.transport.target._pool import TargetAttempt, TargetPool

_MAX_HEAD_BYTES = 65_536
#: Each field is read several times on its way to the caller.
_MAX_HEAD_FIELDS = 1_000
#: Time before the end of a connection, as its target states it, in which a
#: request could cross the close on its way.
_CLOSE_MARGIN_S = 0.25
_STATUS_LINE = re.compile(rb"(HTTP/1\.[01]) ([1-5][0-9]{2})(?: (.*))?")
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class _UnframedDecoder:
    """Forwards a body that is delimited by the end of the connection."""

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self.dataReceived = on_data

    def noMoreData(self) -> None:  # noqa: N802
        """Does nothing: the connection handles its own end."""


class AnswerError(Exception):
    """An answer whose framing is malformed or ambiguous."""


@implementer(IPushProducer)
class _UploadProducer:
    """Reports to the pipeline whether the send buffer is full."""

    def __init__(self, attempt: "TargetAttempt") -> None:
        self._attempt = attempt

    def pauseProducing(self) -> None:  # noqa: N802
        self._attempt.listener.on_upload_blocked(True)

    def resumeProducing(self) -> None:  # noqa: N802
        self._attempt.listener.on_upload_blocked(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: ``connectionLost`` reports the loss."""


class TargetConnection(BoundedReceiver, HTTPParser):
    """A connection to a target.

    It is reused after an answer only if its framing is unambiguous: the
    request was sent completely, the answer was received completely, no data
    followed it, and neither side asked to close.

    Args:
        pool: Pool that owns the connection.
        address: ``"ip:port"`` of the target.

    Attributes:
        opened_s: Time at which the connection was made.
        answered_s: Time at which the latest answer ended; ``opened_s`` before
            the first answer.
        sent_s: Time at which sending of the latest request started.
        discarding_since_s: Time since which the rest of an answer is read and
            discarded, or None.
        idle_limit_s: Idle time after which it is not used any more, because
            the target closes it soon.
        is_unusable: Whether it must not be used for another request.
    """

    delimiter = b"\n"
    MAX_LENGTH = _MAX_HEAD_BYTES

    def __init__(self, pool: "TargetPool", address: str) -> None:
        super().__init__()
        self._pool = pool
        self.address = address
        self.opened_s = 0.0
        self.answered_s = 0.0
        self.sent_s = 0.0
        self.discarding_since_s: float | None = None
        self.idle_limit_s = float("inf")
        self.is_unusable = False
        self._attempt: TargetAttempt | None = None
        self._is_request_sent = True
        self._is_chunked = False
        self._is_uploading = False
        self._reset()

    def connectionMade(self) -> None:  # noqa: N802
        """Sets the socket options."""
        self.gate = ReadGate(self.transport)
        self.opened_s = self.answered_s = self._pool.now()
        self.transport.setTcpNoDelay(True)
        timeout_ms = int(self._pool.settings.user_timeout_s * 1000)
        option = getattr(socket, "TCP_USER_TIMEOUT", None)
        if option is not None:
            self.transport.socket.setsockopt(
                socket.IPPROTO_TCP, option, timeout_ms
            )

    def is_busy_with(self, attempt: "TargetAttempt") -> bool:
        """Returns whether ``attempt`` is in progress on this connection."""
        return self._attempt is attempt

    def is_still_idle(self) -> bool:
        """Returns whether the target has neither closed nor sent anything.

        The kernel may have received a close that the reactor has not read
        yet; the run state of a request sent now would end up unknown.
        """
        try:
            self.transport.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    # Sending.

    def send(self, attempt: "TargetAttempt", request: OutgoingRequest) -> None:
        """Sends a request; the connection must be idle."""
        self._attempt = attempt
        self.sent_s = self._pool.now()
        self._is_chunked = request.content_length is None
        self._is_request_sent = request.complete
        lines = [request.method, b" ", request.path_and_query, b" HTTP/1.1\r\n"]
        for name, value in request.headers:
            lines += (name, b": ", value, b"\r\n")
        if self._is_chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n\r\n")
        elif request.content_length:
            lines.append(b"Content-Length: %d\r\n\r\n" % request.content_length)
        else:
            lines.append(b"\r\n")
        if not self._is_chunked:
            lines.append(request.body)
        elif request.body:
            lines += toChunk(request.body)
        if not request.complete:
            self._is_uploading = True
            self.transport.registerProducer(_UploadProducer(attempt), True)
        # A single write costs one system call and one packet.
        self.transport.write(b"".join(lines))
        if request.body:
            self._pool.on_body_written(self)

    def write_body(self, data: bytes) -> None:
        """Sends a piece of the request's body."""
        if self._is_chunked:
            self.transport.writeSequence(toChunk(data))
        else:
            self.transport.write(data)
        self._pool.on_body_written(self)

    def finish_body(self) -> None:
        """Ends the request's body."""
        if self._is_chunked:
            self.transport.write(b"0\r\n\r\n")
        self._is_request_sent = True
        self._unregister_upload()

    def abort(self) -> None:
        """Closes the connection immediately and reports nothing more."""
        self._attempt = None
        self.is_unusable = True
        self.stop_parsing()
        # The connection is part of a reference cycle with its transport; what
        # it has read must not wait for the garbage collector.
        self._reset()
        self._unregister_upload()
        self.transport.abortConnection()

    def close(self) -> None:
        """Closes an idle connection."""
        self.is_unusable = True
        self.transport.loseConnection()

    def pause(self) -> None:
        """Stops reading the answer."""
        self.gate.pauseProducing()

    def resume(self) -> None:
        """Resumes reading the answer."""
        self.gate.resumeProducing()

    # Receiving.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received bytes; a malformed answer fails the attempt."""
        if self._attempt is None:
            # Unsolicited bytes would be parsed as the answer to the next
            # request.
            self.abort()
            return
        super().dataReceived(data)

    def parse_turn(self) -> None:
        """Parses a part of the answer; a malformed one fails the attempt."""
        try:
            super().parse_turn()
        except Exception as error:
            # The decoders of twisted.web raise private exception classes.
            self._fail(f"malformed answer: {error}")

    def call_soon(self, callback: Callable[[], None]) -> IDelayedCall:
        """Schedules ``callback`` for the next turn of the reactor."""
        return self._pool.call_later(0, callback)

    def has_decoder_backlog(self) -> bool:
        """Returns whether a chunked body has bytes left to decode."""
        return (
            self._attempt is not None
            and not self.line_mode
            and isinstance(self.bodyDecoder, ChunkedDecoder)
            and self.bodyDecoder.has_backlog
        )

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parses one line of a head."""
        if self._attempt is None:
            return
        if line[-1:] != b"\r":
            raise AnswerError("bare LF")
        self._head_bytes += len(line) + len(self.delimiter)
        line = line[:-1]
        if self._head_bytes > _MAX_HEAD_BYTES:
            raise AnswerError(f"head above {_MAX_HEAD_BYTES} bytes")
        if self.state == STATUS:
            self.statusReceived(line)
            self.state = HEADER
        elif not line:
            self.allHeadersReceived()
        else:
            self._on_header_field(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Rejects a line that is too long."""
        raise AnswerError(f"line above {self.MAX_LENGTH} bytes")

    def statusReceived(self, status: bytes) -> None:  # noqa: N802
        """Parses the status line."""
        match = _STATUS_LINE.fullmatch(status)
        if match is None or _CONTROL_CHARACTER.search(status):
            raise AnswerError("status line")
        self._version, code, reason = match.groups()
        self._status = int(code)
        self._reason = reason or b""

    def _on_header_field(self, line: bytes) -> None:
        # One pattern for name, blanks and value would backtrack at each blank
        # and take time with the square of their number.
        name, colon, value = line.partition(b":")
        if (
            not colon
            or not _FIELD_NAME.fullmatch(name)
            or _CONTROL_CHARACTER.search(line)
        ):
            raise AnswerError("header field")
        if len(self._fields) >= _MAX_HEAD_FIELDS:
            raise AnswerError(f"head with over {_MAX_HEAD_FIELDS} fields")
        self._fields.append((name.lower(), value.strip(b" \t")))

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Handles the end of a head and selects the framing of the body."""
        status = self._status
        if status < 200:
            if status == 101:
                raise AnswerError("status 101 was not asked for")
            # The limit holds for all interim heads of a request together, as
            # a target may send them without end.
            head_bytes = self._head_bytes
            self._reset()
            self._head_bytes = head_bytes
            return
        length = self._body_length()
        head = AnswerHead(status, self._reason, self._fields, length)
        self._is_stray = not self._pool.protocol.is_answer_to(
            status, self._fields, self._attempt.request_id
        )
        if self._attempt.is_head or status in _STATUSES_WITHOUT_BODY:
            decoder = None
        elif self._is_delimited_by_close:
            decoder = _UnframedDecoder(self._on_body)
        elif length is None:
            decoder = ChunkedDecoder(self._on_body, self._on_body_end)
        elif length == 0:
            decoder = None
        else:
            decoder = _IdentityTransferDecoder(
                length, self._on_body, self._on_body_end
            )
        self._is_persistent = is_persistent(self._version, self._fields)
        kept_s = keep_alive_s(self._fields)
        if kept_s is not None:
            self.idle_limit_s = max(0.0, kept_s - _CLOSE_MARGIN_S)
        if decoder is not None:
            self.switchToBodyMode(decoder)
        if self._is_stray:
            self._pool.counters.increment("target_connections.stray_answers")
        elif not self._attempt.is_discarding:
            self._attempt.listener.on_answer(head)
        if decoder is None and self._attempt is not None:
            self._on_body_end(self.clearLineBuffer())

    def _body_length(self) -> int | None:
        """Returns the length of the body, or None if no header gives it."""
        lengths = header_values(self._fields, b"content-length")
        codings = header_values(self._fields, b"transfer-encoding")
        if codings:
            if len(codings) > 1 or codings[0].lower() != b"chunked":
                raise AnswerError("Transfer-Encoding is not chunked")
            if lengths:
                raise AnswerError("Content-Length and Transfer-Encoding")
            return None
        if not lengths:
            if self._attempt.is_head or self._status in _STATUSES_WITHOUT_BODY:
                return None
            if self._pool.protocol.allows_answers_without_length:
                self._is_delimited_by_close = True
                return None
            # A body that is delimited by the end of the connection looks
            # complete if the target is killed while sending it.
            raise AnswerError("neither Content-Length nor Transfer-Encoding")
        value = lengths[0]
        if len(lengths) > 1 or not value.isdigit():
            raise AnswerError("repeated or malformed Content-Length")
        if len(value) > MAX_LENGTH_DIGITS:
            raise AnswerError("Content-Length has too many digits")
        return int(value)

    def _on_body(self, data: bytes) -> None:
        attempt = self._attempt
        if (
            attempt is None
            or attempt.is_discarding
            or self._is_stray
            or not data
        ):
            return
        attempt.listener.on_data(data)

    def _on_body_end(self, extra_data: bytes) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._is_stray:
            self._skip_stray_answer(extra_data)
            return
        self._attempt = None
        self.discarding_since_s = None
        self.resume()
        self.answered_s = self._pool.now()
        is_reusable = (
            self._is_persistent and self._is_request_sent and not extra_data
        )
        self._unregister_upload()
        self._reset()
        self.setLineMode()
        if is_reusable and not self.is_unusable:
            self._pool.on_idle(self)
        else:
            # After an answer that precedes the end of the upload, the target
            # has a partial request and must not treat it as complete.
            self.transport.abortConnection()
        if not attempt.is_discarding:
            attempt.listener.on_end()

    def _skip_stray_answer(self, extra_data: bytes) -> None:
        """Keeps waiting after an answer to an earlier request."""
        if not self._is_persistent or self._is_delimited_by_close:
            self._fail("an answer to another request ended the connection")
            return
        self._reset()
        self.setLineMode(extra_data)
        self.end_turn()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Fails the attempt in progress, if any."""
        self._pool.on_lost(self)
        self.is_unusable = True
        self.parse_rest()
        closed = reason is not None and reason.check(ConnectionDone)
        if self._is_delimited_by_close and closed:
            self._on_body_end(b"")
        if self._attempt is not None:
            text = reason.getErrorMessage() if reason is not None else "lost"
            self._fail(f"connection lost: {text}")

    def _fail(self, message: str) -> None:
        attempt = self._attempt
        self.abort()
        if attempt is not None and not attempt.is_discarding:
            # Bytes were handed to the kernel and may have reached the target.
            failure = AttemptFailure(
                RetryReason.CONNECTION_LOST, RunState.UNKNOWN, message
            )
            attempt.listener.on_failure(failure)

    def _unregister_upload(self) -> None:
        if self._is_uploading:
            self._is_uploading = False
            self.transport.unregisterProducer()

    def _reset(self) -> None:
        self.state = STATUS
        self.bodyDecoder = None
        self._fields: HeaderList = []
        self._head_bytes = 0
        self._version = b""
        self._status = 0
        self._reason = b""
        self._is_persistent = False
        self._is_stray = False
        self._is_delimited_by_close = False
