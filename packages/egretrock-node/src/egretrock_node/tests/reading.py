"""Checks how the time of reading grows with the bytes that are read."""

import gc
import time
import types

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

_REPEATS = 7
#: Time grows by 4 where it is in proportion to the bytes, and by 16 where it
#: grows with their square.
_MAX_GROWTH = 8.0
#: Below this time, fixed costs and the resolution of the clock decide.
_MIN_COMPARED_S = 0.001


def repeat(unit, start=b"", end=b""):
    """Returns a function that makes a message of about a number of bytes."""
    return lambda size: start + unit * (size // len(unit)) + end


def check_growth(prepare, max_bytes):
    """Checks that four times the bytes take about four times as long.

    ``prepare(size_bytes)`` returns a function without arguments, which is
    called once; its processor time is measured. The sizes take turns, so that
    a busy machine slows all of them down alike.
    """
    times_s = [float("inf")] * 3
    # The objects of the test run are not scanned, as in a node, which freezes
    # those that exist after its start.
    gc.collect()
    gc.freeze()
    try:
        for _ in range(_REPEATS):
            for index, part in enumerate((4, 2, 1)):
                time_s = _measure(prepare(max_bytes // part))
                times_s[index] = min(times_s[index], time_s)
    finally:
        gc.unfreeze()
    limit_s = max(_MIN_COMPARED_S, _MAX_GROWTH * times_s[0])
    shown = ", ".join(f"{time_s * 1000:.3f}" for time_s in times_s)
    assert times_s[-1] <= limit_s, (
        f"{max_bytes // 4}, {max_bytes // 2} and {max_bytes} bytes took"
        f" {shown} ms"
    )


def _measure(run):
    started_s = time.thread_time()
    run()
    return time.thread_time() - started_s


class TurnClock(Clock):
    """Test clock on which the turns of a reactor can be told apart."""

    def run_turn(self):
        """Runs the calls that are due, but none that these schedule."""
        due_calls = [c for c in self.calls if c.getTime() <= self.seconds()]
        for call in due_calls:
            if call.active():
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)

    def run_turns(self):
        """Runs all turns; returns their number."""
        turns = 0
        while any(c.getTime() <= self.seconds() for c in self.calls):
            self.run_turn()
            turns += 1
        return turns


class PausableTransport(StringTransport):
    """Transport in memory, with the socket options that connections set."""

    socket = types.SimpleNamespace(setsockopt=lambda *option: None)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    @property
    def is_paused(self):
        return self.producerState != "producing"


def receive_all(protocol, data, clock, piece_bytes=None):
    """Passes bytes to a protocol while its transport reads.

    Args:
        protocol: Protocol on a ``PausableTransport``.
        data: The bytes.
        clock: ``TurnClock`` of the protocol.
        piece_bytes: Bytes of one read; None for all in one.
    """
    size = piece_bytes or len(data) or 1
    for start in range(0, len(data), size):
        if protocol.transport.disconnecting:
            break
        protocol.dataReceived(data[start : start + size])
        clock.run_turns()
