"""Membership duties of the control host that leads the log."""

from collections.abc import Callable
from typing import Any

from kingcuplug_membership._completeness import CompletenessTracker
from kingcuplug_membership._directory import Directory
from kingcuplug_membership._entry import ServerEntry, holder_name
from kingcuplug_membership._hosts import EntryHostTable
from kingcuplug_membership._messages import (
    BarrierReply,
    BarrierRequest,
    decode,
    encode,
)
from kingcuplug_membership._sessions import SessionTable
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import LeaderSource

__all__ = ["RELAY_MARGIN_S", "LeaderRole"]

# Longest time by which a new leader merged a change later than its predecessor did.
RELAY_MARGIN_S = 5.0


class LeaderRole:
    """Host table, directory relay and detection of lost entry hosts on the leader."""

    def __init__(
        self,
        name: str,
        directory: Directory,
        sessions: SessionTable,
        completeness: CompletenessTracker,
        leader: LeaderSource,
        revision: Callable[[], int],
        clock: Callable[[], float],
        settings: MembershipSettings,
    ) -> None:
        self._name = name
        self._directory = directory
        self._sessions = sessions
        self._completeness = completeness
        self._leader = leader
        self._revision = revision
        self._clock = clock
        self._settings = settings
        self._host_table = EntryHostTable(clock, settings)
        self._term = -1
        self._lost_since: dict[str, float] = {}

    def is_active(self) -> bool:
        """Return whether this host leads under a valid lease."""
        return self._clock() < self._leader.leading_until()

    def host_table(self) -> EntryHostTable:
        """Return the host table of this term, with this host's sessions up to date."""
        if self._term != self._leader.term():
            self._host_table = EntryHostTable(self._clock, self._settings)
            self._term = self._leader.term()
            self._lost_since = {}
        self._record_own_sessions()
        return self._host_table

    def _record_own_sessions(self) -> None:
        rows, _ = self._sessions.changes_since(0)
        self._host_table.record(
            BarrierRequest(
                sender=self._name,
                epoch=self._directory.epoch,
                table=self._host_table.epoch,
                since=0,
                version=self._sessions.version,
                revision=self._revision(),
                rows=rows,
            )
        )

    def end_lost_leases(self) -> dict[str, int] | None:
        """End the leases of lost hosts; return the live hosts, or None if unknown."""
        table = self.host_table()
        live = table.refresh_live()
        if not table.complete:
            return None
        self._end_leases_of_lost(live)
        return live

    def _end_leases_of_lost(self, live: dict[str, int]) -> None:
        """End the leases of entry hosts not live for one server lease period."""
        now = self._clock()
        live_holders = {holder_name(*item) for item in live.items()}
        lost = [
            name for name in self._directory.lease_holders() if name not in live_holders
        ]
        self._lost_since = {
            holder: self._lost_since.get(holder, now) for holder in lost
        }
        for holder, since in self._lost_since.items():
            if now - since >= self._settings.server_lease_ms / 1_000:
                self._directory.end_leases(holder)

    def handle(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer the barrier request of another control host."""
        request = decode(BarrierRequest, message)
        if not self.is_active():
            return encode(BarrierReply())
        table = self.host_table()
        if not table.record(request):
            return encode(BarrierReply())
        for entry in request.entries:
            self._directory.merge(entry)
        if not request.more:
            self._completeness.record_upload(request.sender)
        live, live_version, live_full = self._live_changes(table, request)
        relay_epoch, relay_version, entries, more = self._relay_changes(request)
        return encode(
            BarrierReply(
                confirmed=True,
                commit_index=self._leader.commit_index(),
                table=table.epoch,
                relay_epoch=relay_epoch,
                relay_version=relay_version,
                entries=entries,
                more=more,
                live=live,
                live_full=live_full,
                live_version=live_version,
                entry_hosts=len(table.statuses()),
            )
        )

    def _live_changes(
        self, table: EntryHostTable, request: BarrierRequest
    ) -> tuple[dict[str, int | None] | None, int, bool]:
        if not table.complete:
            return None, 0, False
        full = request.table != table.epoch or request.live_version == 0
        changes, version = table.live_changes_since(0 if full else request.live_version)
        return (changes if changes or full else None), version, full

    def _relay_changes(
        self, request: BarrierRequest
    ) -> tuple[str, int, tuple[ServerEntry, ...], bool]:
        directory = self._directory
        if not self._completeness.is_complete():
            return "", 0, (), False
        since = 0
        if request.relay_epoch == directory.epoch:
            since = request.relay_version
        elif request.relay_age_ms >= 0:
            age = request.relay_age_ms / 1_000 + RELAY_MARGIN_S
            since = directory.version_before(self._clock() - age)
        changes = directory.changes_since(since, limit=self._settings.batch_limit)
        return directory.epoch, changes.version, changes.entries, changes.more
