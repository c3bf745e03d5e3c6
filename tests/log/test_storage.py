"""All state that the storage has acknowledged must survive a crash of the host."""

import asyncio
import contextlib
import errno
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import pytest
from kingcuplug_log import CorruptLog, DiskFileSystem, Storage, StorageFailed
from kingcuplug_log._records import encode_record
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind
from kingcuplug_testkit import Failpoint, FakeDisk, run_virtual


@dataclass
class _AcknowledgedState:
    """State that the storage has acknowledged as durable."""

    disk_id: str = ""
    term: int = 0
    vote: str | None = None
    terms: tuple[int, ...] = ()
    snapshot: int = 0


def _entry(index: int, term: int) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, {"index": index, "term": term})


async def _run_all_operations(disk: FakeDisk, acknowledged: _AcknowledgedState) -> None:
    """Use every operation of the storage at least once."""
    storage = Storage(disk.mount())
    await storage.open()
    acknowledged.disk_id = storage.disk_id
    storage.set_term_and_vote(1, "a")
    await storage.persist_term_and_vote()
    acknowledged.term, acknowledged.vote = 1, "a"
    for index in (1, 2, 3):
        storage.stage([_entry(index, 1)])
        await storage.flush()
        acknowledged.terms += (1,)
    storage.set_term_and_vote(2, None)
    await storage.persist_term_and_vote()
    acknowledged.term, acknowledged.vote = 2, None
    acknowledged.terms = acknowledged.terms[:2]
    storage.stage([_entry(3, 2), _entry(4, 2)])
    await storage.flush()
    acknowledged.terms += (2, 2)
    await storage.save_snapshot(Snapshot(3, 2, "test", (), {}), retained=1)
    acknowledged.snapshot = 3
    storage.stage([_entry(5, 2)])
    await storage.flush()
    acknowledged.terms += (2,)
    await storage.save_snapshot(Snapshot(9, 3, "test", (), {}), retained=1)
    acknowledged.snapshot, acknowledged.terms = 9, ()
    await storage.close()


async def _check_recovered_state(
    disk: FakeDisk, acknowledged: _AcknowledgedState
) -> None:
    storage = Storage(disk.mount())
    await storage.open()
    assert acknowledged.disk_id in ("", storage.disk_id)
    assert storage.term >= acknowledged.term
    if storage.term == acknowledged.term and acknowledged.vote:
        assert storage.vote == acknowledged.vote
    assert storage.snapshot_index >= acknowledged.snapshot
    for index, term in enumerate(acknowledged.terms, start=1):
        if index > max(storage.snapshot_index, storage.first_index - 1):
            assert storage.term_at(index) == term
    await storage.close()


def _record_calls() -> list[tuple[str, str]]:
    disk = FakeDisk(Random(0))
    run_virtual(_run_all_operations(disk, _AcknowledgedState()))
    return disk.calls


@pytest.mark.parametrize("seed", range(4))
def test_crash_after_each_call(seed: int) -> None:
    # Guards against a missing sync or folder sync, or a wrong order, at any call.
    async def main(crash_at: int) -> None:
        disk = FakeDisk(Random(f"{seed}/{crash_at}"))
        disk.crash_after_calls = crash_at
        acknowledged = _AcknowledgedState()
        with pytest.raises(StorageFailed):
            await _run_all_operations(disk, acknowledged)
        disk.crash_after_calls = None
        await _check_recovered_state(disk, acknowledged)

    for crash_at in range(1, len(_record_calls()) + 1):
        run_virtual(main(crash_at))


@pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC])
@pytest.mark.parametrize("call", ["write", "sync", "rename", "sync_folder"])
def test_failure_is_final(call: str, code: int) -> None:
    # Guards against a retry that reports success for pages that a failure dropped.
    async def main() -> None:
        disk = FakeDisk(Random(0))
        storage = Storage(disk.mount())
        await storage.open()
        disk.failpoints.append(Failpoint(call, error=code))
        storage.set_term_and_vote(1, "a")
        storage.stage([_entry(1, 1)])
        for operation in (
            storage.persist_term_and_vote,
            storage.flush,
            storage.persist_term_and_vote,
        ):
            with pytest.raises(StorageFailed):
                await operation()
        assert storage.durable_index == 0

    run_virtual(main())


