"""Datagrams between nodes: envelope, versions and size limit."""

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
