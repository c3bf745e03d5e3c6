"""One term of leadership: replication, commit, lease and membership changes."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from kingcuplug_log._errors import NotLeader
from kingcuplug_log._group_membership import majority
from kingcuplug_log._membership_changes import Changes
from kingcuplug_log._progress import Progress
from kingcuplug_log._replica_state import Core
from kingcuplug_log._types import Entry, EntryKind, PeerStatus

__all__ = ["Leadership"]

# An idle leader sends a new commit index to its peers after this delay, so that it can
# go out together with the next proposal of a sequential caller.
_COMMIT_NOTICE_S = 0.005


class Leadership:
    """State and tasks that a replica has only while it is the leader.

    Attributes
    ----------
    term : int
        Term of this leadership.
    term_start_index : int
        Index of the term's first entry, a no-op; no entry of the term is committed
        before it.
    membership_changes : Changes
        Membership changes in this term.

    Parameters
    ----------
    on_close : callable
        Called when the leadership ends.
    """

    def __init__(self, state: Core, on_close: Callable[[], None]) -> None:
        self._core = state
        self._on_close = on_close
        self._storage = state.storage
        self._settings = state.settings
        self._progress: dict[str, Progress] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._active = True
        self._started_at = state.clock()
        self._asked_at = -math.inf
        self.term = state.storage.term
        self.first_index = state.storage.last_index + 1
        self.changes = Changes(state, self)

    @property
    def active(self) -> bool:
        """Whether this replica is still the leader of the term."""
        return self._active and self._storage.failure is None

    @property
    def opened(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._core.commit_index >= self.first_index

    def close(self) -> None:
        """End the leadership; `run` returns soon after."""
        self._active = False
        self._on_close()

    async def run(self) -> None:
        """Lead until another term begins or the quorum is unreachable."""
        self.append(EntryKind.NOOP, None)
        async with asyncio.TaskGroup() as tasks:
            writer = tasks.create_task(self._write())
            while self.active:
                self._update_peers(tasks)
                await self._core.progressed.until(
                    self._is_due, self._settings.heartbeat
                )
                self._supervise()
            for task in (writer, *self._tasks.values()):
                task.cancel()

    def append(self, kind: EntryKind, data: Any) -> int:
        """Add an entry to the log and return its index."""
        entry = Entry(self._storage.last_index + 1, self.term, kind, data)
        self._storage.stage([entry])
        self._core.group.extend([entry])
        self._core.appended.notify()
        return entry.index

    async def confirm(self) -> int:
        """Return a commit index that includes all commands completed before the call.

        Raises
        ------
        NotLeader
            If neither the lease nor replies from a quorum confirm the leadership.
        """
        timeout = self._settings.election_timeout
        await self._wait(lambda: self.opened, timeout)
        index, requested_at = self._core.commit_index, self._core.clock()
        if not self.lease_valid():
            self._asked_at = requested_at
            self._core.appended.notify()
            await self._wait(lambda: self.contact_at() >= requested_at, timeout)
        return index

    def contact_at(self) -> float:
        """Return the latest time since which a quorum has answered a request."""
        voters = self._core.group.voters
        times = sorted((self._answered_at(voter.id) for voter in voters), reverse=True)
        return times[majority(len(times)) - 1]

    def lease_valid(self) -> bool:
        """Return whether the lease rules out that another replica has been elected."""
        age = self._core.clock() - self.contact_at()
        return self.active and self.opened and age < self._settings.lease

    def in_contact(self) -> bool:
        """Return whether a quorum replied within the election timeout.

        The first election timeout of the leadership counts as contact.
        """
        since = max(self.contact_at(), self._started_at)
        return self._core.clock() - since < self._settings.election_timeout

    def safe_to_lose_one(self) -> bool:
        """Return whether any one voter can be lost permanently."""
        voter_count = len(self._core.group.voters)
        healthy = sum(p.healthy for p in self._progress.values() if p.votes)
        healthy += self._core.group.votes(self._core.member.id)
        return self.active and healthy - 1 >= majority(voter_count)

    def learners(self) -> list[Progress]:
        """Return the progress of the learners that can be promoted."""
        return [p for p in self._progress.values() if p.promotable]

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return the replication status of all other members."""
        return tuple(progress.status() for progress in self._progress.values())

    async def _wait(self, condition: Callable[[], bool], timeout: float) -> None:
        changed = self._core.progressed
        await changed.until(lambda: not self.active or condition(), timeout)
        if not self.active or not condition():
            raise NotLeader(None)

    async def _write(self) -> None:
        while True:
            await self._storage.flush()
            self._advance()
            await self._core.appended.until(
                lambda: self._storage.durable_index < self._storage.last_index
            )

    async def _replicate(self, progress: Progress) -> None:
        while self.active:
            started_at = self._core.clock()
            if await progress.exchange():
                self._advance()
                self._core.progressed.notify()
                await self._idle(progress)
            else:
                elapsed_s = self._core.clock() - started_at
                await asyncio.sleep(max(0.0, self._settings.heartbeat - elapsed_s))

    async def _idle(self, progress: Progress) -> None:
        """Wait until there is something to send to a member, or a heartbeat is due."""
        log_appended, storage = self._core.appended, self._storage
        last_commit_index = self._core.commit_index

        def has_work() -> bool:
            has_entries = progress.next_index <= storage.last_index
            needs_confirmation = progress.answered_at < self._asked_at
            return has_entries or needs_confirmation or not self.active

        if not await log_appended.until(has_work, _COMMIT_NOTICE_S):
            if self._core.commit_index != last_commit_index:
                return
            await log_appended.until(has_work, self._settings.heartbeat)

    def _update_peers(self, tasks: asyncio.TaskGroup) -> None:
        peers = {m.id: m for m in self._core.group.members}
        peers.pop(self._core.member.id, None)
        for removed_id in [peer_id for peer_id in self._tasks if peer_id not in peers]:
            self._tasks.pop(removed_id).cancel()
            del self._progress[removed_id]
        for added_id in [peer_id for peer_id in peers if peer_id not in self._tasks]:
            progress = Progress(self._core, peers[added_id], self.term)
            self._progress[added_id] = progress
            self._tasks[added_id] = tasks.create_task(self._replicate(progress))

    def _is_due(self) -> bool:
        return not self.active or self.changes.due()

    def _supervise(self) -> None:
        if not self.active:
            return
        if self.changes.removed() or not self.in_contact():
            self._core.step_down(None)
        else:
            self.changes.promote()

    def _answered_at(self, identifier: str) -> float:
        if identifier == self._core.member.id:
            return self._core.clock()
        progress = self._progress.get(identifier)
        return progress.answered_at if progress else -math.inf

    def answers(self, identifier: str) -> bool:
        """Return whether a member replied within the election timeout."""
        age = self._core.clock() - self._answered_at(identifier)
        return age < self._settings.election_timeout

    def _advance(self) -> None:
        """Commit the entries that a quorum has synced.

        Only an entry of this term is committed by counting replicas; a later leader
        could still replace an entry of an older term.
        """
        voters = self._core.group.voters
        if not self.active or not voters:
            return
        matches = sorted((self._match(voter.id) for voter in voters), reverse=True)
        index = matches[majority(len(matches)) - 1]
        if self._storage.term_at(index) == self.term:
            self._core.commit(index)

    def _match(self, identifier: str) -> int:
        if identifier == self._core.member.id:
            return self._storage.durable_index
        progress = self._progress.get(identifier)
        return progress.match_index if progress else 0
