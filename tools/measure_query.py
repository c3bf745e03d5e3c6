"""Measure the CPU time of a query without HTTP, at several numbers of shards.

A fake in the same process replies to sub-requests, so the figure covers only the
entry host's work: admission, choice of replicas, gathering, crash guard and merging.
"""

import asyncio
import dataclasses
import time
from typing import Any

from kingcuplug_query import SubRequest
from kingcuplug_testkit import QueryHarness, make_query, make_reply

_SHARD_COUNTS = (6, 15, 41, 82)
_QUERY_COUNT = 300
_SERVER_COUNT = 9


async def _reply_immediately(request: SubRequest) -> Any:
    await asyncio.sleep(0)
    return make_reply(request)


async def _cpu_us_per_query(shard_count: int) -> float:
    """Return the CPU time per query in microseconds."""
    world = QueryHarness()
    world.add_service(
        "stock", servers=_SERVER_COUNT, shard_count=shard_count, canary="always"
    )
    views = [dataclasses.replace(v, slots=1_000) for v in world.servers["stock"]]
    world.services["stock"].router.update(views, 1)
    world.handlers = {f"stock-{n}": _reply_immediately for n in range(_SERVER_COUNT)}
    executor, view = world.query_executor(), world.revision_view()
    for _ in range(20):
        await executor.run(make_query(), view)
    started = time.process_time()
    for _ in range(_QUERY_COUNT):
        await executor.run(make_query(), view)
    return (time.process_time() - started) / _QUERY_COUNT * 1e6


def main() -> None:
    """Print one line per number of shards, and the slope."""
    results = {count: asyncio.run(_cpu_us_per_query(count)) for count in _SHARD_COUNTS}
    for count, spent_us in results.items():
        print(f"query shards={count}: {spent_us:.0f} us CPU")
    first, last = _SHARD_COUNTS[0], _SHARD_COUNTS[-1]
    slope_us = (results[last] - results[first]) / (last - first)
    print(f"slope: {slope_us:.1f} us per sub-request")


if __name__ == "__main__":
    main()
