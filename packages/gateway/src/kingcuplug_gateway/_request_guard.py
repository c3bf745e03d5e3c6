"""Recognition of requests that crash the servers that run them."""

import asyncio
from collections.abc import Callable, Sequence

from kingcuplug_common import EventLog, Metrics
from kingcuplug_routing import RequestQuarantine

from kingcuplug_gateway._crash_witness import CrashWitness
from kingcuplug_gateway._request_identity import RequestIdentity, request_identity
from kingcuplug_gateway._service_call import OutboundRequest, ServiceCall
from kingcuplug_gateway._signal_reader import SignalReader

__all__ = ["RequestGuard"]


class RequestGuard:
    """Reviews requests that have ended, and knows those to be refused.

    Parameters
    ----------
    health_path : callable
        Returns the path of the health checks of a service.
    team_header : bytes
        Name, in lower case, of the header with the caller's team.

    Attributes
    ----------
    quarantine : RequestQuarantine
        Requests under which servers crashed, here and at other hosts.
    """

    def __init__(
        self,
        signals: SignalReader,
        health_path: Callable[[str], str],
        team_header: bytes,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._team_header = team_header
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._witness = CrashWitness(
            signals,
            health_path,
            self._identify,
            self._on_servers_crashed,
            log,
            metrics,
        )
        self.quarantine = RequestQuarantine()

    def review(self, calls: Sequence[ServiceCall]) -> None:
        """Record whether the calls of a request crashed servers, or were answered."""
        self._witness.review(calls)
        if calls and any(call.result.answered for call in calls):
            self.record_answer(calls[0].outbound)

    def record_answer(self, outbound: OutboundRequest) -> None:
        """Record that a server has answered a request."""
        now = self._loop.time()
        for fingerprint in self._fingerprints(outbound):
            self.quarantine.record_answer(fingerprint, now)

    def quarantined_s(self, outbound: OutboundRequest) -> float:
        """Return for how long a request is to be refused; 0 if it is not."""
        now = self._loop.time()
        return max(
            (
                self.quarantine.quarantined_s(fingerprint, now)
                for fingerprint in self._fingerprints(outbound)
            ),
            default=0.0,
        )

    def is_suspect(self, outbound: OutboundRequest) -> bool:
        """Return whether a request may crash the servers that run it."""
        now = self._loop.time()
        return any(
            self.quarantine.is_suspect(fingerprint, now)
            for fingerprint in self._fingerprints(outbound)
        )

    def _fingerprints(self, outbound: OutboundRequest) -> tuple[str, ...]:
        """Return the fingerprints of a request if any request is suspected."""
        if self.quarantine.is_empty:
            return ()
        return self._identify(outbound).fingerprints

    def _identify(self, outbound: OutboundRequest) -> RequestIdentity:
        return request_identity(outbound.head, outbound.body, self._team_header)

    def _on_servers_crashed(
        self, identity: RequestIdentity, attempt_id: str, started_at: float
    ) -> None:
        now = self._loop.time()
        quarantine = self.quarantine
        if quarantine.record_crash(identity.fingerprint, attempt_id, now):
            self._log_quarantine(identity.fingerprint, attempt_id)
        path_fingerprint = identity.path_fingerprint
        if quarantine.record_path_crash(path_fingerprint, attempt_id, started_at, now):
            self._log_quarantine(path_fingerprint, attempt_id)

    def _log_quarantine(self, fingerprint: str, attempt_id: str) -> None:
        for_s = self.quarantine.quarantined_s(fingerprint, self._loop.time())
        self._log.write(
            "request_quarantined",
            {"fingerprint": fingerprint, "id": attempt_id, "for_s": round(for_s, 1)},
            bypass_rate_limit=True,
        )
