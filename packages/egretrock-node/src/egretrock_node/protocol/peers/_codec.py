"""Codec of the datagrams between nodes."""

from collections.abc import Iterable, Iterator

import msgspec

from egretrock.coordination.base import Message, Peer
from egretrock.state.ids import Incarnation, NodeId

#: Major and minor version of the protocol between nodes. A new minor version
#: only adds fields or messages; another major version is refused.
VERSION = (1, 0)
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


class _VersionOnly(msgspec.Struct):
    v: tuple[int, int]


class ReceivedDatagram(msgspec.Struct, frozen=True):
    """A decoded datagram.

    Attributes:
        sender: The process that sent it.
        bodies: The messages that could be decoded.
        unknown_count: Number of messages with an unknown tag or invalid
            fields.
    """

    sender: Peer
    bodies: list[Message]
    unknown_count: int


class Codec:
    """Encodes messages into datagrams and decodes them.

    Args:
        sender: This process.
        message_types: All message types that it can decode.

    Raises:
        ValueError: If two types share a tag.
    """

    def __init__(
        self, sender: Peer, message_types: Iterable[type[Message]]
    ) -> None:
        self._decoders: dict[str, msgspec.json.Decoder] = {}
        for message_type in message_types:
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
        self._prefix = prefix[:-1] + b',"msgs":['

    def encode(self, bodies: Iterable[Message]) -> Iterator[bytes]:
        """Yields datagrams that contain the messages in order.

        Raises:
            OversizeError: If one message is too large for a datagram.
        """
        encoded: list[bytes] = []
        size_bytes = len(self._prefix) + 2
        for body in bodies:
            encoded_body = self._encoder.encode(body)
            if len(self._prefix) + 2 + len(encoded_body) > MAX_DATAGRAM_BYTES:
                raise OversizeError(
                    body, len(self._prefix) + 2 + len(encoded_body)
                )
            if (
                encoded
                and size_bytes + len(encoded_body) + 1 > MAX_DATAGRAM_BYTES
            ):
                yield self._join(encoded)
                encoded, size_bytes = [], len(self._prefix) + 2
            encoded.append(encoded_body)
            size_bytes += len(encoded_body) + 1
        if encoded:
            yield self._join(encoded)

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
        return ReceivedDatagram(sender, bodies, unknown_count)

    def _decode_body(self, raw: msgspec.Raw) -> Message | None:
        try:
            decoder = self._decoders.get(self._tag_decoder.decode(raw).t)
            return None if decoder is None else decoder.decode(raw)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return None

    def _join(self, encoded: list[bytes]) -> bytes:
        return self._prefix + b",".join(encoded) + b"]}"


class _TaggedMessage(msgspec.Struct):
    t: str
