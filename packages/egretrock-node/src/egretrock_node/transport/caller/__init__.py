"""The HTTP/1.1 server for callers."""

from egretrock_node.transport.caller._channel import (
    CallerChannel,
    CallerRequest,
)
from egretrock_node.transport.caller._server import (
    CallerServer,
    CallerServerSettings,
)

__all__ = [
    "CallerChannel",
    "CallerRequest",
    "CallerServer",
    "CallerServerSettings",
]
