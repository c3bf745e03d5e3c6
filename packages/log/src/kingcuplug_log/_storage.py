"""Durable state of one replica: hard state, log and snapshot.

Every group commit is one record in the log file, and at most one record is ever
unsynced, so a crash can only damage the last record. A record whose first index is
not after the last stored one replaces the entries from there on, so a conflicting
suffix is replaced atomically, without truncating the file.
"""

import asyncio
import sys
from collections.abc import Sequence
from typing import Any

from kingcuplug_common import identifier

from kingcuplug_log._entry_list import EntryList
from kingcuplug_log._errors import CorruptLog
from kingcuplug_log._fail_stop import FailStop
from kingcuplug_log._file_system import FileSystem
from kingcuplug_log._records import decode_one, encode, scan
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry

__all__ = ["Storage"]

_LOG = "log"
_STATE = "state"
_SNAPSHOT = "snapshot"
_NEW = ".new"


class Storage:
    """Files of one replica, and the log entries in memory.

    In-memory changes (`set_term_and_vote`, `stage`) take effect at once and become
    durable with `persist_vote` and `flush`. After the first `OSError` every operation
    raises `StorageFailed`.

    Parameters
    ----------
    files : FileSystem
        The data folder; used exclusively by this object.

    Attributes
    ----------
    disk_id : str
        Random identifier of the data folder, known after `open`.
    durable_index : int
        Index up to which all entries are synced.
    recovered_snapshot : Snapshot or None
        The snapshot read by `open`, until the replica has loaded it.
    """

    def __init__(self, files: FileSystem) -> None:
        self._files = files
        self._log = EntryList()
        self._handle: int | None = None
        self._log_lock = asyncio.Lock()
        self._state_lock = asyncio.Lock()
        self._snapshot_lock = asyncio.Lock()
        self._staged_from = 1
        self._replaced_from = sys.maxsize
        self._persisted: tuple[int, str | None] | None = None
        self._guard = FailStop()
        self.durable_index = 0
        self.term = 0
        self.vote: str | None = None
        self.disk_id = ""
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.recovered: Snapshot | None = None

    async def open(self) -> None:
        """Read the data folder and truncate a torn tail.

        Raises
        ------
        CorruptLog
            If the files are damaged in a way that a crash cannot cause.
        StorageFailed
            If the folder cannot be read or repaired.
        """
        try:
            await self._open()
        except OSError as error:
            raise self._guard.fail(error) from error

    async def close(self) -> None:
        """Wait for running operations and release the file handle."""
        await self._guard.drain()
        self._close_log()

    def halt(self, reason: str) -> None:
        """Fail all later operations, as after a failed write."""
        self._guard.fail(OSError(reason))

    @property
    def failure(self) -> OSError | None:
        """The first error, after which all operations fail."""
        return self._guard.failure

    @property
    def first_index(self) -> int:
        """Index of the first stored entry."""
        return self._log.base_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, durable or not."""
        return self._log.last_index

    @property
    def last_term(self) -> int:
        """Term of the last entry, durable or not."""
        return self._log.last_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` if it is not stored."""
        return self._log.term_at(index)

    def entries(self, first: int, limit: int | None = None) -> list[Entry]:
        """Return up to `limit` entries from index `first`."""
        return self._log.slice(first, limit)

    def set_vote(self, term: int, vote: str | None) -> None:
        """Set term and vote in memory; `persist_vote` makes them durable."""
        if term < self.term:
            raise ValueError(f"term {term} is before the current term {self.term}")
        self.term, self.vote = term, vote

    async def persist(self) -> None:
        """Make the current term and vote durable."""
        if self._persisted == (self.term, self.vote) and not self._state_lock.locked():
            self._guard.check()
            return
        await self._guard.run(self._state_lock, self._write_state)

    def stage(self, entries: Sequence[Entry]) -> None:
        """Append entries to the log in memory; `flush` makes them durable.

        They replace everything from their first index on.
        """
        first = entries[0].index
        self._log.replace(entries)
        self.durable_index = min(self.durable_index, first - 1)
        self._replaced_from = min(self._replaced_from, first)
        self._staged_from = min(self._staged_from, first)

    async def flush(self) -> None:
        """Make all entries staged before the call durable.

        All staged entries go into one write and one sync, which concurrent calls
        share.
        """
        if self.durable_index == self.last_index and not self._log_lock.locked():
            self._guard.check()
            return
        await self._guard.run(self._log_lock, self._write_staged)

    async def save_snapshot(self, snapshot: Snapshot, retained: int) -> None:
        """Replace the snapshot, then remove the entries that it covers.

        Parameters
        ----------
        retained : int
            Number of entries up to the snapshot's index that are kept.
        """

        async def save() -> None:
            if snapshot.index <= self.snapshot_index:
                return
            data = encode(snapshot.to_json())
            self._files.close(await self._replace(_SNAPSHOT, data))
            self.snapshot_index, self.snapshot_term = snapshot.index, snapshot.term
            async with self._log_lock:
                self._guard.check()
                await self._compact(snapshot, retained)

        await self._guard.run(self._snapshot_lock, save)

    def read_snapshot(self) -> bytes:
        """Return the encoded record of the current snapshot."""
        self._guard.check()
        try:
            return self._files.read(_SNAPSHOT)
        except OSError as error:
            raise self._guard.fail(error) from error

    def _close_log(self) -> None:
        if self._handle is not None:
            self._files.close(self._handle)
            self._handle = None

    async def _write_state(self) -> None:
        hard_state = (self.term, self.vote)
        if hard_state == self._persisted:
            return
        value = {
            "term": hard_state[0],
            "vote": hard_state[1],
            "disk_id": self.disk_id,
        }
        self._files.close(await self._replace(_STATE, encode(value)))
        self._persisted = hard_state

    async def _write_staged(self) -> None:
        batch = self._log.slice(self._staged_from)
        if not batch:
            return
        self._begin_write()
        assert self._handle is not None
        self._files.write(self._handle, encode([entry.to_json() for entry in batch]))
        await self._files.sync(self._handle)
        self._end_write(batch[-1].index)

    def _begin_write(self) -> None:
        self._staged_from = self.last_index + 1
        self._replaced_from = sys.maxsize

    def _end_write(self, last_index: int) -> None:
        # Entries that were replaced during the sync are durable only in their old
        # version.
        self.durable_index = min(last_index, self._replaced_from - 1)

    async def _compact(self, snapshot: Snapshot, retained: int) -> None:
        base_index = snapshot.index
        if self.term_at(base_index) == snapshot.term:
            base_index = max(self._log.base_index, base_index - retained)
            self._log.compact(base_index, self.term_at(base_index) or 0)
        else:
            self._log.compact(base_index, snapshot.term)
        await self._rewrite_log()

    async def _rewrite_log(self) -> None:
        entries = self._log.slice(self.first_index)
        last_index = self.last_index
        self.durable_index = min(self.durable_index, last_index)
        self._begin_write()
        handle = await self._replace(_LOG, self._log_bytes(entries))
        self._close_log()
        self._handle = handle
        self._end_write(last_index)

    def _log_bytes(self, entries: Sequence[Entry]) -> bytes:
        header = {"index": self._log.base_index, "term": self._log.base_term}
        data = encode(header)
        if entries:
            data += encode([entry.to_json() for entry in entries])
        return data

    async def _replace(self, name: str, data: bytes) -> int:
        """Replace a file atomically and return a handle of the new one."""
        handle = self._files.open_append(name + _NEW)
        try:
            self._files.write(handle, data)
            await self._files.sync(handle)
            self._files.rename(name + _NEW, name)
            await self._files.sync_folder()
        except BaseException:
            self._files.close(handle)
            raise
        return handle

    async def _open(self) -> None:
        names = self._files.list()
        for name in names:
            if name.endswith(_NEW):
                self._files.remove(name)
        # A previous process may have left names that are visible but not synced.
        await self._files.sync_folder()
        if _STATE not in names:
            await self._create(names)
            return
        self._read_state()
        self._read_snapshot(names)
        await self._read_log(names)
        self._raise_term()

    async def _create(self, names: list[str]) -> None:
        # The state file is written last, so without it nothing was ever
        # acknowledged from this folder.
        if _SNAPSHOT in names or (_LOG in names and self._holds_entries()):
            raise CorruptLog(_STATE, 0, "the file is missing, but others hold data")
        self.disk_id = identifier()
        await self._rewrite_log()
        await self._write_state()

    def _holds_entries(self) -> bool:
        return len(scan(self._files.read(_LOG), _LOG)[0]) > 1

    def _read_state(self) -> None:
        value = decode_one(self._files.read(_STATE), _STATE)
        self.term, self.vote = value["term"], value["vote"]
        self.disk_id = value["disk_id"]
        self._persisted = (self.term, self.vote)

    def _read_snapshot(self, names: list[str]) -> None:
        if _SNAPSHOT in names:
            value = decode_one(self._files.read(_SNAPSHOT), _SNAPSHOT)
            self.recovered = Snapshot.from_json(value)
            self.snapshot_index = self.recovered.index
            self.snapshot_term = self.recovered.term

    async def _read_log(self, names: list[str]) -> None:
        if _LOG not in names:
            raise CorruptLog(_LOG, 0, "the file is missing")
        data = self._files.read(_LOG)
        values, end = scan(data, _LOG)
        self._load_entries(values)
        self._handle = self._files.open_append(_LOG)
        if end < len(data):
            self._files.truncate(self._handle, end)
        # A complete record may not have been synced before the crash.
        await self._files.sync(self._handle)
        self._staged_from = self.last_index + 1
        self.durable_index = self.last_index
        if self._log.base_index > self.snapshot_index:
            raise CorruptLog(_SNAPSHOT, 0, "entries before the log's first are missing")
        if self.term_at(self.snapshot_index) != self.snapshot_term:
            self._log.compact(self.snapshot_index, self.snapshot_term)
            await self._rewrite_log()

    def _load_entries(self, values: list[Any]) -> None:
        if not values:
            raise CorruptLog(_LOG, 0, "the header is missing")
        self._log = EntryList(values[0]["index"], values[0]["term"])
        for value in values[1:]:
            try:
                self._log.replace([Entry.from_json(entry) for entry in value])
            except ValueError as error:
                raise CorruptLog(_LOG, 0, str(error)) from error

    def _raise_term(self) -> None:
        # Entries of a term can be synced before the term itself. In that case no vote
        # was granted in that term, because a vote waits for its own sync.
        if self.last_term > self.term:
            self.set_vote(self.last_term, None)
