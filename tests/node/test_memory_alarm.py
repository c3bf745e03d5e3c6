"""When the memory of a process is worth a line in the log."""

import asyncio
import os

import orjson
from kingcuplug_common import EventLog
from kingcuplug_http import MemoryBudget
from kingcuplug_node import Host, _host
from kingcuplug_node._memory_alarm import MemoryAlarm, MemoryLevel

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings


def test_memory_that_varies_around_the_bound_is_reported_once():
    """Guards against a log that fills while memory stays close to the limit."""
    alarm = MemoryAlarm(100)
    changes = [alarm.update(resident) for resident in (50, 76, 74, 80, 70, 90)]
    assert changes == [False, True, False, False, False, False]
    assert alarm.level is MemoryLevel.HIGH
    assert alarm.update(64)
    assert alarm.level is MemoryLevel.NORMAL
    assert not alarm.update(70)


def test_high_memory_is_logged_at_once_with_what_is_buffered(monkeypatch):
    """Guards against a process killed for its memory whose log does not say so."""
    levels = iter([10_000_000, 90_000_000, 95_000_000, 20_000_000])
    monkeypatch.setattr(_host, "resident_bytes", lambda: next(levels, None))
    monkeypatch.setattr(_host, "process_budget", budget := MemoryBudget())
    monkeypatch.setattr(_host, "_MEMORY_POLL_INTERVAL_S", 0.001)

    async def run() -> list[dict]:
        reader, writer = os.pipe()
        log = EventLog(writer, "host")
        host = Host(
            make_settings(memory_mb=100),
            HEADER_NAMES,
            lambda document: ROUTE_TABLE,
            lambda: None,
            log,
        )
        task = asyncio.create_task(host._watch_memory())
        await asyncio.sleep(0.1)
        assert not budget.may_serve(budget.max_bytes)
        await asyncio.sleep(0.1)
        task.cancel()
        log.flush()
        os.close(writer)
        with os.fdopen(reader, "rb") as lines:
            return [orjson.loads(line) for line in lines]

    high, normal, refused = asyncio.run(run())
    assert (high["event"], normal["event"]) == ("memory_high", "memory_normal")
    assert (refused["event"], refused["count"]) == ("memory_refused", 1)
    assert high["resident_bytes"] == 90_000_000
    assert high["limit_bytes"] == 100_000_000
    assert high["buffered_request_bytes"] == 0
