"""Requests that exceed what the servers answer in time."""

import asyncio

from kingcuplug_http import Request, Response
from kingcuplug_routing import concurrency_limits

from .conftest import make_route, signed_response


async def _respond_slowly(request: Request) -> Response:
    await asyncio.sleep(0.15)
    return signed_response(b"answer")


async def _send_and_time(harness) -> tuple[Response, float]:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    response = await harness.send(left_ms="2000")
    return response, loop.time() - started_at


def test_excess_requests_are_refused_at_once_and_have_not_run(open_gateway):
    """Guards against callers that are held for a refusal, or refused after a run."""

    async def run() -> None:
        async with open_gateway() as harness:
            server = await harness.add_server("stock", _respond_slowly)
            harness.set_routes(make_route(target_ms=200))
            limit = int(concurrency_limits(slots=3, hosts=1)[1])
            await asyncio.gather(*(harness.send() for _ in range(limit)))
            sent_before = len(harness.received[server])
            results = await asyncio.gather(
                *(_send_and_time(harness) for _ in range(4 * limit))
            )
            refused = [(r, held_s) for r, held_s in results if r.status == 503]
            served = [r for r, _ in results if r.status == 200]
            assert refused
            assert len(harness.received[server]) - sent_before == len(served)
            for response, held_s in refused:
                assert response.body == b"overloaded"
                assert float(dict(response.headers)[b"Retry-After"]) > 0
                assert held_s < 0.2

    asyncio.run(run())


def test_callers_that_leave_the_queue_free_their_places(open_gateway):
    """Guards against capacity that leaks when callers disconnect while they wait."""

    async def run() -> None:
        async with open_gateway() as harness:
            await harness.add_server("stock", _respond_slowly)
            harness.set_routes(make_route(target_ms=1_900))
            for _ in range(3):
                tasks = [asyncio.ensure_future(harness.send()) for _ in range(30)]
                await asyncio.sleep(0.05)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(0.4)
            assert (await harness.send()).status == 200
            limiter = harness.gateway.servers.pool("stock").limiter
            assert not limiter.saturated
            assert limiter._in_flight == 0

    asyncio.run(run())
