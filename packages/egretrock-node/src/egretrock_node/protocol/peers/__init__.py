"""Datagrams between nodes: envelope, versions and the size bound."""

from egretrock_node.protocol.peers._codec import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    BadDatagramError,
    Codec,
    OversizeError,
    ReceivedDatagram,
    UnknownVersionError,
)

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "VERSION",
    "BadDatagramError",
    "Codec",
    "OversizeError",
    "ReceivedDatagram",
    "UnknownVersionError",
]
