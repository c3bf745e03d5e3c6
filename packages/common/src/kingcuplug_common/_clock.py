"""The clock for leases and the wall clock for records."""

import time
from collections.abc import Callable

__all__ = ["boot_time", "make_latest_wall_clock", "wall_ms"]


def boot_time() -> float:
    """Return monotonic seconds that include time for which the machine is suspended.

    ``time.monotonic`` stops during a suspension, so a leader that is resumed after
    hours would trust a lease that expired long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def make_latest_wall_clock(
    wall_clock: Callable[[], float], steady_clock: Callable[[], float] = boot_time
) -> Callable[[], float]:
    """Return a clock that follows the wall clock, except where that is set back.

    It shows the latest time that the wall clock has implied so far, and so bounds what
    others may state as the present.

    Parameters
    ----------
    wall_clock, steady_clock : callable
        Seconds since the epoch, and seconds since any moment.
    """
    offset_s = wall_clock() - steady_clock()

    def read() -> float:
        nonlocal offset_s
        steady_s = steady_clock()
        offset_s = max(offset_s, wall_clock() - steady_s)
        return steady_s + offset_s

    return read
