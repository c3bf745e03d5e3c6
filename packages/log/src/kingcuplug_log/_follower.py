"""A follower's handling of requests from its leader."""

import asyncio
import base64
import contextlib

from kingcuplug_log._applier import Applier
from kingcuplug_log._errors import CorruptLog
from kingcuplug_log._messages import (
    AppendReply,
    AppendRequest,
    InstallReply,
    InstallRequest,
)
from kingcuplug_log._records import decode_single_record
from kingcuplug_log._replica_state import ReplicaState
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry

__all__ = ["Follower"]


class Follower:
    """Receives entries and snapshots from the leader."""

    def __init__(self, state: ReplicaState, applier: Applier) -> None:
        self._state = state
        self._storage = state.storage
        self._applier = applier
        self._snapshot_key: tuple[int, int] = (0, 0)
        self._snapshot_data = bytearray()

    async def handle_append(self, request: AppendRequest) -> AppendReply:
        """Append entries; the reply acknowledges only entries that are synced."""
        if not self._accept_leader(request.header.term, request.header.sender):
            return await self._reject_append()
        self._state.record_leader_commit(request.commit_index)
        conflict_index = self._find_conflict_index(request)
        if conflict_index is None:
            self._stage_new_entries(request.entries)
            await self._flush_within_heartbeat()
        await self._storage.persist_term_and_vote()
        if request.header.term != self._storage.term:
            return await self._reject_append()
        if conflict_index is not None:
            return AppendReply(request.header.term, False, 0, conflict_index)
        last_sent = request.previous_index + len(request.entries)
        match_index = min(last_sent, self._storage.durable_index)
        self._state.advance_commit_index(min(request.commit_index, match_index))
        return AppendReply(request.header.term, True, match_index, match_index + 1)

    async def handle_install(self, request: InstallRequest) -> InstallReply:
        """Store a chunk of a snapshot; install the snapshot after the last chunk."""
        term = request.header.term
        if not self._accept_leader(term, request.header.sender):
            await self._storage.persist_term_and_vote()
            return InstallReply(self._storage.term, 0, False)
        installed = request.index <= self._state.applied_index
        if not installed:
            self._add_chunk(request)
            if len(self._snapshot_data) == request.total:
                installed = await self._install_snapshot(bytes(self._snapshot_data))
        await self._storage.persist_term_and_vote()
        return InstallReply(self._storage.term, len(self._snapshot_data), installed)

    def _accept_leader(self, term: int, leader: str) -> bool:
        if term < self._storage.term:
            return False
        self._state.advance_term(term)
        self._state.follow_leader(leader)
        return True

    async def _reject_append(self) -> AppendReply:
        await self._storage.persist_term_and_vote()
        return AppendReply(self._storage.term, False, 0, 0)

    def _find_conflict_index(self, request: AppendRequest) -> int | None:
        """Return the index to resume from, or ``None`` if the logs match."""
        previous = request.previous_index
        if previous > self._storage.last_index:
            return self._storage.last_index + 1
        if previous <= self._state.commit_index:
            return None
        term = self._storage.term_at(previous)
        if term == request.previous_term:
            return None
        first = previous
        while first > self._state.commit_index + 1:
            if self._storage.term_at(first - 1) != term:
                break
            first -= 1
        return first

    def _stage_new_entries(self, entries: tuple[Entry, ...]) -> None:
        uncommitted = [e for e in entries if e.index > self._state.commit_index]
        for position, entry in enumerate(uncommitted):
            if self._storage.term_at(entry.index) != entry.term:
                self._storage.stage(uncommitted[position:])
                self._state.group.append_entries(uncommitted[position:])
                return

    async def _flush_within_heartbeat(self) -> None:
        if self._storage.durable_index == self._storage.last_index:
            return
        # A slow disk must not let the leader's lease expire, so the reply is sent
        # after at most one heartbeat interval and covers what is durable by then.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._state.settings.heartbeat_interval):
                await self._storage.flush()

    def _add_chunk(self, request: InstallRequest) -> None:
        key = (request.header.term, request.index)
        if key != self._snapshot_key:
            self._snapshot_key = key
            self._snapshot_data = bytearray()
        if request.offset == len(self._snapshot_data):
            self._snapshot_data += base64.b64decode(request.data)

    async def _install_snapshot(self, data: bytes) -> bool:
        try:
            snapshot = Snapshot.from_json(
                decode_single_record(data, "received snapshot")
            )
            if not snapshot.members:
                raise ValueError("a leader's snapshot has members")
        except (CorruptLog, LookupError, TypeError, ValueError):
            self._snapshot_data = bytearray()
            return False
        # The entries that the snapshot covers are gone once it is stored, so it must be
        # applied, also if the leader's call has timed out by then.
        await self._storage.save_snapshot(
            snapshot,
            retained=0,
            on_saved=lambda: self._applier.install_snapshot(snapshot),
        )
        self._snapshot_data = bytearray()
        return True
