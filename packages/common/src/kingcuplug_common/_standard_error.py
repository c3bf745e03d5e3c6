"""Lines on standard error, which neither block nor fail the process."""

import contextlib
import logging
import os
import select

__all__ = ["StandardErrorHandler", "open_standard_descriptors", "write_error_line"]

_STANDARD_ERROR = 2
_MAX_WRITE_BYTES = 4_096  # A pipe that is writable takes as many without blocking.


def open_standard_descriptors() -> None:
    """Open the null device in place of closed standard descriptors.

    Otherwise sockets and data files get their numbers, and what a library writes to
    standard error goes there.
    """
    for descriptor in range(_STANDARD_ERROR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # Takes the lowest free number.


def write_error_line(text: str) -> None:
    """Write a line to standard error; drop what its reader does not accept."""
    data = (text + "\n").encode(errors="replace")
    with contextlib.suppress(OSError, ValueError):
        for start in range(0, len(data), _MAX_WRITE_BYTES):
            if not select.select((), (_STANDARD_ERROR,), (), 0)[1]:
                return
            os.write(_STANDARD_ERROR, data[start : start + _MAX_WRITE_BYTES])


class StandardErrorHandler(logging.Handler):
    """Writes the log records of libraries by `write_error_line`."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        try:
            write_error_line(self.format(record))
        except Exception:  # As of any handler: a faulty record must not raise.
            self.handleError(record)
