"""Passes results of reads from the platform to the directory."""

from collections.abc import Callable, Sequence

import logbook

from egretrock.coordination.base import Counters, Outbound
from egretrock.coordination.directory import (
    Change,
    Directory,
    Position,
    ReadRequest,
)
from egretrock.coordination.gossip import Membership

_log = logbook.Logger("egretrock.gateway")


class DirectoryReadClient:
    """Implements ``ReadClient``; logs when reads start to fail or recover.

    Args:
        directory: Requests the reads and handles their results.
        membership: Announces to the fleet whether reads succeed.
        clock: Returns the time in seconds.
        send: Sends messages to other nodes.
        on_success: Called with the time after each successful read.
        counters: Counters.
    """

    def __init__(
        self,
        directory: Directory,
        membership: Membership,
        clock: Callable[[], float],
        send: Callable[[list[Outbound]], None],
        on_success: Callable[[float], None],
        counters: Counters,
    ) -> None:
        self._directory = directory
        self._membership = membership
        self._clock = clock
        self._send = send
        self._on_success = on_success
        self._counters = counters
        self._reads_fail = False
        self._was_ignored = False
        self._was_reader = False

    def next_read(self) -> ReadRequest | None:
        """Returns the read that is due, or None."""
        return self._directory.next_read(self._clock())

    def on_snapshot(
        self, entries: Sequence[Change], position: Position, sent_s: float
    ) -> None:
        """Handles a read of all entries."""
        now_s = self._clock()
        self._log_ignored(position, now_s)
        self._send(
            self._directory.on_snapshot(entries, position, sent_s, now_s)
        )
        self._on_read_succeeded(now_s)

    def on_changes(self, changes: Sequence[Change], position: Position) -> None:
        """Handles a read of the changes after a position."""
        now_s = self._clock()
        self._send(self._directory.on_changes(changes, position, now_s))
        self._on_read_succeeded(now_s)

    def on_history_lost(self) -> None:
        """Handles a platform that no longer has the changes."""
        now_s = self._clock()
        _log.info(
            "platform history lost",
            extra={"revision": self._directory.revision},
        )
        self._send(self._directory.on_history_lost(now_s))
        self._on_read_succeeded(now_s)

    def on_read_failed(self, reason: str) -> None:
        """Handles a read that was refused or not answered."""
        now_s = self._clock()
        if not self._reads_fail:
            self._reads_fail = True
            _log.warning(
                "platform lost",
                extra={
                    "reason": reason,
                    "age_s": round(self._directory.age_s(now_s), 3),
                },
            )
        self._counters.increment("platform.read_failures")
        self._send(self._directory.on_read_failed(now_s))
        self._membership.set_platform_reachable(False)

    def log_role(self) -> None:
        """Logs when the node becomes a reader for the fleet or ceases to be."""
        is_reader = self._directory.is_reader()
        if is_reader == self._was_reader:
            return
        self._was_reader = is_reader
        _log.info(
            "reads for the fleet" if is_reader else "reads no more",
            extra={
                "readers": self._directory.readers(),
                "revision": self._directory.revision,
            },
        )

    def _log_ignored(self, position: Position, now_s: float) -> None:
        """Logs the first of a series of reads older than the entries."""
        was_ignored = self._was_ignored
        known = self._directory.position
        self._was_ignored = position < known
        if self._was_ignored and not was_ignored:
            _log.warning(
                "older platform read ignored",
                extra={
                    "read_era": position.era,
                    "read_revision": position.revision,
                    "era": known.era,
                    "revision": known.revision,
                    "age_s": round(self._directory.age_s(now_s), 3),
                },
            )

    def _on_read_succeeded(self, now_s: float) -> None:
        self._counters.increment("platform.reads")
        if self._reads_fail:
            self._reads_fail = False
            _log.info(
                "platform regained",
                extra={"revision": self._directory.revision},
            )
        self._membership.set_platform_reachable(True)
        self._on_success(now_s)
