"""A monotonic clock that goes on while the machine is suspended."""

import time

# CLOCK_MONOTONIC stands still during a suspend, so a lease that ended in the
# meantime would still look valid.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_time_s() -> float:
    """Returns seconds since the boot of the machine.

    Example:
        >>> boot_time_s() <= boot_time_s()
        True
    """
    return time.clock_gettime(_CLOCK)
