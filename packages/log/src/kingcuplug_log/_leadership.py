"""One term of leadership: replication, commit, lease and membership changes."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from kingcuplug_log._errors import NotLeader
from kingcuplug_log._group_membership import NOOP_DATA
from kingcuplug_log._membership_changes import MembershipChanges
from kingcuplug_log._progress import Progress
from kingcuplug_log._replica_state import ReplicaState
from kingcuplug_log._types import Entry, EntryKind, PeerStatus

__all__ = ["Leadership"]

# An idle leader sends a new commit index to its peers after this delay, so that it can
# go out together with the next proposal of a sequential caller.
_COMMIT_NOTICE_DELAY_S = 0.005


class Leadership:
    """State and tasks that a replica has only while it is the leader.

    Attributes
    ----------
    term : int
        Term of this leadership.
    term_start_index : int
        Index of the term's first entry, a no-op; no entry of the term is committed
        before it.
    membership_changes : MembershipChanges
        Membership changes in this term.

    Parameters
    ----------
    on_close : callable
        Called when the leadership ends.
    """

    def __init__(self, state: ReplicaState, on_close: Callable[[], None]) -> None:
        self._state = state
        self._on_close = on_close
        self._storage = state.storage
        self._settings = state.settings
        self._progress: dict[str, Progress] = {}
        self._replication_tasks: dict[str, asyncio.Task[None]] = {}
        self._active = True
        self._started_at = state.clock()
        self._confirm_requested_at = -math.inf
        self.term = state.storage.term
        self.term_start_index = state.storage.last_index + 1
        self.membership_changes = MembershipChanges(state, self)

    @property
    def active(self) -> bool:
        """Whether this replica is still the leader of the term."""
        return self._active and self._storage.failure is None

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._state.commit_index >= self.term_start_index

    def close(self) -> None:
        """End the leadership; `run` returns soon after."""
        self._active = False
        self._on_close()

    async def run(self) -> None:
        """Lead until another term begins or the quorum is unreachable."""
        self.append(EntryKind.NOOP, NOOP_DATA)
        async with asyncio.TaskGroup() as tasks:
            writer = tasks.create_task(self._run_log_writer())
            while self.active:
                self._update_replication_tasks(tasks)
                await self._state.changed.wait_for(
                    self._has_pending_action, self._settings.heartbeat_interval
                )
                self._check_leadership()
            for task in (writer, *self._replication_tasks.values()):
                task.cancel()

    def append(self, kind: EntryKind, data: Any) -> int:
        """Add an entry to the log and return its index."""
        entry = Entry(self._storage.last_index + 1, self.term, kind, data)
        self._storage.stage([entry])
        self._state.group.append_entries([entry])
        self._state.log_appended.notify()
        return entry.index

    async def confirm_read_index(self) -> int:
        """Return a commit index that includes all commands completed before the call.

        Raises
        ------
        NotLeader
            If neither the lease nor replies from a quorum confirm the leadership.
        """
        timeout = self._settings.election_timeout
        await self._wait_until(lambda: self.has_committed_in_term, timeout)
        index, requested_at = self._state.commit_index, self._state.clock()
        if not self.lease_valid():
            self._confirm_requested_at = requested_at
            self._state.log_appended.notify()
            await self._wait_until(
                lambda: self.quorum_contact_at() >= requested_at, timeout
            )
        return index

    def quorum_contact_at(self) -> float:
        """Return the latest time since which a quorum has answered a request."""
        state = self._state
        return state.group.quorum_rule.latest(
            self._last_contact_at, state.replaced_members
        )

    def lease_valid(self) -> bool:
        """Return whether the lease rules out that another replica has been elected."""
        age = self._state.clock() - self.quorum_contact_at()
        return (
            self.active
            and self.has_committed_in_term
            and age < self._settings.lease_duration
        )

    def has_quorum_contact(self) -> bool:
        """Return whether a quorum replied within the election timeout.

        The first election timeout of the leadership counts as contact.
        """
        since = max(self.quorum_contact_at(), self._started_at)
        return self._state.clock() - since < self._settings.election_timeout

    def safe_to_lose_one(self) -> bool:
        """Return whether the disk of any one voter can be lost."""
        group = self._state.group
        healthy = {p.member.id for p in self._progress.values() if p.healthy}
        healthy.add(self._state.member.id)
        return self.active and group.quorum_rule.losses_borne(healthy) > 0

    def promotable_learners(self) -> list[Progress]:
        """Return the progress of the learners that can be promoted."""
        return [p for p in self._progress.values() if p.promotable]

    def peer_statuses(self) -> tuple[PeerStatus, ...]:
        """Return the replication status of all other members."""
        return tuple(progress.status() for progress in self._progress.values())

    async def _wait_until(self, condition: Callable[[], bool], timeout: float) -> None:
        changed = self._state.changed
        await changed.wait_for(lambda: not self.active or condition(), timeout)
        if not self.active or not condition():
            raise NotLeader(None)

    async def _run_log_writer(self) -> None:
        while True:
            await self._storage.flush()
            self._advance_commit_index()
            await self._state.log_appended.wait_for(
                lambda: self._storage.durable_index < self._storage.last_index
            )

    async def _replicate(self, progress: Progress) -> None:
        while self.active:
            started_at = self._state.clock()
            if await progress.replicate_next():
                self._advance_commit_index()
                self._state.changed.notify()
                await self._wait_for_work(progress)
            else:
                elapsed_s = self._state.clock() - started_at
                await asyncio.sleep(
                    max(0.0, self._settings.heartbeat_interval - elapsed_s)
                )

    async def _wait_for_work(self, progress: Progress) -> None:
        """Wait until there is something to send to a member, or a heartbeat is due."""
        log_appended, storage = self._state.log_appended, self._storage
        last_commit_index = self._state.commit_index

        def has_work() -> bool:
            has_entries = progress.next_index <= storage.last_index
            needs_confirmation = progress.last_contact_at < self._confirm_requested_at
            return has_entries or needs_confirmation or not self.active

        if not await log_appended.wait_for(has_work, _COMMIT_NOTICE_DELAY_S):
            if self._state.commit_index != last_commit_index:
                return
            await log_appended.wait_for(has_work, self._settings.heartbeat_interval)

    def _update_replication_tasks(self, tasks: asyncio.TaskGroup) -> None:
        peers = {m.id: m for m in self._state.group.members}
        peers.pop(self._state.member.id, None)
        for removed_id in [
            peer_id for peer_id in self._replication_tasks if peer_id not in peers
        ]:
            self._replication_tasks.pop(removed_id).cancel()
            del self._progress[removed_id]
        for added_id in [
            peer_id for peer_id in peers if peer_id not in self._replication_tasks
        ]:
            progress = Progress(self._state, peers[added_id], self.term)
            self._progress[added_id] = progress
            self._replication_tasks[added_id] = tasks.create_task(
                self._replicate(progress)
            )

    def _has_pending_action(self) -> bool:
        return not self.active or self.membership_changes.has_pending_action()

    def _check_leadership(self) -> None:
        if not self.active:
            return
        if self.membership_changes.is_removed() or not self.has_quorum_contact():
            self._state.step_down(None)
        else:
            self.membership_changes.advance()

    def _last_contact_at(self, identifier: str) -> float:
        if identifier == self._state.member.id:
            return self._state.clock()
        progress = self._progress.get(identifier)
        return progress.last_contact_at if progress else -math.inf

    def responsive_members(self) -> set[str]:
        """Return the ids of the members that replied within the election timeout."""
        since = self._state.clock() - self._settings.election_timeout
        return {
            member.id
            for member in self._state.group.members
            if self._last_contact_at(member.id) > since
        }

    def _advance_commit_index(self) -> None:
        """Commit the entries that a quorum has synced.

        Only an entry of this term is committed by counting replicas; a later leader
        could still replace an entry of an older term.
        """
        state = self._state
        if not self.active or not state.group.voters:
            return
        index = int(
            state.group.quorum_rule.latest(self._match_index, state.replaced_members)
        )
        if self._storage.term_at(index) == self.term:
            self._state.advance_commit_index(index)

    def _match_index(self, identifier: str) -> int:
        if identifier == self._state.member.id:
            return self._storage.durable_index
        progress = self._progress.get(identifier)
        return progress.match_index if progress else 0
