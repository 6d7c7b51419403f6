"""Settings of a gateway, filled in by the platform adapter."""

import msgspec

from egretrock.coordination.bounds import BoundSettings
from egretrock.coordination.directory import DirectorySettings
from egretrock.coordination.evidence import EvidenceSettings
from egretrock.coordination.gossip import GossipSettings
from egretrock.coordination.probing import ChoiceSettings, SubsetSettings
from egretrock.coordination.quota import QuotaSettings
from egretrock.state.ids import DataCentreId, NodeId
from egretrock_node.settings import DrainSettings


class SettingsError(Exception):
    """The settings cannot be read, or a field is missing or malformed."""


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Retries that the whole fleet may send to one service.

    Attributes:
        ratio: Retries per request.
        slack: Further retries in each window, at any load.
        window_s: Length of a window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 60.0
    window_s: float = 10.0


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of a gateway.

    Attributes:
        name: Name of the VM, for logs.
        node: ``"ip:port"`` that peers reach; UDP.
        data_centre: Data centre of the VM.
        caller_address: ``"ip:port"`` that callers reach.
        readiness_address: ``"ip:port"`` where the platform checks whether the
            node accepts new connections.
        platform_address: ``"ip:port"`` of the server that the platform
            publishes to.
        metrics_address: ``"ip:port"`` of the metrics page, or None for none.
        seeds: Peer addresses through which the node joins the fleet.
        max_connections: Maximum number of open connections of callers.
        max_held_bytes: Bytes of request bodies, and of answers, above which
            they are not kept in memory longer than needed; at twice as many,
            requests are refused.
        drain: Settings of the drain.
        gossip: Settings of the membership.
        directory: Settings of the shared directory.
        quota: Settings of the pooled rates.
        bounds: Settings of the bounds of targets.
        evidence: Settings of the fleet's evidence of failures.
        choice: Settings of the choice of targets.
        subsets: Settings of the subsets of targets that this node uses.
        retries: Retry budget of the fleet.
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
    max_held_bytes: int = 25_000_000
    drain: DrainSettings = DrainSettings()
    gossip: GossipSettings = GossipSettings()
    directory: DirectorySettings = DirectorySettings()
    quota: QuotaSettings = QuotaSettings()
    bounds: BoundSettings = BoundSettings()
    evidence: EvidenceSettings = EvidenceSettings()
    choice: ChoiceSettings = ChoiceSettings()
    subsets: SubsetSettings = SubsetSettings()
    retries: RetryBudgetSettings = RetryBudgetSettings()
