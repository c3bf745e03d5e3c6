"""Tracks which holders of order claims have ended."""

import asyncio

from kingcuplug_membership import SessionClient
from kingcuplug_query import BackgroundTasks

__all__ = ["ClaimHolderTracker"]

_CHECK_TIMEOUT_S = 2.0


class ClaimHolderTracker:
    """Answers from a cache and asks the session for missing entries in the background.

    A claim is held by one incarnation of an entry host.

    Parameters
    ----------
    session : SessionClient
        Asked whether an incarnation of an entry host is live.
    background_tasks : BackgroundTasks
        Runs the checks.
    """

    def __init__(
        self, session: SessionClient, background_tasks: BackgroundTasks
    ) -> None:
        self._session = session
        self._background_tasks = background_tasks
        self._ended: set[tuple[str, int]] = set()
        self._pending: set[tuple[str, int]] = set()

    def has_ended(self, host: str, incarnation: int) -> bool:
        """Return whether an incarnation of an entry host is known to have ended.

        A wrong answer costs only an attempted takeover, which the ledger refuses if the
        claim was dispatched.
        """
        holder = (host, incarnation)
        if holder in self._ended:
            return True
        if holder not in self._pending:
            self._pending.add(holder)
            self._background_tasks.start(self._check_live(holder))
        return False

    async def _check_live(self, holder: tuple[str, int]) -> None:
        try:
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                if not await self._session.is_live(*holder):
                    self._ended.add(holder)
        except TimeoutError:
            return
        finally:
            self._pending.discard(holder)
