"""What servers say of themselves in the headers of their answers."""

import asyncio
import dataclasses

import pytest
from kingcuplug_gateway._signal_reader import parse_decimal
from kingcuplug_http import Request, Response

from .conftest import make_route, signed_response

_MALFORMED = ["", "-1", "+2", "nan", "inf", "1e3", "0x10", "1,5", "4 5", "9" * 400]


def _responder(status: int = 200, **headers: str):
    async def respond(request: Request) -> Response:
        if status == 503:
            pairs = [
                (n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()
            ]
            return Response(503, [(b"Unrun", b"1"), *pairs], b"")
        return signed_response(b"ok", status, **headers)

    return respond


_respond = _responder()
_respond_limited = _responder(limit="4")
_respond_leaving = _responder(leaving="1")


@pytest.mark.parametrize(
    ("text", "value"), [("0", 0.0), ("14.8", 14.8), ("250", 250.0), ("0.05", 0.05)]
)
def test_decimal_numbers_are_read(text, value):
    assert parse_decimal(text.encode()) == value


@pytest.mark.parametrize("text", _MALFORMED)
def test_other_values_are_not_read(text):
    # Guards against a server that is limited, or never asked again, by a malformed
    # header.
    assert parse_decimal(text.encode()) is None


def test_limit_holds_until_an_answer_does_not_name_it(open_gateway):
    answers = [{"limit": "14.8"}, {"limit": "9.5"}, {}]

    async def answer(request: Request) -> Response:
        return signed_response(b"ok", **answers[int(request.target[-1:])])

    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            server_id = await harness.add_server("stock", answer)
            server = harness.gateway.servers.pool("stock").servers[server_id]
            for index, expected in ((0, 14.8), (1, 9.5), (2, None), (0, 14.8)):
                response = await harness.send(f"/{index}")
                assert response.status == 200
                limit = server.signals.limit
                assert (limit.limit_per_s if limit else None) == expected
            assert harness.gateway.servers.limited_servers() == [server]

    asyncio.run(main())


@pytest.mark.parametrize("values", [["a lot"], ["3", "4"]])
def test_malformed_limit_is_ignored_and_the_answer_relayed(open_gateway, values):
    # Guards against an answer that is lost because of a header that only advises.
    async def answer(request: Request) -> Response:
        response = signed_response(b"ok")
        response.headers += [(b"Limit", value.encode()) for value in values]
        return response

    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            await harness.add_server("stock", answer)
            response = await harness.send()
            assert (response.status, response.body) == (200, b"ok")
            assert harness.gateway.servers.limited_servers() == []

    asyncio.run(main())


def _add_hosts(harness, hosts: int) -> None:
    harness.gateway.update_fleet(harness.server_infos, hosts=hosts)


def test_requests_beyond_a_limit_go_to_another_replica(open_gateway):
    # Guards against a server that gets more requests than it takes, while another
    # replica has room.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            limited = await harness.add_server("stock", _respond_limited)
            other = await harness.add_server("stock", _respond)
            server = harness.gateway.servers.pool("stock").servers[other]
            server.state.heartbeat_lost = True  # The limited one is preferred.
            responses = [await harness.send(f"/{index}") for index in range(60)]
            assert {response.status for response in responses} == {200}
            assert len(harness.received[limited]) <= 15
            assert len(harness.received[other]) >= 45
            assert harness.gateway.servers.pop_demand() == {limited: 59}

    asyncio.run(main())


def test_request_without_room_is_refused_until_there_is_room(open_gateway):
    # Guards against a refusal that names no time, or that comes at the deadline.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            await harness.add_server("stock", _respond_limited)
            _add_hosts(harness, 10)
            responses = [await harness.send(f"/{index}") for index in range(8)]
            refused = [r for r in responses if r.status == 503]
            assert len(refused) >= 5
            assert refused[-1].body == b"no_willing_server"
            wait_s = float(dict(refused[-1].headers)[b"Retry-After"])
            assert 0.3 < wait_s < 4.0

    asyncio.run(main())


def test_query_is_answered_without_the_shard_that_has_no_room(open_gateway):
    # Guards against a whole query that is refused, or waits, for one limited shard.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route(services=(), shards=("s0", "s1", "s2")))
            for shard in ("s0", "s1"):
                await harness.add_server(shard, _respond)
            limited = await harness.add_server("s2", _respond_limited)
            _add_hosts(harness, 10)
            responses = [await harness.send(f"/{index}") for index in range(8)]
            assert {response.status for response in responses} == {200}
            missing = [dict(r.headers)[b"Missing"] for r in responses]
            assert missing.count(b"1") >= 5
            assert len(harness.received[limited]) <= 3

    asyncio.run(main())


def test_retries_leave_the_room_of_a_limited_server_to_first_attempts(open_gateway):
    # Guards against retries that use up what a limited server takes.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            limited = await harness.add_server("stock", _respond_limited)
            _add_hosts(harness, 10)
            await harness.send("/first")
            rejecting = await harness.add_server("stock", _responder(503))
            _add_hosts(harness, 10)
            state = harness.gateway.servers.pool("stock").servers[limited].state
            state.heartbeat_lost = True  # The rejecting one is preferred.
            for index in range(4):
                await harness.send(f"/{index}")
            first = [r for r in harness.received[limited] if r.target != b"/first"]
            assert len(harness.received[rejecting]) == 4
            assert len(first) <= 2

    asyncio.run(main())


def test_leaving_server_gets_no_more_requests(open_gateway):
    # Guards against requests to a server that leaves while control is out of reach.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            leaving = await harness.add_server("stock", _respond_leaving)
            await harness.send()
            other = await harness.add_server("stock", _respond)
            for _ in range(20):
                assert (await harness.send()).status == 200
            assert len(harness.received[leaving]) == 1
            assert len(harness.received[other]) == 20

    asyncio.run(main())


def test_leaving_server_that_is_announced_again_gets_no_requests(open_gateway):
    # Guards against a signal that is forgotten when the directory loses a server for a
    # moment, and one that outlives the incarnation that gave it.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            leaving = await harness.add_server("stock", _respond_leaving)
            await harness.send()
            info = harness.server_infos[0]
            for infos in ([], [info]):
                harness.gateway.update_fleet(infos, hosts=1)
            response = await harness.send()
            assert (response.status, response.body) == (503, b"no_willing_server")
            assert float(dict(response.headers)[b"Retry-After"]) < 1.0
            restarted = dataclasses.replace(info, start_ms=info.start_ms + 1)
            harness.gateway.update_fleet([restarted], hosts=1)
            assert (await harness.send()).status == 200
            assert len(harness.received[leaving]) == 2

    asyncio.run(main())


def test_leaving_server_that_gets_another_address_gets_no_requests(open_gateway):
    # Guards against a signal that is forgotten while its incarnation still runs.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            leaving = await harness.add_server("stock", _respond_leaving)
            await harness.send()
            other = await harness.add_server("checks", _respond)
            info, elsewhere = harness.server_infos
            moved = dataclasses.replace(info, address=elsewhere.address)
            harness.gateway.update_fleet([moved], hosts=1)
            assert (await harness.send()).body == b"no_willing_server"
            assert len(harness.received[leaving]) == 1
            assert not harness.received.get(other)

    asyncio.run(main())


def test_requests_that_wait_for_a_connection_leave_a_leaving_server(open_gateway):
    # Guards against requests that reach a server seconds after it has said it leaves.
    async def respond(request: Request) -> Response:
        await asyncio.sleep(0.1)
        return await _respond_leaving(request)

    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route(target_ms=2_000))
            leaving = await harness.add_server("stock", respond)
            harness.gateway.servers.set_connection_limits({"stock": 1}, 1)
            sent = [asyncio.ensure_future(harness.send()) for _ in range(4)]
            await asyncio.sleep(0.02)
            other = await harness.add_server("stock", _respond)
            assert {(await task).status for task in sent} == {200}
            assert len(harness.received[leaving]) == 1
            assert len(harness.received[other]) == 3

    asyncio.run(main())


