"""Connections of callers and the requests on them."""

import fcntl
import re
import sys
import termios
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.interfaces import IDelayedCall, IPushProducer
from twisted.python.failure import Failure
from twisted.web.http import toChunk
from zope.interface import implementer

from egretrock.state.outcome import Refusal, RefusalCode, RunState
from egretrock_node.protocol.http import (
    MAX_LENGTH_DIGITS,
    AnswerHead,
    HeaderList,
    RequestHead,
    bad_request,
    check_head,
    head_line_error,
    is_persistent,
    refusal_answer,
)
from egretrock_node.protocol.requests import Exchange
from egretrock_node.transport._receiving import BoundedChannel
from egretrock_node.transport._sending import buffered_bytes

if TYPE_CHECKING:
    from egretrock_node.transport.caller._server import CallerServer

_FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
#: Maximum number of remaining body bytes that are read and discarded after
#: the answer to keep the connection open.
_MAX_DISCARDED_BYTES = 65_536


@implementer(IPushProducer)
class CallerRequest:
    """One request on a caller's connection.

    ``twisted.web.http.Request`` buffers the whole body before it renders the
    request. This class replaces it in the channel and forwards each piece of
    the body as it arrives.

    Args:
        channel: Connection of the caller.
        queued: Unused; ``HTTPChannel`` always passes it.
    """

    def __init__(self, channel: "CallerChannel", queued: int = 0) -> None:
        self._channel = channel
        self.headers: HeaderList = []
        self.exchange: Exchange | None = None
        self._head: RequestHead | None = None
        self._version = b"HTTP/1.1"
        self._body_bytes = 0
        self._discarded_bytes = 0
        self._is_body_complete = False
        self._is_buffer_full = False
        self._is_blocked = False
        self._is_started = False
        self._is_finished = False
        self._is_chunked = False
        self._has_body = True

    def begin(self, head: RequestHead, version: bytes) -> None:
        """Starts the request in the pipeline."""
        self._head = head
        self._version = version
        pipeline = self._channel.server.pipeline
        exchange = pipeline.start(head, self)
        self.exchange = exchange

    # Interface for the channel.

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Forwards a piece of the body, within the size limit."""
        if self._is_finished:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > _MAX_DISCARDED_BYTES:
                self._channel.close_gracefully()
            return
        self._body_bytes += len(data)
        if self._channel.is_body_too_large(self._body_bytes):
            self._channel.refuse_and_close(
                self._channel.body_too_large_refusal()
            )
        elif self.exchange is not None and data:
            self.exchange.on_body(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles the end of the body."""
        self._is_body_complete = True
        if self._is_finished:
            self._channel.requestDone(self)
        elif self.exchange is not None:
            self.exchange.on_body_end()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Reports to the pipeline that the caller has disconnected."""
        self._is_finished = True
        if self.exchange is not None:
            self.exchange.on_caller_disconnected()

    # Interface for the pipeline.

    def send_continue(self) -> None:
        """Sends 100 Continue."""
        self._channel.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def start_answer(self, head: AnswerHead) -> None:
        """Sends the head of the answer."""
        channel = self._channel
        self._is_started = True
        if channel.server.is_draining or not self._may_stay_open():
            channel.persistent = False
        method = self._head.method if self._head else b"GET"
        self._has_body = (
            method != b"HEAD" and head.status not in _STATUSES_WITHOUT_BODY
        )
        lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, head.reason)]
        for name, value in head.headers:
            lines += (name, b": ", value, b"\r\n")
        if head.content_length is not None:
            lines.append(b"Content-Length: %d\r\n" % head.content_length)
        elif self._has_body:
            if self._version == b"HTTP/1.1":
                self._is_chunked = True
                lines.append(b"Transfer-Encoding: chunked\r\n")
            else:
                channel.persistent = False
        if not channel.persistent:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        channel.send([b"".join(lines)])
        if self._has_body:
            channel.registerProducer(self, True)

    def write(self, data: bytes) -> None:
        """Sends a piece of the answer's body."""
        if not self._has_body:
            return
        pieces = toChunk(data) if self._is_chunked else [data]
        self._channel.send(list(pieces))
        self._update_blocked()

    def finish(self) -> None:
        """Ends the answer."""
        channel = self._channel
        self._is_finished = True
        if self._is_chunked:
            channel.send([b"0\r\n\r\n"])
        channel.unregisterProducer()
        if self._is_body_complete:
            channel.requestDone(self)
        elif channel.persistent:
            channel.discarding_since_s = channel.server.now()
        else:
            channel.close_gracefully()

    def abort(self) -> None:
        """Aborts the connection, so that the answer is seen as incomplete."""
        self._is_finished = True
        self._channel.unregisterProducer()
        self._channel.transport.abortConnection()

    def pause_body(self) -> None:
        """Stops reading the request's body."""
        self._channel.pause_body(True)

    def resume_body(self) -> None:
        """Resumes reading the request's body."""
        self._channel.pause_body(False)

    # IPushProducer: flow control of the answer by the channel.

    def pauseProducing(self) -> None:  # noqa: N802
        """Reports that the send buffer to the caller is full."""
        self._is_buffer_full = True
        self._update_blocked()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reports that the caller can be sent data again."""
        self._is_buffer_full = False
        self._update_blocked()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: ``connectionLost`` reports the loss."""

    def _update_blocked(self) -> None:
        """Tells the exchange whether its target must wait for the caller."""
        is_blocked = self._is_buffer_full and self._channel.is_read_ahead_full()
        if is_blocked != self._is_blocked:
            self._is_blocked = is_blocked
            if is_blocked:
                self._channel.server.on_answer_blocked()
            if self.exchange is not None:
                self.exchange.on_caller_blocked(is_blocked)

    def _may_stay_open(self) -> bool:
        """Returns whether the rest of the body is small enough to discard."""
        if self._is_body_complete or self._head is None:
            return True
        length = self._head.content_length
        if length is None or self._head.expects_continue:
            return False
        return length - self._body_bytes <= _MAX_DISCARDED_BYTES


