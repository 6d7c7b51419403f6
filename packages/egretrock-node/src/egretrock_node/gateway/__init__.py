"""A node for platforms that publish no VM list.

It runs the same request pipeline and transport as ``egretrock_node.daemon``.
Instead of a published VM list and the homes derived from it, it uses gossip to
find its peers, a shared directory that limits reads of the platform, pooled
rates, and probes when a request arrives.
"""

from egretrock_node.gateway._gateway import Gateway
from egretrock_node.gateway._ports import (
    CallerLimits,
    Platform,
    PlatformReader,
    PublishedState,
    ReadClient,
)
from egretrock_node.gateway._run import run_gateway
from egretrock_node.gateway._settings import (
    GatewaySettings,
    RetryBudgetSettings,
    SettingsError,
)

__all__ = [
    "CallerLimits",
    "Gateway",
    "GatewaySettings",
    "Platform",
    "PlatformReader",
    "PublishedState",
    "ReadClient",
    "RetryBudgetSettings",
    "SettingsError",
    "run_gateway",
]
