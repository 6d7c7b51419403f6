"""Typed model of the node settings."""

import enum
from typing import Annotated

import msgspec

from egretrock.state.ids import DataCentreId

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
#: At least 4 s, so that the longest lease of a share (1.9 s, during a drain)
#: ends within half of it, before a larger share is used elsewhere.
FreshnessSeconds = Annotated[float, msgspec.Meta(ge=4, le=60)]
AdapterName = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z_][\w.]*:[A-Za-z_]\w*$")
]


class LogLevel(enum.Enum):
    """Lowest level of the log records that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the sections; an unknown field is an error."""


class NodeSettings(_Section, frozen=True):
    """Identity of the node.

    Attributes:
        peer_address: ``"ip:port"`` listed in the VM list; UDP and TCP.
        data_centre: Data centre of the VM.
    """

    peer_address: str
    data_centre: DataCentreId


class PlatformSettings(_Section, frozen=True):
    """Connection to the platform's configuration service.

    Attributes:
        address: ``"ip:port"``.
        adapter: ``module:Class`` that implements the platform's protocol.
    """

    address: str
    adapter: AdapterName = "egretrock_node.transport.platform:PlatformReader"


class LimitSettings(_Section, frozen=True):
    """Limits that bound the node's memory.

    Attributes:
        max_connections: Most open connections of callers.
        max_header_bytes: Largest request line with its headers, in bytes.
        max_body_buffer_bytes: Bytes of one body buffered for a retry.
    """

    max_connections: PositiveInt = 4096
    max_header_bytes: PositiveInt = 16_384
    max_body_buffer_bytes: PositiveInt = 65_536


class DrainSettings(_Section, frozen=True):
    """Times of a drain.

    Attributes:
        notice_s: Seconds between "not ready" and the end of accepting, in
            which the platform's balancer removes the node.
        deadline_s: Seconds from the start of the drain after which requests
            still in flight are aborted and reported.
    """

    notice_s: NonNegativeFloat = 2.0
    deadline_s: NonNegativeFloat = 30.0


class LogSettings(_Section, frozen=True):
    """Log on standard error.

    Attributes:
        level: Lowest level that is written.
        json: Whether each record is a line of JSON instead of text.
    """

    level: LogLevel = LogLevel.INFO
    json: bool = False


class AdapterSettings(_Section, frozen=True):
    """Adapters to external interfaces, as ``module:Class``.

    Attributes:
        target: Protocol of the targets.
        credentials: Extracts the keys of callers from requests.
    """

    target: AdapterName = "egretrock_node.protocol.http:TargetProtocol"
    credentials: AdapterName = "egretrock_node.protocol.http:KeyCredentials"


class Settings(_Section, frozen=True):
    """All settings of a node.

    Attributes:
        node: Identity of the node.
        caller_address: ``"ip:port"`` that callers reach.
        operator_address: ``"ip:port"`` of the health, status and drain pages.
        platform: The platform's configuration service.
        statsd_address: ``"ip:port"`` of a statsd server, or None for none.
        freshness_s: Seconds for which a confirmed revision may be used.
        limits: Limits that bound the node's memory.
        drain: Times of a drain.
        log: Log on standard error.
        adapters: Adapters to external interfaces.
    """

    node: NodeSettings
    caller_address: str
    operator_address: str
    platform: PlatformSettings
    statsd_address: str | None = None
    freshness_s: FreshnessSeconds = 4.0
    limits: LimitSettings = LimitSettings()
    drain: DrainSettings = DrainSettings()
    log: LogSettings = LogSettings()
    adapters: AdapterSettings = AdapterSettings()
