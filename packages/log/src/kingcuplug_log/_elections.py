"""Leader elections with pre-votes and votes."""

import asyncio
from collections.abc import Callable

from kingcuplug_log._group_membership import majority
from kingcuplug_log._messages import (
    Header,
    PreVoteRequest,
    Request,
    VoteReply,
    VoteRequest,
)
from kingcuplug_log._replica_state import Core

__all__ = ["Elections"]

# Avoids many short sleeps when the replica's clock is slower than the event loop's.
_SHORTEST_SLEEP_S = 0.001


class Elections:
    """Requests votes from the other voters and grants votes to candidates.

    A pre-vote changes no state, so a replica that rejoins after a partition does
    not depose a working leader with a greater term.
    """

    def __init__(self, state: Core) -> None:
        self._core = state
        self._storage = state.storage

    async def run(self) -> None:
        """Hold elections until this replica has been elected."""
        state = self._core
        while True:
            remaining_s = state.election_at - state.clock()
            if remaining_s > 0:
                await asyncio.sleep(max(remaining_s, _SHORTEST_SLEEP_S))
            elif await self._campaign():
                return

    async def pre_vote(self, request: PreVoteRequest) -> VoteReply:
        """Reply whether a vote would be granted."""
        granted = (
            request.header.term > self._storage.term
            and not self._core.promised()
            and self._may_vote()
            and self._is_current(request.last_index, request.last_term)
        )
        await self._storage.persist()
        return VoteReply(self._storage.term, granted)

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Grant or refuse a vote; reply only after the decision is durable."""
        term, candidate = request.header.term, request.header.sender
        if self._core.promised() or not self._may_vote():
            return VoteReply(self._storage.term, False)
        self._core.adopt(term)
        granted = (
            term == self._storage.term
            and self._storage.vote in (None, candidate)
            and self._is_current(request.last_index, request.last_term)
        )
        if granted:
            self._storage.set_vote(term, candidate)
            self._core.delay_election()
        await self._storage.persist()
        return VoteReply(self._storage.term, granted)

    def _may_vote(self) -> bool:
        # A replica with an empty log has a new disk, or has lost its former one.
        # A replica that is a learner in its own log may vote, because its log
        # can lack the members entry that makes it a voter.
        return self._storage.last_index > 0

    def _is_current(self, last_index: int, last_term: int) -> bool:
        own_last = (self._storage.last_term, self._storage.last_index)
        return (last_term, last_index) >= own_last

    async def _campaign(self) -> bool:
        state = self._core
        state.delay_election()
        if not state.group.votes(state.member.id) or self._storage.failure:
            return False
        if not await self._poll(self._storage.term + 1, PreVoteRequest):
            return False
        if state.promised():
            return False
        state.stand()
        await self._storage.persist()
        return await self._poll(self._storage.term, VoteRequest)

    async def _poll(
        self, term: int, kind: type[PreVoteRequest] | type[VoteRequest]
    ) -> bool:
        state, role_and_term = self._core, (self._core.role, self._storage.term)
        last_entry = (self._storage.last_index, self._storage.last_term)

        def make_request(to: str) -> Request:
            header: Header = state.header(to, term)
            return kind(header, *last_entry)

        granted = await self._gather(make_request)
        return granted and (state.role, self._storage.term) == role_and_term

    async def _gather(self, request: Callable[[str], Request]) -> bool:
        state = self._core
        voters = state.group.voters
        votes_needed = majority(len(voters)) - 1
        other_ids = [voter.id for voter in voters if voter.id != state.member.id]
        pending = {asyncio.ensure_future(state.call(request(to))) for to in other_ids}
        try:
            while pending and votes_needed > 0:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                replies = [call.result() for call in done]
                votes_needed -= sum(
                    isinstance(r, VoteReply) and r.granted for r in replies
                )
        finally:
            for call in pending:
                call.cancel()
        return votes_needed <= 0
