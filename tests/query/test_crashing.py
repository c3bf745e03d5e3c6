"""A request that crashes servers is stopped; other requests are not."""

import asyncio
from typing import Any

import pytest
from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_query import ReplyLost, SubRequest
from kingcuplug_testkit import QueryHarness, make_query, make_reply, run_virtual

CRASHING_BODY = {"poison": True}


def _install_crashing_handlers(world: QueryHarness, crashed: list[str]) -> None:
    def make_handler(server: str) -> Any:
        async def handle(request: SubRequest) -> Any:
            await asyncio.sleep(0.005)
            if request.body == CRASHING_BODY:
                crashed.append(server)
                raise ReplyLost("broke", "look", server_unreachable=True)
            return make_reply(request)

        return handle

    for view in world.servers["stock"]:
        world.handlers[view.server] = make_handler(view.server)


def test_crashing_request_stops_after_two_servers(world: QueryHarness) -> None:
    # Guards against one request that crashes every replica of every shard.
    async def main() -> None:
        world.add_service("stock", servers=8, shard_count=8, canary="always")
        crashed: list[str] = []
        _install_crashing_handlers(world, crashed)
        with pytest.raises(Refusal) as caught:
            await world.query_executor().run(
                make_query(body=CRASHING_BODY), world.revision_view()
            )
        assert caught.value.reason is RefusalReason.CRASHING_REQUEST
        assert caught.value.kind is RefusalKind.OUTCOME_UNKNOWN
        assert len(set(crashed)) == 2
        # A resend with another id is refused before it reaches any server.
        with pytest.raises(Refusal) as caught:
            await world.query_executor().run(
                make_query(body=CRASHING_BODY, request_id="r2"), world.revision_view()
            )
        assert caught.value.kind is RefusalKind.NOT_RUN
        assert len(crashed) == 2

    run_virtual(main())


def test_concurrent_requests_are_not_blamed(world: QueryHarness) -> None:
    # Guards against refusing requests that ran at the same time as a crashing one.
    async def main() -> None:
        world.add_service("stock", servers=8, shard_count=8, canary="always")
        crashed: list[str] = []
        _install_crashing_handlers(world, crashed)
        harmless = [
            world.query_executor().run(
                make_query(body={"colour": n}), world.revision_view()
            )
            for n in range(5)
        ]
        crashing = world.query_executor().run(
            make_query(body=CRASHING_BODY), world.revision_view()
        )
        results = await asyncio.gather(*harmless, crashing, return_exceptions=True)
        assert isinstance(results.pop(), Refusal)
        assert all(answer.coverage == 1.0 for answer in results)
        for n in range(5):
            repeated = await world.query_executor().run(
                make_query(body={"colour": n}), world.revision_view()
            )
            assert repeated.coverage == 1.0

    run_virtual(main())


def test_canary_runs_before_other_shards(world: QueryHarness) -> None:
    # Guards against sending a request that never completed before to every shard.
    async def main() -> None:
        world.add_service("stock", servers=8, shard_count=8, canary="always")
        running = asyncio.create_task(
            world.query_executor().run(make_query(), world.revision_view())
        )
        await asyncio.sleep(0.002)
        assert len(world.sent_requests) == 1
        await running
        assert len(world.sent_requests) == 8
        # A request that has completed before needs no canary.
        running = asyncio.create_task(
            world.query_executor().run(make_query(), world.revision_view())
        )
        await asyncio.sleep(0.002)
        assert len(world.sent_requests) == 16
        await running

    run_virtual(main())
