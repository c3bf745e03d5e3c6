"""Background tasks that are started again when they fail."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from kingcuplug_common import supervise, write_error_line

__all__ = ["run_supervised"]


async def run_supervised(*starts: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run tasks until all have ended, and start those that raise again.

    One unexpected error must not end the others, nor leave a host that answers without
    knowing the configuration or the backend servers any more.
    """
    async with asyncio.TaskGroup() as tasks:
        for start in starts:
            tasks.create_task(supervise(start, _report_failure))


def _report_failure(task: str, error: Exception) -> None:
    write_error_line(f"kingcuplugd: {task} failed, to be repeated: {error!r}")
