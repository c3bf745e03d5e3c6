"""Exchanges crash suspects with the other entry hosts over the session.

A suspect is a request that was in flight at a backend server that crashed.
"""

import asyncio

from kingcuplug_membership import CrashVerdict, SessionClient
from kingcuplug_routing import CrashGuard, CrashSuspect

__all__ = ["CrashVerdictExchange"]

_REPORT_INTERVAL_S = 0.05


class CrashVerdictExchange:
    """Reports new suspects to the session and adds received ones to the crash guard.

    Parameters
    ----------
    session : SessionClient
        Sends verdicts to, and receives them from, all entry hosts.
    crash_guard : CrashGuard
        This entry host's guard.
    """

    def __init__(self, session: SessionClient, crash_guard: CrashGuard) -> None:
        self._session = session
        self._crash_guard = crash_guard
        session.verdicts.subscribe(self._receive_verdict)

    async def run(self) -> None:
        """Report new suspects until cancelled."""
        while True:
            for suspect in self._crash_guard.drain_new_suspects():
                self._session.report(_verdict_from_suspect(suspect))
            await asyncio.sleep(_REPORT_INTERVAL_S)

    def _receive_verdict(self, verdict: CrashVerdict) -> None:
        if not verdict.quarantined:
            self._crash_guard.add_suspects(
                [_suspect_from_verdict(verdict, self._session.verdict_ms)]
            )


def _verdict_from_suspect(suspect: CrashSuspect) -> CrashVerdict:
    return CrashVerdict(
        fingerprint=suspect.fingerprint,
        server=suspect.server,
        incarnation=suspect.incarnation,
        service=suspect.service,
        availability_zone=suspect.availability_zone,
        proven=suspect.completed_before,
    )


def _suspect_from_verdict(verdict: CrashVerdict, verdict_ms: int) -> CrashSuspect:
    return CrashSuspect(
        fingerprint=verdict.fingerprint,
        service=verdict.service,
        server=verdict.server,
        incarnation=verdict.incarnation,
        availability_zone=verdict.availability_zone,
        completed_before=verdict.proven,
        age_ms=float(max(verdict_ms - verdict.remaining_ms, 0)),
    )
