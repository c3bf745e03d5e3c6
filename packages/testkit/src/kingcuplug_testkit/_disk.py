"""A fake disk that tracks unsynced data and fails at injected failpoints.

It replaces one host's data folder. A crash keeps a random part of the unsynced
data: a prefix of the unsynced bytes of each file, possibly with a corrupt last
byte, and a prefix of the unsynced creations, renames and removals.
"""

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

__all__ = ["Failpoint", "FakeDisk", "FakeFileSystem", "HostCrashed"]

_SYNC_DURATION_S = 0.001
_CORRUPT_TAIL_PROBABILITY = 0.3
_TORN_RECORD_BYTES = 14  # A record header and a part of its payload.


class HostCrashed(OSError):
    """Raised by every call of a process whose host has crashed."""


@dataclass
class Failpoint:
    """Makes one later file system call fail.

    Attributes
    ----------
    method : str
        Name of the file system method, or ``*`` for any.
    file_name : str
        File name, or ``*`` for any.
    timing : str
        ``before`` or ``after`` the call takes effect.
    error : int or None
        Error number to raise; ``None`` crashes the host.
    preceding_call : tuple of str, optional
        Call, as (method, file name), that must directly precede this one.
    """

    method: str = "*"
    file_name: str = "*"
    timing: str = "before"
    error: int | None = None
    preceding_call: tuple[str, str] | None = None

    def matches(
        self, method: str, file_name: str, preceding_call: tuple[str, str] | None
    ) -> bool:
        """Return whether the failpoint applies to this call."""
        if self.method not in ("*", method) or self.file_name not in ("*", file_name):
            return False
        return self.preceding_call in (None, preceding_call)


@dataclass
class _File:
    durable: bytes = b""
    current: bytearray = field(default_factory=bytearray)
    sync_failed: bool = False

    def crash(self, random: Random) -> None:
        if self.current[: len(self.durable)] != self.durable:
            kept = random.choice([self.durable, bytes(self.current)])
        else:
            kept = self.durable + _torn_prefix(
                self.current[len(self.durable) :], random
            )
        self.durable = kept
        self.current = bytearray(kept)
        self.sync_failed = False


def _torn_prefix(unsynced: bytearray, random: Random) -> bytes:
    kept = bytearray(unsynced[: random.randint(0, len(unsynced))])
    if kept and random.random() < _CORRUPT_TAIL_PROBABILITY:
        kept[-1] ^= 0xFF
    return bytes(kept)


class FakeDisk:
    """Files of one host, kept across restarts of its process.

    Attributes
    ----------
    on_crash : callable
        Called at the crash, before the process makes another call.
    failpoints, triggered : list of Failpoint
        Failpoints that are still set, and those that calls have triggered.
    calls : list of tuple
        Every call that took effect, as (method, file name).
    crash_after_calls : int, optional
        Number of calls after which the host crashes.
    full : bool
        Whether writes fail for lack of space, each after a random part of its data.
    open_handles : int
        Number of handles that the running process has opened and not closed.
    """

    def __init__(self, random: Random, sync_s: float = _SYNC_DURATION_S) -> None:
        self.random = random
        self.sync_s = sync_s
        self.generation = 0
        self.failpoints: list[Failpoint] = []
        self.triggered: list[Failpoint] = []
        self.on_crash: Callable[[], None] = lambda: None
        self.calls: list[tuple[str, str]] = []
        self.crash_after_calls: int | None = None
        self.full = False
        self.open_handles = 0
        self.files: dict[str, _File] = {}
        self.durable_files: dict[str, _File] = {}
        self.unsynced_name_changes: list[tuple[str, str | None, _File | None]] = []

    def mount(self) -> "FakeFileSystem":
        """Return the file system for one run of the host's process."""
        return FakeFileSystem(self, self.generation)

    def crash(self) -> None:
        """Drop a random part of the unsynced data and end the process."""
        self._end_process()
        for change in self.unsynced_name_changes[
            : self.random.randint(0, len(self.unsynced_name_changes))
        ]:
            self._apply_name_change(change)
        self.unsynced_name_changes.clear()
        self.files = dict(self.durable_files)
        for name in sorted(self.files):
            self.files[name].crash(self.random)
        self.on_crash()

    def kill_process(self) -> None:
        """End the process only; the operating system keeps the unsynced data."""
        self._end_process()
        self.on_crash()

    def wipe(self) -> None:
        """Erase all data, as if an empty disk replaced this one."""
        self.unsynced_name_changes.clear()
        self.files, self.durable_files = {}, {}
        self._end_process()
        self.on_crash()

    def remove_files(self) -> None:
        """Remove all files while the process runs; its open handles stay usable."""
        self.unsynced_name_changes.clear()
        self.files, self.durable_files = {}, {}

    def sync_name_changes(self) -> None:
        """Make all creations, renames and removals durable."""
        for change in self.unsynced_name_changes:
            self._apply_name_change(change)
        self.unsynced_name_changes.clear()

    def trigger_failpoint(
        self, method: str, file_name: str, timing: str
    ) -> Failpoint | None:
        """Return the failpoint that this call triggers, if any, and remove it."""
        position = -1 if timing == "before" else -2
        preceding_call = self.calls[position] if len(self.calls) >= -position else None
        for failpoint in self.failpoints:
            if failpoint.timing == timing and failpoint.matches(
                method, file_name, preceding_call
            ):
                self.failpoints.remove(failpoint)
                self.triggered.append(failpoint)
                return failpoint
        return None

    def append_torn_record(self, name: str) -> None:
        """Append a partial record to a file, as a crash during a write can."""
        file = self.files.get(name, _File())
        file.durable += file.durable[:_TORN_RECORD_BYTES]
        file.current = bytearray(file.durable)

    def corrupt_byte(self, name: str, offset: int) -> None:
        """Invert all bits of one durable byte."""
        file = self.files[name]
        file.current[offset] ^= 0xFF
        file.durable = bytes(file.current)

    def _end_process(self) -> None:
        self.generation += 1
        self.open_handles = 0

    def _apply_name_change(self, change: tuple[str, str | None, _File | None]) -> None:
        new, old, file = change
        if old is not None:
            self.durable_files.pop(old, None)
        if file is None:
            self.durable_files.pop(new, None)
        else:
            self.durable_files[new] = file


