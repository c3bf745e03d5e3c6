"""Checks whether this host is cut off from all backend servers."""

import asyncio
import math
from collections.abc import Callable, Sequence

from kingcuplug_common import EventLog, Metrics
from kingcuplug_routing import IsolationDetector

from kingcuplug_gateway._reachability import accepts_connections
from kingcuplug_gateway._servers import Server, ServerTable

__all__ = ["IsolationMonitor"]

_CHECKED_SERVERS = 3
_CONFIRMING_SERVERS = 4
_CONFIRM_AFTER_S = 0.1
_CHECK_INTERVAL_S = 0.25
_RECENT_ANSWER_S = 0.2
_REPLY_WITHIN_S = 0.25  # Below the time-out of a probe by another host.
_MAX_ONE_CHECK_S = 0.4  # A connection times out after 0.3 s.
_MAX_CHECK_S = 0.45  # until the connections of the second sample time out


class IsolationMonitor:
    """Follows the signs of life of servers, and tries some when these are missing.

    Parameters
    ----------
    on_change : callable
        Called when this host is cut off from all servers, and when it is not any more.
    """

    def __init__(
        self,
        servers: ServerTable,
        on_change: Callable[[], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._servers = servers
        self._on_change = on_change
        self._log = log
        self._metrics = metrics
        self._detector = IsolationDetector()
        self._loop = asyncio.get_running_loop()
        self._checks: asyncio.Task[None] | None = None
        self._first_check_ended = asyncio.Event()
        self._isolated_since = 0.0
        self._answered_at = -math.inf

    @property
    def isolated(self) -> bool:
        """Whether no server can be reached from this host."""
        return self._detector.isolated

    def record_connection(self) -> None:
        """Record that a server has accepted a connection."""
        self._detector.record_connection()

    def record_answer(self) -> None:
        """Record the answer of a server."""
        self._answered_at = self._loop.time()
        self._detector.record_answer()

    def record_unconnected(self, server: str) -> None:
        """Record that a connection to a server could not be made."""
        self._detector.record_unconnected(server)
        self._start_checks()

    def record_silence(self, server: str) -> None:
        """Record that a server was lost, or is later than usual."""
        self._detector.record_silence(server)
        self._start_checks()

    async def reaches_servers(self) -> bool:
        """Return whether servers can be reached, and try some if that is not certain.

        A host that was cut off a moment ago has not noticed it yet.
        """
        if self._checks is None and self._answered_at < (
            self._loop.time() - _RECENT_ANSWER_S
        ):
            self._begin_checks()
        checked = await self._wait_for_first_check(_REPLY_WITHIN_S)
        return checked and not self.isolated

    async def wait_for_check(self) -> None:
        """Wait until a check in progress has ended, unless it has found a cut."""
        await self._wait_for_first_check(_MAX_CHECK_S)

    async def _wait_for_first_check(self, timeout_s: float) -> bool:
        """Wait for the first of the checks in progress; return whether it has ended."""
        if self._checks is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._first_check_ended.wait()
        except TimeoutError:
            return False
        return True

    async def reaches_any(self, servers: Sequence[Server]) -> bool:
        """Return whether some of these servers may be reached from this host.

        That the host is isolated may be an error, for example after it was suspended
        itself. This checks each of the servers, and takes them for reached if the event
        loop stood still meanwhile, which then has not seen the connections in time.
        """
        started_at = self._loop.time()
        reached = await _count_reachable(servers)
        was_suspended = self._loop.time() - started_at > _MAX_ONE_CHECK_S
        event = "attempts_used_up" if reached or was_suspended else "attempts_excused"
        self._metrics.count(event)
        tried = [server.info.id for server in servers]
        self._log.write(
            event, {"tried": tried, "reached": reached, "suspended": was_suspended}
        )
        return reached > 0 or was_suspended

    def close(self) -> None:
        """End the checks."""
        if self._checks is not None:
            self._checks.cancel()

    def _start_checks(self) -> None:
        if self._checks is None and self._detector.check_is_due(self._loop.time()):
            self._begin_checks()

    def _begin_checks(self) -> None:
        self._first_check_ended.clear()
        self._checks = asyncio.ensure_future(self._check_until_reached())
        self._checks.add_done_callback(self._on_checks_ended)

    def _on_checks_ended(self, checks: asyncio.Task[None]) -> None:
        self._checks = None

    async def _check_until_reached(self) -> None:
        while True:
            await self._check()
            self._first_check_ended.set()
            if not self.isolated:
                return
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _check(self) -> None:
        now = self._loop.time()
        self._detector.record_check_start(now)
        servers = self._servers.sample(_CHECKED_SERVERS, now)
        first_sample = asyncio.ensure_future(_count_reachable(servers))
        await asyncio.wait([first_sample], timeout=_CONFIRM_AFTER_S)
        confirmed = 0
        if not self.isolated and not (first_sample.done() and first_sample.result()):
            # Many servers may be down at once, but hardly all of two samples.
            excluded = [server.info.id for server in servers]
            more = self._servers.sample(_CONFIRMING_SERVERS, now, excluded)
            servers += more
            confirmed = await _count_reachable(more)
        reached = confirmed + await first_sample
        self._metrics.count("server_checks")
        if not self._detector.record_check(reached, len(servers)):
            return
        now = self._loop.time()
        tried = [server.info.id for server in servers]
        if self.isolated:
            self._isolated_since = now
            self._log.write("servers_unreachable", {"tried": tried}, True)
        else:
            after_s = round(now - self._isolated_since, 1)
            self._log.write(
                "servers_reachable", {"tried": tried, "after_s": after_s}, True
            )
        self._on_change()


async def _count_reachable(servers: Sequence[Server]) -> int:
    """Return how many of some servers accept a connection."""
    addresses = [server.info.address for server in servers]
    return sum(await asyncio.gather(*map(accepts_connections, addresses)))
