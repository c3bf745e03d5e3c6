"""Replacement of a file that is atomic and survives a power loss."""

import contextlib
import errno
import os
from pathlib import Path

__all__ = ["may_pass", "replace_file"]

_PASSING_ERRORS = {errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOMEM}


def may_pass(error: Exception) -> bool:
    """Return whether the cause is a shortage that says nothing of the file itself."""
    return isinstance(error, OSError) and error.errno in _PASSING_ERRORS


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file's content, and sync the file and its folder.

    After a power loss the file has either its old or its new content; once this
    function has returned, it has the new one.

    Raises
    ------
    OSError
        If the file cannot be written, for example on a full disk.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_suffix(".tmp")
    try:
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except OSError:
        # The rest of the data folder needs its space on a full disk.
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
