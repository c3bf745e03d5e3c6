"""Crashes, the fingerprints blamed for them, and who is condemned by that."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Blame", "BlameBook", "Crash", "CrashGuardSettings"]

_DISTINCT_SERVERS = 2
_BLAMES_ARRIVE_S = 0.5  # two session exchanges and one of the mesh
_CRASHES = 3  # of one server: a shard with one replica never has two servers


@dataclass(frozen=True, slots=True)
class CrashGuardSettings:
    """Settings of the crash guard.

    Parameters
    ----------
    condemned_s : float
        How long blames and condemnations last.
    most_entries : int
        Bound on crashes, on blamed and on remembered completed fingerprints.
    most_blamed : int
        A crash with more fingerprints in flight that had not completed before is
        blamed on none of them.
    most_other_losses : int
        A crash is not blamed if more servers of other services broke close to it.
    loss_window_s : float
        How close is close.
    linger_s : float
        How long an attempt whose connection broke counts as in flight, until the
        crash is confirmed by a refused connection or a new incarnation.
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
        the attempt was not sent alone.
    age_ms : float
        Time since the crash when the blame was handed over.
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
    one_zone: bool = False
    close: int = 1  # crashes within the loss window, this one included


class BlameBook:
    """Remembered crashes; condemnation is derived and therefore reversible."""

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
        """Return the crash of an incarnation, recorded once."""
        self._expire(now)
        crash = self._crashes.get((server, incarnation))
        if crash is None:
            crash = Crash(service, server, incarnation, zone, time, self.next_order())
            self._crashes[server, incarnation] = crash
            self._judge(crash)
        return crash

    def next_order(self) -> int:
        """Return a number greater than all before, to order starts and crashes."""
        self._order += 1
        return self._order

    def blame(self, crash: Crash, fingerprint: str, proven: bool) -> None:
        """Blame a fingerprint for a crash."""
        crash.blamed[fingerprint] = proven
        crashes = self._of.setdefault(fingerprint, [])
        if crash not in crashes:
            crashes.append(crash)
        if len(self._of) > self._settings.most_entries:
            self._of.popitem(last=False)

    def completed(self, fingerprint: str, started: int, now: float) -> None:
        """Withdraw the blames that an attempt started later has disproved."""
        crashes = self._of.get(fingerprint)
        if crashes is None or self.condemned_until(fingerprint, now) is not None:
            return
        left = [crash for crash in crashes if crash.order > started]
        if left:
            self._of[fingerprint] = left
        else:
            del self._of[fingerprint]

    def blamed(self, fingerprint: str) -> bool:
        """Return whether any crash is still blamed on a fingerprint."""
        return fingerprint in self._of

    def condemned_until(self, fingerprint: str, now: float) -> float | None:
        """Return until when a fingerprint is condemned, or None if it is not."""
        if fingerprint not in self._of:
            return None
        self._expire(now)
        standing = [
            crash
            for crash in self._of.get(fingerprint, ())
            if self._stands(crash, fingerprint, now)
        ]
        standing = [crash for crash in standing if self._explains(crash, standing)]
        servers = {crash.server for crash in standing}
        if len(servers) < _DISTINCT_SERVERS and len(standing) < _CRASHES:
            return None
        end = max(crash.time for crash in standing) + self._settings.condemned_s
        return end if end > now else None

    def fingerprints(self) -> Iterable[str]:
        """Return the blamed fingerprints."""
        return list(self._of)

    def _stands(self, crash: Crash, fingerprint: str, now: float) -> bool:
        # What completed before does not count: under load, many such are in flight.
        unproven = sum(1 for proven in crash.blamed.values() if not proven)
        if crash.other_services or unproven > self._settings.most_blamed:
            return False
        if not crash.blamed[fingerprint]:
            return True
        # A query is in flight at many servers at once, so two crashes within
        # milliseconds would condemn every query that runs beside a crashing one. What
        # completed before is blamed only where nothing else was in flight, once the
        # blames of other entry hosts have come. Until then it goes alone.
        alone = len(crash.blamed) == 1 and now - crash.time >= _BLAMES_ARRIVE_S
        return alone and not crash.one_zone

    def _explains(self, crash: Crash, blamed: list[Crash]) -> bool:
        """Return whether a fingerprint was in flight at half of the close crashes.

        A crashing request was at all of them. When a whole service restarts, each
        of its canaries was at a few servers only.
        """
        window = self._settings.loss_window_s
        own = sum(1 for other in blamed if abs(other.time - crash.time) <= window)
        return 2 * own >= crash.close

    def _judge(self, newest: Crash) -> None:
        """Mark crashes that coincide with the loss of a zone or a rack."""
        window = self._settings.loss_window_s
        if self._recent and newest.time < self._recent[-1].time - window:
            return
        self._recent.append(newest)
        self._services[newest.service] += 1
        self._zones[newest.zone] += 1
        while newest.time - self._recent[0].time > window:
            self._leave(self._recent.popleft())
        most = self._settings.most_other_losses
        one_zone = len(self._recent) > most and len(self._zones) == 1
        for crash in self._recent:
            crash.close = max(crash.close, len(self._recent))
            others = len(self._recent) - self._services[crash.service]
            crash.other_services = crash.other_services or others > most
            crash.one_zone = one_zone

    def _leave(self, crash: Crash) -> None:
        self._services[crash.service] -= 1
        self._zones[crash.zone] -= 1
        if not self._zones[crash.zone]:
            del self._zones[crash.zone]
        if not self._services[crash.service]:
            del self._services[crash.service]
        if not crash.blamed:
            # It only served as evidence of a zone loss.
            self._crashes.pop((crash.server, crash.incarnation), None)

    def _expire(self, now: float) -> None:
        # A condemnation lasts from the last crash, so earlier ones must outlive it.
        oldest = now - 2 * self._settings.condemned_s
        while self._crashes:
            key, crash = next(iter(self._crashes.items()))
            if (
                crash.time > oldest
                and len(self._crashes) <= self._settings.most_entries
            ):
                return
            del self._crashes[key]
            for fingerprint in crash.blamed:
                self._forget(fingerprint, crash)

    def _forget(self, fingerprint: str, crash: Crash) -> None:
        left = [each for each in self._of.get(fingerprint, ()) if each is not crash]
        if left:
            self._of[fingerprint] = left
        else:
            self._of.pop(fingerprint, None)
