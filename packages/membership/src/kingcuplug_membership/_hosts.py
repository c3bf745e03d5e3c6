"""Entry hosts that hold a session lease.

A control host knows its own sessions. The leader collects the sessions of all
control hosts, so that it alone decides which entry host is lost and which revision
is in force everywhere.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from kingcuplug_common import random_identifier

from kingcuplug_membership._change_log import ChangeLog
from kingcuplug_membership._messages import BarrierRequest, HostRow
from kingcuplug_membership._settings import MembershipSettings

__all__ = ["EntryHostTable", "HostStatus"]


@dataclass(frozen=True, slots=True)
class HostStatus:
    """An entry host as operators see it.

    Attributes
    ----------
    confirmed_revision : int
        Revision of the configuration that is in force there.
    control_host : str
        Control host that serves its session.
    """

    host: str
    incarnation: int
    availability_zone: str
    confirmed_revision: int
    control_host: str

    @classmethod
    def from_row(cls, row: HostRow, control_host: str) -> "HostStatus":
        """Return the status that `control_host` reports in `row`."""
        return cls(
            row.host,
            row.incarnation,
            row.availability_zone,
            row.confirmed,
            control_host,
        )


@dataclass(slots=True)
class _ControlHostRecord:
    epoch: str
    version: int
    revision: int
    received_at: float
    rows: dict[str, HostRow] = field(default_factory=dict)


class EntryHostTable:
    """The leader's table of sessions, filled by the barrier exchange.

    No lease of a control host runs longer than one lease period after its last barrier
    exchange, so its rows expire one lease period after that exchange arrived. Rows of
    a control host that has restarted since are kept as long: the new process does not
    know the leases, but the entry hosts still serve under them.
    """

    def __init__(
        self, clock: Callable[[], float], settings: MembershipSettings | None = None
    ) -> None:
        self.epoch = random_identifier()
        self._clock = clock
        self._settings = settings or MembershipSettings()
        self._started_at = clock()
        self._control_hosts: dict[str, _ControlHostRecord] = {}
        self._former_runs: list[tuple[str, _ControlHostRecord]] = []
        self._live_incarnations: dict[str, int] = {}
        self._live_changes: ChangeLog[str] = ChangeLog(clock)

    @property
    def complete(self) -> bool:
        """Return whether all leases granted under earlier leaders have expired."""
        return self._clock() >= self._started_at + self._settings.lease_s

    def record(self, request: BarrierRequest) -> bool:
        """Merge a control host's sessions; return False if a full report is needed."""
        control = self._control_hosts.get(request.sender)
        if control is not None and control.epoch != request.epoch:
            self._former_runs.append((request.sender, control))
            del self._control_hosts[request.sender]
            control = None
        if control is not None and request.version < control.version:
            return False  # Delivered out of order; its rows are older.
        if request.since == 0:
            control = _ControlHostRecord(request.epoch, 0, request.revision, 0)
            self._control_hosts[request.sender] = control
        if control is None or request.table not in ("", self.epoch):
            return False
        if request.since > control.version:
            return False
        control.version = request.version
        control.revision = request.revision
        control.received_at = self._clock()
        control.rows.update((row.host, row) for row in request.rows)
        for host in request.left:
            control.rows.pop(host, None)
        return True

    def statuses(self) -> dict[str, HostStatus]:
        """Return the entry hosts with a running lease, by host name."""
        statuses: dict[str, HostStatus] = {}
        for name, control in self._unexpired():
            for row in control.rows.values():
                status = HostStatus.from_row(row, name)
                other = statuses.get(row.host)
                if other is None or _recency(other) < _recency(status):
                    statuses[row.host] = status
        return statuses

    def lagging(self, revision: int) -> list[str]:
        """Return what keeps `revision` from being in force everywhere."""
        waiting = [] if self.complete else ["leases granted under the former leader"]
        waiting += [
            f"control host {name}"
            for name, control in self._unexpired()
            if control.revision < revision
        ]
        waiting += [
            f"entry host {status.host}"
            for status in self.statuses().values()
            if status.confirmed_revision < revision
        ]
        return waiting

    def refresh_live(self) -> dict[str, int]:
        """Update the incarnations of live hosts and return them."""
        live = {status.host: status.incarnation for status in self.statuses().values()}
        for host in live.keys() | self._live_incarnations.keys():
            if live.get(host) != self._live_incarnations.get(host):
                self._live_changes.record_change(host)
        self._live_incarnations = live
        return live

    def live_changes_since(self, version: int) -> tuple[dict[str, int | None], int]:
        """Return live incarnations (None: not live) changed after `version`."""
        hosts = self._live_changes.keys_since(version)
        return {host: self._live_incarnations.get(host) for host in hosts}, (
            self._live_changes.version
        )

    def _unexpired(self) -> list[tuple[str, _ControlHostRecord]]:
        """Return the control hosts whose leases may still run."""
        cutoff = self._clock() - self._settings.lease_s
        self._former_runs = [
            item for item in self._former_runs if item[1].received_at > cutoff
        ]
        current = [
            item for item in self._control_hosts.items() if item[1].received_at > cutoff
        ]
        return current + self._former_runs


def _recency(status: HostStatus) -> tuple[int, int]:
    return (status.incarnation, status.confirmed_revision)
