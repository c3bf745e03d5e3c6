"""Knows which holders of order claims have ended."""

import asyncio

from kingcuplug_membership import SessionClient
from kingcuplug_query import Background

__all__ = ["HolderWatch"]

_ASK_TIMEOUT_S = 2.0


class HolderWatch:
    """Answers at once from what was learned and asks the session for the rest.

    Parameters
    ----------
    session : SessionClient
        Asked whether a run of an entry host is live.
    background : Background
        Runs the questions.
    """

    def __init__(self, session: SessionClient, background: Background) -> None:
        self._session = session
        self._background = background
        self._lost: set[tuple[str, int]] = set()
        self._asking: set[tuple[str, int]] = set()

    def lost(self, host: str, incarnation: int) -> bool:
        """Return whether a run of an entry host is known to have ended.

        A wrong answer costs only a takeover, which the ledger refuses if the claim
        was dispatched.
        """
        run = (host, incarnation)
        if run in self._lost:
            return True
        if run not in self._asking:
            self._asking.add(run)
            self._background.start(self._ask(run))
        return False

    async def _ask(self, run: tuple[str, int]) -> None:
        try:
            async with asyncio.timeout(_ASK_TIMEOUT_S):
                if not await self._session.is_live(*run):
                    self._lost.add(run)
        except TimeoutError:
            return
        finally:
            self._asking.discard(run)
