"""Scatter-gather queries: merging, partial answers and response statuses."""

import asyncio
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_gateway import RECORD_BYTES, merge_records
from kingcuplug_http import Request, Response

from .conftest import make_route, signed_response

SHARDS = ("s0", "s1", "s2", "s3")


def record(letter: str) -> bytes:
    """Return one record."""
    return letter.encode() * RECORD_BYTES


def _respond_records(*letters: str, trailing: bytes = b""):
    async def respond(request: Request) -> Response:
        return signed_response(b"".join(map(record, letters)) + trailing)

    return respond


async def _respond_error(request: Request) -> Response:
    return signed_response(record("z"), status=500)


async def _never_respond(request: Request) -> Response:
    await asyncio.sleep(60)
    return signed_response()


def _headers(response: Response) -> dict[bytes, bytes]:
    return dict(response.headers)


def _send_query(open_gateway, handlers, **fields) -> Response:
    async def run() -> Response:
        async with open_gateway() as harness:
            for shard, handler in zip(SHARDS, handlers, strict=True):
                await harness.add_server(shard, handler)
            harness.set_routes(make_route(services=(), shards=SHARDS, **fields))
            return await harness.send()

    return asyncio.run(run())


def test_complete_answer_holds_the_greatest_records_of_all_parts(open_gateway):
    """Guards against an answer that differs from the merge of the parts it lists."""
    handlers = [
        _respond_records("a", "z"),
        _respond_records("c", trailing=b"odd"),
        _respond_records("z"),
        _respond_records("b", "d"),
    ]
    response = _send_query(open_gateway, handlers)
    assert response.status == 200
    assert response.body == b"".join(map(record, "zzdcb"))
    assert len(_headers(response)[b"Seals"].split(b",")) == 4
    assert _headers(response)[b"Missing"] == b"0"


@pytest.mark.parametrize("bad", [_respond_error, _never_respond])
def test_missing_part_is_reported_and_its_records_are_excluded(open_gateway, bad):
    """Guards against a partial answer that is reported as complete."""
    handlers = [
        _respond_records("a"),
        bad,
        _respond_records("b"),
        _respond_records("c"),
    ]
    response = _send_query(open_gateway, handlers, target_ms=100, timeout_ms=600)
    assert response.status == 200
    assert response.body == b"".join(map(record, "cba"))
    assert len(_headers(response)[b"Seals"].split(b",")) == 3
    assert _headers(response)[b"Missing"] == b"1"


def test_too_few_parts_lead_to_502(open_gateway):
    """Guards against a success status below the route's minimum coverage."""
    handlers = [
        _respond_records("a"),
        _respond_error,
        _respond_error,
        _respond_records("b"),
    ]
    response = _send_query(open_gateway, handlers, minimum_coverage=0.75)
    assert response.status == 502


def test_query_past_its_deadline_leads_to_504(open_gateway):
    """Guards against the same status for a timeout as for failed servers."""
    handlers = [
        _respond_records("a"),
        _never_respond,
        _never_respond,
        _respond_records("b"),
    ]
    response = _send_query(
        open_gateway, handlers, minimum_coverage=0.75, timeout_ms=150
    )
    assert response.status == 504


def test_query_is_refused_at_once_if_too_many_shards_have_no_server(open_gateway):
    """Guards against running a query that cannot reach its minimum coverage."""

    async def run() -> tuple[Response, int]:
        async with open_gateway() as harness:
            server = await harness.add_server("s0", _respond_records("a"))
            harness.set_routes(
                make_route(services=(), shards=SHARDS, minimum_coverage=0.75)
            )
            return await harness.send(), len(harness.received[server])

    response, request_count = asyncio.run(run())
    assert response.status == 503
    assert request_count == 0


