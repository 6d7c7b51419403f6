"""Parsing of received bytes in reactor turns of bounded work.

While one connection is parsed, all others wait. What one turn parses is
therefore limited in steps (lines, parts of chunks, requests) and not only in
bytes; the rest follows in later turns, and nothing more is read until then.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IDelayedCall, IPushProducer
from twisted.protocols.basic import LineReceiver
from twisted.web.http import (
    HTTPChannel,
    _ChunkedTransferDecoder,
    _MalformedChunkedDataError,
)
from zope.interface import implementer

#: Lines of a head, or parts of chunks, that one turn parses at most.
MAX_STEPS_PER_TURN = 256
#: Received bytes above which reading stops while they cannot be parsed.
_MAX_WAITING_BYTES = 16_384
#: Maximum size of all trailers of a body; they are not forwarded.
_MAX_TRAILER_BYTES = 16_384
#: Maximum bytes of chunk lines beyond what the chunks allow for. Without it, a
#: body below its limit could need a thousand times its size in extensions.
_MAX_EXCESS_BYTES = 16_384
_ALLOWED_LINE_BYTES = 16


@implementer(IPushProducer)
class ReadGate:
    """Reads from a transport unless flow control or a backlog forbids it.

    Args:
        transport: Transport to read from.
    """

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._is_paused = False
        self._has_backlog = False

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops reading for flow control."""
        self._is_paused = True
        self._transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Ends the pause of flow control, if there is one."""
        if not self._is_paused:
            return
        self._is_paused = False
        if not self._has_backlog:
            self._transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Stops reading for good."""
        self._transport.stopProducing()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Registers the producer of what is sent on the transport."""
        self._transport.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Removes the producer of what is sent on the transport."""
        self._transport.unregisterProducer()

    def set_backlog(self, has_backlog: bool) -> None:
        """Sets whether bytes that were read still have to be parsed."""
        if has_backlog == self._has_backlog:
            return
        self._has_backlog = has_backlog
        if has_backlog:
            self._transport.pauseProducing()
        elif not self._is_paused and not self._transport.disconnecting:
            self._transport.resumeProducing()


