"""Recorded crashes and the fingerprints suspected of causing them."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Blame", "BlameBook", "Crash", "CrashGuardSettings"]

_MIN_CRASHED_SERVERS = 2
_SUSPECT_EXCHANGE_S = 0.5  # two session exchanges and one of the mesh
_MIN_CRASHES = 3  # of one server: a shard with one replica never has two servers


@dataclass(frozen=True, slots=True)
class CrashGuardSettings:
    """Settings of the crash guard.

    Parameters
    ----------
    condemned_s : float
        Duration of a quarantine, and time for which a crash is evidence.
    most_entries : int
        Greatest number each of crashes, suspected fingerprints and remembered
        completed fingerprints.
    most_blamed : int
        A crash with more fingerprints in flight that had not completed before makes
        none of them a suspect.
    most_other_losses : int
        A crash makes no suspects if more servers of other services crashed within
        the window.
    loss_window_s : float
        Time within which crashes are taken for one correlated failure.
    linger_s : float
        Time for which an attempt with a broken connection still counts as in flight
        while the crash is not confirmed by a refused connection or a new incarnation.
    """

    condemned_s: float = 600.0
    most_entries: int = 10_000
    most_blamed: int = 8
    most_other_losses: int = 2
    loss_window_s: float = 1.0
    linger_s: float = 5.0


@dataclass(frozen=True, slots=True)
class Blame:
    """One fingerprint in flight at one crash; shared between entry hosts.

    Parameters
    ----------
    proven : bool
        Whether the fingerprint had completed somewhere before this attempt, so that
        the attempt was not sent as a canary.
    age_ms : float
        Time from the crash until this record was sent.
    """

    fingerprint: str
    service: str
    server: str
    incarnation: int
    availability_zone: str
    proven: bool
    age_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Crash:
    """One incarnation of a server that crashed."""

    service: str
    server: str
    incarnation: int
    zone: str
    time: float
    order: int
    blamed: dict[str, bool] = field(default_factory=dict)
    other_services: bool = False
    within_one_zone: bool = False
    close: int = 1  # crashes within the crash window, this one included


class BlameBook:
    """Recent crashes with their suspects.

    Quarantines are computed from the crashes on each call and so end as soon as the
    evidence is withdrawn.
    """

    def __init__(self, settings: CrashGuardSettings) -> None:
        self._settings = settings
        self._crashes: OrderedDict[tuple[str, int], Crash] = OrderedDict()
        self._recent: deque[Crash] = deque()
        self._services: Counter[str] = Counter()
        self._zones: Counter[str] = Counter()
        self._order = 0
        self._of: OrderedDict[str, list[Crash]] = OrderedDict()

    def record(
        self,
        service: str,
        server: str,
        incarnation: int,
        zone: str,
        time: float,
        now: float,
    ) -> Crash:
        """Return the crash of an incarnation; record it on the first call."""
        self._expire(now)
        crash = self._crashes.get((server, incarnation))
        if crash is None:
            crash = Crash(service, server, incarnation, zone, time, self.next_order())
            self._crashes[server, incarnation] = crash
            self._judge(crash)
        return crash

    def next_order(self) -> int:
        """Return the next sequence number, which orders attempt starts and crashes."""
        self._order += 1
        return self._order

    def blame(self, crash: Crash, fingerprint: str, proven: bool) -> None:
        """Make a fingerprint a suspect of a crash."""
        crash.blamed[fingerprint] = proven
        crashes = self._of.setdefault(fingerprint, [])
        if crash not in crashes:
            crashes.append(crash)
        if len(self._of) > self._settings.most_entries:
            self._of.popitem(last=False)

    def completed(self, fingerprint: str, started: int, now: float) -> None:
        """Clear the suspicions of crashes older than an attempt that has completed."""
        crashes = self._of.get(fingerprint)
        if crashes is None or self.condemned_until(fingerprint, now) is not None:
            return
        remaining = [crash for crash in crashes if crash.order > started]
        if remaining:
            self._of[fingerprint] = remaining
        else:
            del self._of[fingerprint]

    def blamed(self, fingerprint: str) -> bool:
        """Return whether a fingerprint is a suspect of any crash."""
        return fingerprint in self._of

    def condemned_until(self, fingerprint: str, now: float) -> float | None:
        """Return the end of a fingerprint's quarantine, or None if there is none."""
        if fingerprint not in self._of:
            return None
        self._expire(now)
        evidence = [
            crash
            for crash in self._of.get(fingerprint, ())
            if self._stands(crash, fingerprint, now)
        ]
        evidence = [crash for crash in evidence if self._explains(crash, evidence)]
        servers = {crash.server for crash in evidence}
        if len(servers) < _MIN_CRASHED_SERVERS and len(evidence) < _MIN_CRASHES:
            return None
        end = max(crash.time for crash in evidence) + self._settings.condemned_s
        return end if end > now else None

    def fingerprints(self) -> Iterable[str]:
        """Return the suspected fingerprints."""
        return list(self._of)

    def _stands(self, crash: Crash, fingerprint: str, now: float) -> bool:
        # Fingerprints that completed before are not counted: many of them are in flight
        # under load.
        uncompleted_count = sum(
            1 for completed in crash.blamed.values() if not completed
        )
        if crash.other_services or uncompleted_count > self._settings.most_blamed:
            return False
        if not crash.blamed[fingerprint]:
            return True
        # A query is in flight at many servers at once, so two crashes within
        # milliseconds would quarantine every query that runs beside a crashing one. A
        # fingerprint that completed before is therefore a suspect only if nothing else
        # was in flight, and only after the suspects of other entry hosts have arrived.
        # Until then it is sent as a canary.
        is_only_suspect = (
            len(crash.blamed) == 1 and now - crash.time >= _SUSPECT_EXCHANGE_S
        )
        return is_only_suspect and not crash.within_one_zone

    def _explains(self, crash: Crash, blamed: list[Crash]) -> bool:
        """Return whether a fingerprint was in flight at half of the nearby crashes.

        A crashing request was in flight at all of them. When a whole service restarts,
        each canary was in flight at a few servers only.
        """
        window_s = self._settings.loss_window_s
        nearby_count = sum(
            1 for other in blamed if abs(other.time - crash.time) <= window_s
        )
        return 2 * nearby_count >= crash.close

    def _judge(self, newest: Crash) -> None:
        """Mark crashes that coincide with the loss of a zone or a rack."""
        window_s = self._settings.loss_window_s
        if self._recent and newest.time < self._recent[-1].time - window_s:
            return
        self._recent.append(newest)
        self._services[newest.service] += 1
        self._zones[newest.zone] += 1
        while newest.time - self._recent[0].time > window_s:
            self._leave(self._recent.popleft())
        threshold = self._settings.most_other_losses
        within_one_zone = len(self._recent) > threshold and len(self._zones) == 1
        for crash in self._recent:
            crash.close = max(crash.close, len(self._recent))
            others = len(self._recent) - self._services[crash.service]
            crash.other_services = crash.other_services or others > threshold
            crash.within_one_zone = within_one_zone

    def _leave(self, crash: Crash) -> None:
        self._services[crash.service] -= 1
        self._zones[crash.zone] -= 1
        if not self._zones[crash.zone]:
            del self._zones[crash.zone]
        if not self._services[crash.service]:
            del self._services[crash.service]
        if not crash.blamed:
            # It was kept only as evidence of a zone loss.
            self._crashes.pop((crash.server, crash.incarnation), None)

    def _expire(self, now: float) -> None:
        # A quarantine starts at the last crash, so earlier crashes are kept until it
        # has ended.
        cutoff = now - 2 * self._settings.condemned_s
        while self._crashes:
            key, crash = next(iter(self._crashes.items()))
            if (
                crash.time > cutoff
                and len(self._crashes) <= self._settings.most_entries
            ):
                return
            del self._crashes[key]
            for fingerprint in crash.blamed:
                self._forget(fingerprint, crash)

    def _forget(self, fingerprint: str, crash: Crash) -> None:
        remaining = [
            each for each in self._of.get(fingerprint, ()) if each is not crash
        ]
        if remaining:
            self._of[fingerprint] = remaining
        else:
            self._of.pop(fingerprint, None)
