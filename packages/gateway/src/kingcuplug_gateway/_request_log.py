"""Log entries and metrics of callers' requests."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from kingcuplug_common import EventLog, Metrics
from kingcuplug_http import Request

from kingcuplug_gateway._gather_client import GatherRecord
from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._service_call import ServiceCall

__all__ = ["RequestLog", "RequestResult"]

_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Outcome of a request, and the state of the host that led to it.

    Attributes
    ----------
    outcome : str
        HTTP status, or ``caller_left`` if the caller disconnected.
    reason : bytes
        Body of an error response made by this host; empty otherwise.
    routes_version : int or None
        Version of the route table in force.
    host_count : int
        Number of live hosts, among which limits are divided.
    relayed_to : str
        Address of the host that served the request for this one; empty if none did.
    """

    outcome: str
    reason: bytes
    routes_version: int | None
    host_count: int
    calls: tuple[ServiceCall, ...]
    gather_records: Sequence[GatherRecord]
    relayed_to: str = ""


class RequestLog:
    """Counts requests, and logs them within a rate limit for each kind.

    Parameters
    ----------
    attempt_id_header : bytes
        Name of the header with a request's id, in lower case.
    """

    def __init__(
        self, attempt_id_header: bytes, log: EventLog, metrics: Metrics
    ) -> None:
        self._attempt_id_header = attempt_id_header
        self._log = log
        self._metrics = metrics

    def write(
        self, request: Request, route: Route | None, result: RequestResult
    ) -> None:
        """Count the request, and log it if its kind is within the rate limit."""
        now = asyncio.get_running_loop().time()
        elapsed_s = now - request.received_at
        priority = route.priority if route else -1
        self._metrics.count(f"requests.{result.outcome}")
        self._metrics.observe("request", (str(priority), result.outcome), elapsed_s)
        failed = not result.outcome.startswith("2")
        kind = "request_failed" if failed else "request"
        if not self._log.try_acquire(kind):
            return
        attempt_id = request.header(self._attempt_id_header) or b""
        last = max(result.calls, key=_ended_at, default=None)
        self._log.write(
            kind,
            {
                "id": attempt_id.decode("latin-1"),
                "route": route.name if route else None,
                "routes_version": result.routes_version,
                "outcome": result.outcome,
                "reason": result.reason.decode("latin-1"),
                "elapsed_ms": round(elapsed_s * _MS_PER_S, 1),
                "hosts": result.host_count,
                **({"relayed_to": result.relayed_to} if result.relayed_to else {}),
                "missing": [c.service for c in result.calls if not c.result.succeeded],
                "calls": [
                    entry
                    for call in result.calls
                    if failed or call is last or not call.succeeded_at_first_attempt
                    for entry in call.log_entries(request.received_at)
                ],
                "gathered": [
                    record.log_entry(request.received_at)
                    for record in result.gather_records
                ],
            },
            bypass_rate_limit=True,
        )


def _ended_at(call: ServiceCall) -> float:
    return max((attempt.ended_at for attempt in call.result.attempts), default=0.0)
