"""Verdicts on request fingerprints that crash servers, shared by all entry hosts."""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass

from kingcuplug_membership._change_log import ChangeLog
from kingcuplug_membership._settings import MembershipSettings

__all__ = ["CrashVerdict", "CrashVerdictTable"]


@dataclass(frozen=True, slots=True)
class CrashVerdict:
    """A fingerprint suspected of the crash of a server, or quarantined.

    Attributes
    ----------
    fingerprint : str
        Digest of service, kind and body of the request.
    server, incarnation : str, int
        The run of the server that crashed; empty if the fingerprint is quarantined.
    remaining_ms : int
        Remaining time for which the verdict is kept.
    service, availability_zone : str
        Those of the crashed server, so that other hosts can detect a failing zone.
    proven : bool
        Whether a request with the fingerprint had completed somewhere before.
    """

    fingerprint: str
    server: str = ""
    incarnation: int = 0
    remaining_ms: int = 600_000
    service: str = ""
    availability_zone: str = ""
    proven: bool = False

    @property
    def quarantined(self) -> bool:
        """Return whether the fingerprint is quarantined, not only suspected."""
        return not self.server

    @property
    def key(self) -> tuple[str, str, int]:
        """Return the fields that identify a verdict."""
        return (self.fingerprint, self.server, self.incarnation)


class CrashVerdictTable:
    """Unexpired verdicts, bounded in number; the oldest are evicted first."""

    def __init__(
        self, clock: Callable[[], float], settings: MembershipSettings | None = None
    ) -> None:
        self._clock = clock
        self._settings = settings or MembershipSettings()
        self._expires_at: dict[tuple[str, str, int], float] = {}
        self._verdicts: dict[tuple[str, str, int], CrashVerdict] = {}
        self._changes: ChangeLog[tuple[str, str, int]] = ChangeLog(clock)
        self._subscribers: list[Callable[[CrashVerdict], None]] = []

    def __len__(self) -> int:
        return len(self._expires_at)

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return self._changes.version

    @property
    def local_version(self) -> int:
        """Return the version of the last change that this host replicates."""
        return self._changes.local_version

    def subscribe(self, callback: Callable[[CrashVerdict], None]) -> None:
        """Call `callback` with every new verdict."""
        self._subscribers.append(callback)

    def add(self, verdict: CrashVerdict, local: bool = False) -> bool:
        """Store a verdict; return whether it is new."""
        self._purge()
        if verdict.key in self._expires_at:
            return False
        remaining_ms = min(verdict.remaining_ms, self._settings.verdict_ms)
        self._expires_at[verdict.key] = self._clock() + remaining_ms / 1_000
        self._verdicts[verdict.key] = verdict
        self._changes.record_change(verdict.key, local)
        if len(self._expires_at) > self._settings.verdict_limit:
            self._remove(next(iter(self._expires_at)))
        for callback in self._subscribers:
            callback(verdict)
        return True

    def added_since(
        self, version: int, local: bool = False
    ) -> tuple[CrashVerdict, ...]:
        """Return the verdicts added after `version` that have not expired."""
        now = self._clock()
        unexpired = []
        for key in self._changes.keys_since(version, local):
            remaining_ms = int((self._expires_at[key] - now) * 1_000)
            if remaining_ms > 0:
                verdict = self._verdicts[key]
                unexpired.append(
                    dataclasses.replace(verdict, remaining_ms=remaining_ms)
                )
        return tuple(unexpired)

    def _purge(self) -> None:
        now = self._clock()
        while self._expires_at:
            key = next(iter(self._expires_at))
            if self._expires_at[key] > now:
                return
            self._remove(key)

    def _remove(self, key: tuple[str, str, int]) -> None:
        del self._expires_at[key]
        del self._verdicts[key]
        self._changes.remove(key)
