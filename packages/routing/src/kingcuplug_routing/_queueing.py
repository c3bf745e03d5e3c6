"""How waiting requests are woken, and when waiting is better than sending."""

import asyncio
from collections.abc import Iterable, Sequence

from kingcuplug_routing._server import Server
from kingcuplug_routing._ticket import Ticket

__all__ = ["outpaced", "wake", "wake_all"]

_MUCH_SLOWER = 1.5  # a straggler must not get work only because the others are busy


def outpaced(server: Server, replicas: Sequence[Server], now: float) -> bool:
    """Return whether waiting for a busy replica is expected to be quicker.

    A replica at its limit has a request in flight here, whose end serves the
    waiting ones; the end of a back-off does the same.
    """
    bound_ms = server.latency_ms / _MUCH_SLOWER
    for each in replicas:
        expected_ms = (each.in_flight + 1) * each.latency_ms
        if each.back_off_until > now:
            expected_ms += (each.back_off_until - now) * 1_000
        elif each.in_flight + 1 <= each.limit:
            continue
        if expected_ms < bound_ms:
            return True
    return False


def wake_all(servers: Iterable[Server]) -> None:
    """Let every waiting request look at the new replica lists."""
    for server in servers:
        for waiter in server.waiting:
            waiter.future.set_result(None)


def wake(future: asyncio.Future[Ticket | None]) -> None:
    """Let one waiting request look again, unless it was served meanwhile."""
    if not future.done():
        future.set_result(None)
