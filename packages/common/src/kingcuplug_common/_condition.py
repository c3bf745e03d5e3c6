"""Waiting for a condition on shared state of one event loop."""

import asyncio
from collections.abc import Callable

__all__ = ["Signal"]


class Signal:
    """Wakes all tasks that wait for a condition, which they check themselves."""

    def __init__(self) -> None:
        # Ordered, so that a run with seeded faults can be repeated exactly.
        self._waiters: dict[asyncio.Future[None], None] = {}

    def notify(self) -> None:
        """Make all waiting tasks check their conditions."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def until(
        self, condition: Callable[[], bool], timeout: float | None = None
    ) -> bool:
        """Return ``True`` once the condition holds, ``False`` after `timeout` s."""
        if condition():
            return True
        loop = asyncio.get_running_loop()
        expired = False

        def expire() -> None:
            # The loop's clock may still be short of the deadline by its resolution.
            nonlocal expired
            expired = True
            self.notify()

        timer = None if timeout is None else loop.call_later(timeout, expire)
        try:
            while not condition():
                if expired:
                    return False
                await self._wait_for_notify(loop)
        finally:
            if timer is not None:
                timer.cancel()
        return True

    async def _wait_for_notify(self, loop: asyncio.AbstractEventLoop) -> None:
        waiter = loop.create_future()
        self._waiters[waiter] = None
        try:
            await waiter
        finally:
            del self._waiters[waiter]
