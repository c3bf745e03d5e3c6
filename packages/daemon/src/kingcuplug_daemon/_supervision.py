"""Background tasks that are started again when they fail."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from kingcuplug_common import write_error_line

__all__ = ["run_supervised"]

_MIN_DELAY_S = 0.1
_MAX_DELAY_S = 5.0


async def run_supervised(*starts: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run tasks until all have ended, and start those that raise again.

    One unexpected error must not end the others, nor leave a host that answers without
    knowing the configuration or the backend servers any more.
    """
    async with asyncio.TaskGroup() as tasks:
        for start in starts:
            tasks.create_task(_supervise(start))


async def _supervise(start: Callable[[], Coroutine[Any, Any, None]]) -> None:
    loop, delay_s = asyncio.get_running_loop(), _MIN_DELAY_S
    while True:
        started_at = loop.time()
        try:
            await start()
            return
        except Exception as error:
            name = getattr(start, "__qualname__", repr(start))
            write_error_line(f"kingcuplugd: {name} failed, to be repeated: {error!r}")
        if loop.time() - started_at > _MAX_DELAY_S:
            delay_s = _MIN_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, _MAX_DELAY_S)
