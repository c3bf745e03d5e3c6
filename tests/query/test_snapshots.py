"""An answer comes from one snapshot, whatever changes while the query runs."""

import asyncio
from typing import Any

from kingcuplug_query import SubRequest
from kingcuplug_routing import Holding
from kingcuplug_testkit import QueryHarness, make_query, make_reply, run_virtual


def _sent_snapshots(world: QueryHarness) -> set[tuple[int, int]]:
    return {
        (request.snapshot, request.shard_count) for _, request in world.sent_requests
    }


def test_pins_newest_complete_snapshot(world: QueryHarness) -> None:
    # Guards against choosing a snapshot that is only partly loaded.
    async def main() -> None:
        world.add_service("stock", shard_count=2)
        old, new = Holding(1, 2, (0, 1)), Holding(2, 2, (0,))
        world.set_holdings("stock", {"stock-0": [old, new], "stock-1": [old]})
        answer = await world.query_executor().run(make_query(), world.revision_view())
        assert (answer.snapshot, answer.coverage) == (1, 1.0)
        assert _sent_snapshots(world) == {(1, 2)}

    run_virtual(main())


def test_retries_on_another_replica(world: QueryHarness) -> None:
    # Guards against giving up a shard that another replica still holds.
    async def main() -> None:
        world.add_service("stock", snapshots=(1,))

        async def reply_snapshot_gone(request: SubRequest) -> Any:
            return make_reply(request, "snapshot_gone")

        world.handlers["stock-0"] = reply_snapshot_gone
        answer = await world.query_executor().run(make_query(), world.revision_view())
        assert not answer.partial
        assert _sent_snapshots(world) == {(1, 4)}

    run_virtual(main())


def test_restarts_whole_query_on_newer_snapshot(world: QueryHarness) -> None:
    # Guards against mixing shards of two snapshots, with another shard count.
    async def main() -> None:
        world.add_service("stock", snapshots=(1,), shard_count=4)

        async def reply_while_repartitioning(request: SubRequest) -> Any:
            await asyncio.sleep(0.005)
            if request.snapshot == 1 and request.shard == 3:
                return make_reply(request, "snapshot_gone")
            return make_reply(request)

        for server in ("stock-0", "stock-1", "stock-2"):
            world.handlers[server] = reply_while_repartitioning

        async def announce_new_snapshot() -> None:
            await asyncio.sleep(0.006)
            held = [Holding(2, 8, tuple(range(8)))]
            world.set_holdings("stock", {f"stock-{n}": held for n in range(3)})

        announcement = asyncio.create_task(announce_new_snapshot())
        answer = await world.query_executor().run(make_query(), world.revision_view())
        await announcement
        assert (answer.snapshot, answer.shard_count) == (2, 8)
        assert [part["value"][0] for part in answer.value] == [2] * 8
        assert world.metrics.counts["query.restarted"] == 1

    run_virtual(main())


def test_restarts_only_once(world: QueryHarness) -> None:
    # Guards against endless restarts while an index changes continuously.
    async def main() -> None:
        world.add_service("stock", servers=8, snapshots=(1,))

        async def replace_snapshot(request: SubRequest) -> Any:
            await asyncio.sleep(0.001 if request.shard == 0 else 0.005)
            if request.shard == 0:
                newer = [Holding(request.snapshot + 1, 4, (0, 1, 2, 3))]
                world.set_holdings("stock", {f"stock-{n}": newer for n in range(8)})
                return make_reply(request, "snapshot_gone")
            return make_reply(request)

        for number in range(8):
            world.handlers[f"stock-{number}"] = replace_snapshot
        answer = await world.query_executor().run(make_query(), world.revision_view())
        assert answer.partial
        assert answer.missing_shards == (0,)
        assert {part["value"][0] for part in answer.value} == {answer.snapshot}
        assert world.metrics.counts["query.restarted"] == 1

    run_virtual(main())


def test_partition_key_uses_shard_map_of_the_snapshot(world: QueryHarness) -> None:
    # Guards against looking up a key in the shard map of another snapshot.
    async def main() -> None:
        shards_by_count = []
        for shard_count in (8, 16):
            world.add_service("stock", shard_count=shard_count)
            for key in ("4711", "4712", "4713", "4714", "4715"):
                request = make_query(partition_key=key)
                await world.query_executor().run(request, world.revision_view())
            shards_by_count.append(
                [request.shard for _, request in world.sent_requests[-5:]]
            )
        shards_of_8, shards_of_16 = shards_by_count
        assert max(shards_of_16) >= 8
        assert [shard % 8 for shard in shards_of_16] == shards_of_8

    run_virtual(main())
