"""Codec of the datagrams between nodes."""

from collections.abc import Iterable, Iterator

import msgspec

from egretrock.coordination.base import ClockStamp, DelayProbe, Message, Peer
from egretrock.state.ids import Incarnation, NodeId

#: Major and minor version of the protocol between nodes. A new minor version
#: only adds fields or messages; another major version is refused.
VERSION = (1, 1)
#: UDP payload that fits into an Ethernet frame without IP fragmentation.
MAX_DATAGRAM_BYTES = 1400


class BadDatagramError(Exception):
    """A datagram that cannot be decoded."""


class UnknownVersionError(Exception):
    """A datagram of a major version that this process does not support.

    Attributes:
        major: The version received.
    """

    def __init__(self, major: int) -> None:
        super().__init__(f"major version {major}; supported is {VERSION[0]}")
        self.major = major


class OversizeError(Exception):
    """A message that is too large for a datagram.

    Attributes:
        message_type: Type of the message.
    """

    def __init__(self, body: Message, size_bytes: int) -> None:
        name = type(body).__name__
        super().__init__(
            f"{name} needs {size_bytes} bytes;"
            f" at most {MAX_DATAGRAM_BYTES} are allowed"
        )
        self.message_type = type(body)


class _Envelope(msgspec.Struct):
    v: tuple[int, int]
    sender: NodeId = msgspec.field(name="from")
    inc: Incarnation
    msgs: list[msgspec.Raw]
    at: ClockStamp | None = None


class _VersionOnly(msgspec.Struct):
    v: tuple[int, int]


class ReceivedDatagram(msgspec.Struct, frozen=True):
    """A decoded datagram.

    Attributes:
        sender: The process that sent it.
        bodies: The messages that could be decoded.
        unknown_count: Number of messages with an unknown tag or invalid
            fields.
        stamp: Times of the messages; None if none of them tells an age.
    """

    sender: Peer
    bodies: list[Message]
    unknown_count: int
    stamp: ClockStamp | None = None


class Codec:
    """Encodes messages into datagrams and decodes them.

    Args:
        sender: This process.
        message_types: All message types that it can decode, besides
            ``DelayProbe``.

    Attributes:
        sender: This process.

    Raises:
        ValueError: If two types share a tag.
    """

    def __init__(
        self, sender: Peer, message_types: Iterable[type[Message]]
    ) -> None:
        self.sender = sender
        self._decoders: dict[str, msgspec.json.Decoder] = {}
        for message_type in (DelayProbe, *message_types):
            tag = message_type.__struct_config__.tag
            if tag in self._decoders:
                raise ValueError(f"two message types share the tag {tag!r}")
            self._decoders[tag] = msgspec.json.Decoder(message_type)
        self._tag_decoder = msgspec.json.Decoder(_TaggedMessage)
        self._version_decoder = msgspec.json.Decoder(_VersionOnly)
        self._envelope_decoder = msgspec.json.Decoder(_Envelope)
        self._encoder = msgspec.json.Encoder()
        prefix = self._encoder.encode(
            {"v": VERSION, "from": sender.node, "inc": sender.incarnation}
        )
        self._open_envelope = prefix[:-1]

    def encode(
        self, bodies: Iterable[Message], stamp: ClockStamp | None = None
    ) -> Iterator[bytes]:
        """Yields datagrams that contain the messages in order.

        Args:
            bodies: Messages.
            stamp: Times of the messages, if any of them tells an age.

        Raises:
            OversizeError: If one message is too large for a datagram.
        """
        prefix = self._prefix(stamp)
        encoded: list[bytes] = []
        size_bytes = len(prefix) + 2
        for body in bodies:
            encoded_body = self._encoder.encode(body)
            if len(prefix) + 2 + len(encoded_body) > MAX_DATAGRAM_BYTES:
                raise OversizeError(body, len(prefix) + 2 + len(encoded_body))
            if (
                encoded
                and size_bytes + len(encoded_body) + 1 > MAX_DATAGRAM_BYTES
            ):
                yield _join(prefix, encoded)
                encoded, size_bytes = [], len(prefix) + 2
            encoded.append(encoded_body)
            size_bytes += len(encoded_body) + 1
        if encoded:
            yield _join(prefix, encoded)

    def _prefix(self, stamp: ClockStamp | None) -> bytes:
        """Returns the envelope up to the first message."""
        if stamp is None:
            return self._open_envelope + b',"msgs":['
        at = self._encoder.encode(stamp)
        return self._open_envelope + b',"at":' + at + b',"msgs":['

    def decode(self, data: bytes) -> ReceivedDatagram:
        """Decodes a datagram.

        A message with an unknown tag or invalid fields is skipped and counted;
        the others are returned.

        Raises:
            UnknownVersionError: If the major version is unknown.
            BadDatagramError: If the envelope cannot be decoded or is too
                large.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            raise BadDatagramError(f"{len(data)} bytes")
        try:
            major = self._version_decoder.decode(data).v[0]
            if major != VERSION[0]:
                raise UnknownVersionError(major)
            envelope = self._envelope_decoder.decode(data)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise BadDatagramError(str(error)) from error
        bodies = []
        for raw in envelope.msgs:
            body = self._decode_body(raw)
            if body is not None:
                bodies.append(body)
        unknown_count = len(envelope.msgs) - len(bodies)
        sender = Peer(envelope.sender, envelope.inc)
        return ReceivedDatagram(sender, bodies, unknown_count, envelope.at)

    def _decode_body(self, raw: msgspec.Raw) -> Message | None:
        try:
            decoder = self._decoders.get(self._tag_decoder.decode(raw).t)
            return None if decoder is None else decoder.decode(raw)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return None


def _join(prefix: bytes, encoded: list[bytes]) -> bytes:
    return prefix + b",".join(encoded) + b"]}"


class _TaggedMessage(msgspec.Struct):
    t: str
