"""Fail-stop execution of file operations: the first failure is final."""

import asyncio
from collections.abc import Awaitable, Callable

from kingcuplug_log._errors import StorageClosed, StorageFailed

__all__ = ["FailStopExecutor"]


class FailStopExecutor:
    """Runs operations one at a time per lock, until one raises an exception.

    After that every operation raises `StorageFailed`: a failed fsync can drop
    dirty pages, so a retry could report success for lost data. So can an operation that
    lacked memory, or a thread.

    Attributes
    ----------
    failure : Exception or None
        The first error, after which all operations fail.
    """

    def __init__(self) -> None:
        self.failure: Exception | None = None
        self._running: set[asyncio.Task[None]] = set()
        self._closed = False

    def raise_if_failed(self) -> None:
        """Raise `StorageFailed` if an operation has failed."""
        if self.failure is not None:
            raise StorageFailed(self.failure)

    def record_failure(self, error: Exception) -> StorageFailed:
        """Record a failure and return the error to raise."""
        self.failure = self.failure or error
        return StorageFailed(error)

    async def run(
        self, lock: asyncio.Lock, operation: Callable[[], Awaitable[None]]
    ) -> None:
        """Run an operation to completion even if the caller is cancelled.

        Raises
        ------
        StorageClosed
            If `close` was called before the operation could begin.
        StorageFailed
            If this or an earlier operation has failed.
        """
        task = asyncio.ensure_future(self._run_locked(lock, operation))
        self._running.add(task)
        task.add_done_callback(self._discard_task)
        await asyncio.shield(task)

    async def close(self) -> None:
        """Let no further operation begin, and wait for the running ones.

        What follows may use the files at once.
        """
        self._closed = True
        while self._running:
            await asyncio.wait(self._running)

    def _discard_task(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            task.exception()  # Marks it as retrieved if the caller was cancelled.

    async def _run_locked(
        self, lock: asyncio.Lock, operation: Callable[[], Awaitable[None]]
    ) -> None:
        async with lock:
            self.raise_if_failed()
            if self._closed:
                raise StorageClosed
            try:
                await operation()
            except Exception as error:
                raise self.record_failure(error) from error
