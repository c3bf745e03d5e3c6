"""File operations on one data folder."""

import asyncio
import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

__all__ = ["DiskFileSystem", "FileSystem"]

_APPEND_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC


class FileSystem(Protocol):
    """Files of one data folder, by name.

    Content is durable only after `sync`, names only after `sync_folder`.
    All methods raise `OSError`.
    """

    def open_append(self, name: str) -> int:
        """Open a file for appending, create it if absent; return its handle."""
        ...

    def write(self, handle: int, data: bytes) -> None:
        """Append all of `data`."""
        ...

    async def sync(self, handle: int) -> None:
        """Make the content of the file durable."""
        ...

    def close(self, handle: int) -> None:
        """Close a handle."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file that has the new name."""
        ...

    async def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        ...

    def truncate(self, handle: int, size: int) -> None:
        """Truncate a file to `size` bytes."""
        ...

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    def list(self) -> list[str]:
        """Return the names of all files."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file."""
        ...


class DiskFileSystem:
    """A folder on a real disk; writes and syncs run in a worker thread.

    A stalled disk blocks writes as well as syncs, so written bytes are buffered in
    memory until the next sync of their file, which writes them in the thread.

    Parameters
    ----------
    folder : Path
        Data folder; created if absent.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._unwritten: dict[int, bytearray] = {}

    def open_append(self, name: str) -> int:
        """Open a file for appending, create it if absent; return its handle."""
        return os.open(self._folder / name, _APPEND_FLAGS, 0o600)

    def write(self, handle: int, data: bytes) -> None:
        """Buffer `data`, which the next `sync` appends."""
        self._unwritten.setdefault(handle, bytearray()).extend(data)

    async def sync(self, handle: int) -> None:
        """Make the content of the file durable."""
        data = bytes(self._unwritten.pop(handle, b""))
        await _run_in_thread(_write_and_sync, handle, data)

    def close(self, handle: int) -> None:
        """Close a handle and discard the bytes that were not synced."""
        self._unwritten.pop(handle, None)
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file that has the new name."""
        (self._folder / old).replace(self._folder / new)

    async def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        await _run_in_thread(_sync_folder, self._folder)

    def truncate(self, handle: int, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(handle, size)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._folder / name).read_bytes()

    def list(self) -> list[str]:
        """Return the names of all files."""
        return sorted(path.name for path in self._folder.iterdir())

    def remove(self, name: str) -> None:
        """Remove a file."""
        (self._folder / name).unlink()


async def _run_in_thread(function: Callable[..., None], *args: Any) -> None:
    """Run a function in a worker thread.

    Raises
    ------
    OSError
        If no thread can be started. The executor keeps the call for another thread,
        which must not make it later: the handle may stand for another file then.
    """
    abandoned = False

    def run() -> None:
        if not abandoned:
            function(*args)

    try:
        await asyncio.to_thread(run)
    except RuntimeError as error:
        abandoned = True
        raise OSError(errno.EAGAIN, f"no worker thread: {error}") from error


def _write_and_sync(handle: int, data: bytes) -> None:
    unwritten = memoryview(data)
    while unwritten:
        unwritten = unwritten[os.write(handle, unwritten) :]
    os.fsync(handle)


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
