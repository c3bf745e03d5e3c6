"""Recorded crashes and the fingerprints suspected of causing them."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Crash", "CrashGuardSettings", "CrashHistory", "CrashSuspect"]

_MIN_CRASHED_SERVERS = 2
_SUSPECT_EXCHANGE_S = 0.5  # two session exchanges and one of the mesh
_MIN_CRASHES = 3  # of one server: a shard with one replica never has two servers


@dataclass(frozen=True, slots=True)
class CrashGuardSettings:
    """Settings of the crash guard.

    Parameters
    ----------
    quarantine_s : float
        Duration of a quarantine, and time for which a crash is evidence.
    max_entries : int
        Greatest number each of crashes, suspected fingerprints and remembered
        completed fingerprints.
    max_suspects : int
        A crash with more fingerprints in flight that had not completed before makes
        none of them a suspect.
    max_other_service_crashes : int
        A crash makes no suspects if more servers of other services crashed within
        the window.
    crash_window_s : float
        Time within which crashes are taken for one correlated failure.
    broken_attempt_retention_s : float
        Time for which an attempt with a broken connection still counts as in flight
        while the crash is not confirmed by a refused connection or a new incarnation.
    """

    quarantine_s: float = 600.0
    max_entries: int = 10_000
    max_suspects: int = 8
    max_other_service_crashes: int = 2
    crash_window_s: float = 1.0
    broken_attempt_retention_s: float = 5.0


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """One fingerprint in flight at one crash; shared between entry hosts.

    Parameters
    ----------
    completed_before : bool
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
    completed_before: bool
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
    suspects: dict[str, bool] = field(default_factory=dict)
    other_services_crashed: bool = False
    within_one_zone: bool = False
    nearby_crashes: int = 1  # crashes within the crash window, this one included


