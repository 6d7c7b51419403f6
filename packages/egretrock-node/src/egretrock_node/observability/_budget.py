"""A log handler whose volume is bounded and that never blocks."""

import collections
import os
import time
from collections.abc import Callable
from typing import Any

import logbook
import msgspec

from egretrock.coordination.base import TokenBucket

#: Bytes that wait while standard output takes none.
_MAX_WAITING_BYTES = 262_144


class LogBudget(msgspec.Struct, frozen=True):
    """Bounds of the log of one process.

    Attributes:
        lines_per_s: Lines a second, over time.
        burst_lines: Lines at once.
        reserved_share: Share of the burst that records below ``info`` leave
            to refusals, failures and changes of belief.
    """

    lines_per_s: float = 400.0
    burst_lines: float = 1200.0
    reserved_share: float = 0.5


class BoundedHandler(logbook.Handler):
    """Writes records to a descriptor within a budget.

    What does not fit is counted by kind, and the counts are written as one
    line once there is room again. A descriptor that takes no bytes loses
    lines and never blocks.

    Args:
        descriptor: Open file descriptor, set to non-blocking here.
        formatter: Makes the line of a record.
        level: Least level that is written.
        budget: Bounds.
        clock: Seconds of a monotonic clock.
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
        self._left_out: collections.Counter[str] = collections.Counter()
        self._waiting = b""
        self._is_closed = False

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record if the budget has room."""
        budget = self._budget
        bucket = self._bucket
        bucket.refill(budget.lines_per_s, budget.burst_lines, self._clock())
        least = 1.0
        if record.level < logbook.INFO:
            least = budget.reserved_share * budget.burst_lines
        if bucket.tokens < least:
            self._left_out[record.message] += 1
            return
        bucket.tokens -= 1.0
        lines = [self.format(record)]
        if self._left_out:
            lines.append(self._left_out_line(record))
        self._write("".join(f"{line}\n" for line in lines).encode())

    def _left_out_line(self, record: logbook.LogRecord) -> str:
        counts, self._left_out = self._left_out, collections.Counter()
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
        waiting = self._waiting + data
        try:
            written = os.write(self._descriptor, waiting)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; the node goes on without it.
            self._is_closed = True
            return
        self._waiting = waiting[written:]
        if len(self._waiting) > _MAX_WAITING_BYTES:
            lost = self._waiting.count(b"\n")
            self._left_out["output blocked"] += lost
            # A line that was written in part is ended.
            self._waiting = b"\n"
