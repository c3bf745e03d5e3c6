"""Timeouts that share timers of the event loop.

Attempts of many queries have deadlines within a few milliseconds of one another, and
nearly all attempts end in time. One event loop timer for each of them is expensive,
so deadlines are grouped into buckets of fixed width, and each bucket has one timer.
"""

import asyncio
from types import TracebackType

__all__ = ["CoarseTimeout", "CoarseTimer"]

_BUCKET_WIDTH_S = 0.02


class CoarseTimer:
    """Schedules the timeouts of one event loop in buckets."""

    def __init__(self) -> None:
        self._buckets: dict[int, set[CoarseTimeout]] = {}

    def timeout(self, timeout_s: float) -> "CoarseTimeout":
        """Return an equivalent of `asyncio.timeout` that fires up to 20 ms late."""
        return CoarseTimeout(self, timeout_s)

    def schedule(
        self, timeout: "CoarseTimeout", deadline: float, loop: asyncio.AbstractEventLoop
    ) -> int:
        """Add `timeout` to the first bucket after `deadline`; return the bucket."""
        bucket = int(deadline / _BUCKET_WIDTH_S) + 1
        timeouts = self._buckets.get(bucket)
        if timeouts is None:
            timeouts = self._buckets[bucket] = set()
            loop.call_at(bucket * _BUCKET_WIDTH_S, self._expire_bucket, bucket)
        timeouts.add(timeout)
        return bucket

    def cancel(self, timeout: "CoarseTimeout", bucket: int) -> None:
        """Remove a timeout whose body has ended."""
        timeouts = self._buckets.get(bucket)
        if timeouts is not None:
            timeouts.discard(timeout)

    def _expire_bucket(self, bucket: int) -> None:
        for timeout in self._buckets.pop(bucket):
            timeout.expire()


class CoarseTimeout:
    """Cancels the body of a ``with`` statement and raises `TimeoutError` for it."""

    __slots__ = (
        "_bucket",
        "_cancel_requests_before",
        "_expired",
        "_task",
        "_timeout_s",
        "_timer",
    )

    def __init__(self, timer: CoarseTimer, timeout_s: float) -> None:
        self._timer = timer
        self._timeout_s = timeout_s
        self._expired = False

    def __enter__(self) -> None:
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("a timeout needs a task to cancel")
        self._task = task
        self._cancel_requests_before = task.cancelling()
        loop = asyncio.get_running_loop()
        self._bucket = self._timer.schedule(self, loop.time() + self._timeout_s, loop)

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if not self._expired:
            self._timer.cancel(self, self._bucket)
            return
        # Only this timeout's own cancellation becomes a TimeoutError; a cancellation
        # requested elsewhere propagates.
        if (
            self._task.uncancel() <= self._cancel_requests_before
            and exc_type is asyncio.CancelledError
        ):
            raise TimeoutError from exc

    def expire(self) -> None:
        """Cancel the task that runs the body."""
        self._expired = True
        self._task.cancel()
