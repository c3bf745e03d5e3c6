"""Shares the crash guard's blames with all entry hosts over the session."""

import asyncio

from kingcuplug_membership import SessionClient, Verdict
from kingcuplug_routing import Blame, CrashGuard

__all__ = ["VerdictExchange"]

_PERIOD_S = 0.05


class VerdictExchange:
    """Carries blames between the crash guard and the session.

    Parameters
    ----------
    session : SessionClient
        Reports to, and learns from, all entry hosts.
    guard : CrashGuard
        This entry host's guard.
    """

    def __init__(self, session: SessionClient, guard: CrashGuard) -> None:
        self._session = session
        self._guard = guard
        session.verdicts.watch(self._learn)

    async def run(self) -> None:
        """Report fresh blames until cancelled."""
        while True:
            for blame in self._guard.fresh():
                self._session.report(_verdict(blame))
            await asyncio.sleep(_PERIOD_S)

    def _learn(self, verdict: Verdict) -> None:
        if not verdict.condemned:
            self._guard.merge([_blame(verdict, self._session.verdict_ms)])


def _verdict(blame: Blame) -> Verdict:
    return Verdict(
        fingerprint=blame.fingerprint,
        server=blame.server,
        incarnation=blame.incarnation,
        service=blame.service,
        availability_zone=blame.availability_zone,
        proven=blame.proven,
    )


def _blame(verdict: Verdict, verdict_ms: int) -> Blame:
    return Blame(
        fingerprint=verdict.fingerprint,
        service=verdict.service,
        server=verdict.server,
        incarnation=verdict.incarnation,
        availability_zone=verdict.availability_zone,
        proven=verdict.proven,
        age_ms=float(max(verdict_ms - verdict.remaining_ms, 0)),
    )
