"""What callers are told, for each way in which an attempt can end."""

import asyncio

import pytest
from kingcuplug_http import Response

from .conftest import make_route, signed_response

_NOT_RUN_STATUSES = (408, 421, 429, 503)

# What a server does with each request, whether it has run it, and the status that a
# caller gets; docs/decisions/overload.md has the same table.
_ENDS = {
    "answers": (signed_response(b"done"), True, 200),
    "fails with 500": (signed_response(status=500), True, 500),
    "fails with 504": (signed_response(status=504), True, 504),
    "fails with 408": (signed_response(status=408), True, 502),
    "fails with 429": (signed_response(status=429), True, 502),
    "fails with 503": (signed_response(status=503), True, 502),
    "fails unsigned": (Response(503, [], b""), True, 502),
    "answers unsigned": (Response(200, [], b"done"), True, 502),
    "rejects with 503": (Response(503, [(b"Unrun", b"1")], b""), False, 503),
    "rejects with 429": (Response(429, [(b"Unrun", b"1")], b""), False, 503),
    "rejects with 400": (Response(400, [(b"Unrun", b"1")], b""), False, 503),
    "is another server": (Response(421, [], b""), False, 503),
    "closes the connection": (None, True, 502),
}


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("repeatable", [True, False])
def test_status_states_whether_the_request_may_have_run(open_gateway, end, repeatable):
    """Guards against telling a caller to repeat an order that has run."""
    response, has_run, expected_status = _ENDS[end]

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route(repeatable=repeatable))

            async def handle(request):
                if response is None:
                    for connection in tuple(harness.listeners[0].connections):
                        connection.abort()
                    await asyncio.sleep(1)
                return Response(response.status, list(response.headers), response.body)

            await harness.add_server("stock", handle)
            answer = await harness.send(method="GET" if repeatable else "POST")
            assert answer.status == expected_status
            if has_run:
                assert answer.status not in _NOT_RUN_STATUSES
            signed = answer.header(b"seal") is not None
            assert not signed or answer.status == response.status

    asyncio.run(scenario())


def test_status_of_a_request_at_a_server_that_refuses_connections(open_gateway):
    """Guards against an unknown outcome where nothing was sent."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route(repeatable=False))
            harness.register_server("stock-0", "stock", "127.0.0.1:1")
            assert (await harness.send(method="POST")).status == 503

    asyncio.run(scenario())
