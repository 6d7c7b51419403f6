"""The platform's configuration service, read and watched."""

from egretrock_node.transport.platform._reader import (
    PlatformReader,
    PlatformReaderSettings,
)

__all__ = ["PlatformReader", "PlatformReaderSettings"]
