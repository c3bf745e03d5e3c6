"""Timeouts that share timers.

Attempts of many queries end within a few milliseconds of one another, and nearly
all end in time. A timer for each of them costs more than the wait is worth, so the
ends within one step share one timer of the event loop.
"""

import asyncio
from types import TracebackType

__all__ = ["CoarseTimeout", "CoarseTimer"]

_BUCKET_WIDTH_S = 0.02


class CoarseTimer:
    """Timeouts of the tasks of one event loop."""

    def __init__(self) -> None:
        self._buckets: dict[int, set[CoarseTimeout]] = {}

    def timeout(self, timeout_s: float) -> "CoarseTimeout":
        """Return a context manager like `asyncio.timeout`, up to 20 ms later."""
        return CoarseTimeout(self, timeout_s)

    def schedule(
        self, timeout: "CoarseTimeout", deadline: float, loop: asyncio.AbstractEventLoop
    ) -> int:
        """Let `expiry` fire at the first step after the time `at`."""
        step = int(deadline / _BUCKET_WIDTH_S) + 1
        expiries = self._buckets.get(step)
        if expiries is None:
            expiries = self._buckets[step] = set()
            loop.call_at(step * _BUCKET_WIDTH_S, self._expire_bucket, step)
        expiries.add(timeout)
        return step

    def cancel(self, timeout: "CoarseTimeout", bucket: int) -> None:
        """Forget an expiry that is no longer needed."""
        expiries = self._buckets.get(bucket)
        if expiries is not None:
            expiries.discard(timeout)

    def _expire_bucket(self, bucket: int) -> None:
        for expiry in self._buckets.pop(bucket):
            expiry.expire()


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
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if not self._expired:
            self._timer.cancel(self, self._bucket)
            return
        # A cancellation by somebody else goes on; only the own one is a timeout.
        if (
            self._task.uncancel() <= self._cancel_requests_before
            and kind is asyncio.CancelledError
        ):
            raise TimeoutError from error

    def expire(self) -> None:
        """Cancel the body."""
        self._expired = True
        self._task.cancel()
