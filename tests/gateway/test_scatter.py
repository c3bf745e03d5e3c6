"""Queries over many shards: what is merged, what is left out, when it is said."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_gateway import RECORD_BYTES, merge_records
from kingcuplug_http import Request, Response

from .conftest import make_route, sealed

SHARDS = ("s0", "s1", "s2", "s3")


def record(letter: str) -> bytes:
    """Return one record."""
    return letter.encode() * RECORD_BYTES


def _part(*letters: str, rest: bytes = b""):
    async def answer(request: Request) -> Response:
        return sealed(b"".join(map(record, letters)) + rest)

    return answer


async def _broken(request: Request) -> Response:
    return sealed(record("z"), status=500)


async def _silent(request: Request) -> Response:
    await asyncio.sleep(60)
    return sealed()


def _headers(response: Response) -> dict[bytes, bytes]:
    return dict(response.headers)


def _ask(open_world, scripts, **fields) -> Response:
    async def run() -> Response:
        async with open_world() as world:
            for shard, script in zip(SHARDS, scripts, strict=True):
                await world.add(shard, script)
            world.adopt(make_route(services=(), shards=SHARDS, **fields))
            return await world.ask()

    return asyncio.run(run())


def test_whole_answer_holds_the_greatest_records_of_all_parts(open_world):
    """Guards against an answer that is not the merge of the parts it names."""
    scripts = [_part("a", "z"), _part("c", rest=b"odd"), _part("z"), _part("b", "d")]
    response = _ask(open_world, scripts)
    assert response.status == 200
    assert response.body == b"".join(map(record, "zzdcb"))
    assert len(_headers(response)[b"Seals"].split(b",")) == 4
    assert _headers(response)[b"Missing"] == b"0"


@pytest.mark.parametrize("bad", [_broken, _silent])
def test_missing_part_is_stated_and_its_records_left_out(open_world, bad):
    """Guards against a partial answer that looks whole."""
    scripts = [_part("a"), bad, _part("b"), _part("c")]
    response = _ask(open_world, scripts, target_ms=100, timeout_ms=600)
    assert response.status == 200
    assert response.body == b"".join(map(record, "cba"))
    assert len(_headers(response)[b"Seals"].split(b",")) == 3
    assert _headers(response)[b"Missing"] == b"1"


def test_too_few_parts_are_no_answer(open_world):
    """Guards against a success below the route's minimum."""
    scripts = [_part("a"), _broken, _broken, _part("b")]
    response = _ask(open_world, scripts, minimum_coverage=0.75)
    assert response.status == 502


def test_query_that_ran_out_of_time_ends_in_504(open_world):
    """Guards against a status that hides whether time or servers were missing."""
    scripts = [_part("a"), _silent, _silent, _part("b")]
    response = _ask(open_world, scripts, minimum_coverage=0.75, timeout_ms=150)
    assert response.status == 504


def test_query_is_refused_at_once_if_too_many_shards_have_no_server(open_world):
    """Guards against work on a query that cannot reach its minimum."""

    async def run() -> tuple[Response, int]:
        async with open_world() as world:
            server = await world.add("s0", _part("a"))
            world.adopt(make_route(services=(), shards=SHARDS, minimum_coverage=0.75))
            return await world.ask(), len(world.asked[server])

    response, asked = asyncio.run(run())
    assert response.status == 503
    assert asked == 0


def test_all_parts_come_from_the_shards_of_one_version(open_world):
    """Guards against mixing shards when the routes change under a query."""
    begun = asyncio.Event()
    go_on = asyncio.Event()

    async def held(request: Request) -> Response:
        begun.set()
        await go_on.wait()
        return sealed(record("h"))

    async def run() -> tuple[Response, int]:
        async with open_world() as world:
            await world.add("s0", held)
            await world.add("s1", _part("a"))
            new = await world.add("s2", _part("n"))
            world.adopt(make_route(services=(), shards=("s0", "s1"), target_ms=5_000))
            asking = asyncio.ensure_future(world.ask(left_ms="9000"))
            await begun.wait()
            world.adopt(make_route(services=(), shards=("s1", "s2")), version=2)
            go_on.set()
            return await asking, len(world.asked[new])

    response, asked_new = asyncio.run(run())
    assert response.body == record("h") + record("a")
    assert asked_new == 0


def test_stalled_part_is_asked_again_at_another_replica(open_world):
    """Guards against a query that waits for one server's pause."""

    async def run() -> Response:
        async with open_world() as world:
            await world.add("s0", _silent)
            await world.add("s0", _part("a"))
            world.adopt(
                make_route(services=(), shards=("s0",), timeout_ms=3_000, target_ms=60)
            )
            responses = [await world.ask() for _ in range(4)]
            return responses[-1]

    assert asyncio.run(run()).body == record("a")


@given(
    st.lists(st.lists(st.binary(min_size=16, max_size=16), max_size=6), max_size=6),
    st.integers(0, 20),
)
def test_merge_equals_a_full_sort(parts, top):
    """Guards against a merge that drops equal or misplaces unequal records."""
    merged = merge_records([b"".join(part) + b"tail" for part in parts], top)
    everything = sorted((r for part in parts for r in part), reverse=True)
    assert merged == b"".join(everything[:top])


def test_last_shard_is_asked_again_soon_after_the_others_have_answered(open_world):
    """Guards against waiting for a fixed time while all other parts are in."""
    asked_at: list[float] = []

    async def stalling(request: Request) -> Response:
        asked_at.append(asyncio.get_running_loop().time())
        if len(asked_at) == 1:
            await asyncio.sleep(60)
        return sealed(record("a"))

    async def run() -> Response:
        async with open_world() as world:
            for shard in SHARDS[1:]:
                await world.add(shard, _part("b"))
            await world.add("s0", stalling)
            await world.add("s0", stalling)
            world.adopt(
                make_route(
                    services=(),
                    shards=SHARDS,
                    minimum_coverage=1.0,
                    target_ms=60_000,
                    timeout_ms=90_000,
                )
            )
            return await world.ask()

    response = asyncio.run(run())
    assert response.body.startswith(record("b"))
    assert _headers(response)[b"Missing"] == b"0"
