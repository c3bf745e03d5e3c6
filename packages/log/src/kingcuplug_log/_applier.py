"""Application of committed entries to the state machine, and snapshots."""

import asyncio
import contextlib
from typing import Any

from kingcuplug_log._errors import LostLeadership, StorageFailed
from kingcuplug_log._replica_state import ReplicaState
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind, StateMachine

__all__ = ["Applier"]

_APPLY_BATCH_ENTRIES = 256  # Limits how long one batch blocks the event loop.


class Applier:
    """Applies committed entries in order and completes the pending proposals."""

    def __init__(self, state: ReplicaState, machine: StateMachine) -> None:
        self._state = state
        self._storage = state.storage
        self._machine = machine
        self._pending: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._snapshot_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Apply entries as they are committed, until cancelled."""
        try:
            while True:
                await self._state.changed.wait_for(self._has_entries_to_apply)
                self._apply_batch()
                self._start_snapshot_if_due()
                await asyncio.sleep(0)
        finally:
            if self._snapshot_task is not None:
                self._snapshot_task.cancel()

    async def wait_result(self, index: int, term: int) -> Any:
        """Wait for the state machine's result of the entry proposed at `index`.

        Raises
        ------
        LostLeadership
            If leadership ended first, or another entry was committed at `index`.
        """
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[index] = (term, future)
        return await future

    def fail_pending(self) -> None:
        """Fail all pending proposals; their outcome is unknown."""
        pending, self._pending = self._pending, {}
        for index, (_, future) in pending.items():
            if not future.done():
                future.set_exception(LostLeadership(index))

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state machine's state with a snapshot that is already durable."""
        state = self._state
        if snapshot.index > state.applied_index:
            self._machine.load(snapshot.state)
            state.record_applied(snapshot.index)
        first = max(self._storage.first_index, snapshot.index + 1)
        state.group.restore(snapshot, self._storage.entries(first))
        state.advance_commit_index(snapshot.index)
        state.changed.notify()

    def _has_entries_to_apply(self) -> bool:
        # While a snapshot is being installed, the entries it covers are already
        # removed from the log and cannot be applied.
        state = self._state
        next_is_stored = self._storage.first_index <= state.applied_index + 1
        return next_is_stored and state.commit_index > state.applied_index

    def _apply_batch(self) -> None:
        state = self._state
        count = min(state.commit_index - state.applied_index, _APPLY_BATCH_ENTRIES)
        for entry in self._storage.entries(state.applied_index + 1, count):
            self._apply(entry)
        state.metrics.count("log.applied", count)
        state.changed.notify()

    def _apply(self, entry: Entry) -> None:
        result: Any = None
        error: Exception | None = None
        if entry.kind is EntryKind.COMMAND:
            try:
                result = self._machine.apply(entry.index, entry.data)
            except Exception as raised:  # Goes to the proposer; later entries apply.
                error = raised
        self._state.record_applied(entry.index)
        self._complete_proposal(entry, result, error)

    def _complete_proposal(
        self, entry: Entry, result: Any, error: Exception | None
    ) -> None:
        term, future = self._pending.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term != entry.term:
            future.set_exception(LostLeadership(entry.index))
        elif error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)

    def _start_snapshot_if_due(self) -> None:
        state = self._state
        uncovered = state.applied_index - self._storage.snapshot_index
        is_due = uncovered >= state.settings.snapshot_entries or (
            uncovered > 0
            and self._storage.appended_bytes >= state.settings.snapshot_bytes
        )
        if not is_due or self._storage.failure:
            return
        if self._snapshot_task is None or self._snapshot_task.done():
            self._snapshot_task = asyncio.ensure_future(
                state.supervise(self._save_snapshot(self._make_snapshot()))
            )

    def _make_snapshot(self) -> Snapshot:
        state = self._state
        index = state.applied_index
        members, intended_size = state.group.at(index)
        return Snapshot(
            index=index,
            term=self._storage.term_at(index) or 0,
            cluster=state.group.cluster or "",
            members=members,
            state=self._machine.dump(),
            intended_size=intended_size,
        )

    async def _save_snapshot(self, snapshot: Snapshot) -> None:
        with contextlib.suppress(StorageFailed):
            settings = self._state.settings
            await self._storage.save_snapshot(
                snapshot, settings.retained_entries, settings.retained_bytes
            )
            self._state.metrics.count("log.snapshots")
            return
        self._state.handle_storage_failure()
