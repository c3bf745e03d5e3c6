"""The client over connections that lose, delay and duplicate messages."""

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
    Dispatched,
    KeyExpired,
    KeyFromFuture,
    KeyInvalid,
    KeyReused,
    LedgerClient,
    MustNotSend,
    OrderLedger,
    OrderRecord,
    Recorded,
    Released,
    ReleaseRefused,
    StoredOutcome,
    SubmissionUnknown,
    refusal,
    result_to_json,
    stamp,
)
from kingcuplug_testkit import run_virtual

NOW_MS = 1_700_000_000_000
DAY_MS = 86_400_000
KEY = f"{NOW_MS}-abcdefgh"
Fault = Callable[[dict[str, Any], int], Awaitable[None]]


class NotLeader(KingcuplugError):
    """Stands for a typed error that says that nothing was applied."""


async def _nothing(message: dict[str, Any], number: int) -> None:
    """Let the message pass."""


class Connection:
    """A ledger, and a `submit` with faults before and after it is reached."""

    def __init__(self, before: Fault = _nothing, after: Fault = _nothing) -> None:
        self.ledger = OrderLedger()
        self.messages: list[dict[str, Any]] = []
        self.before, self.after = before, after

    def apply(self, message: dict[str, Any]) -> dict[str, Any]:
        """Apply a message as the leader does."""
        result = self.ledger.apply(stamp(json.loads(json.dumps(message)), NOW_MS))
        return json.loads(json.dumps(result_to_json(result)))  # type: ignore[no-any-return]

    async def submit(self, message: dict[str, Any]) -> dict[str, Any]:
        """Submit a message through both faults."""
        self.messages.append(message)
        number = len(self.messages)
        await self.before(message, number)
        answer = self.apply(message)
        await self.after(message, number)
        return answer

    def client(self, host: str = "entry-1", incarnation: int = 1) -> LedgerClient:
        """Return the client of one host."""
        return LedgerClient(self.submit, host, incarnation, lambda: NOW_MS)


async def claim(client: LedgerClient, deadline: float = 5, **fields: Any) -> Any:
    return await client.claim(
        KEY,
        "d",
        "laudos",
        revision=1,
        retention_ms=DAY_MS,
        deadline=deadline,
        **fields,
    )


def run(main: Coroutine[Any, Any, Any]) -> Any:
    return run_virtual(main)


def lose(kind: str, times: int = 1_000) -> Fault:
    """Return a fault that times out the first messages of one kind."""
    left = [times]

    async def fault(message: dict[str, Any], number: int) -> None:
        if message["type"] == kind and left[0]:
            left[0] -= 1
            raise TimeoutError

    return fault


def test_lost_answers_are_resent_unchanged() -> None:
    # Guards against a resend that counts as another claim, dispatch or outcome.
    async def main() -> None:
        for kind in ("claim", "dispatch", "outcome", "release"):
            connection = Connection(after=lose(kind, 2))
            client = connection.client()
            assert await claim(client, token="t") == Claimed("t")
            if kind == "release":
                released = await client.release(KEY, "t", deadline=5)
                assert released == Released()
            else:
                sent = await client.dispatch(KEY, "t", "server", "a", deadline=5)
                assert sent == Dispatched("a")
                done = await client.outcome(KEY, "t", "done", "ok", 1, deadline=5)
                assert done == Recorded()
            copies = [m for m in connection.messages if m["type"] == kind]
            assert len(copies) == 3
            assert copies[0] == copies[1] == copies[2]

    run(main())


@pytest.mark.parametrize("applied", [True, False])
def test_unknown_dispatch_must_not_be_sent(applied: bool) -> None:
    # Guards against an order that is sent although the ledger may not know of it.
    async def main() -> None:
        fault = lose("dispatch")
        connection = Connection(**{"after" if applied else "before": fault})
        client = connection.client()
        await claim(client, token="t")
        with pytest.raises(MustNotSend) as caught:
            await client.dispatch(KEY, "t", "server", "a", deadline=5)
        assert caught.value.refused is None
        settled = await client.release(KEY, "t", deadline=9)
        expected = ReleaseRefused("already_dispatched") if applied else Released()
        assert settled == expected

    run(main())


def test_refused_dispatch_must_not_be_sent() -> None:
    # Guards against a holder that goes on after a takeover.
    async def main() -> None:
        connection = Connection()
        first, second = connection.client(), connection.client("entry-2")
        await claim(first, token="t1")
        assert isinstance(await claim(second), Attached)
        await claim(second, token="t2", takeover=True)
        with pytest.raises(MustNotSend, match="superseded") as caught:
            await first.dispatch(KEY, "t1", "server", "a", deadline=5)
        assert caught.value.refused is not None

    run(main())


