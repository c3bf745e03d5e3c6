"""A refusal says ``not_run`` only if no backend server can have run the query."""

import asyncio
from typing import Any

import pytest
from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_query import (
    ConnectFailed,
    ReplyInvalid,
    ReplyLost,
    SubRequest,
    parse_reply,
)
from kingcuplug_routing import Holding
from kingcuplug_testkit import QueryHarness, make_query, make_reply, run_virtual


async def _reply_shed(request: SubRequest) -> Any:
    return make_reply(request, "shed")


async def _fail_to_connect(request: SubRequest) -> Any:
    raise ConnectFailed("no connection", "start it")


async def _lose_reply(request: SubRequest) -> Any:
    raise ReplyLost("broke", "look", server_unreachable=False)


async def _never_reply(request: SubRequest) -> Any:
    await asyncio.sleep(10)


async def _reply_failed(request: SubRequest) -> Any:
    return make_reply(request, "failed")


async def _reply_to_another_attempt(request: SubRequest) -> Any:
    return make_reply(request) | {"attempt_id": "another"}


@pytest.mark.parametrize(
    ("behaviour", "kind"),
    [
        (_reply_shed, RefusalKind.NOT_RUN),
        (_fail_to_connect, RefusalKind.NOT_RUN),
        (_lose_reply, RefusalKind.OUTCOME_UNKNOWN),
        (_never_reply, RefusalKind.OUTCOME_UNKNOWN),
        (_reply_failed, RefusalKind.OUTCOME_UNKNOWN),
        (_reply_to_another_attempt, RefusalKind.OUTCOME_UNKNOWN),
    ],
)
def test_refusal_kind_says_whether_servers_may_have_run_it(
    world: QueryHarness, behaviour: Any, kind: RefusalKind
) -> None:
    # Guards against ``not_run`` for a query that a backend server may have run.
    async def main() -> None:
        world.add_service("stock")
        world.handlers = {f"stock-{n}": behaviour for n in range(3)}
        with pytest.raises(Refusal) as caught:
            await world.query_executor().run(make_query(), world.revision_view())
        assert caught.value.kind is kind

    run_virtual(main())


def test_run_before_a_restart_makes_outcome_unknown(world: QueryHarness) -> None:
    # Guards against ``not_run`` for a query that ran on the previous snapshot.
    async def main() -> None:
        world.add_service("stock", servers=4, shard_count=2)

        async def reply_while_repartitioning(request: SubRequest) -> Any:
            if request.snapshot == 2:
                return await _fail_to_connect(request)
            if request.shard == 0:
                return make_reply(request, "failed")
            await asyncio.sleep(0.01)
            newer = [Holding(2, 2, (0, 1))]
            world.set_holdings("stock", {f"stock-{n}": newer for n in range(4)})
            return make_reply(request, "snapshot_gone")

        world.handlers = {f"stock-{n}": reply_while_repartitioning for n in range(4)}
        with pytest.raises(Refusal) as caught:
            await world.query_executor().run(make_query(), world.revision_view())
        assert world.metrics.counts["query.restarted"] == 1
        assert caught.value.kind is RefusalKind.OUTCOME_UNKNOWN

    run_virtual(main())


def test_past_deadline_is_not_sent(world: QueryHarness) -> None:
    # Guards against work for a caller whose deadline has already passed.
    async def main() -> None:
        world.add_service("stock")
        with pytest.raises(Refusal) as caught:
            await world.query_executor().run(
                make_query(deadline_s=0.0), world.revision_view()
            )
        assert caught.value.reason is RefusalReason.DEADLINE_EXCEEDED
        assert caught.value.kind is RefusalKind.NOT_RUN
        assert not world.sent_requests

    run_virtual(main())


def test_deadline_and_priority_are_propagated(world: QueryHarness) -> None:
    # Guards against backend servers that continue work after the caller's deadline.
    async def main() -> None:
        world.add_service("stock")
        await world.query_executor().run(
            make_query(deadline_s=0.3), world.revision_view()
        )
        assert all(
            200 < request.deadline_ms <= 300 for _, request in world.sent_requests
        )
        assert {request.priority for _, request in world.sent_requests} == {"normal"}

    run_virtual(main())


def test_reply_to_another_attempt_is_dropped_and_retried(world: QueryHarness) -> None:
    # Guards against returning the answer to another caller's request.
    async def main() -> None:
        world.add_service("stock")
        world.handlers["stock-0"] = _reply_to_another_attempt
        answer = await world.query_executor().run(make_query(), world.revision_view())
        assert not answer.partial
        assert world.metrics.counts["query.reply_invalid"] >= 1

    run_virtual(main())


_REQUEST = SubRequest("r", "a-1", "stock", "query", 7, 3, 8, 100, "normal", {})


@pytest.mark.parametrize(
    "changed_fields",
    [
        {"attempt_id": "a-2"},
        {"attempt_id": None},
        {"snapshot": 8},
        {"shard": 2},
        {"shard_count": 16},
        {"status": "fine"},
        {"status": None},
        {"coverage": 1.5},
        {"coverage": "all"},
        {"coverage": True},
    ],
)
def test_reply_must_belong_to_its_attempt(changed_fields: dict[str, Any]) -> None:
    # Guards against accepting a reply to another attempt, snapshot or shard.
    assert parse_reply(_REQUEST, make_reply(_REQUEST)).coverage == 1.0
    with pytest.raises(ReplyInvalid):
        parse_reply(_REQUEST, make_reply(_REQUEST) | changed_fields)


@pytest.mark.parametrize("reply", [None, [], "ok", 7, {}])
def test_reply_must_be_an_object(reply: Any) -> None:
    # Guards against an unhandled error for a reply that is not a JSON object.
    with pytest.raises(ReplyInvalid):
        parse_reply(_REQUEST, reply)
