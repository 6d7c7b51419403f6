"""Interfaces between a gateway and the platform that it runs on."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec

from egretrock.coordination.base import ErrorHandler
from egretrock.coordination.directory import Change, Position, ReadRequest
from egretrock.coordination.probing import LoadReading
from egretrock.state.config import PublishedConfig, Target
from egretrock_node.protocol.http import (
    CallerProtocol,
    Credentials,
    TargetProtocol,
)
from egretrock_node.transport.target import FetchedAnswer


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers.

    Attributes:
        max_header_bytes: Largest request line with its headers, in bytes.
        max_body_bytes: Largest body, in bytes.
        head_s: Seconds within which a request head must be complete.
        idle_s: Seconds for which a connection may be idle between requests.
    """

    max_header_bytes: int
    max_body_bytes: int
    head_s: float
    idle_s: float


class PublishedState(msgspec.Struct, frozen=True):
    """The decoded entries that the platform publishes.

    Attributes:
        config: Routes, services with their targets, organisations and keys.
        version: Version of the operators' configuration, for the log.
        limits: Limits on callers, or None for the defaults.
        unreadable_count: Number of entries that could not be decoded.
    """

    config: PublishedConfig
    version: str
    limits: CallerLimits | None = None
    unreadable_count: int = 0


class ReadClient(Protocol):
    """Requests reads of the platform and handles the result of each."""

    def next_read(self) -> ReadRequest | None:
        """Returns the read that is due, or None."""
        ...

    def on_snapshot(
        self, entries: Sequence[Change], position: Position, sent_s: float
    ) -> None:
        """Handles a read of all entries."""
        ...

    def on_changes(self, changes: Sequence[Change], position: Position) -> None:
        """Handles a read of the changes after a position."""
        ...

    def on_history_lost(self) -> None:
        """Handles a platform that no longer has the changes."""
        ...

    def on_read_failed(self, reason: str) -> None:
        """Handles a read that was refused or not answered."""
        ...


class PlatformReader(Protocol):
    """Executes the reads that a sink requests, one at a time."""

    def on_tick(self) -> None:
        """Starts the read that is due, unless one is in progress."""
        ...

    def close(self) -> None:
        """Cancels the reads."""
        ...


class Platform(Protocol):
    """Adapters to the interfaces of one platform."""

    target_protocol: TargetProtocol
    caller_protocol: CallerProtocol
    credentials: Credentials

    def make_reader(
        self,
        reactor: Any,
        address: str,
        sink: ReadClient,
        clock: Callable[[], float],
        counters: Any,
        on_error: ErrorHandler,
    ) -> PlatformReader:
        """Returns a reader of the entries that the platform publishes."""
        ...

    def decode_entries(
        self, entries: Mapping[str, bytes]
    ) -> PublishedState | None:
        """Returns the decoded entries, or None without a configuration."""
        ...

    def is_newer_entry(
        self, key: str, value: bytes, known: bytes | None
    ) -> bool:
        """Returns whether an entry of a restored platform is newer.

        Args:
            key: Key of the entry.
            value: Value that the platform lists.
            known: Known value, or None if the entry was removed.
        """
        ...

    def read_load(
        self, answer: FetchedAnswer, target: Target
    ) -> LoadReading | None:
        """Returns the load reported by a probe answer, or None."""
        ...
