"""Settings of a gateway, as its platform hands them over."""

import msgspec

from egretrock.coordination.directory import DirectorySettings
from egretrock.coordination.gossip import GossipSettings
from egretrock.coordination.probing import ChoiceSettings, SubsetSettings
from egretrock.coordination.quota import QuotaSettings
from egretrock.state.ids import DataCentreId, NodeId
from egretrock_node.settings import DrainSettings


class SettingsError(Exception):
    """The settings cannot be read, or a field is missing or malformed."""


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Repeats that the whole fleet may send to one service.

    Attributes:
        ratio: Repeats per request.
        slack: Repeats beyond that in each window.
        window_s: Length of a window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 60.0
    window_s: float = 10.0


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of a gateway.

    Attributes:
        name: Name of the VM, for logs.
        node: Peer address; UDP.
        data_centre: Data centre of the VM.
        caller_address: ``"ip:port"`` that callers reach.
        readiness_address: ``"ip:port"`` that the platform asks whether the
            node takes new connections.
        metrics_address: ``"ip:port"`` of the counters, or None.
        platform_address: ``"ip:port"`` of what the platform publishes.
        seeds: Peer addresses to ask at the start.
        max_connections: Callers' connections at the same time.
        drain: Times of a planned stop.
    """

    name: str
    node: NodeId
    data_centre: DataCentreId
    caller_address: str
    readiness_address: str
    platform_address: str
    metrics_address: str | None = None
    seeds: tuple[NodeId, ...] = ()
    max_connections: int = 2048
    drain: DrainSettings = DrainSettings()
    gossip: GossipSettings = GossipSettings()
    directory: DirectorySettings = DirectorySettings()
    quota: QuotaSettings = QuotaSettings()
    choice: ChoiceSettings = ChoiceSettings()
    subsets: SubsetSettings = SubsetSettings()
    retries: RetryBudgetSettings = RetryBudgetSettings()
