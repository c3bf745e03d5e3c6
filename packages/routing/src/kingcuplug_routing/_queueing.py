"""Wake-up of waiting requests, and the decision between waiting and sending."""

import asyncio
from collections.abc import Iterable, Sequence

from kingcuplug_routing._server import Server
from kingcuplug_routing._ticket import Ticket

__all__ = ["waiting_is_faster", "wake", "wake_all"]

_SLOWNESS_FACTOR = 1.5  # a slow server must not get work only because others are busy


def waiting_is_faster(server: Server, replicas: Sequence[Server], now: float) -> bool:
    """Return whether waiting for a busy replica is expected to be faster.

    Waiting requests are served when a request in flight at a replica at its limit
    ends, or when a back-off ends.
    """
    bound_ms = server.latency_ms / _SLOWNESS_FACTOR
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
    """Wake every waiting request so that it retries with the new replica lists."""
    for server in servers:
        for waiter in server.waiting:
            waiter.future.set_result(None)


def wake(future: asyncio.Future[Ticket | None]) -> None:
    """Wake one waiting request so that it retries, unless it was served already."""
    if not future.done():
        future.set_result(None)
