"""Node settings: a YAML file, checked at start.

The YAML loader is imported on first use, because a node whose settings do not
come as YAML starts faster without it.
"""

import importlib
from typing import Any

from egretrock_node.settings._model import (
    AdapterSettings,
    DrainSettings,
    LimitSettings,
    LogLevel,
    LogSettings,
    NodeSettings,
    PlatformSettings,
    Settings,
)

__all__ = [
    "AdapterSettings",
    "DocumentError",
    "DrainSettings",
    "LimitSettings",
    "LogLevel",
    "LogSettings",
    "NodeSettings",
    "PlacedFinding",
    "PlatformSettings",
    "Settings",
    "SettingsReport",
    "load_settings",
    "load_tree",
    "place_findings",
]

_LOADER_NAMES = frozenset(
    {
        "DocumentError",
        "PlacedFinding",
        "SettingsReport",
        "load_settings",
        "load_tree",
        "place_findings",
    }
)


def __getattr__(name: str) -> Any:
    """Imports the YAML loader on first use."""
    if name not in _LOADER_NAMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    loader = importlib.import_module("egretrock_node.settings._load")
    return getattr(loader, name)
