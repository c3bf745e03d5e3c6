"""Periodic barrier exchange between the control hosts and the log's leader.

It limits the leases that a control host may grant, reports all sessions to the
leader, and relays the directory between control hosts that cannot reach each other.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import Any

from kingcuplug_common import KingcuplugError, state_change

from kingcuplug_membership._completeness import Continuity
from kingcuplug_membership._directory import Directory, DirectoryChanges
from kingcuplug_membership._errors import NotLeading
from kingcuplug_membership._hosts import HostStatus
from kingcuplug_membership._leader_role import RELAY_MARGIN_S, Leading
from kingcuplug_membership._messages import (
    BarrierReply,
    BarrierRequest,
    decode,
    encode,
)
from kingcuplug_membership._sessions import SessionTable
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import Call, LeaderSource

__all__ = ["Barrier"]

_RETRY_S = 0.1
_WAIT_PERIOD_S = 0.05
_CONFIRM_PERIOD_S = 0.01


class Barrier:
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
        continuity: Continuity,
        leader: LeaderSource,
        revision: Callable[[], int],
        call: Call,
        clock: Callable[[], float],
        settings: MembershipSettings | None = None,
    ) -> None:
        self._name = name
        self._directory = directory
        self._sessions = sessions
        self._continuity = continuity
        self._leader = leader
        self._revision = revision
        self._call = call
        self._hurry = asyncio.Event()
        self._clock = clock
        self._settings = settings or MembershipSettings()
        self._leading = Leading(
            name,
            directory,
            sessions,
            continuity,
            leader,
            revision,
            clock,
            self._settings,
        )
        self._limit = float("-inf")
        self._pending: deque[tuple[int, float]] = deque()
        self._failed = True
        self._live: dict[str, int] | None = None
        self._entry_hosts = 0
        self._relayed_at: float | None = None
        self._relayed_into = directory.epoch
        self._forget_leader()

    def _forget_leader(self) -> None:
        self._leader_table = ""
        self._reported = 0
        self._relay_epoch = ""
        self._relay_version = 0
        self._live_version = 0
        self._uploaded = 0
        if self._relayed_at is not None:
            since = self._relayed_at - RELAY_MARGIN_S
            self._uploaded = self._directory.version_at(since)

    def grant_until(self) -> float:
        """Return the time up to which this host may grant session leases."""
        if self._leading.active():
            self._note_leading()
            self._limit = self._clock() + self._settings.safe_lease
        while self._pending and self._pending[0][0] <= self._leader.applied_index():
            self._limit = max(self._limit, self._pending.popleft()[1])
        return self._limit

    async def confirm(self, time: float) -> None:
        """Wait until an exchange that began at `time` or later is applied here."""
        self._hurry.set()
        # The log does not notify membership of applied entries, so poll for them.
        while self.grant_until() - self._settings.safe_lease < time:  # noqa: ASYNC110
            await asyncio.sleep(_CONFIRM_PERIOD_S)

    def uploaded(self) -> int:
        """Return the version up to which the leader has this host's directory."""
        return self._directory.version if self._leading.active() else self._uploaded

    def failing(self) -> bool:
        """Return whether sessions should move elsewhere before their leases expire."""
        return self.grant_until() - self._clock() < self._settings.safe_lease / 2

    def live(self) -> dict[str, int] | None:
        """Return incarnations of live entry hosts; None if not yet known."""
        return self._live

    def count_hosts(self) -> int:
        """Return the number of live entry hosts, as of the last exchange."""
        return self._entry_hosts

    def _count(self, known_to_leader: int) -> None:
        # Computed once per exchange: a union of 6,300 host names for every reply
        # would cost a control host more than the rest of the reply.
        own_rows, _ = self._sessions.changes_since(0)
        names = {row.host for row in own_rows}.union(self._live or ())
        self._entry_hosts = max(len(names), 0 if self._live else known_to_leader)

    def hosts(self) -> list[HostStatus]:
        """Return the entry hosts known here; all of them on the leader."""
        if self._leading.active():
            return list(self._leading.table().statuses().values())
        rows, _ = self._sessions.changes_since(0)
        return [HostStatus.of(row, self._name) for row in rows]

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
            await asyncio.sleep(_WAIT_PERIOD_S)

    def lagging(self, revision: int) -> list[str]:
        """Return what keeps `revision` from being in force everywhere.

        Raises
        ------
        NotLeading
            If this host is not the leader.
        """
        if not self._leading.active():
            raise NotLeading(
                f"control host {self._name} is not the leader",
                f"ask the leader {self._leader.leader() or '(none is known)'}",
            )
        return self._leading.table().lagging(revision)

    def handle(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer the barrier request of another control host.

        Raises
        ------
        MessageInvalid
            If the request cannot be read.
        """
        self.grant_until()
        return self._leading.handle(message)

    async def run(self) -> None:
        """Exchange with the leader, or act as the leader, until cancelled."""
        while True:
            self._hurry.clear()
            pause = await self._step()
            self._note_state()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._hurry.wait()

    async def _step(self) -> float:
        """Run one exchange or one leader step; return the delay before the next."""
        self._sessions.expire()
        period = self._settings.barrier_ms / 1_000
        if self._leading.active():
            self._lead()
            return period if self._continuity.settled() else _RETRY_S
        leader = self._leader.leader()
        if leader is None or leader == self._name:
            return _RETRY_S
        started = self._clock()
        try:
            finished = await self._ask(leader)
        except (OSError, TimeoutError, KingcuplugError):
            return _RETRY_S
        if not self._continuity.settled():
            period = _RETRY_S
        return max(0.0, started + period - self._clock()) if finished else 0.0

    def _note_state(self) -> None:
        failing = self.failing()
        if failing != self._failed:
            state = "unconfirmed" if failing else "confirmed by the leader"
            state_change("control host", state, name=self._name)
            self._sessions.wake()
        self._failed = failing

    def _note_leading(self) -> None:
        # Runs before any grant: a host that becomes the leader again may have missed
        # changes that other control hosts received in the meantime.
        if self._continuity.interrupted():
            self._collect_again()
        self._continuity.note_leader()

    def _lead(self) -> None:
        self._note_leading()
        self._relayed_at = self._clock()
        self._relayed_into = self._directory.epoch
        live = self._leading.step()
        if live is not None:
            self._live = live
        self._count(len(self._leading.table().statuses()))

    async def _ask(self, leader: str) -> bool:
        """Run one exchange; return False if the next one must follow at once."""
        sent_at = self._clock()
        upload = self._upload()
        request = self._request(upload)
        async with asyncio.timeout(self._settings.barrier_ms / 1_000):
            answer = await self._call(leader, encode(request))
        reply = decode(BarrierReply, answer)
        if not reply.confirmed:
            return self._retry(leader)
        if self._continuity.interrupted():
            self._collect_again()
            return False
        self._continuity.note_leader()
        self._uploaded = upload.version
        if upload.entries:
            self._sessions.wake()
        self._take(request, reply)
        if reply.more or upload.more:
            return False
        self._pending.append((reply.commit_index, sent_at + self._settings.safe_lease))
        return True

    def _retry(self, leader: str) -> bool:
        """Restart with a full report to a leader that lacks this host's sessions."""
        if self._leader_table:
            self._forget_leader()
            return False
        raise NotLeading(f"{leader} did not confirm the exchange", "retry the exchange")

    def _upload(self) -> DirectoryChanges:
        if self._relayed_into != self._directory.epoch:
            self._relayed_into = self._directory.epoch
            self._relay_epoch = ""
            self._relayed_at = None
            self._uploaded = 0
        return self._directory.changes_since(
            self._uploaded, local=True, limit=self._settings.batch_limit
        )

    def _request(self, upload: DirectoryChanges) -> BarrierRequest:
        rows, left = self._sessions.changes_since(self._reported)
        age_ms = -1
        if self._relayed_at is not None:
            age_ms = int((self._clock() - self._relayed_at) * 1_000)
        return BarrierRequest(
            sender=self._name,
            epoch=self._directory.epoch,
            table=self._leader_table,
            since=self._reported,
            version=self._sessions.version,
            revision=self._revision(),
            rows=rows,
            left=left if self._reported else (),
            relay_epoch=self._relay_epoch,
            relay_version=self._relay_version,
            relay_age_ms=age_ms,
            live_version=self._live_version,
            entries=upload.entries,
            more=upload.more,
        )

    def _take(self, request: BarrierRequest, reply: BarrierReply) -> None:
        self._leader_table = reply.table
        self._reported = request.version
        self._take_live(reply)
        self._count(reply.entry_hosts)
        if not reply.relay_epoch:
            return
        for entry in reply.entries:
            self._directory.merge(entry)
        self._relay_epoch = reply.relay_epoch
        self._relay_version = reply.relay_version
        if not reply.more:
            self._relayed_at = self._clock()
            self._continuity.note_relay()

    def _take_live(self, reply: BarrierReply) -> None:
        if reply.live is None:
            return
        live = {} if reply.live_full or self._live is None else dict(self._live)
        for host, incarnation in reply.live.items():
            if incarnation is None:
                live.pop(host, None)
            else:
                live[host] = incarnation
        self._live = live
        self._live_version = reply.live_version

    def _collect_again(self) -> None:
        """Discard the directory as after a restart, since tombstones may be missing."""
        state_change("control host", "collects the directory again", name=self._name)
        self._continuity.restart()
        self._directory.reset()
        self._sessions.wake()
