"""Waiting for a condition on shared state of one event loop."""

import asyncio
from collections.abc import Callable

__all__ = ["Signal"]


class Signal:
    """Wakes all tasks that wait for a condition, which they check themselves."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()

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
        try:
            async with asyncio.timeout(timeout):
                while not condition():
                    await self._next()
        except TimeoutError:
            return condition()
        return True

    async def _next(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)
