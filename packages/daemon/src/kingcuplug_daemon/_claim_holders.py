"""Knows which holders of order claims have ended."""

import asyncio

from kingcuplug_membership import SessionClient
from kingcuplug_query import Background

__all__ = ["ClaimHolderTracker"]

_CHECK_TIMEOUT_S = 2.0


class ClaimHolderTracker:
    """Answers at once from what was learned and asks the session for the rest.

    Parameters
    ----------
    session : SessionClient
        Asked whether a run of an entry host is live.
    background : Background
        Runs the questions.
    """

    def __init__(self, session: SessionClient, background_tasks: Background) -> None:
        self._session = session
        self._background_tasks = background_tasks
        self._ended: set[tuple[str, int]] = set()
        self._pending: set[tuple[str, int]] = set()

    def has_ended(self, host: str, incarnation: int) -> bool:
        """Return whether a run of an entry host is known to have ended.

        A wrong answer costs only a takeover, which the ledger refuses if the claim
        was dispatched.
        """
        run = (host, incarnation)
        if run in self._ended:
            return True
        if run not in self._pending:
            self._pending.add(run)
            self._background_tasks.start(self._check_live(run))
        return False

    async def _check_live(self, run: tuple[str, int]) -> None:
        try:
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                if not await self._session.is_live(*run):
                    self._ended.add(run)
        except TimeoutError:
            return
        finally:
            self._pending.discard(run)
