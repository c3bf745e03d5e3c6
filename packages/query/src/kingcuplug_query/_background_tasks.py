"""Tasks that may outlive the request that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Holds references to running tasks, so that shutdown can wait for them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run `coroutine` as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self, timeout_s: float) -> int:
        """Wait for all tasks; cancel and count those that exceed the timeout."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        unfinished = list(self._tasks)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        return len(unfinished)
