"""Applies committed entries to the machine and takes snapshots."""

import asyncio
import contextlib
from typing import Any

from kingcuplug_log._core import Core
from kingcuplug_log._errors import LostLeadership, StorageFailed
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind, Machine

__all__ = ["Applier"]

_APPLY_BATCH = 256  # Bounds the time for which the event loop is blocked.


class Applier:
    """Applies entries in order and gives the results to their proposers."""

    def __init__(self, core: Core, machine: Machine) -> None:
        self._core = core
        self._storage = core.storage
        self._machine = machine
        self._waiting: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._saving: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Apply entries for ever as they are committed."""
        try:
            while True:
                await self._core.progressed.until(self._has_work)
                self._apply_batch()
                self._start_snapshot()
                await asyncio.sleep(0)
        finally:
            if self._saving is not None:
                self._saving.cancel()

    async def result(self, index: int, term: int) -> Any:
        """Return the machine's result for the entry proposed at `index`.

        Raises
        ------
        LostLeadership
            If leadership ended first, or another entry was committed there.
        """
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[index] = (term, future)
        return await future

    def abandon(self) -> None:
        """Give all proposers an unknown outcome."""
        waiting, self._waiting = self._waiting, {}
        for index, (_, future) in waiting.items():
            if not future.done():
                future.set_exception(LostLeadership(index))

    def install(self, snapshot: Snapshot) -> None:
        """Replace the machine's state by a snapshot that is already durable."""
        core = self._core
        if snapshot.index > core.applied_index:
            self._machine.load(snapshot.state)
            core.applied_index = snapshot.index
        first = max(self._storage.first_index, snapshot.index + 1)
        core.group.rebuild(snapshot, self._storage.entries(first))
        core.commit(snapshot.index)
        core.progressed.notify()

    def _has_work(self) -> bool:
        # While a snapshot is being installed, its entries are already dropped.
        core = self._core
        held = self._storage.first_index <= core.applied_index + 1
        return held and core.commit_index > core.applied_index

    def _apply_batch(self) -> None:
        core = self._core
        count = min(core.commit_index - core.applied_index, _APPLY_BATCH)
        for entry in self._storage.entries(core.applied_index + 1, count):
            self._apply(entry)
        core.metrics.count("log.applied", count)
        core.progressed.notify()

    def _apply(self, entry: Entry) -> None:
        result: Any = None
        error: Exception | None = None
        if entry.kind is EntryKind.COMMAND:
            try:
                result = self._machine.apply(entry.index, entry.data)
            except Exception as raised:  # The proposer gets it; the log goes on.
                error = raised
        self._core.applied_index = entry.index
        self._answer(entry, result, error)

    def _answer(self, entry: Entry, result: Any, error: Exception | None) -> None:
        term, future = self._waiting.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term != entry.term:
            future.set_exception(LostLeadership(entry.index))
        elif error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)

    def _start_snapshot(self) -> None:
        core = self._core
        due = self._storage.snapshot_index + core.settings.snapshot_entries
        if core.applied_index < due or self._storage.failure:
            return
        if self._saving is None or self._saving.done():
            self._saving = asyncio.ensure_future(
                core.supervise(self._save(self._snapshot()))
            )

    def _snapshot(self) -> Snapshot:
        core = self._core
        index = core.applied_index
        return Snapshot(
            index=index,
            term=self._storage.term_at(index) or 0,
            cluster=core.group.cluster or "",
            members=core.group.at(index),
            state=self._machine.dump(),
        )

    async def _save(self, snapshot: Snapshot) -> None:
        with contextlib.suppress(StorageFailed):
            retained = self._core.settings.retained_entries
            await self._storage.save_snapshot(snapshot, retained)
            self._core.metrics.count("log.snapshots")
            return
        self._core.fail()
