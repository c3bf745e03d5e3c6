"""Durable state of one replica: hard state, log and snapshot.

Every group commit is one record in the log file, and at most one record is ever
unsynced, so a crash can only damage the last record. A record whose first index is
not after the last stored one replaces the entries from there on, so a conflicting
suffix is replaced atomically, without truncating the file.
"""

import asyncio
import contextlib
import errno
import sys
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from kingcuplug_common import random_identifier, require_integer, require_string

from kingcuplug_log._entry_list import EntryList
from kingcuplug_log._errors import CorruptLog
from kingcuplug_log._fail_stop import FailStopExecutor
from kingcuplug_log._file_system import FileSystem
from kingcuplug_log._records import decode_single_record, encode_record, scan_records
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry

__all__ = ["Storage"]

_LOG_FILE = "log"
_STATE_FILE = "state"
_SNAPSHOT_FILE = "snapshot"
_FOUNDING_FILE = "founding"
_NEW_FILE_SUFFIX = ".new"
_NO_CANDIDATE = ""  # A vote for nobody, which rules out others in its term.


class Storage:
    """Files of one replica, and the log entries in memory.

    In-memory changes (`set_term_and_vote`, `stage`) take effect at once and become
    durable with `persist_term_and_vote` and `flush`. After the first failure every
    operation raises `StorageFailed`.

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
    committed_index : int
        Index up to which the replica knows entries to be committed; stored with the
        term, so that `open` can detect that such entries are missing.
    appended_bytes : int
        Size of the entries written to the log file since it was last compacted.
    recovered_snapshot : Snapshot or None
        The snapshot read by `open`, until the replica has loaded it.
    founding : JSON value
        What `save_founding` has stored, ``None`` if nothing.
    """

    def __init__(self, files: FileSystem) -> None:
        self._files = files
        self._log = EntryList()
        self._log_handle: int | None = None
        self._log_lock = asyncio.Lock()
        self._state_lock = asyncio.Lock()
        self._snapshot_lock = asyncio.Lock()
        self._founding_lock = asyncio.Lock()
        self._staged_from_index = 1
        self._replaced_from_index = sys.maxsize
        self._persisted_hard_state: tuple[int, str | None] | None = None
        self._executor = FailStopExecutor()
        self.durable_index = 0
        self.committed_index = 0
        self.appended_bytes = 0
        self.term = 0
        self.vote: str | None = None
        self.disk_id = ""
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.recovered_snapshot: Snapshot | None = None
        self.founding: Any = None

    async def open(self) -> None:
        """Read the data folder, cut off a torn tail and make all of it durable.

        Raises
        ------
        CorruptLog
            If the files are damaged in a way that a crash cannot cause.
        StorageFailed
            If the folder cannot be read or repaired.
        """
        try:
            await self._load_files()
        except BaseException as error:
            self._close_log()
            if isinstance(error, OSError):
                raise self._executor.record_failure(error) from error
            raise

    async def close(self) -> None:
        """Wait for running operations and release the file handle.

        Later operations raise `StorageClosed`.
        """
        await self._executor.close()
        self._close_log()

    def halt(self, reason: str) -> None:
        """Fail all later operations, as after a failed write."""
        self._executor.record_failure(OSError(reason))

    @property
    def failure(self) -> Exception | None:
        """The first error, after which all operations fail."""
        return self._executor.failure

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

    def set_term_and_vote(self, term: int, vote: str | None) -> None:
        """Set term and vote in memory; `persist_term_and_vote` makes them durable."""
        if term < self.term:
            raise ValueError(f"term {term} is before the current term {self.term}")
        self.term, self.vote = term, vote

    async def persist_term_and_vote(self) -> None:
        """Make the current term and vote durable."""
        if (
            self._persisted_hard_state == (self.term, self.vote)
            and not self._state_lock.locked()
        ):
            self._executor.raise_if_failed()
            return
        await self._executor.run(self._state_lock, self._write_hard_state)

    def stage(self, entries: Sequence[Entry]) -> None:
        """Append entries to the log in memory; `flush` makes them durable.

        They replace everything from their first index on.
        """
        first = entries[0].index
        self._log.replace(entries)
        self.durable_index = min(self.durable_index, first - 1)
        self._replaced_from_index = min(self._replaced_from_index, first)
        self._staged_from_index = min(self._staged_from_index, first)

    async def flush(self) -> None:
        """Make all entries staged before the call durable.

        All staged entries go into one write and one sync, which concurrent calls
        share.
        """
        if self.durable_index == self.last_index and not self._log_lock.locked():
            self._executor.raise_if_failed()
            return
        await self._executor.run(self._log_lock, self._write_staged)

    async def save_snapshot(
        self,
        snapshot: Snapshot,
        retained: int,
        retained_bytes: int = sys.maxsize,
        on_saved: Callable[[], None] = lambda: None,
    ) -> None:
        """Replace the snapshot, then remove the entries that it covers.

        Parameters
        ----------
        retained, retained_bytes : int
            Number and size of the entries up to the snapshot's index that are kept at
            most.
        on_saved : callable
            Called when the snapshot, or a newer one, is stored, also if the caller was
            cancelled meanwhile.
        """

        async def save() -> None:
            if snapshot.index > self.snapshot_index:
                await replace()
            on_saved()

        async def replace() -> None:
            data = encode_record(snapshot.to_json())
            self._files.close(await self._replace_file(_SNAPSHOT_FILE, data))
            self.snapshot_index, self.snapshot_term = snapshot.index, snapshot.term
            async with self._log_lock:
                self._executor.raise_if_failed()
                await self._compact_log(snapshot, retained, retained_bytes)

        await self._executor.run(self._snapshot_lock, save)

    async def save_founding(self, value: Any) -> None:
        """Store what this member has promised before the cluster exists."""

        async def save() -> None:
            data = encode_record(value)
            self._files.close(await self._replace_file(_FOUNDING_FILE, data))
            self.founding = value

        await self._executor.run(self._founding_lock, save)

    async def read_snapshot(self) -> bytes:
        """Return the encoded record of the current snapshot."""
        self._executor.raise_if_failed()
        try:
            return await self._files.read(_SNAPSHOT_FILE)
        except OSError as error:
            raise self._executor.record_failure(error) from error

    def _close_log(self) -> None:
        if self._log_handle is not None:
            self._files.close(self._log_handle)
            self._log_handle = None

    async def _write_hard_state(self) -> None:
        hard_state = (self.term, self.vote)
        if hard_state == self._persisted_hard_state:
            return
        value = {
            "term": hard_state[0],
            "vote": hard_state[1],
            "disk_id": self.disk_id,
            "committed": min(self.committed_index, self.durable_index),
        }
        self._files.close(await self._replace_file(_STATE_FILE, encode_record(value)))
        self._persisted_hard_state = hard_state

    async def _write_staged(self) -> None:
        batch = self._log.slice(self._staged_from_index)
        if not batch:
            return
        self._begin_write()
        assert self._log_handle is not None
        data = encode_record([entry.to_json() for entry in batch])
        self.appended_bytes += len(data)
        self._files.write(self._log_handle, data)
        await self._files.sync(self._log_handle)
        self._end_write(batch[-1].index)

    def _begin_write(self) -> None:
        self._staged_from_index = self.last_index + 1
        self._replaced_from_index = sys.maxsize

    def _end_write(self, last_index: int) -> None:
        # Entries that were replaced during the sync are durable only in their old
        # version.
        self.durable_index = min(last_index, self._replaced_from_index - 1)

    async def _compact_log(
        self, snapshot: Snapshot, retained: int, retained_bytes: int
    ) -> None:
        base_index = snapshot.index
        if self.term_at(base_index) == snapshot.term:
            first_index = max(self.first_index, base_index - retained + 1)
            covered = self._log.slice(first_index, base_index - first_index + 1)
            for entry in reversed(covered):
                retained_bytes -= entry.size_bytes()
                if retained_bytes < 0:
                    break
                base_index = entry.index - 1
            self._log.compact(base_index, self.term_at(base_index) or 0)
        else:
            self._log.compact(base_index, snapshot.term)
        await self._rewrite_log()

    async def _rewrite_log(self) -> None:
        entries = self._log.slice(self.first_index)
        last_index = self.last_index
        self.durable_index = min(self.durable_index, last_index)
        self._begin_write()
        self.appended_bytes = 0
        handle = await self._replace_file(_LOG_FILE, self._encode_log(entries))
        self._close_log()
        self._log_handle = handle
        self._end_write(last_index)

    def _encode_log(self, entries: Sequence[Entry]) -> bytes:
        header = {
            "index": self._log.base_index,
            "term": self._log.base_term,
            "disk_id": self.disk_id,
            "hard_state": self._persisted_hard_state,
        }
        data = encode_record(header)
        if entries:
            data += encode_record([entry.to_json() for entry in entries])
        return data

    async def _replace_file(self, name: str, data: bytes) -> int:
        """Replace a file atomically and return a handle of the new one."""
        await self._raise_if_files_missing()
        handle = await self._files.open_append(name + _NEW_FILE_SUFFIX)
        try:
            self._files.write(handle, data)
            await self._files.sync(handle)
            await self._files.rename(name + _NEW_FILE_SUFFIX, name)
            await self._files.sync_folder()
        except BaseException:
            self._files.close(handle)
            raise
        return handle

    async def _raise_if_files_missing(self) -> None:
        """Raise `OSError` if the folder was removed, or emptied, since it was opened.

        A new file would then be the only one, and the folder could not be opened again.
        """
        names = await self._files.list()
        for name, is_stored in (
            (_LOG_FILE, self._log_handle is not None),
            (_STATE_FILE, self._persisted_hard_state is not None),
        ):
            if is_stored and name not in names:
                raise FileNotFoundError(errno.ENOENT, "a file is missing", name)

    async def _load_files(self) -> None:
        names = await self._files.list()
        for name in names:
            if name.endswith(_NEW_FILE_SUFFIX):
                await self._files.remove(name)
        if _STATE_FILE not in names:
            await self._create_files(names)
            return
        if _FOUNDING_FILE in names:
            data = await self._files.read(_FOUNDING_FILE)
            self.founding = decode_single_record(data, _FOUNDING_FILE)
        await self._read_hard_state()
        await self._read_snapshot(names)
        await self._read_log(names)
        self._raise_term_to_last_entry()

    async def _create_files(self, names: list[str]) -> None:
        # The state file is written last, so without it nothing was ever
        # acknowledged from this folder.
        if _SNAPSHOT_FILE in names or (
            _LOG_FILE in names and await self._log_has_entries()
        ):
            raise CorruptLog(
                _STATE_FILE, 0, "the file is missing, but others hold data"
            )
        self.disk_id = random_identifier()
        await self._rewrite_log()
        await self._write_hard_state()

    async def _log_has_entries(self) -> bool:
        return len(scan_records(await self._files.read(_LOG_FILE), _LOG_FILE)[0]) > 1

    async def _read_hard_state(self) -> None:
        value = decode_single_record(await self._files.read(_STATE_FILE), _STATE_FILE)
        with _refuse_unknown_content(_STATE_FILE):
            self.term = require_integer(value["term"])
            vote = value["vote"]
            self.vote = None if vote is None else require_string(vote)
            self.disk_id = require_string(value["disk_id"])
            self.committed_index = require_integer(value.get("committed", 0))
        self._persisted_hard_state = (self.term, self.vote)

    async def _read_snapshot(self, names: list[str]) -> None:
        if _SNAPSHOT_FILE in names:
            value = decode_single_record(
                await self._files.read(_SNAPSHOT_FILE), _SNAPSHOT_FILE
            )
            with _refuse_unknown_content(_SNAPSHOT_FILE):
                self.recovered_snapshot = Snapshot.from_json(value)
            self.snapshot_index = self.recovered_snapshot.index
            self.snapshot_term = self.recovered_snapshot.term

    async def _read_log(self, names: list[str]) -> None:
        if _LOG_FILE not in names:
            raise CorruptLog(_LOG_FILE, 0, "the file is missing")
        data = await self._files.read(_LOG_FILE)
        values, end = scan_records(data, _LOG_FILE)
        self._load_entries(values)
        self._check_consistency(values[0], end)
        if self.term_at(self.snapshot_index) != self.snapshot_term:
            # The new log states the term and vote of the state file, which a previous
            # process may have renamed without syncing the folder.
            await self._files.sync_folder()
            self._log.compact(self.snapshot_index, self.snapshot_term)
            await self._rewrite_log()
            return
        # After a failed sync, later ones of the same file succeed although the cache
        # holds content that the disk lacks. A torn tail is left behind, too.
        self._log_handle = await self._replace_file(_LOG_FILE, data[:end])
        self.appended_bytes = end
        self._staged_from_index = self.last_index + 1
        self.durable_index = self.last_index

    def _check_consistency(self, header: dict[str, Any], end: int) -> None:
        """Check that no file is older than another, or from another folder.

        An older state file has lost a vote, and an older or shortened log has lost
        entries that the leader counts as stored here.
        """
        if self._log.base_index > self.snapshot_index:
            raise CorruptLog(
                _SNAPSHOT_FILE, 0, "entries before the log's first are missing"
            )
        last_index = max(self.last_index, self.snapshot_index)
        if last_index < self.committed_index:
            raise CorruptLog(
                _LOG_FILE,
                end,
                f"the last entry is {last_index}, but {self.committed_index} was "
                "committed",
            )
        # Files of older versions do not have the fields.
        if header.get("disk_id", self.disk_id) != self.disk_id:
            raise CorruptLog(_LOG_FILE, 0, "the file is from another data folder")
        term, vote = header.get("hard_state") or (0, None)
        if self.term < term or (self.term == term and vote not in (None, self.vote)):
            raise CorruptLog(_STATE_FILE, 0, "the file is older than the log")

    def _load_entries(self, values: list[Any]) -> None:
        if not values:
            raise CorruptLog(_LOG_FILE, 0, "the header is missing")
        header, *batches = values
        with _refuse_unknown_content(_LOG_FILE):
            base = require_integer(header["index"]), require_integer(header["term"])
            self._log = EntryList(*base)
            for batch in batches:
                self._log.replace([Entry.from_json(entry) for entry in batch])

    def _raise_term_to_last_entry(self) -> None:
        # Entries of a term can be synced before the term itself. That term has its
        # leader, so no vote is needed in it.
        if self.last_term > self.term:
            self.set_term_and_vote(self.last_term, _NO_CANDIDATE)


@contextlib.contextmanager
def _refuse_unknown_content(file: str) -> Iterator[None]:
    """Turn the errors of decoding a valid record into `CorruptLog`."""
    try:
        yield
    except (LookupError, TypeError, ValueError) as error:
        raise CorruptLog(file, 0, f"its content is unknown: {error!r}") from error
