"""Quarantine of requests that crash every backend server that runs them.

Every fingerprint in flight at a server that crashes becomes a suspect of that crash.
Suspects are shared between entry hosts and can be withdrawn; the quarantined
fingerprints are computed from them. The bound on false positives is in
``docs/decisions/routing.md``.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from kingcuplug_routing._crash_history import (
    CrashGuardSettings,
    CrashHistory,
    CrashSuspect,
)
from kingcuplug_routing._refusals import fingerprint_quarantined
from kingcuplug_routing._types import AttemptOutcome

__all__ = ["CrashGuard"]


@dataclass(slots=True)
class _TrackedAttempt:
    fingerprint: str
    server: str
    incarnation: int
    completed_before: bool
    started_order: int
    broken_at: float | None = None


class CrashGuard:
    """Quarantined fingerprints of one entry host.

    The first sub-request of a fingerprint that has not completed recently is sent
    alone, as a canary, so that it crashes one server at a time. The sender of a canary
    reports a crash with `server_crashed` before it tries another replica, calls
    `check` before each attempt, and does not hedge.

    Parameters
    ----------
    settings : CrashGuardSettings, optional
        Thresholds; `CrashGuardSettings()` if omitted.
    """

    def __init__(self, settings: CrashGuardSettings | None = None) -> None:
        self._settings = settings or CrashGuardSettings()
        self._history = CrashHistory(self._settings)
        self._attempts: dict[str, _TrackedAttempt] = {}
        self._attempts_by_server: dict[str, dict[str, _TrackedAttempt]] = {}
        self._broken_attempts: deque[tuple[str, _TrackedAttempt]] = deque()
        self._completed: OrderedDict[str, None] = OrderedDict()
        self._canaries: dict[str, asyncio.Future[None]] = {}
        self._new_suspects: list[tuple[float, CrashSuspect]] = []

    def check(self, fingerprint: str) -> None:
        """Raise `Refusal` (``NOT_RUN``) if a fingerprint is quarantined."""
        now = _now()
        until = self._history.quarantined_until(fingerprint, now)
        if until is not None:
            raise fingerprint_quarantined(fingerprint, (until - now) * 1_000)

    def has_completed(self, fingerprint: str) -> bool:
        """Return whether a fingerprint completed recently and is no suspect."""
        return fingerprint in self._completed and not self._history.is_suspect(
            fingerprint
        )

    @asynccontextmanager
    async def canary(self, fingerprint: str) -> AsyncIterator[bool]:
        """Yield whether the first sub-request must be sent alone.

        Requests with the same fingerprint wait until the canary has ended and are then
        checked again.

        Raises
        ------
        Refusal
            If the fingerprint is quarantined.
        """
        self.check(fingerprint)
        while not self.has_completed(fingerprint) and fingerprint in self._canaries:
            await asyncio.wait([self._canaries[fingerprint]])
            self.check(fingerprint)
        if self.has_completed(fingerprint):
            yield False
            return
        ended = asyncio.get_running_loop().create_future()
        self._canaries[fingerprint] = ended
        try:
            yield True
        finally:
            del self._canaries[fingerprint]
            ended.set_result(None)

    def attempt_started(
        self, attempt_id: str, fingerprint: str, server: str, incarnation: int
    ) -> None:
        """Record that an attempt is about to be sent to a server."""
        order = self._history.next_order()
        completed_before = self.has_completed(fingerprint)
        attempt = _TrackedAttempt(
            fingerprint, server, incarnation, completed_before, order
        )
        self._attempts[attempt_id] = attempt
        self._attempts_by_server.setdefault(server, {})[attempt_id] = attempt

    def attempt_ended(self, attempt_id: str, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt; unknown attempts are ignored."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        if outcome is AttemptOutcome.CONNECTION_LOST:
            attempt.broken_at = _now()
            self._broken_attempts.append((attempt_id, attempt))
            self._expire_broken_attempts(attempt.broken_at)
            return
        self._remove_attempt(attempt_id, attempt)
        if outcome is AttemptOutcome.OK:
            self._record_completion(attempt)

    def server_crashed(
        self, server: str, incarnation: int, service: str, availability_zone: str
    ) -> tuple[CrashSuspect, ...]:
        """Record a crash; the fingerprints in flight at the server become suspects.

        Call this when a connection broke and a new one is refused, and when a server
        announces a greater incarnation without having withdrawn; also for servers
        without attempts, whose crashes show that a zone is failing.

        Returns
        -------
        tuple of CrashSuspect
            The suspects, which `drain_new_suspects` returns too.
        """
        now = _now()
        self._expire_broken_attempts(now)
        crash = self._history.record(
            service, server, incarnation, availability_zone, now, now
        )
        suspects: dict[str, CrashSuspect] = {}
        for attempt in self._attempts_by_server.get(server, {}).values():
            if attempt.incarnation <= incarnation:
                suspects[attempt.fingerprint] = CrashSuspect(
                    attempt.fingerprint,
                    service,
                    server,
                    incarnation,
                    availability_zone,
                    self._pop_completion(attempt),
                )
        for suspect in suspects.values():
            self._history.add_suspect(
                crash, suspect.fingerprint, suspect.completed_before
            )
            self._new_suspects.append((now, suspect))
        return tuple(suspects.values())

    def _pop_completion(self, attempt: _TrackedAttempt) -> bool:
        """Return whether a fingerprint completed before the crash; clear that record.

        Its next request is a canary, in case a new index made it crash servers.
        """
        completion = self._completed.pop(attempt.fingerprint, attempt)
        return attempt.completed_before or completion is None

    def drain_new_suspects(self) -> list[CrashSuspect]:
        """Return the suspects added since the last call, for the session to send."""
        now = _now()
        suspects = [
            replace(suspect, age_ms=(now - time) * 1_000)
            for time, suspect in self._new_suspects
        ]
        self._new_suspects.clear()
        return suspects

    def add_suspects(self, suspects: Iterable[CrashSuspect]) -> None:
        """Add the suspects that other entry hosts recorded."""
        now = _now()
        for suspect in suspects:
            crash = self._history.record(
                suspect.service,
                suspect.server,
                suspect.incarnation,
                suspect.availability_zone,
                now - suspect.age_ms / 1_000,
                now,
            )
            self._history.add_suspect(
                crash, suspect.fingerprint, suspect.completed_before
            )

    def quarantined(self) -> dict[str, float]:
        """Return the quarantined fingerprints with their remaining time in ms."""
        now = _now()
        quarantine_ends = {
            fingerprint: self._history.quarantined_until(fingerprint, now)
            for fingerprint in self._history.suspected_fingerprints()
        }
        return {
            fingerprint: (end - now) * 1_000
            for fingerprint, end in quarantine_ends.items()
            if end is not None
        }

    def _record_completion(self, attempt: _TrackedAttempt) -> None:
        fingerprint = attempt.fingerprint
        self._history.record_completion(fingerprint, attempt.started_order, _now())
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > self._settings.max_entries:
            self._completed.popitem(last=False)

    def _expire_broken_attempts(self, now: float) -> None:
        """Remove attempts whose connection broke longer ago than the retention time."""
        cutoff = now - self._settings.broken_attempt_retention_s
        while self._broken_attempts:
            attempt_id, attempt = self._broken_attempts[0]
            if attempt.broken_at is not None and attempt.broken_at >= cutoff:
                return
            self._broken_attempts.popleft()
            self._remove_attempt(attempt_id, attempt)

    def _remove_attempt(self, attempt_id: str, attempt: _TrackedAttempt) -> None:
        attempts = self._attempts_by_server.get(attempt.server)
        if attempts is not None:
            attempts.pop(attempt_id, None)
            if not attempts:
                del self._attempts_by_server[attempt.server]


def _now() -> float:
    return asyncio.get_running_loop().time()
