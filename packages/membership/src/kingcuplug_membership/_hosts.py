"""Entry hosts that hold a session lease.

A control host knows its own sessions. The leader collects the sessions of all
control hosts, so that it alone decides which entry host is lost and which revision
is in force everywhere.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from kingcuplug_common import identifier

from kingcuplug_membership._change_log import ChangeLog
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
        Control host that serves its session.
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

    No lease of a control host runs longer than one lease period after its last barrier
    exchange, so its rows expire one lease period after that exchange arrived. Rows of
    a control host that has restarted since are kept as long: the new process does not
    know the leases, but the entry hosts still serve under them.
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
        """Return whether all leases granted under earlier leaders have expired."""
        return self._clock() >= self._started + self._settings.lease

    def record(self, request: BarrierRequest) -> bool:
        """Merge a control host's sessions; return False if a full report is needed."""
        known = self._controls.get(request.sender)
        if known is not None and known.epoch != request.epoch:
            self._former.append((request.sender, known))
            del self._controls[request.sender]
            known = None
        if known is not None and request.version < known.version:
            return False  # Delivered out of order; its rows are older.
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
        statuses: dict[str, HostStatus] = {}
        for name, control in self._open():
            for row in control.rows.values():
                status = HostStatus.of(row, name)
                other = statuses.get(row.host)
                if other is None or _progress(other) < _progress(status):
                    statuses[row.host] = status
        return statuses

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
        """Update the incarnations of live hosts and return them."""
        live = {status.host: status.incarnation for status in self.statuses().values()}
        for host in live.keys() | self._live.keys():
            if live.get(host) != self._live.get(host):
                self._live_changes.touch(host)
        self._live = live
        return live

    def live_since(self, version: int) -> tuple[dict[str, int | None], int]:
        """Return live incarnations (None: not live) changed after `version`."""
        hosts = self._live_changes.since(version)
        return {host: self._live.get(host) for host in hosts}, (
            self._live_changes.version
        )

    def _open(self) -> list[tuple[str, _Control]]:
        """Return the control hosts whose leases may still run."""
        cutoff = self._clock() - self._settings.lease
        self._former = [item for item in self._former if item[1].received > cutoff]
        current = [item for item in self._controls.items() if item[1].received > cutoff]
        return current + self._former


def _progress(status: HostStatus) -> tuple[int, int]:
    return (status.incarnation, status.confirmed)
