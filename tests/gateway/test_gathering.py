"""Queries whose parts another host gathers."""

import asyncio
import json
import socket
from contextlib import asynccontextmanager

import pytest
from kingcuplug_common import KingcuplugError
from kingcuplug_gateway import RECORD_BYTES, NotGathering
from kingcuplug_gateway._gather_messages import Begin
from kingcuplug_http import Limits, Listener, Request, Response

from .conftest import make_route, sealed

SHARDS = ("s0", "s1", "s2", "s3")
FIELDS = {"services": (), "shards": SHARDS, "target_ms": 400, "timeout_ms": 2_000}


def record(letter: str) -> bytes:
    """Return one record."""
    return letter.encode() * RECORD_BYTES


def _part(*letters: str, delay_s: float = 0.0):
    async def answer(request: Request) -> Response:
        await asyncio.sleep(delay_s)
        return sealed(b"".join(map(record, letters)))

    return answer


async def _broken(request: Request) -> Response:
    return sealed(status=500)


class Silent(KingcuplugError):
    """The gatherer did not answer."""


@asynccontextmanager
async def _pair(open_world):
    """Open a host with a narrow link and one that gathers for it."""
    async with open_world() as wide, open_world(link_mbps=7.0) as narrow:
        calls = []

        async def ask(address, value, timeout_s):
            calls.append(value[0])
            try:
                async with asyncio.timeout(timeout_s):
                    return await wide.gateway.gather(value)
            except TimeoutError as error:
                raise Silent("no answer", "ask the shards") from error

        narrow.gateway._ask_peer = ask
        narrow.calls, narrow.wide = calls, wide
        yield narrow


async def _add(narrow, service, script):
    """Start a server that both hosts know; return its id."""
    identifier = await narrow.add(service, script)
    address = narrow.known[-1].address
    narrow.wide.know(identifier, service, address)
    for world in (narrow, narrow.wide):
        world.gateway.use(world.known, hosts=1, gatherers={"z": ["wide"]})
    return identifier


def _adopt(narrow, **fields):
    for world in (narrow, narrow.wide):
        world.adopt(make_route(**(FIELDS | fields)))


def test_gathered_answer_is_the_merge_of_all_parts(open_world):
    """Guards against records or seals that get lost on the way."""

    async def run() -> None:
        async with _pair(open_world) as narrow:
            scripts = [_part("a", "z"), _part("c"), _part("z"), _part("b", "d")]
            for shard, script in zip(SHARDS, scripts, strict=True):
                await _add(narrow, shard, script)
            _adopt(narrow)
            response = await narrow.ask()
            headers = dict(response.headers)
            assert response.status == 200
            assert response.body == b"".join(map(record, "zzdcb"))
            assert len(set(headers[b"Seals"].split(b", "))) == 4
            assert headers[b"Missing"] == b"0"
            assert narrow.calls == ["begin"]
            assert all(len(asked) == 1 for asked in narrow.asked.values())

    asyncio.run(run())


def test_stalled_shard_is_asked_again_by_the_gatherer(open_world):
    """Guards against a gathered query that waits for one server that stalls."""

    async def run() -> None:
        async with _pair(open_world) as narrow:
            for shard in SHARDS[1:]:
                await _add(narrow, shard, _part("a"))
            for _ in range(2):
                first = True

                async def stall_once(request: Request) -> Response:
                    nonlocal first
                    if first:
                        first = False
                        await asyncio.sleep(5.0)
                    return sealed(record("k"))

                await _add(narrow, "s0", stall_once)
            _adopt(narrow, minimum_coverage=1.0, timeout_ms=4_000)
            response = await narrow.ask()
            assert response.status == 200
            assert dict(response.headers)[b"Missing"] == b"0"
            assert narrow.calls[:2] == ["begin", "rest"]
            asked = [len(v) for k, v in narrow.asked.items() if k.startswith("s0")]
            assert sum(asked) <= 2

    asyncio.run(run())


def test_host_asks_itself_when_the_gatherer_is_silent(open_world):
    """Guards against queries that die with their gatherer.

    The gatherer may have sent first attempts, so each shard is asked once more.
    """

    async def run() -> None:
        async with _pair(open_world) as narrow:
            for shard in SHARDS:
                await _add(narrow, shard, _part("a"))
            _adopt(narrow)
            answer = narrow.wide.gateway.gather

            async def frozen(value):
                await answer(value)
                await asyncio.sleep(60)

            narrow.wide.gateway.gather = frozen
            response = await narrow.ask()
            assert response.status == 200
            assert dict(response.headers)[b"Missing"] == b"0"
            assert [len(asked) for asked in narrow.asked.values()] == [2] * 4
            # The next query goes around the gatherer at once.
            assert (await narrow.ask()).status == 200
            assert narrow.calls == ["begin"]

    asyncio.run(run())


def test_refusal_of_a_gatherer_costs_no_attempt(open_world):
    """Guards against a stopping gatherer that leaves each shard one attempt less."""

    async def run() -> None:
        async with _pair(open_world) as narrow:
            for shard in SHARDS[1:]:
                await _add(narrow, shard, _part("a"))
            await _add(narrow, "s0", _broken)
            await _add(narrow, "s0", _part("k"))
            _adopt(narrow, minimum_coverage=1.0)

            async def refuse(value):
                raise NotGathering("the host is stopping")

            narrow.wide.gateway.gather = refuse
            assert (await narrow.ask()).status == 200
            assert (await narrow.ask()).status == 200
            assert narrow.calls == ["begin"]

    asyncio.run(run())


