"""The clock for leases and the wall clock for records."""

import time

__all__ = ["boot_time", "wall_ms"]


def boot_time() -> float:
    """Return monotonic seconds that include time for which the machine is suspended.

    ``time.monotonic`` stops during a suspension, so a leader that is resumed after
    hours would trust a lease that expired long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
