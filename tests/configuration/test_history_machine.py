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

SERVICE_NAMES = ("a", "b", "c", "d")
configuration_texts = st.builds(
    lambda names, days: json.dumps(
        {"retention_days": days, "services": {name: {} for name in names}}
    ),
    st.sets(st.sampled_from(SERVICE_NAMES)).map(sorted),
    st.integers(1, 3),
)


def restore_from_dump(history: ConfigurationHistory) -> ConfigurationHistory:
    copy = ConfigurationHistory()
    copy.load(json.loads(json.dumps(history.dump())))
    return copy


class HistoryMachine(RuleBasedStateMachine):
    """Applies changes to two replicas, one of which restarts at any time."""

    @initialize()
    def start(self) -> None:
        """Start two replicas and an entry host that follows one of them."""
        self.stable_replica, self.restarted_replica = (
            ConfigurationHistory(),
            ConfigurationHistory(),
        )
        self.entry_host_text, self.entry_host_revision = ConfigurationText(), 0
        self.accepted_texts: list[str] = [render(ConfigurationText())]
        self.sent_changes: list[tuple[ApplyConfiguration, Result]] = []

    def _apply(self, command: ApplyConfiguration) -> Result:
        message = json.loads(json.dumps(command.to_json()))
        settled = self.stable_replica.settled(command)
        results = [
            h.apply(message) for h in (self.stable_replica, self.restarted_replica)
        ]
        assert results[0] == results[1], "replicas disagree"
        assert settled in (None, results[0]), "the result was not certain"
        return results[0]

    @rule(body=configuration_texts, behind=st.integers(0, 2), condensed=st.booleans())
    def send_change(self, body: str, behind: int, condensed: bool) -> None:
        """Send a new change, also one whose base is no longer in force."""
        number = self.stable_replica.current.number
        base = max(0, number - behind)
        command = ApplyConfiguration(
            f"c{len(self.sent_changes)}", base, body, "anna", 5
        )
        if condensed:
            command = self.stable_replica.condense(command)
        settled = self.stable_replica.settled(command)
        result = self._apply(command)
        assert (settled is None) == (base == number)
        if base == number:
            assert result == Accepted(number + 1)
            self.accepted_texts.append(render(parse(body)))
        else:
            assert isinstance(result, Conflict)
            assert result.current_revision == number
        self.sent_changes.append((command, result))

    @rule(pick=st.integers(0, 99))
    def resend_change(self, pick: int) -> None:
        """Send any earlier change again."""
        if self.sent_changes:
            command, first = self.sent_changes[pick % len(self.sent_changes)]
            result = self._apply(command)
            assert type(result) is type(first)
            if isinstance(first, Accepted):
                assert result == first

    @rule(pick=st.integers(0, 99), body=configuration_texts)
    def reuse_change_id(self, pick: int, body: str) -> None:
        """Send another text under the id of an accepted change."""
        won = [c for c, result in self.sent_changes if isinstance(result, Accepted)]
        if won:
            used = won[pick % len(won)]
            base = self.stable_replica.current.number
            result = self._apply(
                dataclasses.replace(used, text=body, delta=None, base_revision=base)
            )
            if isinstance(result, Accepted):
                assert self.accepted_texts[result.revision] == render(parse(body))
            else:
                assert isinstance(result, Rejected)

    @rule()
    def restart_replica(self) -> None:
        """Restart one replica from its snapshot."""
        self.restarted_replica = restore_from_dump(self.restarted_replica)

    @rule()
    def update_entry_host(self) -> None:
        """Bring the entry host up to date by deltas."""
        missed = self.restarted_replica.since(self.entry_host_revision)
        assert missed is not None
        self.entry_host_text = replay(self.entry_host_text, missed)
        self.entry_host_revision = self.restarted_replica.current.number
        assert (
            render(self.entry_host_text)
            == self.accepted_texts[self.entry_host_revision]
        )

    @invariant()
    def replicas_match_accepted_texts(self) -> None:
        """Compare both replicas with the changes that were accepted."""
        for history in (self.stable_replica, self.restarted_replica):
            assert history.current.number == len(self.accepted_texts) - 1
            assert history.current.text == self.accepted_texts[-1]
            assert render(history.configuration) == self.accepted_texts[-1]


def test_replicas_agree_on_accepted_changes() -> None:
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
    base_revision: int
    result: Result | None


def is_linearizable(operations: list[Operation]) -> bool:
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
            wins = operation.base_revision == number
            if result_matches(operation.result, wins, number) and search(
                left - {i}, number + wins
            ):
                return True
        return False

    return search(frozenset(range(len(operations))), 0)


def result_matches(result: Result | None, accepted: bool, revision: int) -> bool:
    if result is None:
        return True
    if accepted:
        return result == Accepted(revision + 1)
    return isinstance(result, Conflict) and result.current_revision == revision


def test_linearizability_check_detects_a_lost_update() -> None:
    # Guards against a checker that accepts everything.
    both = [Operation(0, 1, 0, Accepted(1)), Operation(2, 3, 0, Accepted(2))]
    assert not is_linearizable(both)
    assert not is_linearizable([Operation(0, 1, 0, Accepted(1))] * 2)
    stale = Operation(2, 3, 0, Conflict(0, "", 0, None))
    assert not is_linearizable([both[0], stale])
    pending = Operation(0, 99, 0, None)
    assert is_linearizable([pending, Operation(2, 3, 1, Accepted(2))])


Submit = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


def faulty_submit(history: ConfigurationHistory, rng: random.Random) -> Submit:
    """Return a submit that delays, duplicates and loses messages and answers."""
    late: set[asyncio.Task[None]] = set()

    async def apply_later(message: dict[str, Any]) -> None:
        await asyncio.sleep(rng.uniform(0, 30))
        history.apply(message)

    async def submit(message: dict[str, Any]) -> dict[str, Any]:
        message = json.loads(json.dumps(message))
        await asyncio.sleep(rng.uniform(0, 2))
        if rng.random() < 0.3:
            task = asyncio.create_task(apply_later(message))
            late.add(task)
            if rng.random() < 0.5:
                raise TimeoutError
        if rng.random() < 0.1:
            history.load(json.loads(json.dumps(history.dump())))
        answer = json.loads(json.dumps(history.apply(message).to_json()))
        await asyncio.sleep(rng.uniform(0, 2))
        if rng.random() < 0.3:
            raise TimeoutError
        return answer

    return submit


async def run_operators(seed: int) -> tuple[list[Operation], ConfigurationHistory]:
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
def test_concurrent_changes_are_linearizable(seed: int) -> None:
    # Guards against two operators who both believe that their change won, and
    # against a resend that takes effect twice.
    operations, history = run_virtual(run_operators(seed))
    assert is_linearizable(operations)
    won = [o.result for o in operations if isinstance(o.result, Accepted)]
    assert len({result.revision for result in won}) == len(won)
    assert history.current.number <= len(operations)
