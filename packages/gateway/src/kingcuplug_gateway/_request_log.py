"""One log line and the figures for each request of a caller."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from kingcuplug_common import EventLog, Metrics
from kingcuplug_http import Request

from kingcuplug_gateway._call import ServiceCall
from kingcuplug_gateway._gathering import GatherNote
from kingcuplug_gateway._routes import Route

__all__ = ["Ended", "RequestLog"]

_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Ended:
    """How a request ended, and by which beliefs.

    Attributes
    ----------
    outcome : str
        The status, or ``caller_left``.
    reason : bytes
        Of a refusal or failure of this host's own.
    routes_version : int or None
        Of the routes in force.
    hosts : int
        Live hosts, by which limits are divided.
    """

    outcome: str
    reason: bytes
    routes_version: int | None
    hosts: int
    calls: tuple[ServiceCall, ...]
    notes: Sequence[GatherNote]


class RequestLog:
    """Counts requests, and writes their lines within a rate for each kind.

    Parameters
    ----------
    attempt_id : bytes
        Header of a request's id, in lower case.
    """

    def __init__(self, attempt_id: bytes, log: EventLog, metrics: Metrics) -> None:
        self._attempt_id = attempt_id
        self._log = log
        self._metrics = metrics

    def write(self, request: Request, route: Route | None, ended: Ended) -> None:
        """Count the request, and write its line if its kind is within its rate."""
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
