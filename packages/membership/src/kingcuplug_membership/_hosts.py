"""The entry hosts that hold a session lease.

A control host keeps its own sessions. The leader keeps the sessions of all control
hosts, so that it alone decides which entry host is lost and which revision is in
force everywhere.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from kingcuplug_common import identifier

from kingcuplug_membership._changes import ChangeLog
from kingcuplug_membership._messages import BarrierRequest, HostRow
from kingcuplug_membership._settings import MembershipSettings

__all__ = ["HostStatus", "HostTable"]


@dataclass(frozen=True, slots=True)
class HostStatus:
    """An entry host as operators see it.

    Attributes
    ----------
    confirmed : int
        Revision of the configuration that is in force there.
    control_host : str
        Its home.
    """

    host: str
    incarnation: int
    availability_zone: str
    confirmed: int
    control_host: str

    @classmethod
    def of(cls, row: HostRow, control_host: str) -> "HostStatus":
        """Return the status that `control_host` reports in `row`."""
        return cls(
            row.host,
            row.incarnation,
            row.availability_zone,
            row.confirmed,
            control_host,
        )


@dataclass(slots=True)
class _Control:
    epoch: str
    version: int
    revision: int
    received: float
    rows: dict[str, HostRow] = field(default_factory=dict)


class HostTable:
    """The leader's table of sessions, filled by the barrier exchange.

    A control host grants no lease beyond its last barrier plus one lease, so the
    rows of a control host are void one lease after its last barrier arrived. That
    holds also for the rows of a control host that has restarted since: it has
    forgotten the leases, but the entry hosts go on serving under them.
    """

    def __init__(
        self, clock: Callable[[], float], settings: MembershipSettings | None = None
    ) -> None:
        self.epoch = identifier()
        self._clock = clock
        self._settings = settings or MembershipSettings()
        self._started = clock()
        self._controls: dict[str, _Control] = {}
        self._former: list[tuple[str, _Control]] = []
        self._live: dict[str, int] = {}
        self._live_changes: ChangeLog[str] = ChangeLog(clock)

    @property
    def complete(self) -> bool:
        """Return whether all leases granted under earlier leaders have run out."""
        return self._clock() >= self._started + self._settings.lease

    def record(self, request: BarrierRequest) -> bool:
        """Merge a control host's sessions; return False if all are needed."""
        known = self._controls.get(request.sender)
        if known is not None and known.epoch != request.epoch:
            self._former.append((request.sender, known))
            del self._controls[request.sender]
            known = None
        if known is not None and request.version < known.version:
            return False  # A request that arrives late; its rows are older.
        if request.since == 0:
            known = _Control(request.epoch, 0, request.revision, 0)
            self._controls[request.sender] = known
        if known is None or request.table not in ("", self.epoch):
            return False
        if request.since > known.version:
            return False
        known.version = request.version
        known.revision = request.revision
        known.received = self._clock()
        known.rows.update((row.host, row) for row in request.rows)
        for host in request.left:
            known.rows.pop(host, None)
        return True

    def statuses(self) -> dict[str, HostStatus]:
        """Return the entry hosts with a running lease, by host name."""
        found: dict[str, HostStatus] = {}
        for name, control in self._open():
            for row in control.rows.values():
                status = HostStatus.of(row, name)
                other = found.get(row.host)
                if other is None or _progress(other) < _progress(status):
                    found[row.host] = status
        return found

    def lagging(self, revision: int) -> list[str]:
        """Return what keeps `revision` from being in force everywhere."""
        waiting = [] if self.complete else ["leases granted under the former leader"]
        waiting += [
            f"control host {name}"
            for name, control in self._open()
            if control.revision < revision
        ]
        waiting += [
            f"entry host {status.host}"
            for status in self.statuses().values()
            if status.confirmed < revision
        ]
        return waiting

    def refresh(self) -> dict[str, int]:
        """Update the list of live hosts and return it."""
        now_live = {
            status.host: status.incarnation for status in self.statuses().values()
        }
        for host in now_live.keys() | self._live.keys():
            if now_live.get(host) != self._live.get(host):
                self._live_changes.touch(host)
        self._live = now_live
        return now_live

    def live_since(self, version: int) -> tuple[dict[str, int | None], int]:
        """Return live incarnations (None: not live) changed after `version`."""
        hosts = self._live_changes.since(version)
        return {host: self._live.get(host) for host in hosts}, (
            self._live_changes.version
        )

    def _open(self) -> list[tuple[str, _Control]]:
        """Return the control hosts whose leases may still run."""
        limit = self._clock() - self._settings.lease
        self._former = [each for each in self._former if each[1].received > limit]
        running = [each for each in self._controls.items() if each[1].received > limit]
        return running + self._former


def _progress(status: HostStatus) -> tuple[int, int]:
    return (status.incarnation, status.confirmed)
