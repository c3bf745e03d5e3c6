"""Whether a host accepts new requests, and the number in flight."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from kingcuplug_common import log_state_change

__all__ = ["Lifecycle"]

_GRACE_STEPS = 10  # A stall takes up one of them at most.


class Lifecycle:
    """Lifecycle states of a host: ready, draining, closed.

    Attributes
    ----------
    draining : bool
        The readiness check fails, so that the load balancer stops sending requests;
        requests are still served.
    closed : bool
        New requests are refused; those in flight finish.
    """

    def __init__(self) -> None:
        self.draining = False
        self.closed = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served."""
        return self._in_flight

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count one request as in flight."""
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def drain(self, grace_s: float) -> None:
        """Fail the readiness check, refuse new requests after `grace_s`, then wait.

        Time in which the process was stalled hardly counts, because requests that
        arrived in it have not been read. Returns once no request is in flight.
        """
        self.draining = True
        log_state_change("host", "draining", in_flight=self._in_flight)
        for _ in range(_GRACE_STEPS):
            await asyncio.sleep(grace_s / _GRACE_STEPS)
        self.closed = True
        log_state_change("host", "closed", in_flight=self._in_flight)
        await self._idle.wait()
