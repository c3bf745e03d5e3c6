"""Blocking calls in worker threads."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

__all__ = ["run_to_completion"]

_T = TypeVar("_T")


async def run_to_completion(function: Callable[..., _T], *args: Any) -> _T:
    """Run a blocking function in a worker thread and return its result.

    If the caller is cancelled, the cancellation takes effect when the function has
    returned. With `asyncio.to_thread`, the function of a cancelled call goes on and
    can overlap with whatever the caller's successor does to the same files.
    """
    future = asyncio.get_running_loop().run_in_executor(None, function, *args)
    cancellation: asyncio.CancelledError | None = None
    while not future.done():
        try:
            await asyncio.wait([future])
        except asyncio.CancelledError as error:
            cancellation = error
    if cancellation is not None:
        future.exception()  # Marks it as retrieved.
        raise cancellation
    return future.result()