def test_gatherer_that_is_lost_before_the_rest_leaves_a_true_partial_answer(
    open_world,
):
    """Guards against waiting for a gatherer that died between two answers."""

    async def run() -> None:
        async with _pair(open_world) as narrow:
            for shard in SHARDS[1:]:
                await _add(narrow, shard, _part("a"))
            await _add(narrow, "s0", _part("k", delay_s=3.0))
            _adopt(narrow, minimum_coverage=0.75)
            answer = narrow.wide.gateway.gather

            async def lost(value):
                if value[0] == "rest":
                    raise NotGathering("gone")
                return await answer(value)

            narrow.wide.gateway.gather = lost
            response = await narrow.ask()
            assert response.status == 200
            assert dict(response.headers)[b"Missing"] == b"1"
            assert response.body == record("a") * 3

    asyncio.run(run())


def test_late_gathered_part_is_waited_for_as_long_as_it_is_of_use(open_world):
    """Guards against failing a query whose last needed part is only late."""

    async def run() -> None:
        async with _pair(open_world) as narrow:
            for shard in SHARDS[1:]:
                await _add(narrow, shard, _part("a"))
            await _add(narrow, "s0", _part("k", delay_s=0.8))
            _adopt(narrow, minimum_coverage=1.0, target_ms=100)
            response = await narrow.ask()
            assert response.status == 200
            assert response.body.startswith(record("k"))

    asyncio.run(run())


def test_failed_shards_are_told_and_counted(open_world):
    """Guards against a gathered answer that hides a shard that failed."""

    async def run() -> None:
        async with _pair(open_world) as narrow:
            for shard in SHARDS[1:]:
                await _add(narrow, shard, _part("a"))
            await _add(narrow, "s0", _broken)
            _adopt(narrow, minimum_coverage=0.75)
            response = await narrow.ask()
            assert response.status == 200
            assert dict(response.headers)[b"Missing"] == b"1"
            _adopt(narrow, minimum_coverage=1.0)

    asyncio.run(run())


def test_gatherer_drops_the_work_of_a_caller_that_left(open_world):
    """Guards against servers that work on for a caller who is gone."""

    async def run() -> None:
        async with _pair(open_world) as narrow:
            dropped = 0

            async def slow(request: Request) -> Response:
                nonlocal dropped
                try:
                    await asyncio.sleep(30)
                except asyncio.CancelledError:
                    dropped += 1
                    raise
                return sealed()

            for shard in SHARDS:
                await _add(narrow, shard, slow)
            _adopt(narrow)
            caller = asyncio.ensure_future(narrow.ask())
            await asyncio.sleep(0.1)
            caller.cancel()
            await asyncio.sleep(0.2)
            assert dropped == len(SHARDS)

    asyncio.run(run())


def test_stopping_gatherer_ends_what_it_has_begun(open_world):
    """Guards against parts that are lost when their gatherer gets SIGTERM."""

    async def run() -> None:
        async with _pair(open_world) as narrow:
            for shard in SHARDS[1:]:
                await _add(narrow, shard, _part("a"))
            await _add(narrow, "s0", _part("k", delay_s=0.3))
            _adopt(narrow, minimum_coverage=1.0)
            answer = narrow.wide.gateway.gather

            async def stopping(value):
                return await answer(value, begins=value[0] == "begin")

            narrow.wide.gateway.gather = stopping
            response = await narrow.ask()
            assert response.status == 200
            assert dict(response.headers)[b"Missing"] == b"0"
            assert len(narrow.asked["s0-3"]) == 1
            begin = Begin("g", "r", SHARDS, b"", b"", b"t1", 900, 400, 2, 5)
            with pytest.raises(NotGathering):
                await answer(begin.to_json(), begins=False)

    asyncio.run(run())


def test_host_with_a_narrow_link_gathers_for_nobody(open_world):
    """Guards against small hosts that gather for each other."""

    async def run() -> None:
        async with open_world(link_mbps=7.0) as narrow:
            with pytest.raises(NotGathering):
                await narrow.gateway.gather(["rest", "x", 1.0])

    asyncio.run(run())


def test_question_withdrawn_before_it_is_read_reaches_no_server(open_world):
    """Guards against a gatherer that was suspended and then works for nobody.

    The question and the end of its connection lie in the socket when the gatherer
    goes on, as the host that asked gave up long ago.
    """

    async def run() -> None:
        async with open_world() as wide:
            for shard in SHARDS:
                await wide.add(shard, _part("a"))
            wide.adopt(make_route(**FIELDS))
            wide.gateway.use(wide.known, hosts=1, gatherers={"z": ["wide"]})
            begin = Begin(
                "g", "r", SHARDS, b"GET /x HTTP/1.1\r\n", b"", b"t1", 900, 400, 2, 5
            )

            async def answer(request: Request) -> Response:
                reply = await wide.gateway.gather(json.loads(request.body))
                return Response(200, [], json.dumps(reply).encode())

            made = []
            wide.gateway._gatherer._make_call = lambda *fields: made.append(fields)
            listener = Listener(answer, Limits)
            host, _, port = (await listener.start("127.0.0.1:0")).rpartition(":")
            body = json.dumps(begin.to_json()).encode()
            with socket.create_connection((host, int(port))) as withdrawn:
                head = f"POST /g HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
                withdrawn.sendall(head.encode() + body)
            await asyncio.sleep(0.3)
            await listener.stop()
            assert made == []

    asyncio.run(run())
