"""Orders run at most once, and their answers and refusals state the true outcome."""

import asyncio
from collections import Counter
from typing import Any

import pytest
from kingcuplug_common import KingcuplugError, Refusal, RefusalKind, RefusalReason
from kingcuplug_query import Answer, ConnectFailed, ReplyLost, SubRequest
from kingcuplug_testkit import (
    IDEMPOTENCY_KEY,
    NOW_MS,
    QueryHarness,
    make_order,
    make_reply,
    run_virtual,
)

_RETENTION_DAYS = 30
_DAY_MS = 86_400_000


class RunCounter(Counter[str]):
    """Number of runs on the backend servers for each idempotency key."""


async def _run_order(
    world: QueryHarness, host: str = "entry-1", **fields: Any
) -> Answer | Refusal:
    try:
        return await world.order_executor(host).run(
            make_order(**fields), world.revision_view(), _RETENTION_DAYS
        )
    except Refusal as refusal:
        return refusal


def _install_counting_handlers(
    world: QueryHarness, behaviour: Any = None
) -> RunCounter:
    """Let every server count its runs, then reply by `behaviour`."""
    runs = RunCounter()

    async def handle(request: SubRequest) -> Any:
        await asyncio.sleep(0.005)
        runs[str(request.idempotency_key)] += 1
        return await behaviour(request) if behaviour else make_reply(request)

    for view in world.servers["stock"]:
        world.handlers[view.server] = handle
    return runs


@pytest.fixture
def stock(world: QueryHarness) -> QueryHarness:
    """Return the world to which each test adds the service ``stock``."""
    return world


async def _lose_reply(request: SubRequest) -> Any:
    raise ReplyLost("broke", "look", server_unreachable=False)


async def _never_reply(request: SubRequest) -> Any:
    await asyncio.sleep(120)


async def _reply_failed(request: SubRequest) -> Any:
    return make_reply(request, "failed")


async def _reply_for_wrong_shard(request: SubRequest) -> Any:
    return make_reply(request) | {"shard": 99}


@pytest.mark.parametrize(
    "behaviour",
    [None, _lose_reply, _never_reply, _reply_failed, _reply_for_wrong_shard],
)
def test_order_sent_repeatedly_runs_once(stock: QueryHarness, behaviour: Any) -> None:
    # Guards against a retry, a hedge or a resend that runs an order again.
    async def main() -> None:
        stock.add_service("stock")
        runs = _install_counting_handlers(stock, behaviour)
        for number in range(6):
            await _run_order(stock, f"entry-{number % 3}", resend=number > 0)
        await asyncio.sleep(60)
        await _run_order(stock, resend=True)
        assert runs == {IDEMPOTENCY_KEY: 1}

    run_virtual(main())


@pytest.mark.parametrize(
    "behaviour", [_lose_reply, _never_reply, _reply_failed, _reply_for_wrong_shard]
)
def test_unclear_result_is_outcome_unknown(stock: QueryHarness, behaviour: Any) -> None:
    # Guards against ``not_run`` for an order that may have run.
    async def main() -> None:
        stock.add_service("stock")
        _install_counting_handlers(stock, behaviour)
        for host in ("entry-1", "entry-2"):
            refusal = await _run_order(stock, host)
            assert isinstance(refusal, Refusal)
            assert refusal.kind is RefusalKind.OUTCOME_UNKNOWN

    run_virtual(main())


def test_resend_gets_the_recorded_outcome(stock: QueryHarness) -> None:
    # Guards against a second answer that contradicts the first one.
    async def main() -> None:
        stock.add_service("stock")
        _install_counting_handlers(stock)
        first = await _run_order(stock)
        second = await _run_order(stock, "entry-2", request_id="r2", resend=True)
        assert isinstance(first, Answer)
        assert second == first

    run_virtual(main())


def test_resend_attaches_to_the_running_order(stock: QueryHarness) -> None:
    # Guards against a resend that is refused, or runs, while the first copy runs.
    async def main() -> None:
        stock.add_service("stock")

        async def slow(request: SubRequest) -> Any:
            await asyncio.sleep(0.3)
            return make_reply(request)

        runs = _install_counting_handlers(stock, slow)
        first, second = await asyncio.gather(
            _run_order(stock), _run_order(stock, "entry-2", resend=True)
        )
        assert isinstance(first, Answer)
        assert second == first
        assert runs == {IDEMPOTENCY_KEY: 1}

    run_virtual(main())


