"""Log entries and metrics of callers' requests."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from kingcuplug_common import EventLog, Metrics
from kingcuplug_http import Request

from kingcuplug_gateway._gather_client import GatherNote
from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._service_call import ServiceCall

__all__ = ["Ended", "RequestLog"]

_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Ended:
    """Outcome of a request, and the state of the host that led to it.

    Attributes
    ----------
    outcome : str
        HTTP status, or ``caller_left`` if the caller disconnected.
    reason : bytes
        Body of an error response made by this host; empty otherwise.
    routes_version : int or None
        Version of the route table in force.
    hosts : int
        Number of live hosts, among which limits are divided.
    """

    outcome: str
    reason: bytes
    routes_version: int | None
    hosts: int
    calls: tuple[ServiceCall, ...]
    notes: Sequence[GatherNote]


class RequestLog:
    """Counts requests, and logs them within a rate limit for each kind.

    Parameters
    ----------
    attempt_id : bytes
        Name of the header with a request's id, in lower case.
    """

    def __init__(self, attempt_id: bytes, log: EventLog, metrics: Metrics) -> None:
        self._attempt_id = attempt_id
        self._log = log
        self._metrics = metrics

    def write(self, request: Request, route: Route | None, ended: Ended) -> None:
        """Count the request, and log it if its kind is within the rate limit."""
        now = asyncio.get_running_loop().time()
        elapsed_s = now - request.received_at
        rank = route.rank if route else -1
        self._metrics.count(f"requests.{ended.outcome}")
        self._metrics.observe("request", (str(rank), ended.outcome), elapsed_s)
        failed = not ended.outcome.startswith("2")
        kind = "request_failed" if failed else "request"
        if not self._log.admits(kind):
            return
        attempt_id = request.header(self._attempt_id) or b""
        last = max(ended.calls, key=_ended_at, default=None)
        self._log.write(
            kind,
            {
                "id": attempt_id.decode("latin-1"),
                "route": route.name if route else None,
                "routes_version": ended.routes_version,
                "outcome": ended.outcome,
                "reason": ended.reason.decode("latin-1"),
                "elapsed_ms": round(elapsed_s * _MS_PER_S, 1),
                "hosts": ended.hosts,
                "missing": [c.service for c in ended.calls if not c.ending.good],
                "calls": [
                    note
                    for call in ended.calls
                    if failed or call is last or not call.plain
                    for note in call.notes(request.received_at)
                ],
                "gathered": [note.fields(request.received_at) for note in ended.notes],
            },
            always=True,
        )


def _ended_at(call: ServiceCall) -> float:
    return max((note.ended_at for note in call.ending.attempts), default=0.0)
