"""JSON files of a data folder, whose replacement survives a power loss."""

import contextlib
import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import orjson
from kingcuplug_common import require_mapping

__all__ = ["read_file", "replace_file"]

# They say nothing of the file itself.
_PASSING_ERRORS = {errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOMEM}

_T = TypeVar("_T")


def read_file(
    path: Path, decode: Callable[[dict[str, Any]], _T]
) -> _T | Exception | None:
    """Return what a file holds, the error if it is unreadable, ``None`` if missing.

    Parameters
    ----------
    decode : callable
        Return the state in the JSON object of the file; raises `LookupError`,
        `TypeError` or `ValueError` if it is malformed.

    Raises
    ------
    OSError
        If descriptors or memory are short at the moment.
    """
    try:
        return decode(require_mapping(orjson.loads(path.read_bytes())))
    except FileNotFoundError:
        return None
    except (OSError, ValueError, TypeError, LookupError) as error:
        if isinstance(error, OSError) and error.errno in _PASSING_ERRORS:
            raise
        return error


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