def test_typed_error_after_a_lost_answer_stays_unknown() -> None:
    # Guards against a certain refusal of the second copy that hides the first.
    async def main() -> None:
        async def after(message: dict[str, Any], number: int) -> None:
            if number == 1:
                raise TimeoutError

        async def before(message: dict[str, Any], number: int) -> None:
            if number > 1:
                raise NotLeader("not the leader", "ask another host")

        with pytest.raises(SubmissionUnknown):
            await claim(Connection(before, after).client())
        before_first = Connection(before)
        before_first.messages.append({})
        with pytest.raises(NotLeader):
            await claim(before_first.client())

    run(main())


def test_hanging_submission_ends_at_the_deadline() -> None:
    # Guards against a caller whose deadline has passed long ago.
    async def main() -> None:
        async def hang(message: dict[str, Any], number: int) -> None:
            await asyncio.sleep(3_600)

        loop = asyncio.get_running_loop()
        with pytest.raises(SubmissionUnknown):
            await claim(Connection(hang).client(), deadline=2)
        assert loop.time() == pytest.approx(2)

    run(main())


def test_large_body_is_kept_as_digest() -> None:
    # Guards against answers that fill the memory of the voters.
    async def main() -> None:
        connection = Connection()
        client = connection.client()
        await claim(client, token="t")
        await client.dispatch(KEY, "t", "server", "a", deadline=5)
        await client.outcome(KEY, "t", "done", "ok", "x" * 70_000, deadline=5)
        record = await client.lookup(KEY, deadline=5)
        assert record is not None
        assert record.outcome is not None
        assert (record.outcome.body, len(record.outcome.body_digest)) == (None, 64)

    run(main())


def test_attach_waits_for_the_outcome() -> None:
    # Guards against a second caller that gets no answer, or waits for a lost host.
    async def main() -> None:
        connection = Connection()
        first, second = connection.client(), connection.client("entry-2")
        assert await second.attach(KEY, deadline=1) is None
        await claim(first, token="t")
        lost = await second.attach(KEY, deadline=9, holder_lost=lambda host, _: True)
        assert lost is not None
        assert (lost.state, lost.host) == ("claimed", "entry-1")
        waiting = asyncio.create_task(second.attach(KEY, deadline=9))
        await asyncio.sleep(1)
        await first.dispatch(KEY, "t", "server", "a", deadline=5)
        seen = await second.attach(KEY, deadline=2)
        assert seen is not None
        assert seen.state == "dispatched"
        await first.outcome(KEY, "t", "done", "ok", {"laudo": 7}, deadline=9)
        record = await waiting
        assert record is not None
        assert record.outcome == StoredOutcome("done", "ok", {"laudo": 7})
        assert asyncio.get_running_loop().time() < 9

    run(main())


def test_wrong_use_is_typed() -> None:
    # Guards against an untyped error for a wrong key or command.
    async def main() -> None:
        client = Connection().client()
        with pytest.raises(KeyInvalid):
            await client.claim("x", "d", "s", revision=1, retention_ms=1, deadline=5)
        with pytest.raises(CommandRefused):
            await client.lookup("x", deadline=5)

    run(main())


def _record(state: Any, kind: Any = None) -> Attached:
    outcome = StoredOutcome(kind, "ok", None) if kind else None
    return Attached(state, outcome, "entry-1", 1)


@pytest.mark.parametrize(
    ("result", "kind", "reason"),
    [
        (KeyReused(), "not_run", "key_reused"),
        (KeyFromFuture(5), "not_run", "key_from_future"),
        (KeyExpired(), "outcome_unknown", "key_expired"),
        (_record("claimed"), "outcome_unknown", "order_unknown"),
        (_record("dispatched"), "outcome_unknown", "order_unknown"),
        (_record("released"), "not_run", "order_not_run"),
        (_record("finished", "not_run"), "not_run", "order_not_run"),
        (_record("finished", "unknown"), "outcome_unknown", "order_unknown"),
    ],
)
def test_refusals(result: Any, kind: str, reason: str) -> None:
    # Guards against not_run for an order that may have run.
    refused = refusal(result)
    assert (refused.kind, refused.reason) == (RefusalKind(kind), RefusalReason(reason))
    with pytest.raises(ValueError, match="done"):
        refusal(_record("finished", "done"))


