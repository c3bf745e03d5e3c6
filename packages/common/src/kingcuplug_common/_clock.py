"""The clock of leases, and the wall clock of records."""

import time

__all__ = ["boot_time", "wall_ms"]


def boot_time() -> float:
    """Return monotonic seconds that go on while the machine is suspended.

    ``time.monotonic`` stands still then, so a leader that wakes up after hours would
    trust a lease that ended long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
