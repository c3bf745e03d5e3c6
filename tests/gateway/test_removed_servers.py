"""Requests that wait for a connection to a server which is removed or moved."""

import asyncio
import dataclasses

import pytest
from kingcuplug_http import Request, Response

from .conftest import make_route, signed_response

_BODY = b"0123456789abcdef"


class _SlowServer:
    """Answers its first request when it is told to, and later ones at once."""

    def __init__(self) -> None:
        self.begun, self.gate = asyncio.Event(), asyncio.Event()

    async def respond(self, request: Request) -> Response:
        self.begun.set()
        await self.gate.wait()
        return signed_response(_BODY)


async def _respond(request: Request) -> Response:
    return signed_response(_BODY)


async def _send_two(harness, slow: _SlowServer) -> list[asyncio.Task[Response]]:
    """Send a request that runs and one that waits for the only connection."""
    harness.gateway.servers.set_connection_limits({"stock": 1}, 1)
    running = asyncio.ensure_future(harness.send())
    await slow.begun.wait()
    waiting = asyncio.ensure_future(harness.send())
    await asyncio.sleep(0.02)
    return [running, waiting]


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("change", ["removed", "moved"])
def test_request_that_waits_for_a_removed_server_goes_elsewhere(
    open_gateway, change, idempotent
):
    # Guards against a request that reaches a server seconds after a host acknowledged
    # that it drains, or its former address, because it waited for a connection.
    async def main() -> None:
        async with open_gateway() as harness:
            slow = _SlowServer()
            harness.set_routes(make_route(target_ms=2_000, repeatable=idempotent))
            drained = await harness.add_server("stock", slow.respond)
            running, waiting = await _send_two(harness, slow)
            other = await harness.add_server("stock", _respond)
            info, other_info = harness.server_infos
            moved = dataclasses.replace(info, address=other_info.address)
            harness.gateway.update_fleet(
                [other_info] if change == "removed" else [moved, other_info], hosts=1
            )
            assert (await waiting).status == 200
            slow.gate.set()
            assert (await running).status == 200
            assert len(harness.received[drained]) == 1
            assert len(harness.received[other]) == 1

    asyncio.run(main())


def test_request_that_waits_goes_to_a_server_of_the_same_update(open_gateway):
    # Guards against a refusal where the replacement is announced with the removal.
    async def main() -> None:
        async with open_gateway() as harness:
            slow = _SlowServer()
            harness.set_routes(make_route(target_ms=2_000))
            await harness.add_server("stock", slow.respond)
            running, waiting = await _send_two(harness, slow)
            infos = list(harness.server_infos)
            other = await harness.add_server("stock", _respond)
            harness.gateway.update_fleet(infos, hosts=1)
            harness.gateway.update_fleet([harness.server_infos[1]], hosts=1)
            assert (await waiting).status == 200
            assert len(harness.received[other]) == 1
            slow.gate.set()
            await running

    asyncio.run(main())


def test_request_that_waits_for_the_last_server_is_refused_at_once(open_gateway):
    # Guards against holding a request that no server is left for.
    async def main() -> None:
        async with open_gateway() as harness:
            slow = _SlowServer()
            harness.set_routes(make_route(target_ms=2_000))
            drained = await harness.add_server("stock", slow.respond)
            running, waiting = await _send_two(harness, slow)
            harness.gateway.update_fleet([], hosts=1)
            async with asyncio.timeout(0.5):
                assert (await waiting).status == 503
            slow.gate.set()
            assert (await running).status == 200
            assert len(harness.received[drained]) == 1

    asyncio.run(main())
