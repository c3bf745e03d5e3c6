"""Pre-votes and votes."""

import asyncio
from collections.abc import Callable

from kingcuplug_log._core import Core
from kingcuplug_log._group import majority
from kingcuplug_log._messages import (
    Header,
    PreVoteRequest,
    Request,
    VoteReply,
    VoteRequest,
)

__all__ = ["Elections"]

# Avoids many short sleeps when the replica's clock runs slower than the loop's.
_SHORTEST_SLEEP_S = 0.001


class Elections:
    """Asks for votes and grants them.

    A pre-vote changes no state, so that a replica that was cut off does not
    depose a working leader with its greater term when it comes back.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._storage = core.storage

    async def run(self) -> None:
        """Return once this replica has been elected."""
        core = self._core
        while True:
            rest = core.election_at - core.clock()
            if rest > 0:
                await asyncio.sleep(max(rest, _SHORTEST_SLEEP_S))
            elif await self._campaign():
                return

    async def pre_vote(self, request: PreVoteRequest) -> VoteReply:
        """Answer whether a vote would be granted."""
        granted = (
            request.header.term > self._storage.term
            and not self._core.promised()
            and self._may_vote()
            and self._is_current(request.last_index, request.last_term)
        )
        await self._storage.persist()
        return VoteReply(self._storage.term, granted)

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Grant or refuse a vote; the answer waits until it is durable."""
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
        # A replica with an empty log is on a new or lost disk. One that is still
        # a learner in its own log may vote, because the members entry that makes
        # it a voter can be missing there.
        return self._storage.last_index > 0

    def _is_current(self, last_index: int, last_term: int) -> bool:
        own = (self._storage.last_term, self._storage.last_index)
        return (last_term, last_index) >= own

    async def _campaign(self) -> bool:
        core = self._core
        core.delay_election()
        if not core.group.votes(core.member.id) or self._storage.failure:
            return False
        if not await self._poll(self._storage.term + 1, PreVoteRequest):
            return False
        if core.promised():
            return False
        core.stand()
        await self._storage.persist()
        return await self._poll(self._storage.term, VoteRequest)

    async def _poll(
        self, term: int, kind: type[PreVoteRequest] | type[VoteRequest]
    ) -> bool:
        core, before = self._core, (self._core.role, self._storage.term)
        last = (self._storage.last_index, self._storage.last_term)

        def request(to: str) -> Request:
            header: Header = core.header(to, term)
            return kind(header, *last)

        granted = await self._gather(request)
        return granted and (core.role, self._storage.term) == before

    async def _gather(self, request: Callable[[str], Request]) -> bool:
        core = self._core
        voters = core.group.voters
        missing = majority(len(voters)) - 1
        others = [voter.id for voter in voters if voter.id != core.member.id]
        pending = {asyncio.ensure_future(core.call(request(to))) for to in others}
        try:
            while pending and missing > 0:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                replies = [call.result() for call in done]
                missing -= sum(isinstance(r, VoteReply) and r.granted for r in replies)
        finally:
            for call in pending:
                call.cancel()
        return missing <= 0
