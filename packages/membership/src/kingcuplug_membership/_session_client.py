"""An entry host's session with its home control host."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import KingcuplugError, log_state_change

from kingcuplug_membership._directory import Directory
from kingcuplug_membership._directory_sync import DirectorySync
from kingcuplug_membership._entry import holder_name
from kingcuplug_membership._leases import LeaseTable
from kingcuplug_membership._messages import (
    SessionReply,
    SessionRequest,
    decode,
    encode,
)
from kingcuplug_membership._rendezvous import rendezvous_order
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import ConfigurationSink, PeerCall
from kingcuplug_membership._verdicts import CrashVerdict, CrashVerdictTable

__all__ = ["SessionClient"]

_MAX_RETRY_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class _SentRequest:
    """A request, its time of sending, and the local versions that it brings."""

    request: SessionRequest
    sent_at: float
    leases_version: int
    verdicts_version: int


class SessionClient:
    """Maintains the session, and moves it when a control host fails or refuses.

    Parameters
    ----------
    host, incarnation, availability_zone : str, int, str
        This run of the entry host; the incarnation grows with every restart.
    renew_address : str
        ``ip:port`` at which backend servers renew their leases.
    seeds : callable
        Returns the peer addresses of the control hosts.
    configuration : ConfigurationSink
        The configuration in force here.
    call : callable
        Sends a session message to a control host.
    clock : callable
        Monotonic time in seconds, the loop's.

    Attributes
    ----------
    leases : LeaseTable
        Leases of the servers that announced here.
    directory : Directory
        The servers of the routed services.
    verdicts : CrashVerdictTable
        Crash verdicts of all entry hosts.
    live_entry_hosts : int
        Number of entry hosts with a running lease.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        availability_zone: str,
        renew_address: str,
        seeds: Callable[[], Iterable[str]],
        configuration: ConfigurationSink,
        call: PeerCall,
        clock: Callable[[], float],
        settings: MembershipSettings | None = None,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._availability_zone = availability_zone
        self._seeds = seeds
        self._configuration = configuration
        self._call = call
        self._clock = clock
        self._settings = settings or MembershipSettings()
        self.live_entry_hosts = 1
        self.directory = Directory(clock, self._settings.tombstone_ms)
        self.verdicts = CrashVerdictTable(clock, self._settings)
        self._lease_until = float("-inf")
        self._text_diverged = False
        server_lease_s = self._settings.server_lease_ms / 1_000
        self._directory_sync = DirectorySync(self.directory, clock, server_lease_s)
        self._local_change = asyncio.Event()
        self._replied = asyncio.Event()
        self._liveness_queries: dict[str, asyncio.Future[int | None]] = {}
        self._request_number = 0
        self._home_index = 0
        self._consecutive_refusals = 0
        self._return_home_at = 0.0
        self._replied_at = float("-inf")
        self._delivered_version = 0
        self._reset_session()
        self.leases = LeaseTable(
            holder_name(host, incarnation),
            renew_address,
            clock,
            self.is_confirmed,
            self.directory.get,
            self._settings,
        )
        self.leases.on_change = self._local_change.set

    def is_confirmed(self) -> bool:
        """Return whether this host may take new work."""
        running = self._clock() < self._lease_until
        return running and self._directory_sync.complete and not self._text_diverged

    @property
    def revision(self) -> int:
        """Return the number of the revision in force here; -1 for none."""
        return self._configuration.current()

    @property
    def verdict_ms(self) -> int:
        """Return for how long verdicts are kept."""
        return self._settings.verdict_ms

    def report(self, verdict: CrashVerdict) -> None:
        """Send a crash verdict to all entry hosts."""
        if self.verdicts.add(verdict, local=True):
            self._local_change.set()

    async def wait_delivered(self, version: int) -> None:
        """Wait until the log's leader has the lease changes up to `version`.

        One session lease later they are in force everywhere, even if hosts are cut
        off: no host gets a longer lease without them.
        """
        while self._delivered_version < version:
            await self._replied.wait()

    async def is_live(self, host: str, incarnation: int) -> bool:
        """Ask whether a run of an entry host holds a session lease."""
        if host not in self._liveness_queries:
            self._liveness_queries[host] = asyncio.get_running_loop().create_future()
            self._local_change.set()
        return await asyncio.shield(self._liveness_queries[host]) == incarnation

    async def run(self) -> None:
        """Maintain the session and expire server leases until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.leases.run())
            tasks.create_task(self._maintain_session())

    async def _maintain_session(self) -> None:
        while True:
            try:
                granted = await self._exchange()
            except (OSError, TimeoutError, KingcuplugError):
                granted = False
            if granted:
                self._consecutive_refusals = 0
            else:
                await self._switch_home()

    def _reset_session(self) -> None:
        """Reset the session; the next exchange transfers the full state."""
        self._epoch = ""
        self._verdict_version = 0
        self._sent_verdicts_version = 0
        self._sent_leases_version = 0
        self._sent_services: tuple[str, ...] | None = None
        self._directory_sync.restart()

    async def _switch_home(self) -> None:
        """Switch to the next control host; pause once all of them have refused."""
        rounds = self._consecutive_refusals // max(1, len(self._ordered_seeds()))
        self._consecutive_refusals += 1
        self._home_index += 1
        self._return_home_at = self._clock() + self._settings.return_ms / 1_000
        self._reset_session()
        pause = self._settings.spacing_ms / 1_000 * rounds
        await asyncio.sleep(min(_MAX_RETRY_PAUSE_S, pause))

    def _ordered_seeds(self) -> list[str]:
        return rendezvous_order(self._host, self._seeds())

    def _select_home(self) -> str:
        seeds = self._ordered_seeds()
        if not seeds:
            raise ConnectionError("no control host is known")
        if self._home_index % len(seeds) and self._clock() >= self._return_home_at:
            self._home_index = 0
            self._reset_session()
        return seeds[self._home_index % len(seeds)]

    async def _exchange(self) -> bool:
        """Run one exchange; return False if the control host grants nothing."""
        home = self._select_home()
        if self._clock() - self._replied_at > self._settings.lease_s:
            self._reset_session()
        self._local_change.clear()
        sent = _SentRequest(
            self._build_request(),
            self._clock(),
            self.leases.version,
            self.verdicts.version,
        )
        reply = await self._send(home, sent.request)
        if reply is None:
            return True
        self._replied_at = self._clock()
        return self._apply_reply(sent, reply)

    def _build_request(self) -> SessionRequest:
        self._request_number += 1
        updates, _ = self.leases.changes_since(self._sent_leases_version)
        services = self._configuration.services()
        return SessionRequest(
            host=self._host,
            incarnation=self._incarnation,
            availability_zone=self._availability_zone,
            number=self._request_number,
            epoch=self._epoch,
            confirmed=-1 if self._text_diverged else self._configuration.current(),
            whole_text=self._text_diverged,
            directory=self._directory_sync.version,
            verdict_version=self._verdict_version,
            services=None if services == self._sent_services else services,
            updates=tuple(updates),
            verdicts=self.verdicts.added_since(self._sent_verdicts_version, local=True),
            asked=tuple(self._liveness_queries),
        )

    async def _send(self, home: str, request: SessionRequest) -> SessionReply | None:
        """Send a request; return None if a local change interrupts an idle poll."""
        settings = self._settings
        # A control host waits for the leader to confirm it before it opens a session.
        longest_ms = settings.poll_ms if request.epoch else settings.barrier_ms
        wait_ms = settings.grace_ms + longest_ms
        call = asyncio.ensure_future(self._call(home, encode(request)))
        waiting: list[asyncio.Future[Any]] = [call]
        if _is_idle(request):
            waiting.append(asyncio.ensure_future(self._wait_for_change()))
        try:
            await asyncio.wait(
                waiting,
                timeout=wait_ms / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if call.done():
                return decode(SessionReply, call.result())
            if waiting[-1].done():
                return None
            raise TimeoutError(f"control host {home} does not answer")
        finally:
            for task in waiting:
                task.cancel()

    async def _wait_for_change(self) -> None:
        await asyncio.sleep(self._settings.spacing_ms / 1_000)
        await self._local_change.wait()

    def _apply_reply(self, sent: _SentRequest, reply: SessionReply) -> bool:
        for entry in (*reply.refused, *reply.entries):
            self.leases.end_if_overruled(entry)
        if reply.restart:
            self._reset_session()
            return True
        if reply.lease_ms <= 0:
            return False
        self._epoch = reply.epoch
        if sent.request.services is not None:
            self._sent_services = sent.request.services
        self._sent_leases_version = sent.leases_version
        if reply.delivered:
            self._delivered_version = sent.leases_version
        self._sent_verdicts_version = sent.verdicts_version
        self.live_entry_hosts = max(1, reply.live_entry_hosts)
        self._apply_updates(reply)
        granted = self._apply_configuration(reply) and self._extend_lease(sent, reply)
        replied, self._replied = self._replied, asyncio.Event()
        replied.set()
        return granted

    def _apply_updates(self, reply: SessionReply) -> None:
        self._directory_sync.apply_reply(reply)
        for verdict in reply.verdicts:
            self.verdicts.add(verdict)
        self._verdict_version = reply.verdict_version
        for host, incarnation in (reply.live or {}).items():
            answer = self._liveness_queries.pop(host, None)
            if answer is not None and not answer.done():
                answer.set_result(incarnation)

    def _apply_configuration(self, reply: SessionReply) -> bool:
        """Apply the current revision; return whether it is in force here."""
        if reply.text is None and reply.deltas is None:
            return self._configuration.current() == reply.revision
        deltas = None if reply.deltas is None else list(reply.deltas)
        try:
            self._configuration.apply(reply.revision, deltas, reply.text, reply.digest)
        except Exception as error:
            # After any failure, the text in force here is not the accepted one.
            self._set_diverged(True, str(error))
            self._lease_until = float("-inf")
            return False
        self._set_diverged(False)
        return self._configuration.current() == reply.revision

    def _set_diverged(self, diverged: bool, reason: str = "") -> None:
        if diverged != self._text_diverged:
            state = "configuration differs" if diverged else "configuration accepted"
            log_state_change("session", state, host=self._host, why=reason)
        self._text_diverged = diverged

    def _extend_lease(self, sent: _SentRequest, reply: SessionReply) -> bool:
        lease_s = reply.lease_ms / 1_000 * (1 - self._settings.drift_bound)
        self._lease_until = max(self._lease_until, sent.sent_at + lease_s)
        return True


def _is_idle(request: SessionRequest) -> bool:
    content = request.updates or request.verdicts or request.asked
    return bool(request.epoch) and not content and not request.whole_text