class FakeFileSystem:
    """File system calls of one run of a process on a `FakeDisk`."""

    def __init__(self, disk: FakeDisk, generation: int) -> None:
        self._disk = disk
        self._generation = generation
        self._open_files: dict[int, tuple[str, _File]] = {}
        self._next_handle = 1

    async def open_append(self, name: str) -> int:
        """Open a file for appending, create it if absent; return its handle."""
        self._before_call("open_append", name)
        if name not in self._disk.files:
            self._disk.files[name] = _File()
            self._disk.unsynced_name_changes.append(
                (name, None, self._disk.files[name])
            )
        handle, self._next_handle = self._next_handle, self._next_handle + 1
        self._open_files[handle] = (name, self._disk.files[name])
        self._disk.open_handles += 1
        self._after_call("open_append", name)
        return handle

    def write(self, handle: int, data: bytes) -> None:
        """Append all of `data`; a failing write appends a part of it."""
        name, file = self._open_files[handle]
        try:
            self._before_call("write", name)
        except OSError as error:
            if not isinstance(error, HostCrashed):
                file.current += data[: self._disk.random.randint(0, len(data))]
            raise
        file.current += data
        self._after_call("write", name)

    async def sync(self, handle: int) -> None:
        """Make the content durable; after a failed sync it never becomes durable."""
        name, file = self._open_files[handle]
        try:
            self._before_call("sync", name)
        except OSError as error:
            file.sync_failed = not isinstance(error, HostCrashed)
            raise
        content = bytes(file.current)
        await asyncio.sleep(self._disk.sync_s)
        self._raise_if_crashed()
        if not file.sync_failed:
            file.durable = content
        self._after_call("sync", name)

    def close(self, handle: int) -> None:
        """Close a handle."""
        del self._open_files[handle]
        if self._generation == self._disk.generation:
            self._disk.open_handles -= 1

    async def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file that has the new name."""
        self._before_call("rename", new)
        file = self._disk.files.pop(old)
        self._disk.files[new] = file
        self._disk.unsynced_name_changes.append((new, old, file))
        for handle, (name, opened) in self._open_files.items():
            if name == old:
                self._open_files[handle] = (new, opened)
        self._after_call("rename", new)

    async def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        self._before_call("sync_folder", "")
        await asyncio.sleep(self._disk.sync_s)
        self._raise_if_crashed()
        self._disk.sync_name_changes()
        self._after_call("sync_folder", "")

    async def read(self, name: str) -> bytes:
        """Return the content of a file."""
        self._before_call("read", name)
        if name not in self._disk.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return bytes(self._disk.files[name].current)

    async def list(self) -> list[str]:
        """Return the names of all files."""
        self._before_call("list", "")
        return sorted(self._disk.files)

    async def remove(self, name: str) -> None:
        """Remove a file."""
        self._before_call("remove", name)
        del self._disk.files[name]
        self._disk.unsynced_name_changes.append((name, None, None))
        self._after_call("remove", name)

    def _raise_if_crashed(self) -> None:
        if self._generation != self._disk.generation:
            raise HostCrashed(errno.EIO, "the host has crashed")

    def _before_call(self, method: str, name: str) -> None:
        self._raise_if_crashed()
        if self._disk.full and method == "write":
            raise OSError(errno.ENOSPC, "no space left", name)
        self._trigger_failpoint(method, name, "before")

    def _after_call(self, method: str, name: str) -> None:
        self._disk.calls.append((method, name))
        if len(self._disk.calls) == self._disk.crash_after_calls:
            self._disk.crash()
            raise HostCrashed(errno.EIO, "the host has crashed")
        self._trigger_failpoint(method, name, "after")

    def _trigger_failpoint(self, method: str, name: str, timing: str) -> None:
        failpoint = self._disk.trigger_failpoint(method, name, timing)
        if failpoint is None:
            return
        if failpoint.error is not None:
            raise OSError(failpoint.error, "injected failure", name)
        self._disk.crash()
        raise HostCrashed(errno.EIO, "the host has crashed")
