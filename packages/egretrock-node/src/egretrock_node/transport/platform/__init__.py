"""Client of the platform's configuration service."""

from egretrock_node.transport.platform._reader import (
    PlatformReader,
    PlatformReaderSettings,
)

__all__ = ["PlatformReader", "PlatformReaderSettings"]
