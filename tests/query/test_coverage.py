"""An answer states its true coverage."""

import asyncio
from typing import Any

import pytest
from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_query import ConnectFailed, SubRequest
from kingcuplug_routing import Holding
from kingcuplug_testkit import QueryHarness, make_query, make_reply, run_virtual


async def _refuse_connection(request: SubRequest) -> Any:
    raise ConnectFailed("no", "start it")


def test_coverage_counts_all_shards_of_the_snapshot(world: QueryHarness) -> None:
    # Guards against a coverage that counts only the shards that some server holds.
    async def main() -> None:
        world.add_service("stock")
        held = [Holding(1, 8, (0, 1, 2))]
        world.set_holdings("stock", {"stock-0": held, "stock-1": held})
        answer = await world.query_executor().run(make_query(), world.revision_view())
        assert answer.coverage == 3 / 8
        assert answer.missing_shards == (3, 4, 5, 6, 7)
        assert answer.partial

    run_virtual(main())


def test_partial_reply_stays_partial(world: QueryHarness) -> None:
    # Guards against hiding that a backend server covered only part of its shard.
    async def main() -> None:
        world.add_service("stock", servers=1, shard_count=2)

        async def reply_half_of_shard_1(request: SubRequest) -> Any:
            share = 0.5 if request.shard == 1 else 1.0
            return make_reply(request, "partial" if share < 1 else "ok", coverage=share)

        world.handlers["stock-0"] = reply_half_of_shard_1
        answer = await world.query_executor().run(make_query(), world.revision_view())
        assert answer.coverage == 0.75
        assert answer.partial_shards == {1: 0.5}
        assert answer.partial

    run_virtual(main())


def test_shard_counts_once_when_hedged(world: QueryHarness) -> None:
    # Guards against counting a shard twice when both attempts answer.
    async def main() -> None:
        world.add_service("stock", shard_count=1)
        for _ in range(300):
            await world.query_executor().run(make_query(), world.revision_view())
        default_handlers = world.handlers.copy()

        async def slow(request: SubRequest) -> Any:
            await asyncio.sleep(0.2)
            return make_reply(request)

        world.handlers = {f"stock-{n}": slow for n in range(3)}
        answer = await world.query_executor().run(make_query(), world.revision_view())
        world.handlers = default_handlers
        assert world.metrics.counts["query.hedge"] == 1
        assert answer.coverage == 1.0
        assert len(answer.value) == 1
        await asyncio.sleep(1)
        assert world.metrics.counts["query.late_reply"] == 1
        assert len(world.cancelled_attempts) == 1

    run_virtual(main())


def test_below_minimum_coverage_is_refused(world: QueryHarness) -> None:
    # Guards against an answer with less than the requested coverage.
    async def main() -> None:
        world.add_service("stock")
        world.handlers["stock-0"] = _refuse_connection
        held = [Holding(1, 2, (0,))]
        world.set_holdings("stock", {"stock-0": held, "stock-1": [Holding(1, 2, (1,))]})
        with pytest.raises(Refusal) as caught:
            await world.query_executor().run(
                make_query(minimum_coverage=1.0), world.revision_view()
            )
        assert caught.value.reason is RefusalReason.COVERAGE_TOO_LOW
        # The other shard's server answered, so it did run.
        assert caught.value.kind is RefusalKind.OUTCOME_UNKNOWN

    run_virtual(main())


def test_unknown_shard_map_is_refused(world: QueryHarness) -> None:
    # Guards against an empty answer with coverage 1 when no shard map is known.
    async def main() -> None:
        world.add_service("stock")
        world.set_holdings("stock", {})
        with pytest.raises(Refusal) as caught:
            await world.query_executor().run(make_query(), world.revision_view())
        assert caught.value.reason is RefusalReason.SNAPSHOT_UNKNOWN
        assert caught.value.kind is RefusalKind.NOT_RUN

    run_virtual(main())


@pytest.mark.parametrize(("weight", "complete"), [(1.0, True), (0.0, False)])
def test_coverage_weight_decides_whether_stragglers_are_awaited(
    world: QueryHarness, weight: float, complete: bool
) -> None:
    # Guards against ignoring the configured weight of coverage against latency.
    async def main() -> None:
        world.add_service("stock", servers=2, coverage_weight=weight)
        for _ in range(100):
            await world.query_executor().run(make_query(), world.revision_view())

        async def reply_late_for_shard_2(request: SubRequest) -> Any:
            await asyncio.sleep(0.5 if request.shard == 2 else 0.005)
            return make_reply(request)

        world.handlers = {
            "stock-0": reply_late_for_shard_2,
            "stock-1": reply_late_for_shard_2,
        }
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await world.query_executor().run(make_query(), world.revision_view())
        assert answer.partial is not complete
        assert (loop.time() - started > 0.4) is complete
        assert answer.missing_shards == (() if complete else (2,))

    run_virtual(main())
