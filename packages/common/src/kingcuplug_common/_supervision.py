"""Background tasks that are started again when they fail."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["supervise"]

# Delay before a task that failed is started again, doubled by each failure up to the
# maximum, so that a persistent fault cannot occupy the processor.
_MIN_DELAY_S = 0.1
_MAX_DELAY_S = 5.0


async def supervise(
    start: Callable[[], Coroutine[Any, Any, None]],
    report: Callable[[str, Exception], None],
) -> None:
    """Run a background task until it returns, and start it again if it raises.

    Parameters
    ----------
    start : callable
        Coroutine function that runs the task.
    report : callable
        Called with the name of the task and its error.
    """
    loop, delay_s = asyncio.get_running_loop(), _MIN_DELAY_S
    while True:
        started_at = loop.time()
        try:
            await start()
            return
        except Exception as error:
            report(getattr(start, "__qualname__", repr(start)), error)
        if loop.time() - started_at > _MAX_DELAY_S:
            delay_s = _MIN_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, _MAX_DELAY_S)
