"""An event loop whose clock advances at once to the next timer.

Tests of timeouts and leases need almost no real time and give the same result on
any machine, because nothing waits for the wall clock.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualTimeLoop", "run_virtual"]

_Result = TypeVar("_Result")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual clock in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is set")
        if timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual monotonic clock that starts at 0 s."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._time_selector.now


def run_virtual(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run `main` on a new virtual-time loop and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
