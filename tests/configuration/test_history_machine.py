"""Racing operators, lost answers and restarts, in any order.

The first test drives the history step by step. The second runs operators over a
faulty `submit` and checks that one order of their changes explains all answers.
"""

import asyncio
import dataclasses
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from kingcuplug_configuration import (
    Accepted,
    ApplyConfiguration,
    ConfigurationHistory,
    ConfigurationText,
    Conflict,
    Rejected,
    Result,
    parse,
    render,
    replay,
    result_from_json,
)
from kingcuplug_testkit import run_virtual

NAMES = ("a", "b", "c", "d")
texts = st.builds(
    lambda names, days: json.dumps(
        {"retention_days": days, "services": {name: {} for name in names}}
    ),
    st.sets(st.sampled_from(NAMES)).map(sorted),
    st.integers(1, 3),
)


def reload(history: ConfigurationHistory) -> ConfigurationHistory:
    copy = ConfigurationHistory()
    copy.load(json.loads(json.dumps(history.dump())))
    return copy


class HistoryMachine(RuleBasedStateMachine):
    """Applies changes to two replicas, one of which restarts at any time."""

    @initialize()
    def start(self) -> None:
        """Start two replicas and an entry host that follows one of them."""
        self.steady, self.restarted = ConfigurationHistory(), ConfigurationHistory()
        self.follower, self.confirmed = ConfigurationText(), 0
        self.accepted: list[str] = [render(ConfigurationText())]
        self.sent: list[tuple[ApplyConfiguration, Result]] = []

    def _apply(self, command: ApplyConfiguration) -> Result:
        message = json.loads(json.dumps(command.to_json()))
        settled = self.steady.settled(command)
        results = [h.apply(message) for h in (self.steady, self.restarted)]
        assert results[0] == results[1], "replicas disagree"
        assert settled in (None, results[0]), "the result was not certain"
        return results[0]

    @rule(body=texts, behind=st.integers(0, 2), condensed=st.booleans())
    def send(self, body: str, behind: int, condensed: bool) -> None:
        """Send a new change, also one whose base is no longer in force."""
        number = self.steady.current.number
        base = max(0, number - behind)
        command = ApplyConfiguration(f"c{len(self.sent)}", base, body, "anna", 5)
        if condensed:
            command = self.steady.condense(command)
        settled = self.steady.settled(command)
        result = self._apply(command)
        assert (settled is None) == (base == number)
        if base == number:
            assert result == Accepted(number + 1)
            self.accepted.append(render(parse(body)))
        else:
            assert isinstance(result, Conflict)
            assert result.current_revision == number
        self.sent.append((command, result))

    @rule(pick=st.integers(0, 99))
    def resend(self, pick: int) -> None:
        """Send any earlier change again."""
        if self.sent:
            command, first = self.sent[pick % len(self.sent)]
            result = self._apply(command)
            assert type(result) is type(first)
            if isinstance(first, Accepted):
                assert result == first

    @rule(pick=st.integers(0, 99), body=texts)
    def reuse_change_id(self, pick: int, body: str) -> None:
        """Send another text under the id of an accepted change."""
        won = [c for c, result in self.sent if isinstance(result, Accepted)]
        if won:
            used = won[pick % len(won)]
            base = self.steady.current.number
            result = self._apply(
                dataclasses.replace(used, text=body, delta=None, base_revision=base)
            )
            if isinstance(result, Accepted):
                assert self.accepted[result.revision] == render(parse(body))
            else:
                assert isinstance(result, Rejected)

    @rule()
    def restart(self) -> None:
        """Restart one replica from its snapshot."""
        self.restarted = reload(self.restarted)

    @rule()
    def follow(self) -> None:
        """Bring the entry host up to date by deltas."""
        missed = self.restarted.since(self.confirmed)
        assert missed is not None
        self.follower = replay(self.follower, missed)
        self.confirmed = self.restarted.current.number
        assert render(self.follower) == self.accepted[self.confirmed]

    @invariant()
    def never_reverts(self) -> None:
        """Compare both replicas with the changes that were accepted."""
        for history in (self.steady, self.restarted):
            assert history.current.number == len(self.accepted) - 1
            assert history.current.text == self.accepted[-1]
            assert render(history.configuration) == self.accepted[-1]