def test_all_parts_come_from_one_version_of_the_route(open_gateway):
    """Guards against mixing shards when the routes change during a query."""
    started = asyncio.Event()
    may_respond = asyncio.Event()

    async def respond_when_allowed(request: Request) -> Response:
        started.set()
        await may_respond.wait()
        return signed_response(record("h"))

    async def run() -> tuple[Response, int]:
        async with open_gateway() as harness:
            await harness.add_server("s0", respond_when_allowed)
            await harness.add_server("s1", _respond_records("a"))
            new_server = await harness.add_server("s2", _respond_records("n"))
            harness.set_routes(
                make_route(services=(), shards=("s0", "s1"), target_ms=5_000)
            )
            pending_response = asyncio.ensure_future(harness.send(left_ms="9000"))
            await started.wait()
            harness.set_routes(make_route(services=(), shards=("s1", "s2")), version=2)
            may_respond.set()
            return await pending_response, len(harness.received[new_server])

    response, new_server_requests = asyncio.run(run())
    assert response.body == record("h") + record("a")
    assert new_server_requests == 0


def test_request_to_a_stalled_shard_is_hedged_at_another_replica(open_gateway):
    """Guards against a query that waits for one stalled server."""

    async def run() -> Response:
        async with open_gateway() as harness:
            await harness.add_server("s0", _never_respond)
            await harness.add_server("s0", _respond_records("a"))
            harness.set_routes(
                make_route(services=(), shards=("s0",), timeout_ms=3_000, target_ms=60)
            )
            responses = [await harness.send() for _ in range(4)]
            return responses[-1]

    assert asyncio.run(run()).body == record("a")


@given(
    st.lists(st.lists(st.binary(min_size=16, max_size=16), max_size=6), max_size=6),
    st.integers(0, 20),
)
def test_merge_equals_a_full_sort(parts, top):
    """Guards against a merge that drops equal or misplaces unequal records."""
    merged = merge_records([b"".join(part) + b"tail" for part in parts], top)
    all_records = sorted((r for part in parts for r in part), reverse=True)
    assert merged == b"".join(all_records[:top])


def test_last_shard_is_hedged_soon_after_the_others_have_responded(open_gateway):
    """Guards against a fixed hedging delay when all other parts have arrived."""
    request_times: list[float] = []

    async def stall_first_request(request: Request) -> Response:
        request_times.append(asyncio.get_running_loop().time())
        if len(request_times) == 1:
            await asyncio.sleep(60)
        return signed_response(record("a"))

    async def run() -> Response:
        async with open_gateway() as harness:
            for shard in SHARDS[1:]:
                await harness.add_server(shard, _respond_records("b"))
            await harness.add_server("s0", stall_first_request)
            await harness.add_server("s0", stall_first_request)
            harness.set_routes(
                make_route(
                    services=(),
                    shards=SHARDS,
                    minimum_coverage=1.0,
                    target_ms=60_000,
                    timeout_ms=90_000,
                )
            )
            return await harness.send()

    response = asyncio.run(run())
    assert response.body.startswith(record("b"))
    assert _headers(response)[b"Missing"] == b"0"


def test_large_parts_are_not_kept_until_the_last_one_arrives(open_gateway):
    """Guards against a query that keeps whole bodies of all shards in memory."""
    large = record("a") * 200_000 + record("z") + record("b") * 200_000
    kept_bytes = []

    async def respond_large(request: Request) -> Response:
        return signed_response(large)

    async def respond_last(request: Request) -> Response:
        await asyncio.sleep(2)
        kept_bytes.append(tracemalloc.get_traced_memory()[0])
        return signed_response(record("y"))

    tracemalloc.start()
    try:
        response = _send_query(
            open_gateway,
            [respond_large, respond_large, respond_large, respond_last],
            minimum_coverage=1.0,
            target_ms=8_000,
            timeout_ms=9_000,
        )
    finally:
        tracemalloc.stop()
    assert response.body == b"".join(map(record, "zzzyb"))
    assert kept_bytes[0] < len(large)
