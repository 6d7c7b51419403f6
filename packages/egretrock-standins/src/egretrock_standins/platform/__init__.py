"""Stand-in for the platform's configuration service."""

from egretrock_standins.platform._documents import DocumentStore
from egretrock_standins.platform._platform import Mode, Platform, Staleness

__all__ = ["DocumentStore", "Mode", "Platform", "Staleness"]