def test_history_machine() -> None:
    # Guards against a change that is accepted twice or reverts, and against
    # replicas that disagree after a restart.
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        HistoryMachine,
        settings=settings(
            derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
        ),
    )


@dataclasses.dataclass(frozen=True)
class Operation:
    """A change as its operator saw it; `result` is None without an answer."""

    started: int
    ended: int
    base: int
    result: Result | None


def explains(operations: list[Operation]) -> bool:
    """Search an order of the operations that explains all their answers.

    An operation may only precede another if it started before that one ended; an
    operation without an answer may have taken effect at any time or never.
    """
    seen: set[tuple[frozenset[int], int]] = set()

    def search(left: frozenset[int], number: int) -> bool:
        if all(operations[i].result is None for i in left):
            return True
        if (left, number) in seen:
            return False
        seen.add((left, number))
        first_end = min(operations[i].ended for i in left)
        for i in left:
            operation = operations[i]
            if operation.started > first_end:
                continue
            wins = operation.base == number
            if _fits(operation.result, wins, number) and search(
                left - {i}, number + wins
            ):
                return True
        return False

    return search(frozenset(range(len(operations))), 0)


def _fits(result: Result | None, wins: bool, number: int) -> bool:
    if result is None:
        return True
    if wins:
        return result == Accepted(number + 1)
    return isinstance(result, Conflict) and result.current_revision == number


def test_the_checker_finds_a_lost_update() -> None:
    # Guards against a checker that accepts everything.
    both = [Operation(0, 1, 0, Accepted(1)), Operation(2, 3, 0, Accepted(2))]
    assert not explains(both)
    assert not explains([Operation(0, 1, 0, Accepted(1))] * 2)
    stale = Operation(2, 3, 0, Conflict(0, "", 0, None))
    assert not explains([both[0], stale])
    pending = Operation(0, 99, 0, None)
    assert explains([pending, Operation(2, 3, 1, Accepted(2))])


Submit = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


def faulty_submit(history: ConfigurationHistory, chance: random.Random) -> Submit:
    """Return a submit that delays, duplicates and loses messages and answers."""
    late: set[asyncio.Task[None]] = set()

    async def apply_later(message: dict[str, Any]) -> None:
        await asyncio.sleep(chance.uniform(0, 30))
        history.apply(message)

    async def submit(message: dict[str, Any]) -> dict[str, Any]:
        message = json.loads(json.dumps(message))
        await asyncio.sleep(chance.uniform(0, 2))
        if chance.random() < 0.3:
            task = asyncio.create_task(apply_later(message))
            late.add(task)
            if chance.random() < 0.5:
                raise TimeoutError
        if chance.random() < 0.1:
            history.load(json.loads(json.dumps(history.dump())))
        answer = json.loads(json.dumps(history.apply(message).to_json()))
        await asyncio.sleep(chance.uniform(0, 2))
        if chance.random() < 0.3:
            raise TimeoutError
        return answer

    return submit


async def operate(seed: int) -> tuple[list[Operation], ConfigurationHistory]:
    chance = random.Random(seed)
    history = ConfigurationHistory()
    submit = faulty_submit(history, chance)
    operations: list[Operation] = []
    clock = iter(range(10_000))

    async def operator(name: str) -> None:
        for number in range(4):
            await asyncio.sleep(chance.uniform(0, 3))
            base = history.current.number
            await asyncio.sleep(chance.uniform(0, 3))
            body = json.dumps({"services": {f"{name}{number}": {}}})
            command = ApplyConfiguration(f"{name}-{number}", base, body, name, 5)
            started, result = next(clock), None
            for _ in range(chance.randint(1, 4)):
                try:
                    result = result_from_json(await submit(command.to_json()))
                    break
                except TimeoutError:
                    continue
            ended = next(clock) if result else 10_000
            operations.append(Operation(started, ended, base, result))

    await asyncio.gather(*(operator(name) for name in ("anna", "berta", "carl")))
    await asyncio.sleep(60)
    return operations, history


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_operators_are_linearizable(seed: int) -> None:
    # Guards against two operators who both believe that their change won, and
    # against a resend that takes effect twice.
    operations, history = run_virtual(operate(seed))
    assert explains(operations)
    won = [o.result for o in operations if isinstance(o.result, Accepted)]
    assert len({result.revision for result in won}) == len(won)
    assert history.current.number <= len(operations)
