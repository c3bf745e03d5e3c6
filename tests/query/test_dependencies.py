"""Calls to declared dependencies before a request runs."""

import asyncio
from typing import Any

import pytest
from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_query import SubRequest
from kingcuplug_routing import Priority
from kingcuplug_testkit import (
    QueryHarness,
    make_order,
    make_query,
    make_reply,
    run_virtual,
)


def test_call_inherits_deadline_and_priority_and_forwards_answers(
    world: QueryHarness,
) -> None:
    # Guards against dependency calls with a longer deadline or a higher priority than
    # the request that makes them.
    async def main() -> None:
        world.add_service("bands", shard_count=2)
        world.add_service("stock", shard_count=2, depends_on=("bands",))
        request = make_query(
            priority=Priority.URGENT,
            deadline_s=0.4,
            dependency_requests={"bands": {"colour": "red"}},
        )
        await world.query_executor().run(request, world.revision_view())
        bands_requests = [r for _, r in world.sent_requests if r.service == "bands"]
        stock_requests = [r for _, r in world.sent_requests if r.service == "stock"]
        assert {r.request_id for _, r in world.sent_requests} == {"r1"}
        assert {r.priority for _, r in world.sent_requests} == {"urgent"}
        assert all(r.deadline_ms <= 400 for r in bands_requests)
        assert all(r.deadline_ms < 400 for r in stock_requests)
        assert stock_requests[0].dependency_answers["bands"]["coverage"] == 1.0

    run_virtual(main())


def test_unserved_dependency_refuses_query_early(world: QueryHarness) -> None:
    # Guards against using capacity for a request that cannot succeed.
    async def main() -> None:
        world.add_service("bands")
        world.set_holdings("bands", {})
        world.add_service("stock", depends_on=("bands",))
        with pytest.raises(Refusal, match="bands") as caught:
            await world.query_executor().run(make_query(), world.revision_view())
        assert caught.value.reason is RefusalReason.DEPENDENCY_UNAVAILABLE
        assert caught.value.kind is RefusalKind.NOT_RUN
        assert not world.sent_requests

    run_virtual(main())


def test_unserved_dependency_refuses_order_early(world: QueryHarness) -> None:
    # Guards against an order that is claimed and sent although it cannot succeed.
    async def main() -> None:
        world.add_service("bands")
        world.set_holdings("bands", {})
        world.add_service("stock", depends_on=("bands",))
        with pytest.raises(Refusal, match="bands") as caught:
            await world.order_executor().run(make_order(), world.revision_view(), 90)
        assert caught.value.reason is RefusalReason.DEPENDENCY_UNAVAILABLE
        assert caught.value.kind is RefusalKind.NOT_RUN
        assert not world.command_counts
        assert not world.sent_requests

    run_virtual(main())


def test_undeclared_dependency_is_invalid(world: QueryHarness) -> None:
    # Guards against calls to services that are not declared as dependencies.
    async def main() -> None:
        world.add_service("bands")
        world.add_service("stock")
        request = make_query(dependency_requests={"bands": {}})
        with pytest.raises(Refusal) as caught:
            await world.query_executor().run(request, world.revision_view())
        assert caught.value.reason is RefusalReason.INVALID_REQUEST

    run_virtual(main())


def test_retries_do_not_multiply_across_layers(world: QueryHarness) -> None:
    # Guards against retries of retries when every layer of a chain fails.
    async def main() -> None:
        async def failing(request: SubRequest) -> Any:
            return make_reply(request, "failed")

        names = ["a", "b", "c"]
        for number, name in enumerate(names):
            dependencies = tuple(names[number + 1 : number + 2])
            world.add_service(name, servers=5, shard_count=4, depends_on=dependencies)
            for server in range(5):
                world.handlers[f"{name}-{server}"] = failing
        with pytest.raises(Refusal):
            await world.query_executor().run(
                make_query("a", dependency_requests={"b": {}}), world.revision_view()
            )
        # 4 first attempts and at most 8 retries for the whole request.
        assert len(world.sent_requests) <= 4 + 8

    run_virtual(main())


def test_no_capacity_is_held_while_a_dependency_is_called(world: QueryHarness) -> None:
    # Guards against a deadlock of two services that wait for each other's capacity.
    async def main() -> None:
        world.add_service("bands")
        world.add_service("stock", depends_on=("bands",))
        admitted: list[str] = []
        for name in ("bands", "stock"):
            _record_admissions(world, name, admitted)
        dependency_called = asyncio.Event()

        async def slow(request: SubRequest) -> Any:
            dependency_called.set()
            await asyncio.sleep(0.05)
            return make_reply(request)

        for number in range(3):
            world.handlers[f"bands-{number}"] = slow
        running = asyncio.create_task(
            world.query_executor().run(
                make_query(dependency_requests={"bands": {}}), world.revision_view()
            )
        )
        await dependency_called.wait()
        assert admitted == ["bands"]
        await running
        assert admitted == ["bands", "stock"]

    run_virtual(main())


def _record_admissions(world: QueryHarness, name: str, admitted: list[str]) -> None:
    admission = world.services[name].admission
    admit = admission.admit

    def record_and_admit(*arguments: Any) -> Any:
        admitted.append(name)
        return admit(*arguments)

    admission.admit = record_and_admit  # type: ignore[method-assign]
