"""Leader elections with pre-votes and votes."""

import asyncio
from collections.abc import Callable

from kingcuplug_common import log_state_change

from kingcuplug_log._messages import (
    Header,
    PreVoteRequest,
    Request,
    VoteReply,
    VoteRequest,
)
from kingcuplug_log._replica_state import ReplicaState

__all__ = ["Elections"]

# Avoids many short sleeps when the replica's clock is slower than the event loop's.
_MIN_SLEEP_S = 0.001


class Elections:
    """Requests votes from the other voters and grants votes to candidates.

    A pre-vote changes no state, so a replica that rejoins after a partition does
    not depose a working leader with a greater term.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._storage = state.storage
        self._last_minority: frozenset[str] = frozenset()

    async def run_until_elected(self) -> None:
        """Hold elections until this replica has been elected."""
        state = self._state
        while True:
            remaining_s = state.election_due_at - state.clock()
            if remaining_s > 0:
                await asyncio.sleep(max(remaining_s, _MIN_SLEEP_S))
            elif await self._campaign():
                return

    async def handle_pre_vote(self, request: PreVoteRequest) -> VoteReply:
        """Reply whether a vote would be granted."""
        granted = (
            request.header.term > self._storage.term
            and not self._state.must_refuse_votes()
            and self._can_vote()
            and self._is_up_to_date(request.last_index, request.last_term)
        )
        await self._storage.persist_term_and_vote()
        return VoteReply(self._storage.term, granted)

    async def handle_vote(self, request: VoteRequest) -> VoteReply:
        """Grant or refuse a vote; reply only after the decision is durable."""
        term, candidate = request.header.term, request.header.sender
        if self._state.must_refuse_votes() or not self._can_vote():
            return VoteReply(self._storage.term, False)
        self._state.advance_term(term)
        granted = (
            term == self._storage.term
            and self._storage.vote in (None, candidate)
            and self._is_up_to_date(request.last_index, request.last_term)
        )
        if granted:
            self._storage.set_term_and_vote(term, candidate)
            self._state.reset_election_timer()
        await self._storage.persist_term_and_vote()
        return VoteReply(self._storage.term, granted)

    def _can_vote(self) -> bool:
        # A replica with an empty log has a new disk, or has lost its former one.
        # A replica that is a learner in its own log may vote, because its log
        # can lack the members entry that makes it a voter.
        return self._storage.last_index > 0

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        own_last = (self._storage.last_term, self._storage.last_index)
        return (last_term, last_index) >= own_last

    async def _campaign(self) -> bool:
        state = self._state
        state.reset_election_timer()
        if not state.group.is_voter(state.member.id) or self._storage.failure:
            return False
        if not await self._request_votes(self._storage.term + 1, PreVoteRequest):
            return False
        if state.must_refuse_votes():
            return False
        state.become_candidate()
        await self._storage.persist_term_and_vote()
        return await self._request_votes(self._storage.term, VoteRequest)

    async def _request_votes(
        self, term: int, request_type: type[PreVoteRequest] | type[VoteRequest]
    ) -> bool:
        state, role_and_term = self._state, (self._state.role, self._storage.term)
        last_entry = (self._storage.last_index, self._storage.last_term)

        def make_request(to: str) -> Request:
            header: Header = state.make_header(to, term)
            return request_type(header, *last_entry)

        granted = await self._collect_quorum(make_request)
        return granted and (state.role, self._storage.term) == role_and_term

    async def _collect_quorum(self, make_request: Callable[[str], Request]) -> bool:
        state = self._state
        granted = {state.member.id}

        async def ask(voter: str) -> None:
            reply = await state.call(make_request(voter))
            if isinstance(reply, VoteReply) and reply.granted:
                granted.add(voter)

        pending = {
            asyncio.ensure_future(ask(voter.id))
            for voter in state.group.voters
            if voter.id != state.member.id
        }
        try:
            while pending and not state.is_quorum(granted):
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for call in done:
                    call.result()
        finally:
            for call in pending:
                call.cancel()
        elected = state.is_quorum(granted)
        self._log_minority(frozenset() if elected else frozenset(granted))
        return elected

    def _log_minority(self, granted: frozenset[str]) -> None:
        """Log who would vote for this replica where these are too few, if it changes.

        A replica without enough pre-votes stays a follower, which shows nothing.
        """
        if granted and granted != self._last_minority:
            group, replaced = self._state.group, self._state.replaced_members
            log_state_change(
                "election",
                "without quorum",
                granted=sorted(granted),
                voters=[voter.id for voter in group.voters],
                replaced=sorted(replaced.intersection(v.id for v in group.voters)),
                half_quorums=group.quorum_rule.half_quorums,
            )
        self._last_minority = granted
