"""Queries that may crash the servers that run them."""

import asyncio
from collections.abc import Callable
from random import Random

from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._scatter import ScatterQuery
from kingcuplug_gateway._service_call import ServiceCall

__all__ = ["call_shards_in_turn"]

# Makes the call to a shard from its name, the maximum number of attempts and the
# callback for the call's end.
_MakeCall = Callable[[str, int, Callable[[ServiceCall], None]], ServiceCall]


async def call_shards_in_turn(
    route: Route, scatter: ScatterQuery, make_call: _MakeCall, random: Random
) -> None:
    """Send a query to one shard at a time until a server answers, then to all others.

    It ends when a server is lost: the query otherwise crashes a server of each shard
    each time that it comes again.
    """
    shards = list(route.shards)
    random.shuffle(shards)
    while shards:
        call = await _run_call(shards.pop(), scatter, make_call)
        if call.result.answered:
            break
        if call.result.lost_servers:
            scatter.mark_missing(len(shards))
            return
    scatter.call_shards(
        lambda shard: make_call(shard, route.max_attempts, scatter.on_call_finished),
        shards,
    )


async def _run_call(
    shard: str, scatter: ScatterQuery, make_call: _MakeCall
) -> ServiceCall:
    """Send a query to one server of a shard, and wait for the end of that attempt."""
    finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def on_finished(call: ServiceCall) -> None:
        scatter.on_call_finished(call)
        if not finished.done():
            finished.set_result(None)

    call = make_call(shard, 1, on_finished)
    scatter.call_shards(lambda _: call, (shard,))
    await finished
    return call