def test_failed_sync_ends_group_commit() -> None:
    # Guards against acknowledging the entries of a failed sync after a later sync of
    # the same file.
    async def main() -> None:
        disk = FakeDisk(Random(0))
        storage = Storage(disk.mount())
        await storage.open()
        disk.failpoints.append(Failpoint("sync", "log", error=errno.EIO))
        storage.stage([_entry(1, 1)])
        with pytest.raises(StorageFailed):
            await storage.flush()
        storage.stage([_entry(2, 1)])
        with pytest.raises(StorageFailed):
            await storage.flush()
        assert storage.durable_index == 0

    run_virtual(main())


def _disk_with_entries(count: int) -> FakeDisk:
    async def main() -> FakeDisk:
        disk = FakeDisk(Random(0))
        storage = Storage(disk.mount())
        await storage.open()
        for index in range(1, count + 1):
            storage.stage([_entry(index, 1)])
            await storage.flush()
        await storage.close()
        return disk

    return run_virtual(main())


def _open(disk: FakeDisk) -> Storage:
    async def main() -> Storage:
        storage = Storage(disk.mount())
        await storage.open()
        return storage

    return run_virtual(main())


def test_torn_tail_is_cut() -> None:
    # Guards against a host that cannot start after a crash during a write.
    disk = _disk_with_entries(3)
    size = len(disk.files["log"].durable)
    disk.append_torn_record("log")
    assert _open(disk).last_index == 3
    assert len(disk.files["log"].durable) == size


def test_corrupt_record_before_valid_one_is_refused() -> None:
    # Guards against discarding synced entries that follow a corrupt one.
    disk = _disk_with_entries(3)
    corrupt_offset = disk.files["log"].durable.index(b"\xf5KL\xfa", 1)
    disk.corrupt_byte("log", corrupt_offset + 20)
    with pytest.raises(CorruptLog) as caught:
        _open(disk)
    assert (caught.value.file, caught.value.offset) == ("log", corrupt_offset)


def test_corrupt_length_field_is_refused() -> None:
    # Guards against treating everything after a corrupt length field as a torn tail.
    disk = _disk_with_entries(3)
    corrupt_offset = disk.files["log"].durable.index(b"\xf5KL\xfa", 1)
    disk.corrupt_byte("log", corrupt_offset + 4)
    with pytest.raises(CorruptLog):
        _open(disk)


@pytest.mark.parametrize("name", ["state", "log"])
def test_missing_file_is_refused(name: str) -> None:
    # Guards against a data folder that silently loses its vote or its entries.
    disk = _disk_with_entries(1)
    del disk.files[name]
    with pytest.raises(CorruptLog, match="missing"):
        _open(disk)


def test_real_files_survive_reopening(tmp_path: Path) -> None:
    # Guards against a real file system that behaves differently from the fake one.
    async def main() -> None:
        storage = Storage(DiskFileSystem(tmp_path / "data"))
        await storage.open()
        storage.set_term_and_vote(4, "a")
        await storage.persist_term_and_vote()
        storage.stage([_entry(index, 1) for index in range(1, 6)])
        await storage.flush()
        await storage.save_snapshot(Snapshot(3, 1, "test", (), {"n": 1}), retained=1)
        storage.stage([_entry(6, 2)])
        await storage.flush()
        await storage.close()
        with (tmp_path / "data" / "log").open("ab") as log:
            log.write(b"\xf5KL\xfa\0\0\1\0torn")
        reopened = Storage(DiskFileSystem(tmp_path / "data"))
        await reopened.open()
        assert (reopened.disk_id, reopened.term, reopened.vote) == (
            storage.disk_id,
            4,
            "a",
        )
        assert (reopened.first_index, reopened.last_index, reopened.last_term) == (
            3,
            6,
            2,
        )
        assert reopened.recovered_snapshot == Snapshot(3, 1, "test", (), {"n": 1})
        await reopened.close()

    asyncio.run(main())


