"""Exclusive use of a folder by one process."""

import fcntl
import os
from pathlib import Path

from kingcuplug_common._errors import KingcuplugError
from kingcuplug_common._metrics import log_state_change

__all__ = ["FolderInUse", "FolderLock"]


class FolderInUse(KingcuplugError):
    """Another process uses the folder."""


class FolderLock:
    """Keeps other processes from using a folder, which is created if absent.

    Without `release` the lock ends with the process, so with the last of its threads
    that could write to the folder. On a file system without locks it has no effect,
    which is logged.

    Parameters
    ----------
    folder : Path
        The folder; nothing is written to it.

    Raises
    ------
    FolderInUse
        If the folder is locked already.
    OSError
        If the folder cannot be created or opened.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self._descriptor)
            raise FolderInUse(
                f"folder {folder} is in use by another process",
                "stop that process, or name another folder in the settings",
            ) from error
        except OSError as error:
            log_state_change("folder", "not locked", path=str(folder), why=str(error))

    def release(self) -> None:
        """End the lock; call it once nothing writes to the folder any more."""
        os.close(self._descriptor)
