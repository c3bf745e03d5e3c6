"""Signals that arrive while a host starts."""

import asyncio
import dataclasses
import os
import signal

from kingcuplug_common import EventLog
from kingcuplug_node import Host

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings


def test_reload_that_arrived_during_the_start_is_done():
    """Guards against a host that keeps seeds which were replaced while it started."""
    new_seeds = ("127.0.0.1:2",)

    async def run() -> tuple[str, ...]:
        settings = make_settings()
        log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
        replaced = dataclasses.replace(settings, seeds=new_seeds)
        host = Host(
            settings, HEADER_NAMES, lambda text: ROUTE_TABLE, lambda: replaced, log
        )
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        # To this thread: others, of earlier tests, have not blocked the signal.
        signal.raise_signal(signal.SIGHUP)
        task = asyncio.ensure_future(host.run(None))
        await asyncio.sleep(0.2)
        seeds = host._settings.seeds
        host._stop_requested.set()
        await task
        return seeds

    try:
        assert asyncio.run(run()) == new_seeds
    finally:
        signal.sigtimedwait({signal.SIGHUP}, 0)  # It would end the test process.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
