"""Evidence that backend servers crashed while they ran a request."""

import asyncio
import hashlib
from collections.abc import Callable, Sequence

from kingcuplug_common import EventLog, Metrics

from kingcuplug_gateway._reachability import (
    accepts_connections,
    refuses_connections,
)
from kingcuplug_gateway._servers import Server, ServerTable
from kingcuplug_gateway._service_call import ServiceCall

__all__ = ["CrashWitness", "request_fingerprint"]

# Headers that belong to a request's identity; others may differ when it comes again.
_IDENTITY_HEADERS = frozenset((b"host", b"authorization", b"cookie"))
_FINGERPRINT_BYTES = 8
# A server that crashes closes its listening socket and its connections in any order.
_CLOSE_DELAY_S = 0.05
# A query is in flight at a server of every shard; a few of them are enough.
_MAX_CHECKED_SERVERS = 3
_MAX_CONCURRENT_CHECKS = 16


def request_fingerprint(head: bytes, body: bytes) -> str:
    """Return the identity of a request that a caller may send again.

    Parameters
    ----------
    head : bytes
        Request line and headers as sent to servers.
    """
    request_line, *headers = head.split(b"\r\n")
    identity = [request_line, *(line for line in headers if _is_identity(line)), body]
    digest = hashlib.blake2b(b"\0".join(identity), digest_size=_FINGERPRINT_BYTES)
    return digest.hexdigest()


def _is_identity(header: bytes) -> bool:
    return header.partition(b":")[0].lower() in _IDENTITY_HEADERS


class CrashWitness:
    """Finds out whether servers crashed under a request that none of them answered.

    A lost connection alone shows no crash. The server must also refuse connections,
    while this host reaches another one.

    Parameters
    ----------
    on_crash : callable
        Called with the fingerprint and the attempt id of such a request.
    """

    def __init__(
        self,
        servers: ServerTable,
        on_crash: Callable[[str, str], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._servers = servers
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
        fingerprint = request_fingerprint(outbound.head, outbound.body)
        attempt_id = outbound.attempt_id.decode("latin-1")
        check = asyncio.ensure_future(self._check(fingerprint, attempt_id, lost))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(
        self, fingerprint: str, attempt_id: str, lost: list[Server]
    ) -> None:
        await asyncio.sleep(_CLOSE_DELAY_S)
        checked = lost[:_MAX_CHECKED_SERVERS]
        refusals = await asyncio.gather(
            *(refuses_connections(s.info.address) for s in checked)
        )
        crashed = [
            s.info.id for s, refuses in zip(checked, refusals, strict=True) if refuses
        ]
        if not crashed or not await self._reaches_other_server(lost):
            return
        self._metrics.count("servers_crashed_under_request")
        self._log.write(
            "servers_crashed_under_request",
            {"fingerprint": fingerprint, "id": attempt_id, "servers": crashed},
        )
        self._on_crash(fingerprint, attempt_id)

    async def _reaches_other_server(self, lost: list[Server]) -> bool:
        """Return whether this host can connect to any of a few other servers."""
        excluded = {server.info.id for server in lost}
        now = asyncio.get_running_loop().time()
        others = self._servers.sample(_MAX_CHECKED_SERVERS, now, excluded)
        results = await asyncio.gather(
            *(accepts_connections(s.info.address) for s in others)
        )
        return any(results)