class CrashHistory:
    """Recent crashes with their suspects.

    Quarantines are computed from the crashes on each call and so end as soon as the
    evidence is withdrawn.
    """

    def __init__(self, settings: CrashGuardSettings) -> None:
        self._settings = settings
        self._crashes: OrderedDict[tuple[str, int], Crash] = OrderedDict()
        self._window: deque[Crash] = deque()
        self._service_counts: Counter[str] = Counter()
        self._zone_counts: Counter[str] = Counter()
        self._order = 0
        self._crashes_by_suspect: OrderedDict[str, list[Crash]] = OrderedDict()

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
            self._mark_correlated(crash)
        return crash

    def next_order(self) -> int:
        """Return the next sequence number, which orders attempt starts and crashes."""
        self._order += 1
        return self._order

    def add_suspect(
        self, crash: Crash, fingerprint: str, completed_before: bool
    ) -> None:
        """Make a fingerprint a suspect of a crash."""
        crash.suspects[fingerprint] = completed_before
        crashes = self._crashes_by_suspect.setdefault(fingerprint, [])
        if crash not in crashes:
            crashes.append(crash)
        if len(self._crashes_by_suspect) > self._settings.max_entries:
            self._crashes_by_suspect.popitem(last=False)

    def record_completion(
        self, fingerprint: str, started_order: int, now: float
    ) -> None:
        """Clear the suspicions of crashes older than an attempt that has completed."""
        crashes = self._crashes_by_suspect.get(fingerprint)
        if crashes is None or self.quarantined_until(fingerprint, now) is not None:
            return
        remaining = [crash for crash in crashes if crash.order > started_order]
        if remaining:
            self._crashes_by_suspect[fingerprint] = remaining
        else:
            del self._crashes_by_suspect[fingerprint]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a fingerprint is a suspect of any crash."""
        return fingerprint in self._crashes_by_suspect

    def quarantined_until(self, fingerprint: str, now: float) -> float | None:
        """Return the end of a fingerprint's quarantine, or None if there is none."""
        if fingerprint not in self._crashes_by_suspect:
            return None
        self._expire(now)
        evidence = [
            crash
            for crash in self._crashes_by_suspect.get(fingerprint, ())
            if self._is_evidence(crash, fingerprint, now)
        ]
        evidence = [
            crash for crash in evidence if self._was_at_nearby_crashes(crash, evidence)
        ]
        servers = {crash.server for crash in evidence}
        if len(servers) < _MIN_CRASHED_SERVERS and len(evidence) < _MIN_CRASHES:
            return None
        end = max(crash.time for crash in evidence) + self._settings.quarantine_s
        return end if end > now else None

    def suspected_fingerprints(self) -> Iterable[str]:
        """Return the suspected fingerprints."""
        return list(self._crashes_by_suspect)

    def _is_evidence(self, crash: Crash, fingerprint: str, now: float) -> bool:
        # Fingerprints that completed before are not counted: many of them are in flight
        # under load.
        uncompleted_count = sum(
            1 for completed in crash.suspects.values() if not completed
        )
        if (
            crash.other_services_crashed
            or uncompleted_count > self._settings.max_suspects
        ):
            return False
        if not crash.suspects[fingerprint]:
            return True
        # A query is in flight at many servers at once, so two crashes within
        # milliseconds would quarantine every query that runs beside a crashing one. A
        # fingerprint that completed before is therefore a suspect only if nothing else
        # was in flight, and only after the suspects of other entry hosts have arrived.
        # Until then it is sent as a canary.
        is_only_suspect = (
            len(crash.suspects) == 1 and now - crash.time >= _SUSPECT_EXCHANGE_S
        )
        return is_only_suspect and not crash.within_one_zone

    def _was_at_nearby_crashes(self, crash: Crash, crashes: list[Crash]) -> bool:
        """Return whether a fingerprint was in flight at half of the nearby crashes.

        A crashing request was in flight at all of them. When a whole service restarts,
        each canary was in flight at a few servers only.
        """
        window_s = self._settings.crash_window_s
        nearby_count = sum(
            1 for other in crashes if abs(other.time - crash.time) <= window_s
        )
        return 2 * nearby_count >= crash.nearby_crashes

    def _mark_correlated(self, newest: Crash) -> None:
        """Mark crashes that coincide with the loss of a zone or a rack."""
        window_s = self._settings.crash_window_s
        if self._window and newest.time < self._window[-1].time - window_s:
            return
        self._window.append(newest)
        self._service_counts[newest.service] += 1
        self._zone_counts[newest.zone] += 1
        while newest.time - self._window[0].time > window_s:
            self._drop_from_window(self._window.popleft())
        threshold = self._settings.max_other_service_crashes
        within_one_zone = len(self._window) > threshold and len(self._zone_counts) == 1
        for crash in self._window:
            crash.nearby_crashes = max(crash.nearby_crashes, len(self._window))
            others = len(self._window) - self._service_counts[crash.service]
            crash.other_services_crashed = (
                crash.other_services_crashed or others > threshold
            )
            crash.within_one_zone = within_one_zone

    def _drop_from_window(self, crash: Crash) -> None:
        self._service_counts[crash.service] -= 1
        self._zone_counts[crash.zone] -= 1
        if not self._zone_counts[crash.zone]:
            del self._zone_counts[crash.zone]
        if not self._service_counts[crash.service]:
            del self._service_counts[crash.service]
        if not crash.suspects:
            # It was kept only as evidence of a zone loss.
            self._crashes.pop((crash.server, crash.incarnation), None)

    def _expire(self, now: float) -> None:
        # A quarantine starts at the last crash, so earlier crashes are kept until it
        # has ended.
        cutoff = now - 2 * self._settings.quarantine_s
        while self._crashes:
            key, crash = next(iter(self._crashes.items()))
            if crash.time > cutoff and len(self._crashes) <= self._settings.max_entries:
                return
            del self._crashes[key]
            for fingerprint in crash.suspects:
                self._remove_suspect(fingerprint, crash)

    def _remove_suspect(self, fingerprint: str, crash: Crash) -> None:
        remaining = [
            each
            for each in self._crashes_by_suspect.get(fingerprint, ())
            if each is not crash
        ]
        if remaining:
            self._crashes_by_suspect[fingerprint] = remaining
        else:
            self._crashes_by_suspect.pop(fingerprint, None)
