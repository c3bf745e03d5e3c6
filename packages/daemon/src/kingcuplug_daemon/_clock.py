"""The clock of leases."""

import time

__all__ = ["boot_time"]


def boot_time() -> float:
    """Return monotonic seconds that go on while the machine is suspended.

    ``time.monotonic`` stands still then, so a leader that wakes up after hours would
    trust a lease that ended long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
