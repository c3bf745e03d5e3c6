"""Stops requests that crash every backend server that runs them.

A crash is blamed on every fingerprint that was in flight at the server. Blames are
facts that can be shared and withdrawn; which fingerprints are condemned follows
from them. The bound on false positives is in ``docs/decisions/routing.md``.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from kingcuplug_routing._blames import Blame, BlameBook, CrashGuardSettings
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
    """Condemned fingerprints of one entry host.

    A fingerprint that has not completed recently is sent alone first (a canary), so
    it can crash one server at a time. The sender of a canary reports a crash with
    `server_crashed` before it tries another replica, calls `check` before each
    attempt, and does not hedge a canary.

    Parameters
    ----------
    settings : CrashGuardSettings, optional
        Bounds; the defaults are the design's.
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
        """Raise `Refusal` (``NOT_RUN``) if a fingerprint is condemned."""
        now = _now()
        until = self._book.condemned_until(fingerprint, now)
        if until is not None:
            raise condemned(fingerprint, (until - now) * 1_000)

    def proven(self, fingerprint: str) -> bool:
        """Return whether a fingerprint completed recently and is blamed for nothing."""
        return fingerprint in self._completed and not self._book.blamed(fingerprint)

    @asynccontextmanager
    async def canary(self, fingerprint: str) -> AsyncIterator[bool]:
        """Yield whether the first sub-request must go alone.

        Equal requests wait until the canary has ended, and are then checked again.

        Raises
        ------
        Refusal
            If the fingerprint is condemned.
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
        """Note that an attempt is about to be sent to a server."""
        started = self._book.next_order()
        proven = self.proven(fingerprint)
        attempt = _Attempt(fingerprint, server, incarnation, proven, started)
        self._attempts[attempt_id] = attempt
        self._at.setdefault(server, {})[attempt_id] = attempt

    def ended(self, attempt_id: str, outcome: AttemptOutcome) -> None:
        """Note how an attempt ended; unknown attempts are ignored."""
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
        """Blame what was in flight at a server that crashed.

        To be called when a connection broke and a new one is refused, and when a
        server announces a greater incarnation without having withdrawn; also for
        servers without attempts, which show that a zone is failing.

        Returns
        -------
        tuple of Blame
            The blames, which `fresh` also hands to the session.
        """
        now = _now()
        self._sweep(now)
        crash = self._book.record(
            service, server, incarnation, availability_zone, now, now
        )
        blames: dict[str, Blame] = {}
        for attempt in self._at.get(server, {}).values():
            if attempt.incarnation <= incarnation:
                blames[attempt.fingerprint] = Blame(
                    attempt.fingerprint,
                    service,
                    server,
                    incarnation,
                    availability_zone,
                    self._was_proven(attempt),
                )
        for blame in blames.values():
            self._book.blame(crash, blame.fingerprint, blame.proven)
            self._fresh.append((now, blame))
        return tuple(blames.values())

    def _was_proven(self, attempt: _Attempt) -> bool:
        """Return whether a fingerprint had completed before the crash, and forget it.

        It goes alone next time, in case it became dangerous with a new index.
        """
        completed = self._completed.pop(attempt.fingerprint, attempt)
        return attempt.proven or completed is None

    def fresh(self) -> list[Blame]:
        """Return and forget the blames that no session has carried yet."""
        now = _now()
        blames = [
            replace(blame, age_ms=(now - time) * 1_000) for time, blame in self._fresh
        ]
        self._fresh.clear()
        return blames

    def merge(self, blames: Iterable[Blame]) -> None:
        """Take over blames of other entry hosts."""
        now = _now()
        for blame in blames:
            crash = self._book.record(
                blame.service,
                blame.server,
                blame.incarnation,
                blame.availability_zone,
                now - blame.age_ms / 1_000,
                now,
            )
            self._book.blame(crash, blame.fingerprint, blame.proven)

    def condemned(self) -> dict[str, float]:
        """Return the condemned fingerprints with their remaining time in ms."""
        now = _now()
        ends = {
            fingerprint: self._book.condemned_until(fingerprint, now)
            for fingerprint in self._book.fingerprints()
        }
        return {
            fingerprint: (end - now) * 1_000
            for fingerprint, end in ends.items()
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
        """Forget attempts whose connection broke too long ago to blame them."""
        oldest = now - self._settings.linger_s
        while self._broken:
            attempt_id, attempt = self._broken[0]
            if attempt.broken is not None and attempt.broken >= oldest:
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
