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

from kingcuplug_routing._crash_history import Blame, BlameBook, CrashGuardSettings
from kingcuplug_routing._refusals import condemned
from kingcuplug_routing._types import AttemptOutcome

__all__ = ["CrashGuard"]


@dataclass(slots=True)
class _Attempt:
    fingerprint: str
    server: str
    incarnation: int
    proven: bool
    started: int
    broken: float | None = None


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
        self._book = BlameBook(self._settings)
        self._attempts: dict[str, _Attempt] = {}
        self._at: dict[str, dict[str, _Attempt]] = {}
        self._broken: deque[tuple[str, _Attempt]] = deque()
        self._completed: OrderedDict[str, None] = OrderedDict()
        self._canaries: dict[str, asyncio.Future[None]] = {}
        self._fresh: list[tuple[float, Blame]] = []

    def check(self, fingerprint: str) -> None:
        """Raise `Refusal` (``NOT_RUN``) if a fingerprint is quarantined."""
        now = _now()
        until = self._book.condemned_until(fingerprint, now)
        if until is not None:
            raise condemned(fingerprint, (until - now) * 1_000)

    def proven(self, fingerprint: str) -> bool:
        """Return whether a fingerprint completed recently and is no suspect."""
        return fingerprint in self._completed and not self._book.blamed(fingerprint)

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
        while not self.proven(fingerprint) and fingerprint in self._canaries:
            await asyncio.wait([self._canaries[fingerprint]])
            self.check(fingerprint)
        if self.proven(fingerprint):
            yield False
            return
        ended = asyncio.get_running_loop().create_future()
        self._canaries[fingerprint] = ended
        try:
            yield True
        finally:
            del self._canaries[fingerprint]
            ended.set_result(None)

    def started(
        self, attempt_id: str, fingerprint: str, server: str, incarnation: int
    ) -> None:
        """Record that an attempt is about to be sent to a server."""
        order = self._book.next_order()
        completed_before = self.proven(fingerprint)
        attempt = _Attempt(fingerprint, server, incarnation, completed_before, order)
        self._attempts[attempt_id] = attempt
        self._at.setdefault(server, {})[attempt_id] = attempt

    def ended(self, attempt_id: str, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt; unknown attempts are ignored."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        if outcome is AttemptOutcome.CONNECTION_LOST:
            attempt.broken = _now()
            self._broken.append((attempt_id, attempt))
            self._sweep(attempt.broken)
            return
        self._remove(attempt_id, attempt)
        if outcome is AttemptOutcome.OK:
            self._complete(attempt)

    def server_crashed(
        self, server: str, incarnation: int, service: str, availability_zone: str
    ) -> tuple[Blame, ...]:
        """Record a crash; the fingerprints in flight at the server become suspects.

        Call this when a connection broke and a new one is refused, and when a server
        announces a greater incarnation without having withdrawn; also for servers
        without attempts, whose crashes show that a zone is failing.

        Returns
        -------
        tuple of Blame
            The suspects, which `drain_new_suspects` returns too.
        """
        now = _now()
        self._sweep(now)
        crash = self._book.record(
            service, server, incarnation, availability_zone, now, now
        )
        suspects: dict[str, Blame] = {}
        for attempt in self._at.get(server, {}).values():
            if attempt.incarnation <= incarnation:
                suspects[attempt.fingerprint] = Blame(
                    attempt.fingerprint,
                    service,
                    server,
                    incarnation,
                    availability_zone,
                    self._was_proven(attempt),
                )
        for suspect in suspects.values():
            self._book.blame(crash, suspect.fingerprint, suspect.proven)
            self._fresh.append((now, suspect))
        return tuple(suspects.values())

    def _was_proven(self, attempt: _Attempt) -> bool:
        """Return whether a fingerprint completed before the crash; clear that record.

        Its next request is a canary, in case a new index made it crash servers.
        """
        completion = self._completed.pop(attempt.fingerprint, attempt)
        return attempt.proven or completion is None

    def fresh(self) -> list[Blame]:
        """Return the suspects added since the last call, for the session to send."""
        now = _now()
        suspects = [
            replace(suspect, age_ms=(now - time) * 1_000)
            for time, suspect in self._fresh
        ]
        self._fresh.clear()
        return suspects

    def merge(self, suspects: Iterable[Blame]) -> None:
        """Add the suspects that other entry hosts recorded."""
        now = _now()
        for suspect in suspects:
            crash = self._book.record(
                suspect.service,
                suspect.server,
                suspect.incarnation,
                suspect.availability_zone,
                now - suspect.age_ms / 1_000,
                now,
            )
            self._book.blame(crash, suspect.fingerprint, suspect.proven)

    def condemned(self) -> dict[str, float]:
        """Return the quarantined fingerprints with their remaining time in ms."""
        now = _now()
        quarantine_ends = {
            fingerprint: self._book.condemned_until(fingerprint, now)
            for fingerprint in self._book.fingerprints()
        }
        return {
            fingerprint: (end - now) * 1_000
            for fingerprint, end in quarantine_ends.items()
            if end is not None
        }

    def _complete(self, attempt: _Attempt) -> None:
        fingerprint = attempt.fingerprint
        self._book.completed(fingerprint, attempt.started, _now())
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > self._settings.most_entries:
            self._completed.popitem(last=False)

    def _sweep(self, now: float) -> None:
        """Remove attempts whose connection broke longer ago than the retention time."""
        cutoff = now - self._settings.linger_s
        while self._broken:
            attempt_id, attempt = self._broken[0]
            if attempt.broken is not None and attempt.broken >= cutoff:
                return
            self._broken.popleft()
            self._remove(attempt_id, attempt)

    def _remove(self, attempt_id: str, attempt: _Attempt) -> None:
        attempts = self._at.get(attempt.server)
        if attempts is not None:
            attempts.pop(attempt_id, None)
            if not attempts:
                del self._at[attempt.server]


def _now() -> float:
    return asyncio.get_running_loop().time()
