"""Evidence that backend servers crashed while they ran a request."""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial

from kingcuplug_common import EventLog, Metrics

from kingcuplug_gateway._reachability import (
    ServerCondition,
    accepts_connections,
    check_server,
)
from kingcuplug_gateway._request_identity import RequestIdentity
from kingcuplug_gateway._servers import Server
from kingcuplug_gateway._service_call import OutboundRequest, ServiceCall
from kingcuplug_gateway._signal_reader import SignalReader

__all__ = ["CrashWitness"]

# A server that crashes closes its listening socket and its connections in any order.
_CLOSE_DELAY_S = 0.05
# A query is in flight at a server of every shard; a few of them are enough.
_MAX_CHECKED_SERVERS = 3
_MAX_CONCURRENT_CHECKS = 16


class CrashWitness:
    """Finds out whether servers crashed under a request that none of them answered.

    A lost connection alone shows no crash. The server must also refuse connections, or
    reply to nothing, while this host reaches another one.

    Parameters
    ----------
    health_path : callable
        Returns the path of the health checks of a service.
    identify : callable
        Returns the identity of a request.
    on_crash : callable
        Called with the identity, the attempt id and the start of such a request.
    """

    def __init__(
        self,
        signals: SignalReader,
        health_path: Callable[[str], str],
        identify: Callable[[OutboundRequest], RequestIdentity],
        on_crash: Callable[[RequestIdentity, str, float], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._signals = signals
        self._servers = signals.servers
        self._health_path = health_path
        self._identify = identify
        self._on_crash = on_crash
        self._log = log
        self._metrics = metrics
        self._checks: set[asyncio.Task[None]] = set()

    def review(self, calls: Sequence[ServiceCall]) -> None:
        """Check the servers that were lost under a request, if none has answered it."""
        lost = [server for call in calls for server in call.result.lost_servers]
        if not lost or any(call.result.answered for call in calls):
            return
        if len(self._checks) >= _MAX_CONCURRENT_CHECKS:
            self._metrics.count("crash_checks_skipped")
            return
        outbound = calls[0].outbound
        identity = self._identify(outbound)
        attempt_id = outbound.attempt_id.decode("latin-1")
        started_at = min(a.sent_at for call in calls for a in call.result.attempts)
        check = asyncio.ensure_future(
            self._check(identity, attempt_id, started_at, lost)
        )
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(
        self,
        identity: RequestIdentity,
        attempt_id: str,
        started_at: float,
        lost: list[Server],
    ) -> None:
        await asyncio.sleep(_CLOSE_DELAY_S)
        may_check = [s for s in lost if not self._servers.is_evacuated(s)]
        checked = may_check[:_MAX_CHECKED_SERVERS]
        conditions = await asyncio.gather(*map(self._check_server, checked))
        reaches_other = await self._reaches_other_server(lost)
        fields = {
            "fingerprint": identity.fingerprint,
            "path_fingerprint": identity.path_fingerprint,
            "id": attempt_id,
            "servers": {
                server.info.id: condition.value
                for server, condition in zip(checked, conditions, strict=True)
            },
        }
        is_down = any(condition.is_down for condition in conditions)
        if not is_down or not reaches_other:
            self._log.write("no_crash_found", fields | {"reaches_other": reaches_other})
            return
        self._metrics.count("servers_crashed_under_request")
        self._log.write("servers_crashed_under_request", fields)
        self._on_crash(identity, attempt_id, started_at)

    async def _check_server(self, server: Server) -> ServerCondition:
        if server.signals.is_limited:
            server.signals.take(asyncio.get_running_loop().time())
        return await check_server(
            server.info.address,
            self._health_path(server.info.service),
            partial(self._signals.record_health, server),
        )

    async def _reaches_other_server(self, lost: list[Server]) -> bool:
        """Return whether this host can connect to any of a few other servers."""
        excluded = {server.info.id for server in lost}
        now = asyncio.get_running_loop().time()
        others = self._servers.sample(_MAX_CHECKED_SERVERS, now, excluded)
        results = await asyncio.gather(
            *(accepts_connections(s.info.address) for s in others)
        )
        return any(results)
