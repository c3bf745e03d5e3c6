"""Blocking calls in worker threads."""

import asyncio
import errno
from collections.abc import Callable
from typing import Any, TypeVar

__all__ = ["run_to_completion"]

_T = TypeVar("_T")


async def run_to_completion(function: Callable[..., _T], *args: Any) -> _T:
    """Run a blocking function in a worker thread and return its result.

    If the caller is cancelled, the cancellation takes effect when the function has
    returned. With `asyncio.to_thread`, the function of a cancelled call goes on and
    can overlap with whatever the caller's successor does to the same files.

    Raises
    ------
    OSError
        If no thread can be started.
    """
    future = _start(function, args)
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


def _start(function: Callable[..., _T], args: tuple[Any, ...]) -> "asyncio.Future[_T]":
    """Give a call to a worker thread.

    An executor that can start no thread keeps the call for another one, which must not
    make it later: the files may have another owner then.
    """
    abandoned = False

    def call() -> _T:
        if abandoned:
            raise OSError(errno.ECANCELED, "the call was abandoned")
        return function(*args)

    try:
        return asyncio.get_running_loop().run_in_executor(None, call)
    except RuntimeError as error:
        abandoned = True
        raise OSError(errno.EAGAIN, f"no worker thread: {error}") from error
