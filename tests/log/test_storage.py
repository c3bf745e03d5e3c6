"""All state that the storage has acknowledged must survive a crash of the host."""

import asyncio
import errno
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import pytest
from kingcuplug_log import CorruptLog, DiskFileSystem, Storage, StorageFailed
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

        async def fail(function: Any, *args: Any) -> None:
            calls.append((function, args))
            raise error

        with monkeypatch.context() as patch:
            patch.setattr(asyncio, "to_thread", fail)
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
                function(*args)
        reopened = Storage(DiskFileSystem(tmp_path))
        await reopened.open()
        assert reopened.last_index == 1
        await reopened.close()

    asyncio.run(main())
