"""Replication from a leader to one other member."""

import base64
import math

from kingcuplug_log._messages import (
    AppendReply,
    AppendRequest,
    InstallReply,
    InstallRequest,
    Reply,
)
from kingcuplug_log._replica_state import ReplicaState
from kingcuplug_log._types import Entry, Member, MemberRole, PeerStatus

__all__ = ["Progress"]

_MS_PER_S = 1_000


class Progress:
    """Replication progress of one other member in one term.

    Attributes
    ----------
    match_index : int
        Index up to which the member has synced the leader's log.
    last_contact_at : float
        Send time, on the leader's clock, of the latest request that was answered.
    caught_up : bool
        Whether the latest reply covered all entries that were committed when its
        request was sent.
    """

    def __init__(self, state: ReplicaState, member: Member, term: int) -> None:
        self._state = state
        self._storage = state.storage
        self._term = term
        self._reachable = False
        self._began_at = state.clock()
        self.member = member
        self.next_index = state.storage.last_index + 1
        self.match_index = 0
        self.last_contact_at = -math.inf
        self.caught_up = False

    @property
    def promotable(self) -> bool:
        """Whether the member is a learner that can be made a voter."""
        member = self._state.group.find_member(self.member.id)
        is_learner = member is not None and member.role is MemberRole.LEARNER
        return is_learner and self.healthy

    @property
    def healthy(self) -> bool:
        """Whether the member replied recently and has all committed entries."""
        age = self._state.clock() - self.last_contact_at
        return self.caught_up and age < self._state.settings.election_timeout

    def status(self) -> PeerStatus:
        """Return the replication status for operators."""
        now = self._state.clock()
        age = now - self.last_contact_at
        return PeerStatus(
            member=self._state.group.find_member(self.member.id) or self.member,
            match_index=self.match_index,
            caught_up=self.caught_up,
            answered_ms_ago=age * _MS_PER_S if math.isfinite(age) else None,
            silent_ms=(now - max(self.last_contact_at, self._began_at)) * _MS_PER_S,
        )

    async def replicate_next(self) -> bool:
        """Send the next entries or the snapshot; return whether the member replied."""
        # An unreachable member gets append requests as heartbeats, so that the whole
        # snapshot is not sent to it again and again.
        if self._reachable and self.next_index < self._storage.first_index:
            self._reachable = await self._send_snapshot()
        else:
            self._reachable = await self._send_append()
        return self._reachable

    async def _send_append(self) -> bool:
        state, sent_at = self._state, self._state.clock()
        first = max(self.next_index, self._storage.first_index)
        previous = first - 1
        request = AppendRequest(
            header=state.make_header(self.member.id, self._term),
            previous_index=previous,
            previous_term=self._storage.term_at(previous) or 0,
            commit_index=state.commit_index,
            entries=self._next_batch(first),
        )
        reply = await state.call(request)
        if not isinstance(reply, AppendReply) or not self._record_reply(reply, sent_at):
            return False
        if reply.success:
            self._record_match(reply.match_index, request.commit_index)
        else:
            self.next_index = max(1, min(reply.next_index, previous))
            self.caught_up = False
        return True

    def _next_batch(self, first: int) -> tuple[Entry, ...]:
        """Return the entries from index `first` that go into one message."""
        settings = self._state.settings
        entries = self._storage.entries(first, settings.batch_entries)
        left_bytes = settings.batch_bytes
        for number, entry in enumerate(entries):
            left_bytes -= entry.size_bytes()
            if left_bytes < 0 and number:
                return tuple(entries[:number])
        return tuple(entries)

    async def _send_snapshot(self) -> bool:
        state = self._state
        # The snapshot read may be a newer one, but not an older one.
        index, term = self._storage.snapshot_index, self._storage.snapshot_term
        data = await self._storage.read_snapshot()
        offset, chunk_bytes = 0, state.settings.install_chunk_bytes
        state.metrics.count("log.installs")
        while True:
            sent_at = state.clock()
            request = InstallRequest(
                header=state.make_header(self.member.id, self._term),
                index=index,
                snapshot_term=term,
                offset=offset,
                total=len(data),
                data=base64.b64encode(data[offset : offset + chunk_bytes]).decode(),
            )
            reply = await state.call(request)
            if not isinstance(reply, InstallReply):
                return False
            if not self._record_reply(reply, sent_at):
                return False
            if reply.done:
                self._record_match(index, index)
                return True
            offset = reply.offset

    def _record_reply(self, reply: Reply, sent_at: float) -> bool:
        """Record a reply; return ``False`` if it is not of this term."""
        leadership = self._state.leadership
        if leadership is None or leadership.term != self._term:
            return False
        if not isinstance(reply, AppendReply | InstallReply):
            return False
        if reply.term != self._term:
            return False
        self.last_contact_at = max(self.last_contact_at, sent_at)
        return True

    def _record_match(self, match_index: int, commit_index: int) -> None:
        self.match_index = max(self.match_index, match_index)
        self.next_index = match_index + 1
        self.caught_up = match_index >= commit_index
