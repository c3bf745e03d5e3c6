"""Quarantine of requests under which servers crash, shared by all hosts.

Handles this load pattern: one request crashes each server that runs it, and comes again
at any host, so that no host sees it often; other requests are lost at the same servers,
are sent to further ones, and are answered.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["RequestQuarantine", "SuspectRecord", "SuspectRecords", "SuspectRegister"]

# A request is quarantined after so many executions, each of which crashed servers and
# none of which was answered. An execution is one attempt of the caller.
_MAX_CRASHED_EXECUTIONS = 3
_SUSPICION_S = 60.0
_QUARANTINE_MIN = 10
_S_PER_MINUTE = 60.0
# Bounds what is sent to every host; requests in quarantine are kept first.
_MAX_SUSPECTS = 64
_EXECUTION_BYTES = 4
# Stands for all executions that began before the suspicion was known: requests to one
# path may be in flight at several servers when these crash for another reason.
_UNSUSPECTED_EXECUTION = "0" * (2 * _EXECUTION_BYTES)
# The coordinator publishes a report to all hosts well within this time.
_PUBLISH_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """A suspected request, as sent between hosts.

    Attributes
    ----------
    minutes_left : int
        Duration of the quarantine that remains, or that would begin. It is so coarse
        that records seldom change.
    executions : frozenset of str
        Digests of the attempt ids of the executions that crashed servers.
    """

    minutes_left: int
    executions: frozenset[str]


# Records by the fingerprint of the request.
SuspectRecords = Mapping[str, SuspectRecord]


@dataclass(slots=True)
class _Suspect:
    since: float
    until: float
    executions: set[str] = field(default_factory=set)

    @property
    def quarantined(self) -> bool:
        return len(self.executions) >= _MAX_CRASHED_EXECUTIONS


class SuspectRegister:
    """Suspected requests with the executions that crashed servers.

    Records may be added again and in any order.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}

    def add(self, records: SuspectRecords, now: float) -> None:
        """Add the executions of records; new ones extend the suspicion."""
        for fingerprint, record in records.items():
            suspect = self._suspects.setdefault(
                fingerprint, _Suspect(since=now, until=now)
            )
            if record.executions <= suspect.executions:
                continue
            suspect.executions |= record.executions
            left_s = _SUSPICION_S
            if suspect.quarantined:
                left_s = min(record.minutes_left, _QUARANTINE_MIN) * _S_PER_MINUTE
            suspect.until = max(suspect.until, now + left_s)
        self._evict(now)

    def record_crash(self, fingerprint: str, execution: str, now: float) -> None:
        """Add an execution that crashed servers just now."""
        record = SuspectRecord(_QUARANTINE_MIN, frozenset((execution,)))
        self.add({fingerprint: record}, now)

    def discard(self, fingerprints: Iterable[str]) -> None:
        """End the suspicion of requests that were answered.

        A quarantine goes on: it takes executions without any answer, so the answer is
        that of an earlier one.
        """
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None and not suspect.quarantined:
                del self._suspects[fingerprint]

    def remove(self, fingerprint: str) -> None:
        """Remove a request, quarantined or not."""
        self._suspects.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is suspected."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.until > now

    def suspected_since(self, fingerprint: str, now: float) -> float:
        """Return when a request became known as suspected; ``inf`` if it is not."""
        if not self.is_suspect(fingerprint, now):
            return math.inf
        return self._suspects[fingerprint].since

    def quarantined_s(self, fingerprint: str, now: float) -> float:
        """Return for how long a request is still in quarantine; 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.quarantined:
            return 0.0
        return max(0.0, suspect.until - now)

    def records(self, now: float) -> dict[str, SuspectRecord]:
        """Return the records of all requests that are still suspected."""
        self._evict(now)
        return {
            fingerprint: SuspectRecord(
                math.ceil((suspect.until - now) / _S_PER_MINUTE)
                if suspect.quarantined
                else _QUARANTINE_MIN,
                frozenset(suspect.executions),
            )
            for fingerprint, suspect in self._suspects.items()
        }

    def quarantined_records(self, now: float) -> dict[str, SuspectRecord]:
        """Return the records of quarantined requests, with full minutes only.

        Hosts that report them again and again therefore do not prolong a quarantine.
        """
        return {
            fingerprint: SuspectRecord(
                int((suspect.until - now) / _S_PER_MINUTE),
                frozenset(suspect.executions),
            )
            for fingerprint, suspect in self._suspects.items()
            if suspect.quarantined and suspect.until - now >= _S_PER_MINUTE
        }

    def __len__(self) -> int:
        """Return the number of suspected requests."""
        return len(self._suspects)

    def _evict(self, now: float) -> None:
        for fingerprint, suspect in tuple(self._suspects.items()):
            if suspect.until <= now:
                del self._suspects[fingerprint]
        excess = len(self._suspects) - _MAX_SUSPECTS
        if excess > 0:
            by_value = sorted(
                self._suspects.items(),
                key=lambda item: (len(item[1].executions), item[1].until),
            )
            for fingerprint, _ in by_value[:excess]:
                del self._suspects[fingerprint]


class RequestQuarantine:
    """The suspects known to one host: its own, and those of all hosts.

    A host keeps a quarantine when the coordinator has lost it, and reports it again.
    """

    def __init__(self) -> None:
        self._register = SuspectRegister()
        self._unpublished: dict[str, float] = {}
        self._reported_again_at = -math.inf
        self._new = SuspectRegister()
        self._answered: set[str] = set()
        self._published: SuspectRecords = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._register

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether servers crashed under a request that was not answered since.

        Such a request is to be sent to one server at a time, and no further one after
        a lost connection.
        """
        return self._register.is_suspect(fingerprint, now)

    def quarantined_s(self, fingerprint: str, now: float) -> float:
        """Return for how long a request is to be refused; 0 if it is not."""
        return self._register.quarantined_s(fingerprint, now)

    def count_quarantined(self, now: float) -> int:
        """Return the number of requests in quarantine."""
        records = self._register.records(now)
        return sum(self.quarantined_s(f, now) > 0 for f in records)

    def record_crash(self, fingerprint: str, attempt_id: str, now: float) -> bool:
        """Record that servers crashed under a request that none has answered.

        Returns
        -------
        bool
            Whether the request is in quarantine from now on.
        """
        digest = hashlib.blake2b(attempt_id.encode(), digest_size=_EXECUTION_BYTES)
        return self._record_crash(fingerprint, digest.hexdigest(), now)

    def record_path_crash(
        self, path_fingerprint: str, attempt_id: str, started_at: float, now: float
    ) -> bool:
        """Record that servers crashed under a request that may differ in its query.

        Other requests to the same path may have been lost in the same crash. So only
        executions that began under suspicion count one by one.

        Returns
        -------
        bool
            Whether requests to the path are in quarantine from now on.
        """
        if started_at > self._register.suspected_since(path_fingerprint, now):
            return self.record_crash(path_fingerprint, attempt_id, now)
        return self._record_crash(path_fingerprint, _UNSUSPECTED_EXECUTION, now)

    def _record_crash(self, fingerprint: str, execution: str, now: float) -> bool:
        was_quarantined = self.quarantined_s(fingerprint, now) > 0
        for register in (self._register, self._new):
            register.record_crash(fingerprint, execution, now)
        self._unpublished[fingerprint] = now
        self._answered.discard(fingerprint)
        return not was_quarantined and self.quarantined_s(fingerprint, now) > 0

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Record that a server has answered a request, which ends its suspicion."""
        if not self.is_suspect(fingerprint, now):
            return
        self._register.discard((fingerprint,))
        self._new.discard((fingerprint,))
        self._unpublished.pop(fingerprint, None)
        self._answered.add(fingerprint)

    def pop_report(self, now: float) -> tuple[dict[str, SuspectRecord], list[str]]:
        """Return the new records, and the requests that were answered, to report."""
        records = self._new.records(now)
        self._new = SuspectRegister()
        if now >= self._reported_again_at + _PUBLISH_TIMEOUT_S:
            self._reported_again_at = now
            for fingerprint, record in self._register.quarantined_records(now).items():
                if fingerprint not in self._published:
                    records.setdefault(fingerprint, record)
        answered, self._answered = sorted(self._answered), set()
        return records, answered

    def restore_report(
        self, records: SuspectRecords, answered: Iterable[str], now: float
    ) -> None:
        """Return what could not be reported, to be reported later."""
        self._new.add(records, now)
        self._answered.update(answered)

    def apply(self, published: SuspectRecords, now: float) -> None:
        """Take over the suspects that the coordinator has published."""
        if published == self._published and not self._unpublished:
            return
        self._published = published
        self._register.add(
            {f: r for f, r in published.items() if f not in self._answered}, now
        )
        for fingerprint in published:
            self._unpublished.pop(fingerprint, None)
        self._unpublished = {
            f: at
            for f, at in self._unpublished.items()
            if now < at + _PUBLISH_TIMEOUT_S
        }
        self._register.discard(
            f
            for f in self._register.records(now)
            if f not in published and f not in self._unpublished
        )
