"""Concurrent changes, lost answers and restarts in arbitrary order.

A state machine test applies changes to two replicas of the history. A simulation
runs concurrent operators over an unreliable `submit` and checks that the results
are linearizable.
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
    apply_deltas,
    parse,
    render,
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
    """Applies changes to two replicas, one of which restarts between commands."""

    @initialize()
    def start(self) -> None:
        """Start two replicas and an entry host that fetches deltas from one of them."""
        self.stable_replica, self.restarted_replica = (
            ConfigurationHistory(),
            ConfigurationHistory(),
        )
        self.entry_host_text, self.entry_host_revision = ConfigurationText(), 0
        self.accepted_texts: list[str] = [render(ConfigurationText())]
        self.sent_changes: list[tuple[ApplyConfiguration, Result]] = []

    def _apply(self, command: ApplyConfiguration) -> Result:
        message = json.loads(json.dumps(command.to_json()))
        known = self.stable_replica.known_result(command)
        results = [
            replica.apply(message)
            for replica in (self.stable_replica, self.restarted_replica)
        ]
        assert results[0] == results[1], "replicas disagree"
        assert known in (None, results[0]), "the result was not certain"
        return results[0]

    @rule(
        body=configuration_texts,
        revisions_behind=st.integers(0, 2),
        as_delta=st.booleans(),
    )
    def send_change(self, body: str, revisions_behind: int, as_delta: bool) -> None:
        """Send a new change, whose base revision may be outdated."""
        revision = self.stable_replica.current.number
        base = max(0, revision - revisions_behind)
        command = ApplyConfiguration(
            f"c{len(self.sent_changes)}", base, body, "anna", 5
        )
        if as_delta:
            command = self.stable_replica.condense(command)
        known = self.stable_replica.known_result(command)
        result = self._apply(command)
        assert (known is None) == (base == revision)
        if base == revision:
            assert result == Accepted(revision + 1)
            self.accepted_texts.append(render(parse(body)))
        else:
            assert isinstance(result, Conflict)
            assert result.current_revision == revision
        self.sent_changes.append((command, result))

    @rule(index=st.integers(0, 99))
    def resend_change(self, index: int) -> None:
        """Resend any earlier change."""
        if self.sent_changes:
            command, first_result = self.sent_changes[index % len(self.sent_changes)]
            result = self._apply(command)
            assert type(result) is type(first_result)
            if isinstance(first_result, Accepted):
                assert result == first_result

    @rule(index=st.integers(0, 99), body=configuration_texts)
    def reuse_change_id(self, index: int, body: str) -> None:
        """Send another text with the id of an accepted change."""
        accepted = [
            change
            for change, result in self.sent_changes
            if isinstance(result, Accepted)
        ]
        if accepted:
            earlier = accepted[index % len(accepted)]
            base = self.stable_replica.current.number
            result = self._apply(
                dataclasses.replace(earlier, text=body, delta=None, base_revision=base)
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
        """Apply the missed deltas at the entry host."""
        missed = self.restarted_replica.deltas_since(self.entry_host_revision)
        assert missed is not None
        self.entry_host_text = apply_deltas(self.entry_host_text, missed)
        self.entry_host_revision = self.restarted_replica.current.number
        assert (
            render(self.entry_host_text)
            == self.accepted_texts[self.entry_host_revision]
        )

    @invariant()
    def replicas_match_accepted_texts(self) -> None:
        """Compare both replicas with the accepted texts."""
        for history in (self.stable_replica, self.restarted_replica):
            assert history.current.number == len(self.accepted_texts) - 1
            assert history.current.text == self.accepted_texts[-1]
            assert render(history.configuration) == self.accepted_texts[-1]


def test_replicas_agree_on_accepted_changes() -> None:
    # Guards against a change that is accepted twice or reverted, and against replicas
    # that diverge after a restart.
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        HistoryMachine,
        settings=settings(
            derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
        ),
    )


@dataclasses.dataclass(frozen=True)
class Operation:
    """One change with its start and end times; `result` is None without an answer."""

    started: int
    ended: int
    base_revision: int
    result: Result | None


def is_linearizable(operations: list[Operation]) -> bool:
    """Return whether some sequential order of the operations yields all results.

    An operation may only precede another if it started before that one ended; an
    operation without an answer may have taken effect at any time or never.
    """
    visited: set[tuple[frozenset[int], int]] = set()

    def can_order(remaining: frozenset[int], revision: int) -> bool:
        if all(operations[index].result is None for index in remaining):
            return True
        if (remaining, revision) in visited:
            return False
        visited.add((remaining, revision))
        first_end = min(operations[index].ended for index in remaining)
        for index in remaining:
            operation = operations[index]
            if operation.started > first_end:
                continue
            accepted = operation.base_revision == revision
            if result_matches(operation.result, accepted, revision) and can_order(
                remaining - {index}, revision + accepted
            ):
                return True
        return False

    return can_order(frozenset(range(len(operations))), 0)


def result_matches(result: Result | None, accepted: bool, revision: int) -> bool:
    if result is None:
        return True
    if accepted:
        return result == Accepted(revision + 1)
    return isinstance(result, Conflict) and result.current_revision == revision


def test_linearizability_check_detects_a_lost_update() -> None:
    # Guards against a linearizability check that accepts every history.
    lost_update = [Operation(0, 1, 0, Accepted(1)), Operation(2, 3, 0, Accepted(2))]
    assert not is_linearizable(lost_update)
    assert not is_linearizable([Operation(0, 1, 0, Accepted(1))] * 2)
    stale_read = Operation(2, 3, 0, Conflict(0, "", 0, None))
    assert not is_linearizable([lost_update[0], stale_read])
    unanswered = Operation(0, 99, 0, None)
    assert is_linearizable([unanswered, Operation(2, 3, 1, Accepted(2))])


Submit = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


def faulty_submit(history: ConfigurationHistory, rng: random.Random) -> Submit:
    """Return a `submit` that delays, duplicates and loses messages and answers."""
    delayed_tasks: set[asyncio.Task[None]] = set()

    async def apply_delayed(message: dict[str, Any]) -> None:
        await asyncio.sleep(rng.uniform(0, 30))
        history.apply(message)

    async def submit(message: dict[str, Any]) -> dict[str, Any]:
        message = json.loads(json.dumps(message))
        await asyncio.sleep(rng.uniform(0, 2))
        if rng.random() < 0.3:
            task = asyncio.create_task(apply_delayed(message))
            delayed_tasks.add(task)
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
    rng = random.Random(seed)
    history = ConfigurationHistory()
    submit = faulty_submit(history, rng)
    operations: list[Operation] = []
    event_numbers = iter(range(10_000))

    async def run_operator(name: str) -> None:
        for number in range(4):
            await asyncio.sleep(rng.uniform(0, 3))
            base = history.current.number
            await asyncio.sleep(rng.uniform(0, 3))
            body = json.dumps({"services": {f"{name}{number}": {}}})
            command = ApplyConfiguration(f"{name}-{number}", base, body, name, 5)
            started, result = next(event_numbers), None
            for _ in range(rng.randint(1, 4)):
                try:
                    result = result_from_json(await submit(command.to_json()))
                    break
                except TimeoutError:
                    continue
            ended = next(event_numbers) if result else 10_000
            operations.append(Operation(started, ended, base, result))

    await asyncio.gather(*(run_operator(name) for name in ("anna", "berta", "carl")))
    await asyncio.sleep(60)
    return operations, history


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_concurrent_changes_are_linearizable(seed: int) -> None:
    # Guards against two acceptances of the same revision, and against a resend that
    # takes effect twice.
    operations, history = run_virtual(run_operators(seed))
    assert is_linearizable(operations)
    accepted = [
        operation.result
        for operation in operations
        if isinstance(operation.result, Accepted)
    ]
    assert len({result.revision for result in accepted}) == len(accepted)
    assert history.current.number <= len(operations)
