"""Waiting for a condition on shared state of one event loop."""

import asyncio
from collections.abc import Callable

__all__ = ["Condition"]


class Condition:
    """Condition variable without a lock, for the tasks of one event loop.

    Every notification wakes all waiting tasks, and each checks its own condition.
    """

    def __init__(self) -> None:
        # A dict keeps its order, so that runs with one fault seed repeat exactly.
        self._waiters: dict[asyncio.Future[None], None] = {}

    def notify(self) -> None:
        """Wake all waiting tasks, which check their conditions."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for(
        self, condition: Callable[[], bool], timeout: float | None = None
    ) -> bool:
        """Return ``True`` once the condition holds, ``False`` after `timeout` s."""
        if condition():
            return True
        loop = asyncio.get_running_loop()
        expired = False

        def expire() -> None:
            # A timer may fire before its deadline by up to the clock's resolution.
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
