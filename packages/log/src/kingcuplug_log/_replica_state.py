"""State of one replica, shared by elections, replication and the applier."""

import asyncio
import math
import random as random_module
from collections.abc import Coroutine, Set
from typing import TYPE_CHECKING, Any

from kingcuplug_common import Condition, Metrics, log_state_change

from kingcuplug_log._group_membership import GroupMembership
from kingcuplug_log._messages import (
    Header,
    Rejected,
    Reply,
    Request,
    decode_reply,
    to_json,
)
from kingcuplug_log._storage import Storage
from kingcuplug_log._types import (
    Clock,
    LogSettings,
    Member,
    ReplicaRole,
    Transport,
    host_name,
)

if TYPE_CHECKING:
    from kingcuplug_log._leadership import Leadership


__all__ = ["ReplicaState"]


class ReplicaState:
    """Shared state of one replica and its transitions between roles.

    Attributes
    ----------
    votes_refused_until : float
        Time on the replica's clock until which it grants no vote.
    election_due_at : float
        Time on the replica's clock at which the election timer expires.
    current_at : float
        Latest time on the replica's clock at which the applied state is known to have
        included every entry that the leader had committed.
    replaced_members : set of str
        Ids of members at whose hosts another disk has answered since.
    log_appended, changed : Condition
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
        self.group = GroupMembership()
        self.role = ReplicaRole.FOLLOWER
        self.leader: str | None = None
        self.leadership: Leadership | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.votes_refused_until = 0.0
        self.election_due_at = 0.0
        self.current_at = -math.inf
        self.replaced_members: set[str] = set()
        self._unapplied_commit: tuple[int, float] | None = None
        self.log_appended = Condition()
        self.changed = Condition()
        self._transport = transport
        self._random = random

    def record_leader_contact(self) -> None:
        """Refuse votes for an election timeout and reset the election timer."""
        self.votes_refused_until = self.clock() + self.settings.election_timeout
        self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Set the timer to expire after one to two election timeouts, at random."""
        random_factor = 1 + self._random.random()
        self.election_due_at = (
            self.clock() + self.settings.election_timeout * random_factor
        )

    def must_refuse_votes(self) -> bool:
        """Return whether granting a vote could violate a current leader's lease."""
        if self.leadership is not None:
            return self.leadership.has_quorum_contact()
        return self.clock() < self.votes_refused_until

    def advance_term(self, term: int) -> None:
        """Move to `term`, if it is greater than the current one, without a vote."""
        if term > self.storage.term:
            self.storage.set_term_and_vote(term, None)
            self.step_down(None)

    def follow_leader(self, leader: str) -> None:
        """Follow the leader of the current term."""
        if self.leader != leader or self.role is not ReplicaRole.FOLLOWER:
            self.step_down(leader)
        self.record_leader_contact()

    def step_down(self, leader: str | None) -> None:
        """Become a follower; pending proposals fail with an unknown outcome."""
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            leadership.close()
            self.reset_election_timer()
        self._set_role(ReplicaRole.FOLLOWER, leader)

    def become_candidate(self) -> None:
        """Become a candidate in the next term and vote for this replica."""
        self.storage.set_term_and_vote(self.storage.term + 1, self.member.id)
        self._set_role(ReplicaRole.CANDIDATE, None)

    def become_leader(self, leadership: "Leadership") -> None:
        """Become the leader of the current term."""
        self.leadership = leadership
        self._set_role(ReplicaRole.LEADER, self.member.id)

    def handle_storage_failure(self) -> None:
        """Step down and report the failure of the storage."""
        self.step_down(None)
        self.metrics.count("log.storage_failed")
        log_state_change("storage", "failed", error=str(self.storage.failure))

    async def supervise(self, work: Coroutine[Any, Any, None]) -> None:
        """Run one of the replica's tasks; an unexpected error halts the replica.

        A leader without its tasks could keep its lease but serve no request.
        """
        try:
            await work
        except Exception as error:
            self.metrics.count("log.task_failed")
            self.storage.halt(f"a task of the replica failed: {error!r}")
            self.handle_storage_failure()
            raise

    def advance_commit_index(self, index: int) -> None:
        """Record that entries up to `index` are committed."""
        if index > self.commit_index:
            self.commit_index = self.storage.committed_index = index
            self.changed.notify()

    def record_leader_commit(self, index: int) -> None:
        """Record that the leader has just named `index` as its commit index."""
        if self.applied_index >= index:
            self._unapplied_commit = None
            self.current_at = self.clock()
        elif self._unapplied_commit is None:
            self._unapplied_commit = (index, self.clock())

    def record_applied(self, index: int) -> None:
        """Record that entries up to `index` are applied."""
        self.applied_index = index
        if self._unapplied_commit is not None and index >= self._unapplied_commit[0]:
            self.current_at = self._unapplied_commit[1]
            self._unapplied_commit = None

    def make_header(self, recipient: str, term: int) -> Header:
        """Return the header of a request to another member."""
        return Header(self.group.cluster or "", self.member.id, recipient, term)

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
            self._record_replaced_disk(request.header.to, reply.member)
            return None
        self.replaced_members.discard(request.header.to)
        self.advance_term(reply.term)
        return reply

    def is_quorum(self, ids: Set[str]) -> bool:
        """Return whether members are a quorum."""
        return self.group.quorum_rule.is_met(ids, self.replaced_members)

    def _record_replaced_disk(self, requested: str, answering: str) -> None:
        """Record that a member's host has answered with the id of another disk.

        Another host at its address proves nothing, because the member's disk may still
        exist. The reply is younger than the request, so it is the requested disk that
        was replaced and not the answering one.
        """
        same_host = host_name(requested) == host_name(answering)
        if answering == requested or not same_host:
            return
        if requested not in self.replaced_members:
            self.replaced_members.add(requested)
            log_state_change("disk", "replaced", id=requested, by=answering)

    def _set_role(self, role: ReplicaRole, leader: str | None) -> None:
        role_changed = role is not self.role or leader != self.leader
        self.role, self.leader = role, leader
        self.changed.notify()
        self.log_appended.notify()
        if role_changed:
            self.metrics.count(f"log.became.{role}")
            term = self.storage.term
            log_state_change(
                "replica", role, id=self.member.id, term=term, leader=leader
            )