def test_server_without_room_gets_no_requests_for_the_time_it_asked(open_gateway):
    # Guards against a host that keeps asking a server that wants to be left alone.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            handler = _responder(503, retry_after="0.6")
            paused = await harness.add_server("stock", handler)
            first = await harness.send()
            assert (first.status, first.body) == (503, b"no_room")
            refused = await harness.send()
            assert (refused.status, refused.body) == (503, b"no_willing_server")
            assert 0.4 < float(dict(refused.headers)[b"Retry-After"]) <= 0.6
            other = await harness.add_server("stock", _respond)
            for _ in range(20):
                assert (await harness.send()).status == 200
            assert len(harness.received[paused]) == 1
            assert len(harness.received[other]) == 20
            harness.gateway.update_fleet(harness.server_infos[:1], hosts=1)
            await asyncio.sleep(0.6)
            await harness.send()
            assert len(harness.received[paused]) == 2

    asyncio.run(main())


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, {"leaving": "0"}),
        (200, {"leaving": "yes"}),
        (200, {"retry_after": "30"}),
        (503, {"retry_after": "-3"}),
        (503, {"retry_after": "0"}),
        (503, {"retry_after": "Sat, 05 Dec 2026 00:00:00 GMT"}),
    ],
)
def test_signals_without_meaning_hold_no_requests_back(open_gateway, status, headers):
    # Guards against a service that is not asked any more because of a malformed header.
    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            server = await harness.add_server("stock", _responder(status, **headers))
            for _ in range(3):
                assert (await harness.send()).status == status
            assert len(harness.received[server]) == 3

    asyncio.run(main())


