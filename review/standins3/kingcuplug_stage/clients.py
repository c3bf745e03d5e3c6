"""Clients that follow the users' pages."""

from kingcuplug_stage.hosts import Host
from kingcuplug_stage.record import Record
from kingcuplug_stage.wire import Message, call

__all__ = ["ask"]

_MS_PER_S = 1_000
# A client hears of the end of its own time a little later.
_MARGIN_S = 0.5


async def ask(
    record: Record,
    host: Host,
    name: str,
    path: str,
    attempt_id: str,
    deadline_ms: int,
    method: str = "POST",
    body: bytes = b"order",
) -> Message | None:
    """Send one request to a host, and record the answer."""
    record.write("request", host=host.name, attempt=attempt_id, deadline_ms=deadline_ms)
    answer = await call(
        host.front,
        method,
        path,
        {
            "Host": name,
            "Attempt-Id": attempt_id,
            "Deadline-Milliseconds": str(deadline_ms),
        },
        body,
        deadline_ms / _MS_PER_S + _MARGIN_S,
    )
    record.write(
        "answer",
        host=host.name,
        attempt=attempt_id,
        status=answer.status if answer is not None else None,
        seal=answer.headers.get("server-seal") if answer is not None else None,
    )
    return answer
