"""Recognition of requests that crash the servers that run them."""

import asyncio
from collections.abc import Callable, Sequence

from kingcuplug_common import EventLog, Metrics
from kingcuplug_routing import RequestQuarantine

from kingcuplug_gateway._crash_witness import CrashWitness
from kingcuplug_gateway._request_identity import request_identity
from kingcuplug_gateway._servers import ServerTable
from kingcuplug_gateway._service_call import OutboundRequest, ServiceCall

__all__ = ["RequestGuard"]


class RequestGuard:
    """Reviews requests that have ended, and knows those to be refused.

    Parameters
    ----------
    health_path : callable
        Returns the path of the health checks of a service.

    Attributes
    ----------
    quarantine : RequestQuarantine
        Requests under which servers crashed, here and at other hosts.
    """

    def __init__(
        self,
        servers: ServerTable,
        health_path: Callable[[str], str],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._witness = CrashWitness(
            servers, health_path, self._on_servers_crashed, log, metrics
        )
        self.quarantine = RequestQuarantine()

    def review(self, calls: Sequence[ServiceCall]) -> None:
        """Record whether the calls of a request crashed servers, or were answered."""
        self._witness.review(calls)
        if calls and any(call.result.answered for call in calls):
            self.record_answer(calls[0].outbound)

    def record_answer(self, outbound: OutboundRequest) -> None:
        """Record that a server has answered a request."""
        if not self.quarantine.is_empty:
            self.quarantine.record_answer(_fingerprint(outbound), self._loop.time())

    def quarantined_s(self, outbound: OutboundRequest) -> float:
        """Return for how long a request is to be refused; 0 if it is not."""
        if self.quarantine.is_empty:
            return 0.0
        return self.quarantine.quarantined_s(_fingerprint(outbound), self._loop.time())

    def is_suspect(self, outbound: OutboundRequest) -> bool:
        """Return whether a request may crash the servers that run it."""
        if self.quarantine.is_empty:
            return False
        return self.quarantine.is_suspect(_fingerprint(outbound), self._loop.time())

    def _on_servers_crashed(self, fingerprint: str, attempt_id: str) -> None:
        now = self._loop.time()
        if self.quarantine.record_crash(fingerprint, attempt_id, now):
            for_s = round(self.quarantine.quarantined_s(fingerprint, now), 1)
            self._log.write(
                "request_quarantined",
                {"fingerprint": fingerprint, "id": attempt_id, "for_s": for_s},
                bypass_rate_limit=True,
            )


def _fingerprint(outbound: OutboundRequest) -> str:
    return request_identity(outbound.head, outbound.body).fingerprint
