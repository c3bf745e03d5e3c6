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
from kingcuplug_log._records import decode_one
from kingcuplug_log._replica_state import Core
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry

__all__ = ["Following"]


class Following:
    """Receives entries and snapshots from the leader."""

    def __init__(self, state: Core, applier: Applier) -> None:
        self._core = state
        self._storage = state.storage
        self._applier = applier
        self._parts_key: tuple[int, int] = (0, 0)
        self._parts = bytearray()

    async def append(self, request: AppendRequest) -> AppendReply:
        """Append entries; the reply acknowledges only entries that are synced."""
        if not self._accept(request.header.term, request.header.sender):
            return await self._refuse_append()
        conflict_index = self._mismatch(request)
        if conflict_index is None:
            self._stage(request.entries)
            await self._flush()
        await self._storage.persist()
        if request.header.term != self._storage.term:
            return await self._refuse_append()
        if conflict_index is not None:
            return AppendReply(request.header.term, False, 0, conflict_index)
        last_sent = request.previous_index + len(request.entries)
        match_index = min(last_sent, self._storage.durable_index)
        self._core.commit(min(request.commit_index, match_index))
        return AppendReply(request.header.term, True, match_index, match_index + 1)

    async def install(self, request: InstallRequest) -> InstallReply:
        """Store a chunk of a snapshot, and install the snapshot after the last one."""
        term = request.header.term
        if not self._accept(term, request.header.sender):
            await self._storage.persist()
            return InstallReply(self._storage.term, 0, False)
        installed = request.index <= self._core.applied_index
        if not installed:
            self._collect(request)
            if len(self._parts) == request.total:
                installed = await self._install(bytes(self._parts))
        await self._storage.persist()
        return InstallReply(self._storage.term, len(self._parts), installed)

    def _accept(self, term: int, leader: str) -> bool:
        if term < self._storage.term:
            return False
        self._core.adopt(term)
        self._core.follow(leader)
        return True

    async def _refuse_append(self) -> AppendReply:
        await self._storage.persist()
        return AppendReply(self._storage.term, False, 0, 0)

    def _mismatch(self, request: AppendRequest) -> int | None:
        """Return the index to resume from, or ``None`` if the logs match."""
        previous = request.previous_index
        if previous > self._storage.last_index:
            return self._storage.last_index + 1
        if previous <= self._core.commit_index:
            return None
        term = self._storage.term_at(previous)
        if term == request.previous_term:
            return None
        first = previous
        while first > self._core.commit_index + 1:
            if self._storage.term_at(first - 1) != term:
                break
            first -= 1
        return first

    def _stage(self, entries: tuple[Entry, ...]) -> None:
        uncommitted = [e for e in entries if e.index > self._core.commit_index]
        for position, entry in enumerate(uncommitted):
            if self._storage.term_at(entry.index) != entry.term:
                self._storage.stage(uncommitted[position:])
                self._core.group.extend(uncommitted[position:])
                return

    async def _flush(self) -> None:
        if self._storage.durable_index == self._storage.last_index:
            return
        # A slow disk must not let the leader's lease expire, so the reply is sent
        # after at most one heartbeat interval and covers what is durable by then.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._core.settings.heartbeat):
                await self._storage.flush()

    def _collect(self, request: InstallRequest) -> None:
        key = (request.header.term, request.index)
        if key != self._parts_key:
            self._parts_key = key
            self._parts = bytearray()
        if request.offset == len(self._parts):
            self._parts += base64.b64decode(request.data)

    async def _install(self, data: bytes) -> bool:
        try:
            snapshot = Snapshot.from_json(decode_one(data, "received snapshot"))
        except CorruptLog:
            self._parts = bytearray()
            return False
        await self._storage.save_snapshot(snapshot, retained=0)
        self._applier.install(snapshot)
        self._parts = bytearray()
        return True