class CallerChannel(BoundedChannel):
    """A caller's connection: framing, order of requests, back pressure.

    Args:
        server: Server that owns the connection.

    Attributes:
        idle_since_s: Time at which the latest answer ended, or at which the
            connection was accepted.
        head_since_s: Time at which the first byte of an incomplete head was
            received, or None.
        discarding_since_s: Time since which the rest of a body is read and
            discarded because its answer has ended, or None.
        is_awaiting_head: Whether no request is in progress.
        progress_s: Time at which the caller was last seen to take bytes of an
            answer, while some wait.
    """

    requestFactory = CallerRequest  # noqa: N815
    # ``CallerServer.close_expired`` enforces all timeouts; a timer that
    # restarts at each read costs more and never ends for a caller that sends
    # single bytes slowly.
    timeOut = None  # noqa: N815
    maxHeaders = 200  # noqa: N815

    def __init__(self, server: "CallerServer") -> None:
        super().__init__()
        self.server = server
        self.idle_since_s = server.now()
        self.head_since_s: float | None = None
        self.discarding_since_s: float | None = None
        self.is_awaiting_head = True
        self._is_refused = False
        self._linger_timer = None
        self._closing_since_s: float | None = None
        self.progress_s = self.idle_since_s
        self._last_unsent_bytes = 0

    # Both are read for each head, since the limit may change while the
    # connection is open.
    @property
    def MAX_LENGTH(self) -> int:  # noqa: N802
        """Maximum size of a line of a head, in bytes."""
        return self.server.settings.max_header_bytes

    @property
    def totalHeadersSize(self) -> int:  # noqa: N802
        """Maximum size of a whole head, in bytes."""
        return self.server.settings.max_header_bytes

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection with the server."""
        super().connectionMade()
        self.server.on_open(self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Notifies the request in progress that its caller disconnected."""
        self.server.on_lost(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None
        super().connectionLost(reason)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller's kernel has not acknowledged.

        An abort discards them, wherever they wait.
        """
        fileno = self.transport.fileno()
        queued = fcntl.ioctl(fileno, termios.TIOCOUTQ, bytes(4))
        return self.buffered_bytes + int.from_bytes(queued, sys.byteorder)

    @property
    def buffered_bytes(self) -> int:
        """Bytes in the send buffer of this process."""
        return buffered_bytes(self.transport)

    def send(self, pieces: list[bytes]) -> None:
        """Sends parts of an answer."""
        self.server.on_written(self, sum(map(len, pieces)))
        self.transport.writeSequence(pieces)

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long the caller has taken nothing of an answer."""
        unsent_bytes = self.unsent_bytes
        if unsent_bytes != self._last_unsent_bytes or not unsent_bytes:
            self._last_unsent_bytes = unsent_bytes
            self.progress_s = now_s
        return now_s - self.progress_s

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received bytes."""
        if self._is_refused:
            return
        if self.is_awaiting_head and self.head_since_s is None:
            self.head_since_s = self.server.now()
        super().dataReceived(data)

    def call_soon(self, callback: Callable[[], None]) -> IDelayedCall:
        """Schedules ``callback`` for the next turn of the reactor."""
        return self.server.call_later(0, callback)

    def has_decoder_backlog(self) -> bool:
        """Returns whether a chunked body has bytes left to decode."""
        return not self._is_refused and super().has_decoder_backlog()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Checks and parses one line of a head."""
        if self._is_refused:
            return
        error_text = head_line_error(line)
        if error_text is not None:
            self.refuse_and_close(bad_request(error_text))
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuses a line that exceeds the limit of a whole head."""
        self.refuse_and_close(self._headers_too_large_refusal())

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses a piece of a body, or data that follows it."""
        if not self._is_refused:
            super().rawDataReceived(data)

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Checks and stores one header field."""
        if self._is_refused:
            return False
        name, colon, value = line.partition(b":")
        if not colon or not _FIELD_NAME.fullmatch(name):
            self.refuse_and_close(bad_request("malformed header field"))
            return False
        value = value.strip(b" \t")
        name = name.lower()
        if name == b"content-length":
            if len(value) > MAX_LENGTH_DIGITS:
                message = "Content-Length has too many digits"
                self.refuse_and_close(bad_request(message))
                return False
            if not self._maybeChooseTransferDecoder(b"Content-Length", value):
                return False
        elif name == b"transfer-encoding":
            if value.lower() != b"chunked":
                message = "Transfer-Encoding must be chunked"
                self.refuse_and_close(bad_request(message))
                return False
            if not self._maybeChooseTransferDecoder(
                b"Transfer-Encoding", value
            ):
                return False
        headers = self.requests[-1].headers
        headers.append((name, value))
        if len(headers) > self.maxHeaders:
            self.refuse_and_close(self._headers_too_large_refusal())
            return False
        return True

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Checks a complete head and starts its request."""
        if self._is_refused:
            return
        self.is_awaiting_head = False
        self.head_since_s = None
        request = self.requests[-1]
        check_result = check_head(
            self._command,
            self._path,
            self._version,
            request.headers,
            self.length,
        )
        if check_result.is_error():
            self.refuse_and_close(check_result.error)
            return
        length = check_result.ok.content_length
        if length is not None and self.is_body_too_large(length):
            self.refuse_and_close(self.body_too_large_refusal())
            return
        self.persistent = is_persistent(self._version, request.headers)
        request.begin(check_result.ok, self._version)

    def allContentReceived(self) -> None:  # noqa: N802
        """Handles the end of a body."""
        if not self._is_refused:
            super().allContentReceived()

    def requestDone(self, request: CallerRequest) -> None:  # noqa: N802
        """Proceeds to the next request."""
        self.is_awaiting_head = True
        self.discarding_since_s = None
        self.idle_since_s = self.server.now()
        super().requestDone(request)
        if self.has_received_bytes and not self.is_blocked():
            self.head_since_s = self.idle_since_s

    def refuse_and_close(self, refusal: Refusal) -> None:
        """Answers with a refusal and closes the connection.

        For requests after which the connection cannot be reused, such as
        those with malformed framing.
        """
        if self._is_refused:
            return
        self._is_refused = True
        self.persistent = False
        self.is_awaiting_head = False
        self.stop_parsing()
        request = self.requests[-1] if self.requests else None
        if request is not None and request.exchange is not None:
            request.exchange.on_framing_error(refusal)
        else:
            answer = refusal_answer(refusal, None)
            self.server.count_refusal(refusal)
            writer = CallerRequest(self)
            writer.start_answer(answer.head)
            writer.write(answer.body)
            writer.finish()
        self.close_gracefully()

    def is_body_too_large(self, size_bytes: int) -> bool:
        """Returns whether a body of this size exceeds the limit."""
        limit = self.server.settings.max_body_bytes
        return limit is not None and size_bytes > limit

    def body_too_large_refusal(self) -> Refusal:
        """Returns the refusal of a body above the limit."""
        return Refusal(
            RefusalCode.BODY_TOO_LARGE,
            RunState.NOT_RUN,
            f"the body exceeds {self.server.settings.max_body_bytes} bytes",
        )

    def is_read_ahead_full(self) -> bool:
        """Returns whether to read answers only as fast as they are taken."""
        server = self.server
        return (
            self.buffered_bytes >= server.settings.max_read_ahead_bytes
            or server.answer_budget.exceeds_soft_limit
        )

    def pause_body(self, paused: bool) -> None:
        """Pauses or resumes reading while a body is being received."""
        if self._handlingRequest or self._is_refused:
            return
        if paused:
            self._networkProducer.pauseProducing()
        elif not self._waitingForTransport:
            self._networkProducer.resumeProducing()

    def close_gracefully(self) -> None:
        """Closes the write side now and the connection after a delay.

        Closing a socket that still receives data resets the connection, and
        the caller might lose the answer.
        """
        if self._linger_timer is None:
            self._networkProducer.resumeProducing()
            self._networkProducer.unregisterProducer()
            self.transport.loseWriteConnection()
            self._closing_since_s = self.server.now()
            self._start_linger()

    def close_idle(self) -> None:
        """Closes the connection once the caller has taken its last answer."""
        now_s = self.server.now()
        if self._closing_since_s is None:
            self._closing_since_s = now_s
            self.loseConnection()
        elif self._has_waited_for_caller(now_s):
            self.transport.abortConnection()

    def _close_now(self) -> None:
        self._linger_timer = None
        now_s = self.server.now()
        if not self.unsent_bytes or self._has_waited_for_caller(now_s):
            self.transport.abortConnection()
        else:
            self._start_linger()

    def _start_linger(self) -> None:
        self._linger_timer = self.server.call_later(
            self.server.settings.linger_s, self._close_now
        )

    def _has_waited_for_caller(self, now_s: float) -> bool:
        waited_s = now_s - self._closing_since_s
        return waited_s >= self.server.settings.unsent_timeout_s

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Refuses requests with errors that twisted.web itself detects."""
        if self._receivedHeaderSize > self.totalHeadersSize:
            self.refuse_and_close(self._headers_too_large_refusal())
        else:
            self.refuse_and_close(bad_request("malformed framing"))

    def _headers_too_large_refusal(self) -> Refusal:
        return Refusal(
            RefusalCode.HEADERS_TOO_LARGE,
            RunState.NOT_RUN,
            f"the head exceeds {self.totalHeadersSize} bytes"
            f" or {self.maxHeaders} fields",
        )