def test_unsigned_answer_ends_no_limit(open_gateway):
    # Guards against a limit that is dropped because of bytes that the server may not
    # have sent.
    answers = [signed_response(b"ok", limit="9"), Response(200, [], b"?")]

    async def respond(request: Request) -> Response:
        return answers.pop(0)

    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route(max_attempts=1))
            await harness.add_server("stock", respond)
            await harness.send()
            await harness.send()
            assert len(harness.gateway.servers.limited_servers()) == 1

    asyncio.run(main())


@pytest.mark.parametrize(("coverage", "asked"), [(0.5, False), (1.0, True)])
def test_query_does_not_wait_for_a_shard_whose_room_is_at_a_slow_replica(
    open_gateway, coverage, asked
):
    # Guards against queries that all wait to their target for one shard in need, and so
    # leave no room for others.
    async def main() -> None:
        async with open_gateway() as harness:
            route = make_route(
                services=(), shards=("s0", "s1", "s2"), minimum_coverage=coverage
            )
            harness.set_routes(route)
            for shard in ("s0", "s1", "s2"):
                limited = shard == "s2"
                await harness.add_server(
                    shard, _respond_limited if limited else _respond
                )
            slow = await harness.add_server("s2", _respond)
            _add_hosts(harness, 50)
            state = harness.gateway.servers.pool("s2").servers[slow].state
            state.heartbeat_lost = True  # Its answers are expected after the target.
            responses = [await harness.send(f"/{index}") for index in range(6)]
            assert {response.status for response in responses} == {200}
            missing = [dict(r.headers)[b"Missing"] for r in responses]
            assert (missing.count(b"1") >= 4) != asked
            metrics = harness.gateway._metrics.counts
            assert (metrics["attempts_withheld.too_slow"] >= 4) != asked
            assert (len(harness.received[slow]) >= 4) == asked

    asyncio.run(main())


@pytest.mark.parametrize("header", ["leaving", "limit"])
def test_signal_of_a_server_that_was_just_removed_is_kept(open_gateway, header):
    # Guards against a signal that is lost because its answer arrives while the
    # directory does not list the server.
    async def respond(request: Request) -> Response:
        await asyncio.sleep(0.1)
        return signed_response(b"ok", **{header: "1"})

    async def main() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            server_id = await harness.add_server("stock", respond)
            sent = asyncio.ensure_future(harness.send())
            await asyncio.sleep(0.05)
            harness.gateway.update_fleet([], hosts=1)
            assert (await sent).status == 200
            assert harness.gateway.servers.limited_servers() == []
            harness.gateway.update_fleet(harness.server_infos, hosts=1)
            servers = harness.gateway.servers
            signals = servers.pool("stock").servers[server_id].signals
            assert signals.leaving == (header == "leaving")
            assert (signals.limit is not None) == (header == "limit")
            assert len(servers.limited_servers()) == (header == "limit")
            restarted = dataclasses.replace(harness.server_infos[0], start_ms=9)
            harness.gateway.update_fleet([restarted], hosts=1)
            assert servers.pool("stock").servers[server_id].signals.is_empty
            assert servers.limited_servers() == []

    asyncio.run(main())
