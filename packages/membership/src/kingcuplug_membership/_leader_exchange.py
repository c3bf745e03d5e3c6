"""Periodic barrier exchange between the control hosts and the log's leader.

It limits the leases that a control host may grant, reports all sessions to the
leader, and relays the directory between control hosts that cannot reach each other.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import Any

from kingcuplug_common import KingcuplugError, log_state_change

from kingcuplug_membership._completeness import CompletenessTracker
from kingcuplug_membership._directory import Directory, DirectoryChanges
from kingcuplug_membership._errors import NotLeading
from kingcuplug_membership._hosts import HostStatus
from kingcuplug_membership._leader_role import RELAY_MARGIN_S, LeaderRole
from kingcuplug_membership._messages import (
    BarrierReply,
    BarrierRequest,
    decode,
    encode,
)
from kingcuplug_membership._sessions import SessionTable
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import LeaderSource, PeerCall

__all__ = ["LeaderExchange"]

_RETRY_S = 0.1
_IN_FORCE_POLL_S = 0.05
_CONFIRM_POLL_S = 0.01


class LeaderExchange:
    """A control host's side of the barrier exchange, as follower or as leader.

    Parameters
    ----------
    name : str
        Peer address of this host.
    revision : callable
        Returns the number of the configuration revision for which this host grants
        leases.
    call : callable
        Sends a barrier message to a peer.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        sessions: SessionTable,
        completeness: CompletenessTracker,
        leader: LeaderSource,
        revision: Callable[[], int],
        call: PeerCall,
        clock: Callable[[], float],
        settings: MembershipSettings | None = None,
    ) -> None:
        self._name = name
        self._directory = directory
        self._sessions = sessions
        self._completeness = completeness
        self._leader = leader
        self._revision = revision
        self._call = call
        self._wakeup = asyncio.Event()
        self._clock = clock
        self._settings = settings or MembershipSettings()
        self._leader_role = LeaderRole(
            name,
            directory,
            sessions,
            completeness,
            leader,
            revision,
            clock,
            self._settings,
        )
        self._grant_limit = float("-inf")
        self._unapplied: deque[tuple[int, float]] = deque()
        self._was_failing = True
        self._live_incarnations: dict[str, int] | None = None
        self._entry_host_count = 0
        self._relayed_at: float | None = None
        self._relay_target_epoch = directory.epoch
        self._reset_leader_state()

    def _reset_leader_state(self) -> None:
        self._leader_table_epoch = ""
        self._reported_version = 0
        self._relay_epoch = ""
        self._relay_version = 0
        self._live_version = 0
        self._uploaded_version = 0
        if self._relayed_at is not None:
            since = self._relayed_at - RELAY_MARGIN_S
            self._uploaded_version = self._directory.version_before(since)

    def grant_until(self) -> float:
        """Return the time up to which this host may grant session leases."""
        if self._leader_role.is_active():
            self._record_leading()
            self._grant_limit = self._clock() + self._settings.safe_lease_s
        while self._unapplied and self._unapplied[0][0] <= self._leader.applied_index():
            self._grant_limit = max(self._grant_limit, self._unapplied.popleft()[1])
        return self._grant_limit

    async def wait_confirmed(self, since: float) -> None:
        """Wait until an exchange that began at `since` or later is applied here."""
        self._wakeup.set()
        # The log does not notify membership of applied entries, so poll for them.
        while self.grant_until() - self._settings.safe_lease_s < since:  # noqa: ASYNC110
            await asyncio.sleep(_CONFIRM_POLL_S)

    def uploaded_version(self) -> int:
        """Return the version up to which the leader has this host's directory."""
        return (
            self._directory.version
            if self._leader_role.is_active()
            else self._uploaded_version
        )

    def is_failing(self) -> bool:
        """Return whether sessions should move elsewhere before their leases expire."""
        return self.grant_until() - self._clock() < self._settings.safe_lease_s / 2

    def live_incarnations(self) -> dict[str, int] | None:
        """Return incarnations of live entry hosts; None if not yet known."""
        return self._live_incarnations

    def entry_host_count(self) -> int:
        """Return the number of live entry hosts, as of the last exchange."""
        return self._entry_host_count

    def _update_entry_host_count(self, leader_count: int) -> None:
        # Computed once per exchange: a union of 6,300 host names for every reply
        # would cost a control host more than the rest of the reply.
        own_rows, _ = self._sessions.changes_since(0)
        names = {row.host for row in own_rows}.union(self._live_incarnations or ())
        self._entry_host_count = max(
            len(names), 0 if self._live_incarnations else leader_count
        )

    def hosts(self) -> list[HostStatus]:
        """Return the entry hosts known here; all of them on the leader."""
        if self._leader_role.is_active():
            return list(self._leader_role.host_table().statuses().values())
        rows, _ = self._sessions.changes_since(0)
        return [HostStatus.from_row(row, self._name) for row in rows]

    async def wait_in_force(self, revision: int) -> None:
        """Wait until no host can serve an older revision.

        Raises
        ------
        NotLeading
            If this host is not, or no longer, the leader.
        """
        while True:
            if not self.lagging(revision):
                return
            await asyncio.sleep(_IN_FORCE_POLL_S)

    def lagging(self, revision: int) -> list[str]:
        """Return what keeps `revision` from being in force everywhere.

        Raises
        ------
        NotLeading
            If this host is not the leader.
        """
        if not self._leader_role.is_active():
            raise NotLeading(
                f"control host {self._name} is not the leader",
                f"ask the leader {self._leader.leader() or '(none is known)'}",
            )
        return self._leader_role.host_table().lagging(revision)

    def handle(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer the barrier request of another control host.

        Raises
        ------
        MessageInvalid
            If the request cannot be read.
        """
        self.grant_until()
        return self._leader_role.handle(message)

    async def run(self) -> None:
        """Exchange with the leader, or act as the leader, until cancelled."""
        while True:
            self._wakeup.clear()
            pause = await self._exchange_or_lead()
            self._publish_state()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._wakeup.wait()

    async def _exchange_or_lead(self) -> float:
        """Run one exchange or one leader step; return the delay before the next."""
        self._sessions.expire()
        period = self._settings.barrier_ms / 1_000
        if self._leader_role.is_active():
            self._lead()
            return period if self._completeness.is_complete() else _RETRY_S
        leader = self._leader.leader()
        if leader is None or leader == self._name:
            return _RETRY_S
        started = self._clock()
        try:
            finished = await self._exchange(leader)
        except (OSError, TimeoutError, KingcuplugError):
            return _RETRY_S
        if not self._completeness.is_complete():
            period = _RETRY_S
        return max(0.0, started + period - self._clock()) if finished else 0.0

    def _publish_state(self) -> None:
        failing = self.is_failing()
        if failing != self._was_failing:
            state = "unconfirmed" if failing else "confirmed by the leader"
            log_state_change("control host", state, name=self._name)
            self._sessions.wake_polls()
        self._was_failing = failing

    def _record_leading(self) -> None:
        # Runs before any grant: a host that becomes the leader again may have missed
        # changes that other control hosts received in the meantime.
        if self._completeness.may_miss_tombstones():
            self._restart_collection()
        self._completeness.record_leader_contact()

    def _lead(self) -> None:
        self._record_leading()
        self._relayed_at = self._clock()
        self._relay_target_epoch = self._directory.epoch
        live = self._leader_role.end_lost_leases()
        if live is not None:
            self._live_incarnations = live
        self._update_entry_host_count(len(self._leader_role.host_table().statuses()))

    async def _exchange(self, leader: str) -> bool:
        """Run one exchange; return False if the next one must follow at once."""
        sent_at = self._clock()
        upload = self._next_upload()
        request = self._build_request(upload)
        async with asyncio.timeout(self._settings.barrier_ms / 1_000):
            answer = await self._call(leader, encode(request))
        reply = decode(BarrierReply, answer)
        if not reply.confirmed:
            return self._restart_report(leader)
        if self._completeness.may_miss_tombstones():
            self._restart_collection()
            return False
        self._completeness.record_leader_contact()
        self._uploaded_version = upload.version
        if upload.entries:
            self._sessions.wake_polls()
        self._apply_reply(request, reply)
        if reply.more or upload.more:
            return False
        self._unapplied.append(
            (reply.commit_index, sent_at + self._settings.safe_lease_s)
        )
        return True

    def _restart_report(self, leader: str) -> bool:
        """Restart with a full report to a leader that lacks this host's sessions."""
        if self._leader_table_epoch:
            self._reset_leader_state()
            return False
        raise NotLeading(f"{leader} did not confirm the exchange", "retry the exchange")

    def _next_upload(self) -> DirectoryChanges:
        if self._relay_target_epoch != self._directory.epoch:
            self._relay_target_epoch = self._directory.epoch
            self._relay_epoch = ""
            self._relayed_at = None
            self._uploaded_version = 0
        return self._directory.changes_since(
            self._uploaded_version, local=True, limit=self._settings.batch_limit
        )

    def _build_request(self, upload: DirectoryChanges) -> BarrierRequest:
        rows, left = self._sessions.changes_since(self._reported_version)
        age_ms = -1
        if self._relayed_at is not None:
            age_ms = int((self._clock() - self._relayed_at) * 1_000)
        return BarrierRequest(
            sender=self._name,
            epoch=self._directory.epoch,
            table=self._leader_table_epoch,
            since=self._reported_version,
            version=self._sessions.version,
            revision=self._revision(),
            rows=rows,
            left=left if self._reported_version else (),
            relay_epoch=self._relay_epoch,
            relay_version=self._relay_version,
            relay_age_ms=age_ms,
            live_version=self._live_version,
            entries=upload.entries,
            more=upload.more,
        )

    def _apply_reply(self, request: BarrierRequest, reply: BarrierReply) -> None:
        self._leader_table_epoch = reply.table
        self._reported_version = request.version
        self._apply_live_changes(reply)
        self._update_entry_host_count(reply.entry_hosts)
        if not reply.relay_epoch:
            return
        for entry in reply.entries:
            self._directory.merge(entry)
        self._relay_epoch = reply.relay_epoch
        self._relay_version = reply.relay_version
        if not reply.more:
            self._relayed_at = self._clock()
            self._completeness.record_relay()

    def _apply_live_changes(self, reply: BarrierReply) -> None:
        if reply.live is None:
            return
        live = (
            {}
            if reply.live_full or self._live_incarnations is None
            else dict(self._live_incarnations)
        )
        for host, incarnation in reply.live.items():
            if incarnation is None:
                live.pop(host, None)
            else:
                live[host] = incarnation
        self._live_incarnations = live
        self._live_version = reply.live_version

    def _restart_collection(self) -> None:
        """Discard the directory as after a restart, since tombstones may be missing."""
        log_state_change(
            "control host", "collects the directory again", name=self._name
        )
        self._completeness.restart()
        self._directory.reset()
        self._sessions.wake_polls()
