"""Ledger client over connections that lose, delay and duplicate messages."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from kingcuplug_common import KingcuplugError, Refusal, RefusalKind, RefusalReason
from kingcuplug_ledger import (
    Attached,
    Claimed,
    CommandRefused,
    DispatchRecorded,
    KeyExpired,
    KeyFromFuture,
    KeyInvalid,
    KeyReused,
    LedgerClient,
    MustNotSend,
    OrderLedger,
    OrderRecord,
    OutcomeRecorded,
    Released,
    ReleaseRefused,
    StoredOutcome,
    SubmissionUnknown,
    order_refusal,
    result_to_json,
    with_command_time,
)
from kingcuplug_testkit import run_virtual

NOW_MS = 1_700_000_000_000
DAY_MS = 86_400_000
KEY = f"{NOW_MS}-abcdefgh"
MessageFault = Callable[[dict[str, Any], int], Awaitable[None]]


class NotLeader(KingcuplugError):
    """Stands in for a typed error which means that the command was not applied."""


async def no_fault(message: dict[str, Any], number: int) -> None:
    """Deliver the message without a fault."""


class FaultyConnection:
    """A ledger behind a `submit` with injected faults before and after it applies."""

    def __init__(
        self,
        fault_before: MessageFault = no_fault,
        fault_after: MessageFault = no_fault,
    ) -> None:
        self.ledger = OrderLedger()
        self.messages: list[dict[str, Any]] = []
        self.fault_before, self.fault_after = fault_before, fault_after

    def apply(self, message: dict[str, Any]) -> dict[str, Any]:
        """Apply a message as the leader does."""
        result = self.ledger.apply(
            with_command_time(json.loads(json.dumps(message)), NOW_MS)
        )
        return json.loads(json.dumps(result_to_json(result)))  # type: ignore[no-any-return]

    async def submit(self, message: dict[str, Any]) -> dict[str, Any]:
        """Apply a message, with faults before and after."""
        self.messages.append(message)
        number = len(self.messages)
        await self.fault_before(message, number)
        answer = self.apply(message)
        await self.fault_after(message, number)
        return answer

    def client(self, host: str = "entry-1", incarnation: int = 1) -> LedgerClient:
        """Return a client of one host."""
        return LedgerClient(self.submit, host, incarnation, lambda: NOW_MS)


async def claim_key(client: LedgerClient, deadline: float = 5, **fields: Any) -> Any:
    return await client.claim(
        KEY,
        "d",
        "laudos",
        revision=1,
        retention_ms=DAY_MS,
        deadline=deadline,
        **fields,
    )


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    return run_virtual(main)


def time_out_messages(command_type: str, count: int = 1_000) -> MessageFault:
    """Return a fault that times out the first commands of one type."""
    remaining = [count]

    async def fault(message: dict[str, Any], number: int) -> None:
        if message["type"] == command_type and remaining[0]:
            remaining[0] -= 1
            raise TimeoutError

    return fault


def test_command_is_resent_unchanged_after_a_lost_answer() -> None:
    # Guards against a resend that is applied as another claim, dispatch or outcome.
    async def main() -> None:
        for command_type in ("claim", "dispatch", "outcome", "release"):
            connection = FaultyConnection(
                fault_after=time_out_messages(command_type, 2)
            )
            client = connection.client()
            assert await claim_key(client, token="t") == Claimed("t")
            if command_type == "release":
                released = await client.release(KEY, "t", deadline=5)
                assert released == Released()
            else:
                sent = await client.record_dispatch(KEY, "t", "server", "a", deadline=5)
                assert sent == DispatchRecorded("a")
                done = await client.record_outcome(
                    KEY, "t", "done", "ok", 1, deadline=5
                )
                assert done == OutcomeRecorded()
            copies = [m for m in connection.messages if m["type"] == command_type]
            assert len(copies) == 3
            assert copies[0] == copies[1] == copies[2]

    run_in_virtual_time(main())


@pytest.mark.parametrize("applied", [True, False])
def test_dispatch_with_unknown_result_must_not_be_sent(applied: bool) -> None:
    # Guards against an order that is sent although its dispatch may not be recorded.
    async def main() -> None:
        fault = time_out_messages("dispatch")
        connection = FaultyConnection(
            **{"fault_after" if applied else "fault_before": fault}
        )
        client = connection.client()
        await claim_key(client, token="t")
        with pytest.raises(MustNotSend) as caught:
            await client.record_dispatch(KEY, "t", "server", "a", deadline=5)
        assert caught.value.refused is None
        settled = await client.release(KEY, "t", deadline=9)
        expected = ReleaseRefused("already_dispatched") if applied else Released()
        assert settled == expected

    run_in_virtual_time(main())


def test_refused_dispatch_must_not_be_sent() -> None:
    # Guards against a holder that continues after a takeover.
    async def main() -> None:
        connection = FaultyConnection()
        first, second = connection.client(), connection.client("entry-2")
        await claim_key(first, token="t1")
        assert isinstance(await claim_key(second), Attached)
        await claim_key(second, token="t2", takeover=True)
        with pytest.raises(MustNotSend, match="superseded") as caught:
            await first.record_dispatch(KEY, "t1", "server", "a", deadline=5)
        assert caught.value.refused is not None

    run_in_virtual_time(main())


def test_typed_error_after_a_lost_answer_stays_unknown() -> None:
    # Guards against an error of a resend that hides a possibly applied first copy.
    async def main() -> None:
        async def after(message: dict[str, Any], number: int) -> None:
            if number == 1:
                raise TimeoutError

        async def before(message: dict[str, Any], number: int) -> None:
            if number > 1:
                raise NotLeader("not the leader", "ask another host")

        with pytest.raises(SubmissionUnknown):
            await claim_key(FaultyConnection(before, after).client())
        before_first = FaultyConnection(before)
        before_first.messages.append({})
        with pytest.raises(NotLeader):
            await claim_key(before_first.client())

    run_in_virtual_time(main())


def test_hanging_submission_times_out_at_the_deadline() -> None:
    # Guards against a submission that continues after the caller's deadline.
    async def main() -> None:
        async def hang(message: dict[str, Any], number: int) -> None:
            await asyncio.sleep(3_600)

        loop = asyncio.get_running_loop()
        with pytest.raises(SubmissionUnknown):
            await claim_key(FaultyConnection(hang).client(), deadline=2)
        assert loop.time() == pytest.approx(2)

    run_in_virtual_time(main())


def test_large_body_is_stored_as_digest() -> None:
    # Guards against stored bodies that exhaust the memory of the voters.
    async def main() -> None:
        connection = FaultyConnection()
        client = connection.client()
        await claim_key(client, token="t")
        await client.record_dispatch(KEY, "t", "server", "a", deadline=5)
        await client.record_outcome(KEY, "t", "done", "ok", "x" * 70_000, deadline=5)
        record = await client.lookup(KEY, deadline=5)
        assert record is not None
        assert record.outcome is not None
        assert (record.outcome.body, len(record.outcome.body_digest)) == (None, 64)

    run_in_virtual_time(main())


def test_second_caller_waits_for_the_outcome() -> None:
    # Guards against a second caller that gets no outcome or waits for a lost host.
    async def main() -> None:
        connection = FaultyConnection()
        first, second = connection.client(), connection.client("entry-2")
        assert await second.wait_for_outcome(KEY, deadline=1) is None
        await claim_key(first, token="t")
        lost = await second.wait_for_outcome(
            KEY, deadline=9, holder_lost=lambda host, _: True
        )
        assert lost is not None
        assert (lost.state, lost.host) == ("claimed", "entry-1")
        waiting = asyncio.create_task(second.wait_for_outcome(KEY, deadline=9))
        await asyncio.sleep(1)
        await first.record_dispatch(KEY, "t", "server", "a", deadline=5)
        seen = await second.wait_for_outcome(KEY, deadline=2)
        assert seen is not None
        assert seen.state == "dispatched"
        await first.record_outcome(KEY, "t", "done", "ok", {"laudo": 7}, deadline=9)
        record = await waiting
        assert record is not None
        assert record.outcome == StoredOutcome("done", "ok", {"laudo": 7})
        assert asyncio.get_running_loop().time() < 9

    run_in_virtual_time(main())


def test_invalid_arguments_raise_typed_errors() -> None:
    # Guards against an untyped error for an invalid key or command.
    async def main() -> None:
        client = FaultyConnection().client()
        with pytest.raises(KeyInvalid):
            await client.claim("x", "d", "s", revision=1, retention_ms=1, deadline=5)
        with pytest.raises(CommandRefused):
            await client.lookup("x", deadline=5)

    run_in_virtual_time(main())


def make_attached(state: Any, kind: Any = None) -> Attached:
    outcome = StoredOutcome(kind, "ok", None) if kind else None
    return Attached(state, outcome, "entry-1", 1)


@pytest.mark.parametrize(
    ("result", "kind", "reason"),
    [
        (KeyReused(), "not_run", "key_reused"),
        (KeyFromFuture(5), "not_run", "key_from_future"),
        (KeyExpired(), "outcome_unknown", "key_expired"),
        (make_attached("claimed"), "outcome_unknown", "order_unknown"),
        (make_attached("dispatched"), "outcome_unknown", "order_unknown"),
        (make_attached("released"), "not_run", "order_not_run"),
        (make_attached("finished", "not_run"), "not_run", "order_not_run"),
        (make_attached("finished", "unknown"), "outcome_unknown", "order_unknown"),
    ],
)
def test_order_refusal_of_each_result(result: Any, kind: str, reason: str) -> None:
    # Guards against not_run for an order that may have run.
    refused = order_refusal(result)
    assert (refused.kind, refused.reason) == (RefusalKind(kind), RefusalReason(reason))
    with pytest.raises(ValueError, match="done"):
        order_refusal(make_attached("finished", "done"))


class CrashSimulation:
    """Hosts that crash, and the backend server that runs their orders."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.connection = FaultyConnection(
            self._fault_before_submit, self._fault_after_submit
        )
        self.delayed_tasks: set[asyncio.Task[None]] = set()
        self.send_count = 0
        self.order_ran = False
        self.caller_replies: list[str] = []
        self.lost_holders: set[tuple[str, int]] = set()

    async def _fault_before_submit(self, message: dict[str, Any], number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, 1))
        if self.rng.random() < 0.3:
            self.delayed_tasks.add(asyncio.create_task(self._apply_delayed(message)))
        if self.rng.random() < 0.1:
            state = json.loads(json.dumps(self.connection.ledger.dump()))
            self.connection.ledger = OrderLedger()
            self.connection.ledger.load(state)
        fault = self.rng.random()
        if fault < 0.1:
            raise TimeoutError
        if fault < 0.2:
            raise NotLeader("not the leader", "ask another host")

    async def _fault_after_submit(self, message: dict[str, Any], number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, 1))
        if self.rng.random() < 0.2:
            raise TimeoutError

    async def _apply_delayed(self, message: dict[str, Any]) -> None:
        await asyncio.sleep(self.rng.uniform(0, 40))
        self.connection.apply(message)

    def _refuse_caller(self, refused: Refusal) -> None:
        self.caller_replies.append(refused.kind)
        if refused.kind == RefusalKind.NOT_RUN:
            assert not self.order_ran, "a caller gets not_run for an order that ran"

    async def request_order(self, host: str, incarnation: int) -> None:
        """Run the order at one host, as the query package does."""
        client = self.connection.client(host, incarnation)
        loop = asyncio.get_running_loop()
        deadline, takeover = loop.time() + 15, False
        while loop.time() < deadline:
            claimed = await claim_key(client, deadline, takeover=takeover)
            if isinstance(claimed, Claimed):
                await self._run_claimed_order(client, claimed.token, deadline)
                return
            record = await client.wait_for_outcome(
                KEY,
                deadline=deadline,
                holder_lost=lambda h, i: (h, i) in self.lost_holders,
            )
            if record is None or record.state == "released":
                continue
            if record.state != "claimed":
                self._answer_from_record(record)
                return
            takeover = (record.host, record.host_incarnation) in self.lost_holders

    async def _run_claimed_order(
        self, client: LedgerClient, token: str, deadline: float
    ) -> None:
        if self.rng.random() < 0.1:
            await client.release(KEY, token, deadline=deadline)
            return
        attempt = f"{token}-1"
        await client.record_dispatch(KEY, token, "server", attempt, deadline=deadline)
        self.send_count += 1
        await asyncio.sleep(self.rng.uniform(0, 1))
        kind: Any = self.rng.choice(["done", "not_run", "unknown"])
        if kind != "not_run":
            self.order_ran = True
        await asyncio.sleep(self.rng.uniform(0, 1))
        await client.record_outcome(
            KEY, token, kind, "ok", None, deadline=deadline + 30
        )

    def _answer_from_record(self, record: OrderRecord) -> None:
        if record.outcome is not None and record.outcome.kind == "done":
            self.caller_replies.append("done")
            assert self.order_ran
        else:
            self._refuse_caller(order_refusal(record))

    async def run_host(self, name: str) -> None:
        """Crash and restart one host a few times, with one request per incarnation."""
        for incarnation in range(1, 5):
            await asyncio.sleep(self.rng.uniform(0, 5))
            task = asyncio.create_task(self.request_order(name, incarnation))
            if self.rng.random() < 0.6:
                await asyncio.sleep(self.rng.uniform(0, 8))
                task.cancel()
            await asyncio.wait([task])
            self.lost_holders.add((name, incarnation))
            error = None if task.cancelled() else task.exception()
            if error is not None and not isinstance(error, KingcuplugError):
                raise error

    async def run(self) -> None:
        """Run three hosts until every delayed message has been delivered."""
        await asyncio.gather(*(self.run_host(f"entry-{n}") for n in range(3)))
        await asyncio.sleep(60)


def simulate_crashes(seed: int) -> CrashSimulation:
    async def main() -> CrashSimulation:
        simulation = CrashSimulation(seed)
        await simulation.run()
        return simulation

    simulation: CrashSimulation = run_in_virtual_time(main())
    return simulation


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_order_is_sent_at_most_once_when_hosts_crash(seed: int) -> None:
    # Guards against an order that is sent twice by hosts that crash at any time, and
    # against not_run for an order that ran.
    simulation = simulate_crashes(seed)
    assert simulation.send_count <= 1
    record = simulation.connection.ledger.lookup(KEY)
    if record is not None and record.outcome is not None:
        assert (record.outcome.kind == "not_run") <= (not simulation.order_ran)


def test_simulation_reaches_every_outcome() -> None:
    # Guards against a simulation that never runs an order or waits for an outcome.
    counts: Counter[str] = Counter()
    for seed in range(30):
        simulation = simulate_crashes(seed)
        counts.update(simulation.caller_replies)
        counts["sent"] += simulation.send_count
    assert {"sent", "done", "not_run", "outcome_unknown"} <= counts.keys()
