"""What this process uses of the machine, as the kernel reports it."""

import resource
from pathlib import Path

__all__ = [
    "count_open_descriptors",
    "peak_resident_bytes",
    "resident_bytes",
]

_PAGE_BYTES = resource.getpagesize()
_BYTES_PER_KIB = 1_024
_STATM_PATH = Path("/proc/self/statm")
_STATUS_PATH = Path("/proc/self/status")
_DESCRIPTORS_PATH = Path("/proc/self/fd")


def resident_bytes() -> int | None:
    """Return the resident memory of this process, ``None`` if it is unknown."""
    try:
        return int(_STATM_PATH.read_bytes().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None


def peak_resident_bytes() -> int | None:
    """Return the largest resident memory of this process, ``None`` if it is unknown.

    The peak in `resource.getrusage` includes that of the process that started this one.
    """
    try:
        for line in _STATUS_PATH.read_bytes().splitlines():
            name, _, value = line.partition(b":")
            if name == b"VmHWM":
                return int(value.split()[0]) * _BYTES_PER_KIB
    except (OSError, ValueError, IndexError):
        return None
    return None


def count_open_descriptors() -> int | None:
    """Return the number of open descriptors, ``None`` if it is unknown."""
    try:
        # The listing itself opens one.
        return len(list(_DESCRIPTORS_PATH.iterdir())) - 1
    except OSError:
        return None