def test_closed_storage_writes_nothing() -> None:
    # Guards against a vote that is forgotten because a stopped replica, which still
    # handles a message, replaces the state file of the one that follows it.
    async def main() -> None:
        disk = FakeDisk(Random(0))
        stopped, successor = Storage(disk.mount()), Storage(disk.mount())
        await stopped.open()
        stopped.set_term_and_vote(3, None)
        stopped.stage([_entry(1, 3)])
        await stopped.close()
        await successor.open()
        successor.set_term_and_vote(7, "a")
        await successor.persist_term_and_vote()
        for operation in (
            stopped.persist_term_and_vote,
            stopped.flush,
            lambda: stopped.save_snapshot(Snapshot(1, 3, "test", (), {}), retained=0),
        ):
            with pytest.raises(StorageFailed, match="closed"):
                await operation()
        await successor.close()
        reopened = Storage(disk.mount())
        await reopened.open()
        assert (reopened.term, reopened.vote) == (7, "a")
        assert (reopened.last_index, reopened.snapshot_index) == (0, 0)

    run_virtual(main())


def _disk_with_history() -> tuple[FakeDisk, dict[str, list[bytes]]]:
    """Return a disk and all contents that its files had, the present one last."""
    history: dict[str, list[bytes]] = {"log": [], "state": [], "snapshot": []}

    async def main() -> FakeDisk:
        disk = FakeDisk(Random(0))
        storage = Storage(disk.mount())
        await storage.open()
        for index in range(1, 9):
            storage.stage([_entry(index, index)])
            await storage.flush()
            storage.committed_index = index
            storage.set_term_and_vote(index, "a")
            await storage.persist_term_and_vote()
            if index == 5:
                await storage.save_snapshot(Snapshot(5, 5, "t", (), {}), retained=2)
            for name, contents in history.items():
                if name in disk.files:
                    contents.append(disk.files[name].durable)
        await storage.close()
        return disk

    return run_virtual(main()), history


def _replace_content(disk: FakeDisk, name: str, content: bytes) -> None:
    disk.files[name].durable = content
    disk.files[name].current = bytearray(content)


def test_log_that_lacks_committed_entries_is_refused() -> None:
    # Guards against a member that votes for a leader without entries that it has
    # acknowledged: its log was shortened or is an older copy.
    disk, history = _disk_with_history()
    log = history["log"][-1]
    damaged = [log[:size] for size in range(1, len(log))] + history["log"][:-1]
    for content in damaged:
        _replace_content(disk, "log", content)
        with pytest.raises(CorruptLog):
            _open(disk)
        assert disk.files["log"].durable == content


def test_changed_byte_in_the_last_committed_entry_is_refused() -> None:
    # Guards against taking damage of a synced record for a write that was torn.
    disk, _ = _disk_with_history()
    disk.corrupt_byte("log", len(disk.files["log"].durable) - 1)
    with pytest.raises(CorruptLog):
        _open(disk)


def test_state_file_older_than_the_log_is_refused() -> None:
    # Guards against a second vote in a term because an older copy was restored.
    disk, history = _disk_with_history()
    for content in history["state"][:4]:
        _replace_content(disk, "state", content)
        with pytest.raises(CorruptLog, match="older"):
            _open(disk)


def test_no_vote_is_left_in_the_terms_of_the_log() -> None:
    # Guards against the same when the log was not rewritten since.
    disk, history = _disk_with_history()
    _replace_content(disk, "state", history["state"][5])
    storage = _open(disk)
    assert storage.term == 8
    assert storage.vote not in (None, "a", "b")


def test_log_of_another_folder_is_refused() -> None:
    # Guards against a member that claims the entries of another one as its own.
    disk, other = _disk_with_entries(3), _disk_with_entries(5)
    _replace_content(disk, "log", other.files["log"].durable)
    with pytest.raises(CorruptLog, match="another data folder"):
        _open(disk)


def test_files_of_earlier_versions_are_read() -> None:
    # Guards against a host that cannot start after an upgrade.
    disk = _disk_with_entries(1)
    state = {"term": 4, "vote": "a", "disk_id": "d"}
    entries = [_entry(1, 1).to_json(), _entry(2, 4).to_json()]
    log = encode_record({"index": 0, "term": 0}) + encode_record(entries)
    _replace_content(disk, "state", encode_record(state))
    _replace_content(disk, "log", log)
    storage = _open(disk)
    assert (storage.disk_id, storage.term, storage.vote) == ("d", 4, "a")
    assert (storage.last_index, storage.last_term) == (2, 4)


