"""A fake disk that keeps unsynced bytes apart and fails on request.

It stands for one host's data folder. A crash keeps a random part of what was not
synced: a prefix of the unsynced bytes of each file, possibly with a damaged end,
and a prefix of the unsynced renames and removals.
"""

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

__all__ = ["Crashed", "FakeDisk", "FakeFileSystem", "Trap"]

_SYNC_S = 0.001
_GARBLED_SHARE = 0.3
_TORN_BYTES = 14  # The header of a record and a part of its payload.


class Crashed(OSError):
    """The host has crashed; its process does nothing more."""


@dataclass
class Trap:
    """Makes a later call fail.

    Attributes
    ----------
    call : str
        Method name, or ``*`` for any.
    name : str
        File name, or ``*`` for any.
    moment : str
        ``before`` or ``after`` the call has its effect.
    error : int or None
        Error number to raise; ``None`` crashes the host.
    follows : tuple of str, optional
        The call, as (method, file name), that must have come directly before.
    """

    call: str = "*"
    name: str = "*"
    moment: str = "before"
    error: int | None = None
    follows: tuple[str, str] | None = None

    def matches(self, call: str, name: str, before: tuple[str, str] | None) -> bool:
        """Return whether this call is meant."""
        if self.call not in ("*", call) or self.name not in ("*", name):
            return False
        return self.follows in (None, before)


@dataclass
class _File:
    durable: bytes = b""
    current: bytearray = field(default_factory=bytearray)
    dropped: bool = False

    def crash(self, random: Random) -> None:
        if self.current[: len(self.durable)] != self.durable:
            kept = random.choice([self.durable, bytes(self.current)])
        else:
            kept = self.durable + _torn(self.current[len(self.durable) :], random)
        self.durable = kept
        self.current = bytearray(kept)
        self.dropped = False


def _torn(extra: bytearray, random: Random) -> bytes:
    kept = bytearray(extra[: random.randint(0, len(extra))])
    if kept and random.random() < _GARBLED_SHARE:
        kept[-1] ^= 0xFF
    return bytes(kept)


class FakeDisk:
    """Files of one host, across restarts of its process.

    Attributes
    ----------
    on_crash : callable
        Called at the moment of a crash, before the process can do anything else.
    traps, sprung : list of Trap
        Traps that wait for their call, and those that have met it.
    calls : list of tuple
        Every call that had its effect, as (method, file name).
    crash_at : int, optional
        Number of calls after which the host crashes.
    """

    def __init__(self, random: Random, sync_s: float = _SYNC_S) -> None:
        self.random = random
        self.sync_s = sync_s
        self.generation = 0
        self.traps: list[Trap] = []
        self.sprung: list[Trap] = []
        self.on_crash: Callable[[], None] = lambda: None
        self.calls: list[tuple[str, str]] = []
        self.crash_at: int | None = None
        self.names: dict[str, _File] = {}
        self.durable_names: dict[str, _File] = {}
        self.pending: list[tuple[str, str | None, _File | None]] = []

    def mount(self) -> "FakeFileSystem":
        """Return the file system for one run of the host's process."""
        return FakeFileSystem(self, self.generation)

    def crash(self) -> None:
        """Lose a random part of what was not synced and end the process."""
        self.generation += 1
        for change in self.pending[: self.random.randint(0, len(self.pending))]:
            self._rename_durably(change)
        self.pending.clear()
        self.names = dict(self.durable_names)
        for name in sorted(self.names):
            self.names[name].crash(self.random)
        self.on_crash()

    def kill(self) -> None:
        """End the process only; the system keeps what was not synced."""
        self.generation += 1
        self.on_crash()

    def lose(self) -> None:
        """Lose everything; an empty disk takes its place."""
        self.pending.clear()
        self.names, self.durable_names = {}, {}
        self.generation += 1
        self.on_crash()

    def sync_names(self) -> None:
        """Make all changes of names durable."""
        for change in self.pending:
            self._rename_durably(change)
        self.pending.clear()

    def meet(self, call: str, name: str, moment: str) -> Trap | None:
        """Return the trap that this call springs, if any, and disarm it."""
        position = -1 if moment == "before" else -2
        before = self.calls[position] if len(self.calls) >= -position else None
        for trap in self.traps:
            if trap.moment == moment and trap.matches(call, name, before):
                self.traps.remove(trap)
                self.sprung.append(trap)
                return trap
        return None

    def tear(self, name: str) -> None:
        """Leave half a record at the end of a file, as a crash in a write can."""
        file = self.names.get(name, _File())
        file.durable += file.durable[:_TORN_BYTES]
        file.current = bytearray(file.durable)

    def damage(self, name: str, offset: int) -> None:
        """Flip the bits of one durable byte."""
        file = self.names[name]
        file.current[offset] ^= 0xFF
        file.durable = bytes(file.current)

    def _rename_durably(self, change: tuple[str, str | None, _File | None]) -> None:
        new, old, file = change
        if old is not None:
            self.durable_names.pop(old, None)
        if file is None:
            self.durable_names.pop(new, None)
        else:
            self.durable_names[new] = file