def test_late_outcome_is_recorded(stock: QueryHarness) -> None:
    # Guards against losing an outcome that arrives after the caller's deadline.
    async def main() -> None:
        stock.add_service("stock")

        async def late(request: SubRequest) -> Any:
            await asyncio.sleep(3)
            return make_reply(request)

        _install_counting_handlers(stock, late)
        refusal = await _run_order(stock)
        assert isinstance(refusal, Refusal)
        assert refusal.kind is RefusalKind.OUTCOME_UNKNOWN
        await asyncio.sleep(5)
        assert isinstance(await _run_order(stock, "entry-2", resend=True), Answer)

    run_virtual(main())


def test_caller_disconnect_does_not_cancel_the_order(stock: QueryHarness) -> None:
    # Guards against losing the outcome when the caller's connection breaks.
    async def main() -> None:
        stock.add_service("stock")
        runs = _install_counting_handlers(stock)
        request_task = asyncio.create_task(_run_order(stock))
        await asyncio.sleep(0.004)
        request_task.cancel()
        await asyncio.sleep(1)
        assert runs == {IDEMPOTENCY_KEY: 1}
        assert isinstance(await _run_order(stock, "entry-2", resend=True), Answer)

    run_virtual(main())


@pytest.mark.parametrize("status", ["shed", "not_run", "snapshot_gone"])
def test_order_that_server_did_not_run_is_not_run(
    stock: QueryHarness, status: str
) -> None:
    # Guards against a second dispatch, and against ``outcome_unknown`` although the
    # server reported that it did not run the order.
    async def main() -> None:
        stock.add_service("stock")

        async def reply_not_run(request: SubRequest) -> Any:
            return make_reply(request, status)

        _install_counting_handlers(stock, reply_not_run)
        for host in ("entry-1", "entry-2"):
            refusal = await _run_order(stock, host, resend=host == "entry-2")
            assert isinstance(refusal, Refusal)
            assert refusal.kind is RefusalKind.NOT_RUN
            assert refusal.reason is RefusalReason.ORDER_NOT_RUN
        assert len(stock.sent_requests) == 1

    run_virtual(main())


def test_unreachable_servers_are_skipped_before_dispatch(stock: QueryHarness) -> None:
    # Guards against an order that is refused, with its key used up, because it was
    # dispatched to an unreachable server while another replica is reachable.
    async def main() -> None:
        stock.add_service("stock")
        runs = _install_counting_handlers(stock)
        stock.unreachable_servers = {"stock-0", "stock-2"}
        for number in range(10):
            answer = await _run_order(stock, key=f"{NOW_MS}-abcdefg{number}")
            assert isinstance(answer, Answer)
        assert {server for server, _ in stock.sent_requests} == {"stock-1"}
        assert set(runs.values()) == {1}
        stock.unreachable_servers = {"stock-0", "stock-1", "stock-2"}
        refusal = await _run_order(stock)
        assert isinstance(refusal, Refusal)
        assert refusal.kind is RefusalKind.NOT_RUN

    run_virtual(main())


def test_failed_connection_is_not_run(stock: QueryHarness) -> None:
    # Guards against ``outcome_unknown`` for an order of which no byte was sent.
    async def main() -> None:
        stock.add_service("stock")

        async def fail_to_connect(request: SubRequest) -> Any:
            raise ConnectFailed("no", "start it")

        for view in stock.servers["stock"]:
            stock.handlers[view.server] = fail_to_connect
        refusal = await _run_order(stock)
        assert isinstance(refusal, Refusal)
        assert refusal.kind is RefusalKind.NOT_RUN

    run_virtual(main())