@pytest.mark.parametrize("name", ["state", "log", "snapshot"])
@pytest.mark.parametrize(
    "value", [[], 7, None, {"index": 1}, [[1]], {"term": "x", "vote": 1, "disk_id": 2}]
)
def test_valid_record_of_another_kind_is_refused(name: str, value: object) -> None:
    # Guards against an error that is not named in place of a refusal.
    disk, _ = _disk_with_history()
    _replace_content(disk, name, encode_record(value))
    with pytest.raises(CorruptLog) as caught:
        _open(disk)
    assert caught.value.file == name


def test_valid_record_that_holds_no_entries_is_refused() -> None:
    # Guards against the same within the log.
    disk, _ = _disk_with_history()
    content = disk.files["log"].durable + encode_record([[9, 8]])
    _replace_content(disk, "log", content)
    with pytest.raises(CorruptLog):
        _open(disk)


@pytest.mark.parametrize("operation", ["vote", "snapshot"])
def test_storage_fails_once_its_files_are_removed(operation: str) -> None:
    # Guards against a folder with a part of the files, after it was removed in the run.
    async def main() -> None:
        disk = FakeDisk(Random(0))
        storage = Storage(disk.mount())
        await storage.open()
        storage.stage([_entry(1, 1)])
        await storage.flush()
        disk.remove_files()
        storage.set_term_and_vote(1, "a")
        with pytest.raises(StorageFailed, match="missing"):
            if operation == "vote":
                await storage.persist_term_and_vote()
            else:
                await storage.save_snapshot(Snapshot(1, 1, "t", (), {}), retained=0)
        assert disk.files == {}
        successor = Storage(disk.mount())
        await successor.open()
        assert successor.disk_id != storage.disk_id

    run_virtual(main())


@pytest.mark.parametrize("restarts", [1, 2])
def test_entries_of_a_failed_sync_are_durable_once_the_folder_is_opened_again(
    restarts: int,
) -> None:
    # Guards against acknowledging what only the cache holds: after a failed sync, the
    # next one of the same file succeeds without writing.
    async def main() -> None:
        disk = FakeDisk(Random(0))
        storage = Storage(disk.mount())
        await storage.open()
        storage.stage([_entry(1, 1)])
        disk.failpoints.append(Failpoint("sync", "log", error=errno.EIO))
        with pytest.raises(StorageFailed):
            await storage.flush()
        await storage.close()
        for _ in range(restarts):
            reopened = Storage(disk.mount())
            await reopened.open()
            await reopened.close()
        reopened = Storage(disk.mount())
        await reopened.open()
        reopened.stage([_entry(reopened.last_index + 1, 1)])
        await reopened.flush()
        durable_index = reopened.durable_index
        disk.crash()
        recovered = Storage(disk.mount())
        await recovered.open()
        assert recovered.last_index == durable_index

    run_virtual(main())


@pytest.mark.parametrize(
    "error", [RuntimeError("can't start new thread"), MemoryError()]
)
def test_write_that_lacks_a_thread_or_memory_is_final(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: Exception
) -> None:
    # Guards against acknowledging entries after others were lost that precede them.
    async def main() -> None:
        storage = Storage(DiskFileSystem(tmp_path))
        await storage.open()
        storage.stage([_entry(1, 1)])
        await storage.flush()
        calls: list[Any] = []

        def fail(executor: Any, function: Any, *args: Any) -> None:
            calls.append((function, args))
            raise error

        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "run_in_executor", fail)
            storage.stage([_entry(2, 1)])
            with pytest.raises(StorageFailed):
                await storage.flush()
        storage.stage([_entry(3, 1)])
        with pytest.raises(StorageFailed):
            await storage.flush()
        assert storage.durable_index == 1
        await storage.close()
        if isinstance(error, RuntimeError):
            # The executor makes the call as soon as it has a thread.
            for function, args in calls:
                with contextlib.suppress(OSError):
                    function(*args)
        reopened = Storage(DiskFileSystem(tmp_path))
        await reopened.open()
        assert reopened.last_index == 1
        await reopened.close()

    asyncio.run(main())
