"""Packing of values for messages: MessagePack, compressed by zlib."""

import zlib
from typing import Any

import msgspec

_COMPRESSION_LEVEL = 6


class UnpackError(Exception):
    """Data that cannot be unpacked."""


def pack_value(value: Any) -> bytes:
    """Returns a value in packed form.

    Example:
        >>> unpack_value(pack_value([1, 2]), list[int], 100)
        [1, 2]
    """
    return zlib.compress(msgspec.msgpack.encode(value), _COMPRESSION_LEVEL)


def unpack_value(data: bytes, kind: Any, max_bytes: int) -> Any:
    """Returns the value that ``pack_value`` packed.

    Args:
        data: Packed value.
        kind: Type of the value.
        max_bytes: Largest size of the value before it was compressed.

    Raises:
        UnpackError: If the data is damaged, too large or of another type.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, max_bytes)
        if decompressor.unconsumed_tail:
            raise UnpackError(f"value of more than {max_bytes} bytes")
        return msgspec.msgpack.decode(raw, type=kind)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise UnpackError(str(error)) from error