@pytest.mark.parametrize("step", ["claim", "dispatch"])
@pytest.mark.parametrize("applied", [True, False])
def test_nothing_is_sent_without_a_recorded_dispatch(
    stock: QueryHarness, step: str, applied: bool
) -> None:
    # Guards against sending before a quorum has recorded the dispatch.
    async def main() -> None:
        stock.add_service("stock")
        runs = _install_counting_handlers(stock)
        if applied:
            stock.is_ledger_reply_lost = lambda command: command["type"] == step
        else:
            stock.ledger_fault = lambda command: (
                KingcuplugError("no quorum", "wait")
                if command["type"] == step
                else None
            )
        refusal = await _run_order(stock)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.NO_QUORUM
        assert refusal.kind is RefusalKind.NOT_RUN
        assert not runs
        stock.is_ledger_reply_lost = lambda command: False
        stock.ledger_fault = lambda command: None
        await asyncio.sleep(60)
        await _run_order(stock, "entry-2", resend=True)
        assert runs[IDEMPOTENCY_KEY] <= 1

    run_virtual(main())


def test_answer_is_returned_when_outcome_is_not_recorded(stock: QueryHarness) -> None:
    # Guards against losing an answer because the ledger lost its quorum after the
    # dispatch.
    async def main() -> None:
        stock.add_service("stock")
        _install_counting_handlers(stock)
        stock.ledger_fault = lambda command: (
            KingcuplugError("no quorum", "wait")
            if command["type"] == "outcome"
            else None
        )
        assert isinstance(await _run_order(stock), Answer)
        refusal = await _run_order(stock, "entry-2", resend=True)
        assert isinstance(refusal, Refusal)
        assert refusal.kind is RefusalKind.OUTCOME_UNKNOWN
        assert len(stock.sent_requests) == 1

    run_virtual(main())


def test_resend_without_quorum_is_outcome_unknown(stock: QueryHarness) -> None:
    # Guards against ``not_run`` for a resend whose first copy may have run.
    async def main() -> None:
        stock.add_service("stock")
        stock.ledger_fault = lambda command: KingcuplugError("no quorum", "wait")
        first = await _run_order(stock)
        resend = await _run_order(stock, resend=True)
        assert isinstance(first, Refusal)
        assert isinstance(resend, Refusal)
        assert first.kind is RefusalKind.NOT_RUN
        assert resend.kind is RefusalKind.OUTCOME_UNKNOWN

    run_virtual(main())


def test_key_with_another_body_is_refused(stock: QueryHarness) -> None:
    # Guards against answering one order with the outcome of another.
    async def main() -> None:
        stock.add_service("stock")
        runs = _install_counting_handlers(stock)
        await _run_order(stock)
        refusal = await _run_order(stock, body={"embroider": "Ana"})
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.KEY_REUSED
        assert runs == {IDEMPOTENCY_KEY: 1}

    run_virtual(main())


def test_key_older_than_the_retention_is_never_run(stock: QueryHarness) -> None:
    # Guards against running an order again after its record was purged.
    async def main() -> None:
        stock.add_service("stock")
        runs = _install_counting_handlers(stock)
        expired_key = f"{NOW_MS - (_RETENTION_DAYS + 1) * _DAY_MS}-abcdefgh"
        refusal = await _run_order(stock, key=expired_key)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.KEY_EXPIRED
        assert not runs

    run_virtual(main())


def test_claim_of_a_crashed_host_is_taken_over(stock: QueryHarness) -> None:
    # Guards against an order that no host can run because its claim holder crashed.
    async def main() -> None:
        stock.add_service("stock")
        runs = _install_counting_handlers(stock)
        dispatch_failed = asyncio.Event()

        def fail_first_dispatch(command: dict[str, Any]) -> Exception | None:
            if command["type"] == "dispatch" and not dispatch_failed.is_set():
                dispatch_failed.set()
                return TimeoutError("the host stops here")
            return None

        stock.ledger_fault = fail_first_dispatch
        first_copy = asyncio.create_task(_run_order(stock, "entry-1"))
        await dispatch_failed.wait()
        first_copy.cancel()
        stock.is_holder_lost = lambda host, incarnation: host == "entry-1"
        answer = await _run_order(stock, "entry-2", resend=True)
        assert isinstance(answer, Answer)
        assert runs == {IDEMPOTENCY_KEY: 1}

    run_virtual(main())
