"""Measures how the time of reading grows with the bytes that are read."""

import time

_REPEATS = 3
#: Time grows by 4 where it is in proportion to the bytes, and by 16 where it
#: grows with their square.
_MAX_GROWTH = 8.0
#: Below this time, fixed costs and the resolution of the clock decide.
_MIN_COMPARED_S = 0.001


def check_growth(prepare, max_bytes):
    """Checks that four times the bytes take about four times as long.

    ``prepare(size_bytes)`` returns a function without arguments, which is
    called once; its processor time is measured.
    """
    times_s = [
        min(_measure(prepare(max_bytes // part)) for _ in range(_REPEATS))
        for part in (4, 2, 1)
    ]
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
