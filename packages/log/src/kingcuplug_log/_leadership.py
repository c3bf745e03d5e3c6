"""One term of leadership: replication, commit, lease and change of members."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from kingcuplug_log._changes import Changes
from kingcuplug_log._core import Core
from kingcuplug_log._errors import NotLeader
from kingcuplug_log._group import majority
from kingcuplug_log._progress import Progress
from kingcuplug_log._types import Entry, EntryKind, PeerStatus

__all__ = ["Leadership"]

# After a commit, an idle leader tells its peers this much later, so that the next
# proposal of a sequential caller goes out with the news.
_COMMIT_NOTICE_S = 0.005


class Leadership:
    """The state that a replica has only while it leads.

    Attributes
    ----------
    term : int
        The term that is led.
    first_index : int
        The entry that opens the term; nothing of the term is committed before it.
    changes : Changes
        Changes of members in this term.

    Parameters
    ----------
    on_close : callable
        Called at the moment when the leadership ends.
    """

    def __init__(self, core: Core, on_close: Callable[[], None]) -> None:
        self._core = core
        self._on_close = on_close
        self._storage = core.storage
        self._settings = core.settings
        self._progress: dict[str, Progress] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._active = True
        self._started_at = core.clock()
        self._asked_at = -math.inf
        self.term = core.storage.term
        self.first_index = core.storage.last_index + 1
        self.changes = Changes(core, self)

    @property
    def active(self) -> bool:
        """Whether this replica still leads the term."""
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
        """Lead until another term begins or the quorum is out of reach."""
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
        """Return a commit index that no later leader can precede.

        Raises
        ------
        NotLeader
            If neither the lease nor a quorum round confirms the leadership.
        """
        timeout = self._settings.election_timeout
        await self._wait(lambda: self.opened, timeout)
        index, asked_at = self._core.commit_index, self._core.clock()
        if not self.lease_valid():
            self._asked_at = asked_at
            self._core.appended.notify()
            await self._wait(lambda: self.contact_at() >= asked_at, timeout)
        return index

    def contact_at(self) -> float:
        """Return the time since which a quorum has certainly followed this term."""
        voters = self._core.group.voters
        times = sorted((self._answered_at(voter.id) for voter in voters), reverse=True)
        return times[majority(len(times)) - 1]

    def lease_valid(self) -> bool:
        """Return whether no other replica can have been elected yet."""
        age = self._core.clock() - self.contact_at()
        return self.active and self.opened and age < self._settings.lease

    def in_contact(self) -> bool:
        """Return whether the leader should go on: a quorum answers, or may yet."""
        since = max(self.contact_at(), self._started_at)
        return self._core.clock() - since < self._settings.election_timeout

    def safe_to_lose_one(self) -> bool:
        """Return whether any one voter can be lost for ever."""
        count = len(self._core.group.voters)
        healthy = sum(p.healthy for p in self._progress.values() if p.votes)
        healthy += self._core.group.votes(self._core.member.id)
        return self.active and healthy - 1 >= majority(count)

    def learners(self) -> list[Progress]:
        """Return the progress of the learners that are ready to vote."""
        return [p for p in self._progress.values() if p.promotable]

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return the progress of all other members."""
        return tuple(progress.status() for progress in self._progress.values())

    async def _wait(self, condition: Callable[[], bool], timeout: float) -> None:
        progressed = self._core.progressed
        await progressed.until(lambda: not self.active or condition(), timeout)
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
            asked_at = self._core.clock()
            if await progress.exchange():
                self._advance()
                self._core.progressed.notify()
                await self._idle(progress)
            else:
                used = self._core.clock() - asked_at
                await asyncio.sleep(max(0.0, self._settings.heartbeat - used))

    async def _idle(self, progress: Progress) -> None:
        """Wait for news for a member, or until its next heartbeat."""
        appended, storage = self._core.appended, self._storage
        told = self._core.commit_index

        def has_news() -> bool:
            behind = progress.next_index <= storage.last_index
            asked = progress.answered_at < self._asked_at
            return behind or asked or not self.active

        if not await appended.until(has_news, _COMMIT_NOTICE_S):
            if self._core.commit_index != told:
                return
            await appended.until(has_news, self._settings.heartbeat)

    def _update_peers(self, tasks: asyncio.TaskGroup) -> None:
        wanted = {m.id: m for m in self._core.group.members}
        wanted.pop(self._core.member.id, None)
        for removed in [known for known in self._tasks if known not in wanted]:
            self._tasks.pop(removed).cancel()
            del self._progress[removed]
        for added in [member for member in wanted if member not in self._tasks]:
            progress = Progress(self._core, wanted[added], self.term)
            self._progress[added] = progress
            self._tasks[added] = tasks.create_task(self._replicate(progress))

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
        """Return whether a member answered within the election timeout."""
        age = self._core.clock() - self._answered_at(identifier)
        return age < self._settings.election_timeout

    def _advance(self) -> None:
        """Commit what a quorum has synced, if it is of this term."""
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
