"""Timeouts that share timers.

Attempts of many queries end within a few milliseconds of one another, and nearly
all end in time. A timer for each of them costs more than the wait is worth, so the
ends within one step share one timer of the event loop.
"""

import asyncio
from types import TracebackType

__all__ = ["Expiries", "Expiry"]

_STEP_S = 0.02


class Expiries:
    """Timeouts of the tasks of one event loop."""

    def __init__(self) -> None:
        self._steps: dict[int, set[Expiry]] = {}

    def after(self, timeout_s: float) -> "Expiry":
        """Return a context manager like `asyncio.timeout`, up to 20 ms later."""
        return Expiry(self, timeout_s)

    def add(self, expiry: "Expiry", at: float, loop: asyncio.AbstractEventLoop) -> int:
        """Let `expiry` fire at the first step after the time `at`."""
        step = int(at / _STEP_S) + 1
        expiries = self._steps.get(step)
        if expiries is None:
            expiries = self._steps[step] = set()
            loop.call_at(step * _STEP_S, self._fire, step)
        expiries.add(expiry)
        return step

    def remove(self, expiry: "Expiry", step: int) -> None:
        """Forget an expiry that is no longer needed."""
        expiries = self._steps.get(step)
        if expiries is not None:
            expiries.discard(expiry)

    def _fire(self, step: int) -> None:
        for expiry in self._steps.pop(step):
            expiry.fire()


class Expiry:
    """Cancels the body of a ``with`` statement and raises `TimeoutError` for it."""

    __slots__ = ("_cancelling", "_expiries", "_fired", "_step", "_task", "_timeout_s")

    def __init__(self, expiries: Expiries, timeout_s: float) -> None:
        self._expiries = expiries
        self._timeout_s = timeout_s
        self._fired = False

    def __enter__(self) -> None:
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("a timeout needs a task to cancel")
        self._task = task
        self._cancelling = task.cancelling()
        loop = asyncio.get_running_loop()
        self._step = self._expiries.add(self, loop.time() + self._timeout_s, loop)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if not self._fired:
            self._expiries.remove(self, self._step)
            return
        # A cancellation by somebody else goes on; only the own one is a timeout.
        if self._task.uncancel() <= self._cancelling and kind is asyncio.CancelledError:
            raise TimeoutError from error

    def fire(self) -> None:
        """Cancel the body."""
        self._fired = True
        self._task.cancel()
