"""Node settings: a YAML file, checked at start."""

from egretrock_node.settings._load import (
    DocumentError,
    PlacedFinding,
    SettingsReport,
    load_settings,
    load_tree,
    place_findings,
)
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
