"""Files of lines on which nothing depends, such as logs and traces."""

import errno
import os
import stat
from pathlib import Path

from kingcuplug_common._standard_error import write_error_line

__all__ = ["LineFile"]

# Without O_NONBLOCK, a pipe that nobody reads would block the process.
_OPEN_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK | os.O_CLOEXEC


class LineFile:
    """Appends lines to a file, and drops them while it cannot be written.

    The file is opened again at the next line after an error. Standard error gets a
    line when the file becomes unwritable or writable.

    Parameters
    ----------
    path : Path
        A file or a named pipe.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._descriptor: int | None = None
        self._failure = ""
        self.write(b"")

    def write(self, lines: bytes) -> bool:
        """Append complete lines; return whether they were written."""
        try:
            if self._descriptor is None:
                self._descriptor = os.open(self._path, _OPEN_FLAGS, 0o666)
            _append(self._descriptor, lines)
        except OSError as error:
            self.close()
            self._report(str(error.strerror))
            return False
        self._report("")
        return True

    def flush(self) -> None:
        """Do nothing; lines are written at once."""

    def close(self) -> None:
        """Close the file; a later line opens it again."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _report(self, failure: str) -> None:
        if failure == self._failure:
            return
        self._failure = failure
        if failure:
            write_error_line(
                f"{self._path} cannot be written, its lines are dropped: {failure}; "
                "check the path, its permissions and the free space"
            )
        else:
            write_error_line(f"{self._path} is written again")


def _append(descriptor: int, lines: bytes) -> None:
    status = os.fstat(descriptor)
    if os.write(descriptor, lines) < len(lines):
        if stat.S_ISREG(status.st_mode):  # Half a line makes the file unreadable.
            os.ftruncate(descriptor, status.st_size)
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