class ChunkedDecoder(_ChunkedTransferDecoder):
    """Decodes a chunked body and forwards the data of a turn in one piece.

    Args:
        on_data: Called with the data decoded in one turn.
        on_end: Called with the bytes that follow the body.

    Attributes:
        has_backlog: Whether ``dataReceived`` must be called again, in a later
            turn, to decode bytes that were already received.
    """

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[bytes], None],
    ) -> None:
        self._pieces: list[bytes] = []
        self._extra_data: list[bytes] = []
        self._on_data = on_data
        self._on_end = on_end
        # Bound methods of the decoder would be a reference cycle, which keeps
        # the bytes of a malformed body until the garbage collector runs.
        super().__init__(self._pieces.append, self._extra_data.append)
        self._maxTrailerHeadersSize = _MAX_TRAILER_BYTES
        self._excess_bytes = 0
        self.has_backlog = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decodes a limited number of the chunks received."""
        self._buffer += data
        self.has_backlog = False
        try:
            self._decode_steps()
        finally:
            if self._pieces:
                pieces = b"".join(self._pieces)
                self._pieces.clear()
                self._on_data(pieces)
        if self._extra_data:
            self._on_end(self._extra_data.pop())

    def _decode_steps(self) -> None:
        for _ in range(MAX_STEPS_PER_TURN):
            if not self._buffer:
                return
            if not getattr(self, "_dataReceived_" + self.state)():
                return
        self.has_backlog = bool(self._buffer)

    def _dataReceived_CHUNK_LENGTH(self) -> bool:  # noqa: N802
        received_bytes = len(self._buffer)
        must_continue = super()._dataReceived_CHUNK_LENGTH()
        if self.state != "CHUNK_LENGTH":
            line_bytes = received_bytes - len(self._buffer)
            allowed_bytes = _ALLOWED_LINE_BYTES + self.length
            self._excess_bytes += line_bytes - allowed_bytes
            self._excess_bytes = max(0, self._excess_bytes)
            if self._excess_bytes > _MAX_EXCESS_BYTES:
                raise _MalformedChunkedDataError(
                    "chunk extensions exceed the chunks"
                )
        return must_continue

    def _dataReceived_TRAILER(self) -> bool:  # noqa: N802
        must_continue = super()._dataReceived_TRAILER()
        if self.state == "TRAILER" and not must_continue:
            # Bytes that were searched once are not searched again.
            self._start = max(0, len(self._buffer) - 1)
        return must_continue


class BoundedReceiver(LineReceiver):
    """Splits received bytes into lines and raw data, a part in each turn.

    Replaces the loop of ``LineReceiver``, which handles all bytes of a read at
    once and copies the rest of them at each line. Subclasses set ``gate`` when
    the connection is made.

    Attributes:
        gate: Controls reading from the transport.
    """

    gate: ReadGate

    def __init__(self) -> None:
        super().__init__()
        self._received = bytearray()
        self._searched_bytes = 0
        self._is_parsing = False
        self._is_turn_over = False
        self._next_turn: IDelayedCall | None = None

    @property
    def has_received_bytes(self) -> bool:
        """Whether received bytes are waiting to be parsed."""
        return bool(self._received)

    def call_soon(self, callback: Callable[[], None]) -> IDelayedCall:
        """Schedules ``callback`` for the next turn of the reactor."""
        raise NotImplementedError

    def is_blocked(self) -> bool:
        """Returns whether received bytes must wait for something else."""
        return False

    def has_decoder_backlog(self) -> bool:
        """Returns whether the decoder of the body has bytes left to decode."""
        return False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received bytes, or keeps them for a later turn."""
        self._received += data
        if not self._is_parsing and self._next_turn is None:
            self.parse_turn()

    def setLineMode(self, extra: bytes = b"") -> None:  # noqa: N802
        """Continues with lines; ``extra`` precedes the other bytes."""
        self.line_mode = 1
        if extra:
            self._received[:0] = extra
            self._searched_bytes = 0
        self.continue_parsing()

    def clearLineBuffer(self) -> bytes:  # noqa: N802
        """Returns the bytes that were not parsed, and drops them."""
        data = bytes(self._received)
        self._received.clear()
        self._searched_bytes = 0
        return data

    def end_turn(self) -> None:
        """Leaves the bytes that follow to the next turn."""
        self._is_turn_over = True

    def continue_parsing(self) -> None:
        """Parses what is left, if anything, in the next turn."""
        if (
            not self._is_parsing
            and self._next_turn is None
            and self._has_work_left()
        ):
            self._next_turn = self.call_soon(self._run_next_turn)
            self.gate.set_backlog(True)

    def stop_parsing(self) -> None:
        """Drops all bytes that were not parsed."""
        self.clearLineBuffer()
        self._is_turn_over = True
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None
        self.gate.set_backlog(False)

    def parse_rest(self) -> None:
        """Parses all received bytes now, after the connection was lost."""
        while self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None
            self.parse_turn()

    def parse_turn(self) -> None:
        """Parses received bytes until the limit of a turn is reached."""
        self._is_parsing = True
        self._is_turn_over = False
        try:
            for _ in range(MAX_STEPS_PER_TURN):
                if self._is_turn_over or not self._parse_step():
                    break
            else:
                self._is_turn_over = True
        finally:
            self._is_parsing = False
        if self._is_turn_over and self._has_work_left():
            self._next_turn = self.call_soon(self._run_next_turn)
        must_wait = self.is_blocked() and len(self._received) > (
            _MAX_WAITING_BYTES
        )
        self.gate.set_backlog(self._next_turn is not None or must_wait)

    def _run_next_turn(self) -> None:
        self._next_turn = None
        try:
            self.parse_turn()
        except Exception:
            # The reactor closes a connection whose read raises, but knows
            # nothing of the connection behind a timer.
            self.transport.abortConnection()
            raise

    def _has_work_left(self) -> bool:
        if self.transport.disconnecting:
            return False
        return bool(self._received) or self.has_decoder_backlog()

    def _parse_step(self) -> bool:
        """Parses one line or the raw data.

        Returns:
            Whether there may be more to parse now.
        """
        if self.transport.disconnecting:
            self.clearLineBuffer()
            return False
        if self.is_blocked():
            return False
        if self.line_mode:
            return self._parse_line()
        if not self._has_work_left():
            return False
        self.rawDataReceived(self.clearLineBuffer())
        if self.has_decoder_backlog():
            self._is_turn_over = True
        return True

    def _parse_line(self) -> bool:
        received = self._received
        end = received.find(self.delimiter, self._searched_bytes)
        if end < 0:
            # The start of a delimiter may be the end of what was received.
            overlap_bytes = len(self.delimiter) - 1
            self._searched_bytes = max(0, len(received) - overlap_bytes)
            if len(received) >= self.MAX_LENGTH + len(self.delimiter):
                self.lineLengthExceeded(self.clearLineBuffer())
            return False
        line = bytes(received[:end])
        del received[: end + len(self.delimiter)]
        self._searched_bytes = 0
        if end > self.MAX_LENGTH:
            self.clearLineBuffer()
            self.lineLengthExceeded(line)
            return False
        self.lineReceived(line)
        return bool(self._received) or not self.line_mode


class BoundedChannel(BoundedReceiver, HTTPChannel):
    """Server side of a connection whose requests are parsed in bounded turns.

    A turn ends with a request. While an answer waits for a client that does
    not read, no further request is parsed.
    """

    def connectionMade(self) -> None:  # noqa: N802
        """Puts the gate between the channel and its transport."""
        super().connectionMade()
        self.gate = self._networkProducer = ReadGate(self._networkProducer)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Drops the bytes that were not parsed."""
        self.stop_parsing()
        super().connectionLost(reason)

    def is_blocked(self) -> bool:
        """Returns whether a request is in progress or its answer waits."""
        return self._handlingRequest or self._waitingForTransport

    def has_decoder_backlog(self) -> bool:
        """Returns whether a chunked body has bytes left to decode."""
        decoder = self._transferDecoder
        return isinstance(decoder, ChunkedDecoder) and decoder.has_backlog

    def resumeProducing(self) -> None:  # noqa: N802
        """Continues once the client has taken what was sent."""
        super().resumeProducing()
        self.continue_parsing()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Leaves the next request to the next turn."""
        super().requestDone(request)
        self.end_turn()

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:  # noqa: N802
        is_chosen = super()._maybeChooseTransferDecoder(header, data)
        if is_chosen and isinstance(
            self._transferDecoder, _ChunkedTransferDecoder
        ):
            self._transferDecoder = ChunkedDecoder(
                self.requests[-1].handleContentChunk, self._finishRequestBody
            )
        return is_chosen
