"""A log handler of bounded volume that never blocks."""

import collections
import os
import time
from collections.abc import Callable
from typing import Any

import logbook
import msgspec

from egretrock.coordination.base import TokenBucket

#: Bytes buffered while the descriptor accepts none.
_MAX_PENDING_BYTES = 262_144


class LogBudget(msgspec.Struct, frozen=True):
    """Token bucket that bounds the log of one process.

    Attributes:
        lines_per_s: Sustained lines per second.
        burst_lines: Lines in a burst.
        reserved_share: Share of the burst that records below ``info`` must
            leave to refusals, failures and state changes.
    """

    lines_per_s: float = 400.0
    burst_lines: float = 1200.0
    reserved_share: float = 0.5


class BoundedHandler(logbook.Handler):
    """Writes records to a descriptor within a budget.

    Dropped records are counted by message, and the counts are written as one
    line once the budget allows. A descriptor that accepts no bytes loses lines
    and never blocks.

    Args:
        descriptor: Open file descriptor; it is set to non-blocking.
        formatter: Formats a record as a line.
        level: Lowest level that is written.
        budget: Bounds of the volume.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        descriptor: int,
        formatter: Callable[[logbook.LogRecord, Any], str],
        level: int = logbook.DEBUG,
        budget: LogBudget | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(level=level)
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.formatter = formatter
        self._budget = budget or LogBudget()
        self._clock = clock
        self._bucket = TokenBucket(clock(), self._budget.burst_lines)
        self._dropped_counts: collections.Counter[str] = collections.Counter()
        self._pending = b""
        self._is_closed = False

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record if the budget allows it."""
        budget = self._budget
        bucket = self._bucket
        bucket.refill(budget.lines_per_s, budget.burst_lines, self._clock())
        min_tokens = 1.0
        if record.level < logbook.INFO:
            min_tokens = budget.reserved_share * budget.burst_lines
        if bucket.tokens < min_tokens:
            self._dropped_counts[record.message] += 1
            return
        bucket.tokens -= 1.0
        lines = [self.format(record)]
        if self._dropped_counts:
            lines.append(self._dropped_counts_line(record))
        self._write("".join(f"{line}\n" for line in lines).encode())

    def _dropped_counts_line(self, record: logbook.LogRecord) -> str:
        counts, self._dropped_counts = (
            self._dropped_counts,
            collections.Counter(),
        )
        entry = {
            "time": f"{record.time.isoformat(timespec='microseconds')}Z",
            "level": "warning",
            "channel": "egretrock.log",
            "message": "lines left out",
            "counts": dict(counts),
        }
        return msgspec.json.encode(entry).decode()

    def _write(self, data: bytes) -> None:
        if self._is_closed:
            return
        pending = self._pending + data
        try:
            written = os.write(self._descriptor, pending)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader of the log is gone; the node continues without it.
            self._is_closed = True
            return
        self._pending = pending[written:]
        if len(self._pending) > _MAX_PENDING_BYTES:
            lost = self._pending.count(b"\n")
            self._dropped_counts["output blocked"] += lost
            # Terminates a line that was partly written.
            self._pending = b"\n"
