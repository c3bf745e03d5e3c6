"""Waiting for conditions with a time limit."""

import asyncio

from kingcuplug_common import Condition
from kingcuplug_testkit import run_virtual


def test_wait_times_out_when_its_timer_fires_early():
    """Guards against a wait that never ends.

    Event loops run timers up to their clock's resolution early, so the clock may not
    have reached the deadline yet.
    """

    async def run() -> bool:
        loop, signal = asyncio.get_running_loop(), Condition()
        call_at = loop.call_at

        def call_early(when, *arguments, **options):
            return call_at(when - 1e-9, *arguments, **options)

        loop.call_at = call_early
        waiting = asyncio.ensure_future(signal.wait_for(lambda: False, 0.9))
        await asyncio.sleep(5.0)
        assert waiting.done(), "the wait outlasted its time limit"
        return waiting.result()

    assert run_virtual(run()) is False
