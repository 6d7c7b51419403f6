"""A monotonic clock that includes the time the machine is suspended."""

import time

# CLOCK_MONOTONIC stops during a suspend, so a lease that expired meanwhile
# would still look valid.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_time_s() -> float:
    """Returns the seconds since the machine was booted.

    Example:
        >>> boot_time_s() <= boot_time_s()
        True
    """
    return time.clock_gettime(_CLOCK_ID)
