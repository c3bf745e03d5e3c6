"""An entry host's session with its home control host."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import KingcuplugError, state_change

from kingcuplug_membership._directory import Directory
from kingcuplug_membership._directory_sync import DirectoryIntake
from kingcuplug_membership._entry import holder_name
from kingcuplug_membership._leases import LeaseTable
from kingcuplug_membership._messages import (
    SessionReply,
    SessionRequest,
    decode,
    encode,
)
from kingcuplug_membership._rendezvous import preference
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import Call, ConfigurationSink
from kingcuplug_membership._verdicts import Verdict, VerdictBoard

__all__ = ["SessionClient"]

_LONGEST_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class _Sent:
    """A request, its time of sending, and the local versions that it brings."""

    request: SessionRequest
    time: float
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
    verdicts : VerdictBoard
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
        call: Call,
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
        self.verdicts = VerdictBoard(clock, self._settings)
        self._lease_until = float("-inf")
        self._diverged = False
        server_lease = self._settings.server_lease_ms / 1_000
        self._intake = DirectoryIntake(self.directory, clock, server_lease)
        self._urgent = asyncio.Event()
        self._replied = asyncio.Event()
        self._asked: dict[str, asyncio.Future[int | None]] = {}
        self._number = 0
        self._moves = 0
        self._refusals = 0
        self._return_at = 0.0
        self._answered_at = float("-inf")
        self._delivered = 0
        self._start()
        self.leases = LeaseTable(
            holder_name(host, incarnation),
            renew_address,
            clock,
            self.is_confirmed,
            self.directory.get,
            self._settings,
        )
        self.leases.changed = self._urgent.set

    def is_confirmed(self) -> bool:
        """Return whether this host may take new work."""
        running = self._clock() < self._lease_until
        return running and self._intake.complete and not self._diverged

    @property
    def revision(self) -> int:
        """Return the number of the revision in force here; -1 for none."""
        return self._configuration.current()

    @property
    def verdict_ms(self) -> int:
        """Return for how long verdicts are kept."""
        return self._settings.verdict_ms

    def report(self, verdict: Verdict) -> None:
        """Send a crash verdict to all entry hosts."""
        if self.verdicts.add(verdict, local=True):
            self._urgent.set()

    async def delivered(self, version: int) -> None:
        """Wait until the log's leader has the lease changes up to `version`.

        One session lease later they are in force everywhere, even if hosts are cut
        off: no host gets a longer lease without them.
        """
        while self._delivered < version:
            await self._replied.wait()

    async def is_live(self, host: str, incarnation: int) -> bool:
        """Ask whether a run of an entry host holds a session lease."""
        if host not in self._asked:
            self._asked[host] = asyncio.get_running_loop().create_future()
            self._urgent.set()
        return await asyncio.shield(self._asked[host]) == incarnation

    async def run(self) -> None:
        """Maintain the session and expire server leases until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.leases.run())
            tasks.create_task(self._keep())

    async def _keep(self) -> None:
        while True:
            try:
                granted = await self._exchange()
            except (OSError, TimeoutError, KingcuplugError):
                granted = False
            if granted:
                self._refusals = 0
            else:
                await self._move()

    def _start(self) -> None:
        """Reset the session; the next exchange transfers the full state."""
        self._epoch = ""
        self._verdict_version = 0
        self._sent_verdicts = 0
        self._sent_leases = 0
        self._services: tuple[str, ...] | None = None
        self._intake.start()

    async def _move(self) -> None:
        """Switch to the next control host; pause once all of them have refused."""
        rounds = self._refusals // max(1, len(self._preference()))
        self._refusals += 1
        self._moves += 1
        self._return_at = self._clock() + self._settings.return_ms / 1_000
        self._start()
        pause = self._settings.spacing_ms / 1_000 * rounds
        await asyncio.sleep(min(_LONGEST_PAUSE_S, pause))

    def _preference(self) -> list[str]:
        return preference(self._host, self._seeds())

    def _home(self) -> str:
        seeds = self._preference()
        if not seeds:
            raise ConnectionError("no control host is known")
        if self._moves % len(seeds) and self._clock() >= self._return_at:
            self._moves = 0
            self._start()
        return seeds[self._moves % len(seeds)]

    async def _exchange(self) -> bool:
        """Run one exchange; return False if the control host grants nothing."""
        home = self._home()
        if self._clock() - self._answered_at > self._settings.lease:
            self._start()
        self._urgent.clear()
        sent = _Sent(
            self._request(), self._clock(), self.leases.version, self.verdicts.version
        )
        reply = await self._ask(home, sent.request)
        if reply is None:
            return True
        self._answered_at = self._clock()
        return self._take(sent, reply)

    def _request(self) -> SessionRequest:
        self._number += 1
        updates, _ = self.leases.changes_since(self._sent_leases)
        services = self._configuration.services()
        return SessionRequest(
            host=self._host,
            incarnation=self._incarnation,
            availability_zone=self._availability_zone,
            number=self._number,
            epoch=self._epoch,
            confirmed=-1 if self._diverged else self._configuration.current(),
            whole_text=self._diverged,
            directory=self._intake.version,
            verdict_version=self._verdict_version,
            services=None if services == self._services else services,
            updates=tuple(updates),
            verdicts=self.verdicts.since(self._sent_verdicts, local=True),
            asked=tuple(self._asked),
        )

    async def _ask(self, home: str, request: SessionRequest) -> SessionReply | None:
        """Send a request; return None if a local change interrupts an idle poll."""
        settings = self._settings
        # A control host waits for the leader to confirm it before it opens a session.
        longest_ms = settings.poll_ms if request.epoch else settings.barrier_ms
        wait_ms = settings.grace_ms + longest_ms
        call = asyncio.ensure_future(self._call(home, encode(request)))
        waiting: list[asyncio.Future[Any]] = [call]
        if _is_idle(request):
            waiting.append(asyncio.ensure_future(self._interruption()))
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

    async def _interruption(self) -> None:
        await asyncio.sleep(self._settings.spacing_ms / 1_000)
        await self._urgent.wait()

    def _take(self, sent: _Sent, reply: SessionReply) -> bool:
        for entry in (*reply.refused, *reply.entries):
            self.leases.supersede(entry)
        if reply.restart:
            self._start()
            return True
        if reply.lease_ms <= 0:
            return False
        self._epoch = reply.epoch
        if sent.request.services is not None:
            self._services = sent.request.services
        self._sent_leases = sent.leases_version
        if reply.delivered:
            self._delivered = sent.leases_version
        self._sent_verdicts = sent.verdicts_version
        self.live_entry_hosts = max(1, reply.live_entry_hosts)
        self._take_news(reply)
        granted = self._take_configuration(reply) and self._take_lease(sent, reply)
        replied, self._replied = self._replied, asyncio.Event()
        replied.set()
        return granted

    def _take_news(self, reply: SessionReply) -> None:
        self._intake.take(reply)
        for verdict in reply.verdicts:
            self.verdicts.add(verdict)
        self._verdict_version = reply.verdict_version
        for host, incarnation in (reply.live or {}).items():
            answer = self._asked.pop(host, None)
            if answer is not None and not answer.done():
                answer.set_result(incarnation)

    def _take_configuration(self, reply: SessionReply) -> bool:
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

    def _set_diverged(self, diverged: bool, why: str = "") -> None:
        if diverged != self._diverged:
            state = "configuration differs" if diverged else "configuration accepted"
            state_change("session", state, host=self._host, why=why)
        self._diverged = diverged

    def _take_lease(self, sent: _Sent, reply: SessionReply) -> bool:
        lease = reply.lease_ms / 1_000 * (1 - self._settings.drift_bound)
        self._lease_until = max(self._lease_until, sent.time + lease)
        return True


def _is_idle(request: SessionRequest) -> bool:
    content = request.updates or request.verdicts or request.asked
    return bool(request.epoch) and not content and not request.whole_text