class FakeFileSystem:
    """Access to a `FakeDisk` by one run of a process."""

    def __init__(self, disk: FakeDisk, generation: int) -> None:
        self._disk = disk
        self._generation = generation
        self._open: dict[int, tuple[str, _File]] = {}
        self._next_handle = 1

    def open_append(self, name: str) -> int:
        """Open a file for appending, create it if absent; return its handle."""
        self._enter("open_append", name)
        if name not in self._disk.names:
            self._disk.names[name] = _File()
            self._disk.pending.append((name, None, self._disk.names[name]))
        handle, self._next_handle = self._next_handle, self._next_handle + 1
        self._open[handle] = (name, self._disk.names[name])
        self._leave("open_append", name)
        return handle

    def write(self, handle: int, data: bytes) -> None:
        """Append all of `data`; a failing write appends a part of it."""
        name, file = self._open[handle]
        try:
            self._enter("write", name)
        except OSError as error:
            if not isinstance(error, Crashed):
                file.current += data[: self._disk.random.randint(0, len(data))]
            raise
        file.current += data
        self._leave("write", name)

    async def sync(self, handle: int) -> None:
        """Make the content durable; a failing sync drops it for ever."""
        name, file = self._open[handle]
        try:
            self._enter("sync", name)
        except OSError as error:
            file.dropped = not isinstance(error, Crashed)
            raise
        content = bytes(file.current)
        await asyncio.sleep(self._disk.sync_s)
        self._check()
        if not file.dropped:
            file.durable = content
        self._leave("sync", name)

    def close(self, handle: int) -> None:
        """Close a handle."""
        del self._open[handle]

    def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file that has the new name."""
        self._enter("rename", new)
        file = self._disk.names.pop(old)
        self._disk.names[new] = file
        self._disk.pending.append((new, old, file))
        for handle, (name, opened) in self._open.items():
            if name == old:
                self._open[handle] = (new, opened)
        self._leave("rename", new)

    async def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        self._enter("sync_folder", "")
        await asyncio.sleep(self._disk.sync_s)
        self._check()
        self._disk.sync_names()
        self._leave("sync_folder", "")

    def truncate(self, handle: int, size: int) -> None:
        """Cut a file to `size` bytes."""
        name, file = self._open[handle]
        self._enter("truncate", name)
        del file.current[size:]
        self._leave("truncate", name)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        self._enter("read", name)
        if name not in self._disk.names:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return bytes(self._disk.names[name].current)

    def list(self) -> list[str]:
        """Return the names of all files."""
        self._enter("list", "")
        return sorted(self._disk.names)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._enter("remove", name)
        del self._disk.names[name]
        self._disk.pending.append((name, None, None))
        self._leave("remove", name)

    def _check(self) -> None:
        if self._generation != self._disk.generation:
            raise Crashed(errno.EIO, "the host has crashed")

    def _enter(self, call: str, name: str) -> None:
        self._check()
        self._spring(call, name, "before")

    def _leave(self, call: str, name: str) -> None:
        self._disk.calls.append((call, name))
        if len(self._disk.calls) == self._disk.crash_at:
            self._disk.crash()
            raise Crashed(errno.EIO, "the host has crashed")
        self._spring(call, name, "after")

    def _spring(self, call: str, name: str, moment: str) -> None:
        trap = self._disk.meet(call, name, moment)
        if trap is None:
            return
        if trap.error is not None:
            raise OSError(trap.error, "injected failure", name)
        self._disk.crash()
        raise Crashed(errno.EIO, "the host has crashed")
