"""Typed model of the node settings."""

import enum
from typing import Annotated

import msgspec

from egretrock.state.ids import DataCentreId

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
#: The longest lease of a share, 1.9 s at a planned stop, must end within half
#: of this, before a larger share is used elsewhere.
FreshnessSeconds = Annotated[float, msgspec.Meta(ge=4, le=60)]
AdapterName = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z_][\w.]*:[A-Za-z_]\w*$")
]


class LogLevel(enum.Enum):
    """Least level of the records that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the sections; a misspelt field is an error."""


class NodeSettings(_Section, frozen=True):
    """Who the node is.

    Attributes:
        peer_address: ``"ip:port"`` that the VM list names; UDP and TCP.
        data_centre: Data centre of the VM.
    """

    peer_address: str
    data_centre: DataCentreId


class PlatformSettings(_Section, frozen=True):
    """Where the platform's configuration service answers.

    Attributes:
        address: ``"ip:port"``.
        adapter: ``module:Class`` that speaks the platform's protocol.
    """

    address: str
    adapter: AdapterName = "egretrock_node.transport.platform:PlatformReader"


class LimitSettings(_Section, frozen=True):
    """Bounds of the node's memory.

    Attributes:
        max_connections: Callers' connections at the same time.
        max_header_bytes: Bytes of a request line with its headers.
        max_body_buffer_bytes: Bytes of one body held for a retry.
    """

    max_connections: PositiveInt = 4096
    max_header_bytes: PositiveInt = 16_384
    max_body_buffer_bytes: PositiveInt = 65_536


class DrainSettings(_Section, frozen=True):
    """A planned stop.

    Attributes:
        notice_s: Seconds between "not ready" and the end of accepting, so
            that the platform's balancer takes note.
        deadline_s: Seconds until what is still in flight is cut and reported.
    """

    notice_s: NonNegativeFloat = 2.0
    deadline_s: NonNegativeFloat = 30.0


class LogSettings(_Section, frozen=True):
    """Log records on standard error.

    Attributes:
        level: Least level that is written.
        json: One JSON object a line in place of text.
    """

    level: LogLevel = LogLevel.INFO
    json: bool = False


class AdapterSettings(_Section, frozen=True):
    """Classes that know an outside interface, as ``module:Class``.

    Attributes:
        target: The protocol that targets speak.
        credentials: Where callers put their keys.
    """

    target: AdapterName = "egretrock_node.protocol.http:TargetProtocol"
    credentials: AdapterName = "egretrock_node.protocol.http:KeyCredentials"


class Settings(_Section, frozen=True):
    """All settings of a node.

    Attributes:
        node: Who the node is.
        caller_address: ``"ip:port"`` that callers reach.
        operator_address: ``"ip:port"`` of health, status and drain.
        platform: The platform's configuration service.
        statsd_address: ``"ip:port"`` of a statsd server, or None for none.
        freshness_s: Seconds for which a confirmed revision may be acted on.
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