class World:
    """Hosts that crash, and the backend server that runs what they send."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.connection = Connection(self._disturb, self._delay)
        self.late: set[asyncio.Task[None]] = set()
        self.sends = 0
        self.ran = False
        self.told: list[str] = []
        self.lost: set[tuple[str, int]] = set()

    async def _disturb(self, message: dict[str, Any], number: int) -> None:
        await asyncio.sleep(self.chance.uniform(0, 1))
        if self.chance.random() < 0.3:
            self.late.add(asyncio.create_task(self._apply_late(message)))
        if self.chance.random() < 0.1:
            state = json.loads(json.dumps(self.connection.ledger.dump()))
            self.connection.ledger = OrderLedger()
            self.connection.ledger.load(state)
        fault = self.chance.random()
        if fault < 0.1:
            raise TimeoutError
        if fault < 0.2:
            raise NotLeader("not the leader", "ask another host")

    async def _delay(self, message: dict[str, Any], number: int) -> None:
        await asyncio.sleep(self.chance.uniform(0, 1))
        if self.chance.random() < 0.2:
            raise TimeoutError

    async def _apply_late(self, message: dict[str, Any]) -> None:
        await asyncio.sleep(self.chance.uniform(0, 40))
        self.connection.apply(message)

    def _tell(self, refused: Refusal) -> None:
        self.told.append(refused.kind)
        if refused.kind == RefusalKind.NOT_RUN:
            assert not self.ran, "a caller is told not_run of an order that ran"

    async def order(self, host: str, incarnation: int) -> None:
        """Run the order at one host, as the query tier does."""
        client = self.connection.client(host, incarnation)
        loop = asyncio.get_running_loop()
        deadline, takeover = loop.time() + 15, False
        while loop.time() < deadline:
            claimed = await claim(client, deadline, takeover=takeover)
            if isinstance(claimed, Claimed):
                await self._hold(client, claimed.token, deadline)
                return
            record = await client.attach(
                KEY, deadline=deadline, holder_lost=lambda h, i: (h, i) in self.lost
            )
            if record is None or record.state == "released":
                continue
            if record.state != "claimed":
                self._answer(record)
                return
            takeover = (record.host, record.host_incarnation) in self.lost

    async def _hold(self, client: LedgerClient, token: str, deadline: float) -> None:
        if self.chance.random() < 0.1:
            await client.release(KEY, token, deadline=deadline)
            return
        attempt = f"{token}-1"
        await client.dispatch(KEY, token, "server", attempt, deadline=deadline)
        self.sends += 1
        await asyncio.sleep(self.chance.uniform(0, 1))
        kind: Any = self.chance.choice(["done", "not_run", "unknown"])
        if kind != "not_run":
            self.ran = True
        await asyncio.sleep(self.chance.uniform(0, 1))
        await client.outcome(KEY, token, kind, "ok", None, deadline=deadline + 30)

    def _answer(self, record: OrderRecord) -> None:
        if record.outcome is not None and record.outcome.kind == "done":
            self.told.append("done")
            assert self.ran
        else:
            self._tell(refusal(record))

    async def host(self, name: str) -> None:
        """Crash and restart one host a few times; each start gets the request."""
        for incarnation in range(1, 5):
            await asyncio.sleep(self.chance.uniform(0, 5))
            task = asyncio.create_task(self.order(name, incarnation))
            if self.chance.random() < 0.6:
                await asyncio.sleep(self.chance.uniform(0, 8))
                task.cancel()
            await asyncio.wait([task])
            self.lost.add((name, incarnation))
            error = None if task.cancelled() else task.exception()
            if error is not None and not isinstance(error, KingcuplugError):
                raise error

    async def run(self) -> None:
        """Run three hosts until every late message has arrived."""
        await asyncio.gather(*(self.host(f"entry-{n}") for n in range(3)))
        await asyncio.sleep(60)


def _simulate(seed: int) -> World:
    async def main() -> World:
        world = World(seed)
        await world.run()
        return world

    world: World = run(main())
    return world


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_hosts_that_crash(seed: int) -> None:
    # Guards against an order that is sent twice by hosts that crash at any moment,
    # and against not_run for an order that ran.
    world = _simulate(seed)
    assert world.sends <= 1
    outcome = world.connection.ledger.lookup(KEY)
    if outcome is not None and outcome.outcome is not None:
        assert (outcome.outcome.kind == "not_run") <= (not world.ran)


def test_the_simulation_reaches_every_ending() -> None:
    # Guards against a simulation in which no order ever runs or is attached to.
    seen: Counter[str] = Counter()
    for seed in range(30):
        world = _simulate(seed)
        seen.update(world.told)
        seen["sent"] += world.sends
    assert {"sent", "done", "not_run", "outcome_unknown"} <= seen.keys()
