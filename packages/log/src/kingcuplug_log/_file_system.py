"""File operations on one data folder."""

import asyncio
import contextlib
import errno
import itertools
import os
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol

from kingcuplug_common import run_to_completion

__all__ = ["DiskFileSystem", "FileSystem"]

_APPEND_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC


class FileSystem(Protocol):
    """Files of one data folder, by name.

    Content is durable only after `sync`, names only after `sync_folder`.
    All methods raise `OSError`.
    """

    async def open_append(self, name: str) -> int:
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

    async def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file that has the new name."""
        ...

    async def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        ...

    async def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    async def list(self) -> list[str]:
        """Return the names of all files."""
        ...

    async def remove(self, name: str) -> None:
        """Remove a file."""
        ...


class DiskFileSystem:
    """A folder on a real disk, which is used in worker threads only.

    A stalled disk can block any operation. Written bytes are buffered in memory until
    the next sync of their file, which writes them.

    Parameters
    ----------
    folder : Path
        Data folder; created if absent.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._handles = itertools.count(1)
        self._files: dict[int, _AppendFile] = {}

    async def open_append(self, name: str) -> int:
        """Open a file for appending, create it if absent; return its handle."""
        handle = next(self._handles)
        try:
            await run_to_completion(self._open_file, handle, name)
        except asyncio.CancelledError:
            if handle in self._files:
                self.close(handle)
            raise
        return handle

    def write(self, handle: int, data: bytes) -> None:
        """Buffer `data`, which the next `sync` appends."""
        self._files[handle].unwritten.extend(data)

    async def sync(self, handle: int) -> None:
        """Make the content of the file durable."""
        file = self._files[handle]
        data, file.unwritten = bytes(file.unwritten), bytearray()
        await run_to_completion(file.append_and_sync, data)

    def close(self, handle: int) -> None:
        """Close a handle and discard the bytes that were not synced."""
        self._files.pop(handle).close()

    async def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file that has the new name."""
        await run_to_completion((self._folder / old).replace, self._folder / new)

    async def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        await run_to_completion(_sync_folder, self._folder)

    async def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return await run_to_completion((self._folder / name).read_bytes)

    async def list(self) -> list[str]:
        """Return the names of all files."""
        return await run_to_completion(_list_names, self._folder)

    async def remove(self, name: str) -> None:
        """Remove a file."""
        await run_to_completion((self._folder / name).unlink)

    def _open_file(self, handle: int, name: str) -> None:
        self._files[handle] = _AppendFile(self._folder / name)


class _AppendFile:
    """An open file whose descriptor is closed only when no thread uses it.

    The number of a closed descriptor is given to the next file or connection, which
    must not get the bytes of a write that is still running.

    Attributes
    ----------
    unwritten : bytearray
        Bytes that the next sync appends.
    """

    def __init__(self, path: Path) -> None:
        self.unwritten = bytearray()
        self._descriptor = os.open(path, _APPEND_FLAGS, 0o600)
        self._lock = threading.Lock()
        self._users = 0
        self._closed = False

    def append_and_sync(self, data: bytes) -> None:
        """Append all of `data` and make the file's content durable."""
        with self._use_descriptor() as descriptor:
            unwritten = memoryview(data)
            while unwritten:
                unwritten = unwritten[os.write(descriptor, unwritten) :]
            os.fsync(descriptor)

    def close(self) -> None:
        """Close the descriptor, at the latest when its last user is done."""
        with self._lock:
            self._closed = True
            in_use = self._users > 0
        if not in_use:
            os.close(self._descriptor)

    @contextlib.contextmanager
    def _use_descriptor(self) -> Iterator[int]:
        with self._lock:
            if self._closed:
                raise OSError(errno.EBADF, "the file was closed before the operation")
            self._users += 1
        try:
            yield self._descriptor
        finally:
            with self._lock:
                self._users -= 1
                is_last = self._closed and self._users == 0
            if is_last:
                os.close(self._descriptor)


def _list_names(folder: Path) -> list[str]:
    return sorted(path.name for path in folder.iterdir())


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
