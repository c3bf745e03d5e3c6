"""Sessions of entry hosts at their home control host."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from kingcuplug_membership._completeness import CompletenessTracker
from kingcuplug_membership._directory import Directory
from kingcuplug_membership._entry import ServerEntry
from kingcuplug_membership._hosts import HostStatus
from kingcuplug_membership._leader_exchange import LeaderExchange
from kingcuplug_membership._messages import (
    SessionReply,
    SessionRequest,
    decode,
    encode,
)
from kingcuplug_membership._sessions import Session, SessionTable
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import ConfigurationSource, LeaderSource, PeerCall
from kingcuplug_membership._verdicts import CrashVerdict, CrashVerdictTable

__all__ = ["SessionServer"]

_PURGE_PERIOD_S = 1.0


class SessionServer:
    """Serves the sessions of all entry hosts whose home is this control host.

    Parameters
    ----------
    name : str
        Peer address of this control host.
    peers : callable
        Returns the peer addresses of the other control hosts.
    configuration : ConfigurationSource
        The configuration applied here.
    leader : LeaderSource
        State of the leader as known to this host's replica of the log.
    call_barrier : callable
        Sends a barrier message to a peer.
    clock : callable
        Monotonic time in seconds, the loop's.

    Attributes
    ----------
    directory : Directory
        All backend servers.
    verdicts : CrashVerdictTable
        Crash verdicts of all entry hosts.
    leader_exchange : LeaderExchange
        The barrier exchange with the leader.
    completeness : CompletenessTracker
        Completeness of the directory; the mesh updates it too.
    """

    def __init__(
        self,
        name: str,
        peers: Callable[[], Iterable[str]],
        configuration: ConfigurationSource,
        leader: LeaderSource,
        call_barrier: PeerCall,
        clock: Callable[[], float],
        settings: MembershipSettings | None = None,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._clock = clock
        self._configuration = configuration
        self._sessions = SessionTable(clock)
        self.directory = Directory(clock, self._settings.tombstone_ms)
        self.verdicts = CrashVerdictTable(clock, self._settings)
        self.completeness = CompletenessTracker(clock, peers, self._settings)
        self.leader_exchange = LeaderExchange(
            name,
            self.directory,
            self._sessions,
            self.completeness,
            leader,
            configuration.revision,
            call_barrier,
            clock,
            self._settings,
        )
        self.directory.subscribe(lambda entry: self._sessions.wake_polls(entry.key[0]))
        self.verdicts.subscribe(lambda verdict: self._sessions.wake_polls())

    async def run(self) -> None:
        """Exchange with the leader and purge tombstones until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.leader_exchange.run())
            tasks.create_task(self._purge_periodically())

    def wake_polls(self) -> None:
        """Complete all pending polls; call it when a revision has been applied."""
        self._sessions.wake_polls()

    def hosts(self) -> list[HostStatus]:
        """Return the entry hosts known here; all of them on the leader."""
        return self.leader_exchange.hosts()

    async def wait_in_force(self, revision: int) -> None:
        """Wait until no host can serve an older revision; see `LeaderExchange`."""
        await self.leader_exchange.wait_in_force(revision)

    async def _purge_periodically(self) -> None:
        while True:
            await asyncio.sleep(_PURGE_PERIOD_S)
            self.directory.purge_tombstones()

    async def handle(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer a session request, after a wait if there are no changes for it.

        Raises
        ------
        MessageInvalid
            If the request cannot be read.
        """
        request = decode(SessionRequest, message)
        received_at = self._clock()
        session = self._find_or_open(request)
        if isinstance(session, SessionReply):
            return encode(session)
        may_start = request.epoch == "" and not self._refusal_reason(request)
        if may_start and not await self._wait_leader_confirms(received_at):
            return encode(SessionReply(reason="the leader does not answer in time"))
        full = request.epoch == "" or self._update_services(session, request)
        self._sessions.record_revision(session, request.confirmed)
        refused = self._merge_updates(request)
        if request.updates:
            session.undelivered_version = self.directory.version
        if not (
            full or refused or session.truncated or self._needs_prompt_reply(request)
        ):
            await self._wait_for_changes(session, request)
        if not self._is_current(session, request):
            return encode(_overtaken_reply())
        session.replied_at = self._clock()
        return encode(self._build_reply(session, request, received_at, full, refused))

    async def _wait_leader_confirms(self, received_at: float) -> bool:
        """Return whether the leader confirmed this host after a request arrived.

        A host that begins a session may have served a newer revision before its
        restart than this control host had applied by its last exchange.
        """
        try:
            async with asyncio.timeout(self._settings.barrier_ms / 1_000):
                await self.leader_exchange.wait_confirmed(received_at)
        except TimeoutError:
            return False
        return True

    def _find_or_open(self, request: SessionRequest) -> Session | SessionReply:
        session = self._sessions.get(request.host)
        position = (request.incarnation, request.number)
        if session is not None and position <= (session.incarnation, session.number):
            return _overtaken_reply()
        if request.epoch == "":
            return self._sessions.open(request)
        same_run = session is not None and session.incarnation == request.incarnation
        if session is None or not same_run or request.epoch != self.directory.epoch:
            return SessionReply(restart=True, reason="the session is not known here")
        session.number = request.number
        session.wakeup.set()
        return session

    def _update_services(self, session: Session, request: SessionRequest) -> bool:
        """Update the routed services; return whether they changed."""
        if request.services is None:
            return False
        services = frozenset(request.services)
        changed = services != session.services
        session.services = services
        return changed

    def _merge_updates(self, request: SessionRequest) -> tuple[ServerEntry, ...]:
        """Merge the host's updates; return the entries that overrule rejected ones."""
        is_start = request.epoch == ""
        refused = []
        for update in request.updates:
            if is_start:
                self.directory.merge_and_replicate(update)
            else:
                self.directory.merge(update, local=True)
            entry = self.directory.get(*update.key)
            if entry is not None and update.live and _overrules(entry, update):
                refused.append(entry)
        for verdict in request.verdicts:
            self.verdicts.add(verdict, local=True)
        return tuple(refused)

    def _needs_prompt_reply(self, request: SessionRequest) -> bool:
        answerable = (
            request.asked and self.leader_exchange.live_incarnations() is not None
        )
        return bool(
            request.updates or request.verdicts or answerable or request.whole_text
        )

    def _is_current(self, session: Session, request: SessionRequest) -> bool:
        current = self._sessions.get(session.host)
        return current is session and session.number == request.number

    async def _wait_for_changes(
        self, session: Session, request: SessionRequest
    ) -> None:
        """Wait for changes, for at most the poll period."""
        deadline = self._clock() + self._settings.poll_ms / 1_000
        while self._is_current(session, request):
            session.wakeup.clear()
            if self._has_changes(session, request):
                await self._space_replies(session)
                return
            try:
                async with asyncio.timeout(deadline - self._clock()):
                    await session.wakeup.wait()
            except TimeoutError:
                return

    async def _space_replies(self, session: Session) -> None:
        """Delay a reply under constant change, so that it carries more changes."""
        elapsed = self._clock() - session.replied_at
        await asyncio.sleep(max(0.0, self._settings.spacing_ms / 1_000 - elapsed))

    def _has_changes(self, session: Session, request: SessionRequest) -> bool:
        return (
            self._refusal_reason(request) != ""
            or request.confirmed != self._configuration.revision()
            or self.verdicts.version > request.verdict_version
            or 0
            < session.undelivered_version
            <= self.leader_exchange.uploaded_version()
            or self.directory.has_changes(request.directory, session.services)
        )

    def _refusal_reason(self, request: SessionRequest) -> str:
        """Return why this host grants no lease now; empty if it grants one."""
        if self.leader_exchange.is_failing():
            return "the leader does not confirm this control host"
        if not self.completeness.is_complete():
            return "the directory is not complete yet"
        if request.confirmed > self._configuration.revision():
            return "this control host is behind"
        return ""

    def _build_reply(
        self,
        session: Session,
        request: SessionRequest,
        received_at: float,
        full: bool,
        refused: tuple[ServerEntry, ...],
    ) -> SessionReply:
        reason = self._refusal_reason(request)
        if reason:
            return SessionReply(reason=reason, refused=refused)
        until = min(
            received_at + self._settings.lease_s, self.leader_exchange.grant_until()
        )
        self._sessions.record_grant(session, until)
        revision, digest, deltas, text = self._configuration_changes(request)
        changes = self.directory.changes_since(
            0 if full else request.directory,
            session.services,
            limit=self._settings.session_batch_limit,
        )
        session.truncated = changes.more
        delivered = (
            session.undelivered_version <= self.leader_exchange.uploaded_version()
        )
        if delivered:
            session.undelivered_version = 0
        return SessionReply(
            epoch=self.directory.epoch,
            lease_ms=max(0, int((until - received_at) * 1_000)),
            revision=revision,
            digest=digest,
            deltas=deltas,
            text=text,
            full=full,
            entries=changes.entries,
            directory=changes.version,
            more=changes.more,
            refused=refused,
            verdicts=self._new_verdicts(request),
            verdict_version=self.verdicts.version,
            live_entry_hosts=self.leader_exchange.entry_host_count(),
            live=self._liveness_answers(request),
            delivered=delivered,
        )

    def _configuration_changes(
        self, request: SessionRequest
    ) -> tuple[int, str, tuple[Any, ...] | None, str | None]:
        source = self._configuration
        revision = source.revision()
        if request.confirmed == revision and not request.whole_text:
            return revision, "", None, None
        deltas = None
        if request.confirmed >= 0 and not request.whole_text:
            deltas = source.deltas_since(request.confirmed)
        if deltas is None:
            return revision, source.digest(), None, source.text()
        return revision, source.digest(), tuple(deltas), None

    def _new_verdicts(self, request: SessionRequest) -> tuple[CrashVerdict, ...]:
        sent = {verdict.key for verdict in request.verdicts}
        added = self.verdicts.added_since(request.verdict_version)
        return tuple(verdict for verdict in added if verdict.key not in sent)

    def _liveness_answers(
        self, request: SessionRequest
    ) -> dict[str, int | None] | None:
        live = self.leader_exchange.live_incarnations()
        if not request.asked or live is None:
            return None
        return {host: live.get(host) for host in request.asked}


def _overrules(entry: ServerEntry, update: ServerEntry) -> bool:
    if entry.announcement.rank != update.announcement.rank:
        return True
    withdrawn = entry.announcement.state == "withdrawn"
    return withdrawn or set(update.held) <= set(entry.ended)


def _overtaken_reply() -> SessionReply:
    return SessionReply(reason="a later request of this host has overtaken this one")
