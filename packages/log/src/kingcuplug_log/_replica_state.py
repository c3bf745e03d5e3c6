"""State of one replica, shared by elections, replication and the applier."""

import asyncio
import random as random_module
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from kingcuplug_common import Metrics, Signal, state_change

from kingcuplug_log._group_membership import Group
from kingcuplug_log._messages import (
    Header,
    Rejected,
    Reply,
    Request,
    decode_reply,
    to_json,
)
from kingcuplug_log._storage import Storage
from kingcuplug_log._types import Clock, LogSettings, Member, ReplicaRole, Transport

if TYPE_CHECKING:
    from kingcuplug_log._leadership import Leadership


__all__ = ["Core"]


class Core:
    """Shared state of one replica and its transitions between roles.

    Attributes
    ----------
    votes_refused_until : float
        Time on the replica's clock until which it grants no vote.
    election_due_at : float
        Time on the replica's clock at which the election timer expires.
    log_appended, changed : Signal
        Notified when there may be something to replicate, and when any other state
        changes.
    """

    def __init__(
        self,
        member: Member,
        storage: Storage,
        transport: Transport,
        settings: LogSettings,
        clock: Clock,
        random: random_module.Random,
        metrics: Metrics,
    ) -> None:
        self.member = member
        self.storage = storage
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.group = Group()
        self.role = ReplicaRole.FOLLOWER
        self.leader: str | None = None
        self.leadership: Leadership | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.promised_until = 0.0
        self.election_at = 0.0
        self.appended = Signal()
        self.progressed = Signal()
        self._transport = transport
        self._random = random

    def hear(self) -> None:
        """Refuse votes for an election timeout and reset the election timer."""
        self.promised_until = self.clock() + self.settings.election_timeout
        self.delay_election()

    def delay_election(self) -> None:
        """Set the timer to expire after one to two election timeouts, at random."""
        random_factor = 1 + self._random.random()
        self.election_at = self.clock() + self.settings.election_timeout * random_factor

    def promised(self) -> bool:
        """Return whether granting a vote could violate a current leader's lease."""
        if self.leadership is not None:
            return self.leadership.in_contact()
        return self.clock() < self.promised_until

    def adopt(self, term: int) -> None:
        """Move to `term`, if it is greater than the current one, without a vote."""
        if term > self.storage.term:
            self.storage.set_vote(term, None)
            self.step_down(None)

    def follow(self, leader: str) -> None:
        """Follow the leader of the current term."""
        if self.leader != leader or self.role is not ReplicaRole.FOLLOWER:
            self.step_down(leader)
        self.hear()

    def step_down(self, leader: str | None) -> None:
        """Become a follower; pending proposals fail with an unknown outcome."""
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            leadership.close()
            self.delay_election()
        self._become(ReplicaRole.FOLLOWER, leader)

    def stand(self) -> None:
        """Become a candidate in the next term and vote for this replica."""
        self.storage.set_vote(self.storage.term + 1, self.member.id)
        self._become(ReplicaRole.CANDIDATE, None)

    def lead(self, leadership: "Leadership") -> None:
        """Become the leader of the current term."""
        self.leadership = leadership
        self._become(ReplicaRole.LEADER, self.member.id)

    def fail(self) -> None:
        """Step down and report the failure of the storage."""
        self.step_down(None)
        self.metrics.count("log.storage_failed")
        state_change("storage", "failed", error=str(self.storage.failure))

    async def supervise(self, work: Coroutine[Any, Any, None]) -> None:
        """Run one of the replica's tasks; an unexpected error halts the replica.

        A leader without its tasks could keep its lease but serve no request.
        """
        try:
            await work
        except Exception as error:
            self.metrics.count("log.task_failed")
            self.storage.halt(f"a task of the replica failed: {error!r}")
            self.fail()
            raise

    def commit(self, index: int) -> None:
        """Record that entries up to `index` are committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.progressed.notify()

    def header(self, to: str, term: int) -> Header:
        """Return the header of a request to another member."""
        return Header(self.group.cluster or "", self.member.id, to, term)

    async def call(self, request: Request) -> Reply | None:
        """Send a request; return ``None`` if there is no usable reply."""
        try:
            async with asyncio.timeout(self.settings.rpc_timeout):
                value = await self._transport(request.header.to, to_json(request))
            reply = decode_reply(value)
        except (OSError, ValueError):
            self.metrics.count("log.calls_failed")
            return None
        if isinstance(reply, Rejected):
            self.metrics.count(f"log.rejected.{reply.reason}")
            return None
        self.adopt(reply.term)
        return reply

    def _become(self, role: ReplicaRole, leader: str | None) -> None:
        changed = role is not self.role or leader != self.leader
        self.role, self.leader = role, leader
        self.progressed.notify()
        self.appended.notify()
        if changed:
            self.metrics.count(f"log.became.{role}")
            term = self.storage.term
            state_change("replica", role, id=self.member.id, term=term, leader=leader)
