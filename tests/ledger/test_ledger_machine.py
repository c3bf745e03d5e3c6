"""State machine test of the ledger with hosts that crash between steps of an order.

The environment of the ledger is modelled: hosts with their incarnations, commands in
flight that are reordered and duplicated, answers that are lost, and the backend
server that runs the orders.
"""

import dataclasses
import json
from collections import Counter
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from kingcuplug_common import RefusalKind
from kingcuplug_ledger import (
    Attached,
    Claim,
    Claimed,
    Dispatch,
    DispatchRecorded,
    KeyExpired,
    KeyReused,
    OrderLedger,
    OrderRecord,
    Outcome,
    Release,
    Result,
    command_to_json,
    order_refusal,
    result_to_json,
)

DAY_MS = 86_400_000
START_MS = 100 * DAY_MS
RETENTIONS_MS = (10 * DAY_MS, 90 * DAY_MS)
KEYS = (f"{START_MS}-abcdefgh", f"{START_MS - 8 * DAY_MS}-ijklmnop")
HOST_COUNT = 3


@dataclasses.dataclass
class OrderTask:
    """Progress of one order at one host.

    `pending_command` is the index of a sent command that is not answered yet.
    """

    host: int
    incarnation: int
    key: str
    token: str
    step: str = "claim"
    pending_command: int | None = None


class LedgerMachine(RuleBasedStateMachine):
    """Delivers the commands of several hosts to two replicas in arbitrary order."""

    @initialize()
    def start(self) -> None:
        """Start the replicas and the hosts."""
        self.stable_replica, self.restarted_replica = OrderLedger(), OrderLedger()
        self.time_ms = START_MS
        self.incarnations = [1] * HOST_COUNT
        self.tasks: list[OrderTask] = []
        self.sent_commands: list[Any] = []
        self.recorded_dispatches: dict[str, set[tuple[str, str]]] = {
            key: set() for key in KEYS
        }
        self.send_counts: Counter[str] = Counter()
        self.executed_keys: set[str] = set()
        self.longest_retention_ms: dict[str, int] = {}

    def _select_task(self, index: int) -> OrderTask | None:
        return self.tasks[index % len(self.tasks)] if self.tasks else None

    def _send_command(self, task: OrderTask, command: Any) -> None:
        task.pending_command = len(self.sent_commands)
        self.sent_commands.append(command)

    def _apply(self, command: Any) -> Result:
        message = {**command_to_json(command), "time_ms": self.time_ms}
        message = json.loads(json.dumps(message))
        before = self.stable_replica.lookup(command.key)
        result = self.stable_replica.apply(message)
        assert result_to_json(self.restarted_replica.apply(message)) == result_to_json(
            result
        )
        self._check_result(command, before, result)
        return result

    def _check_result(
        self, command: Any, before: OrderRecord | None, result: Any
    ) -> None:
        if isinstance(result, Claimed):
            retained = self.longest_retention_ms.get(command.key, 0)
            self.longest_retention_ms[command.key] = max(retained, command.retention_ms)
        if isinstance(result, DispatchRecorded):
            self.recorded_dispatches[command.key].add(
                (command.token, command.attempt_id)
            )
            assert before is not None
            if before.state == "claimed":
                issue_ms = int(command.key.split("-")[0])
                assert (
                    self.stable_replica.time_ms
                    <= issue_ms + self.longest_retention_ms[command.key]
                )
        if isinstance(result, Attached | KeyExpired | KeyReused):
            self._check_reply_to_caller(command.key, result)

    def _check_reply_to_caller(self, key: str, result: Any) -> None:
        outcome = getattr(result, "outcome", None)
        if outcome is not None and outcome.kind == "done":
            assert key in self.executed_keys, (
                "a caller gets the outcome of an order that has not run"
            )
        elif order_refusal(result).kind == RefusalKind.NOT_RUN:
            assert key not in self.executed_keys, (
                "a caller gets not_run for an order that ran"
            )

    @rule(
        host=st.integers(0, HOST_COUNT - 1),
        key=st.sampled_from(KEYS),
        takeover=st.booleans(),
        retention_ms=st.sampled_from(RETENTIONS_MS),
    )
    def claim_key(self, host: int, key: str, takeover: bool, retention_ms: int) -> None:
        """Let a host claim a key, possibly by takeover from a live host."""
        token = f"t{len(self.sent_commands)}"
        incarnation = self.incarnations[host]
        task = OrderTask(host, incarnation, key, token)
        self.tasks.append(task)
        name = f"entry-{host}"
        self._send_command(
            task,
            Claim(
                key, "d", "s", name, incarnation, token, 0, 1, retention_ms, takeover
            ),
        )

    @precondition(lambda self: self.sent_commands)
    @rule(index=st.integers(0, 99), answered=st.booleans())
    def deliver_command(self, index: int, answered: bool) -> None:
        """Apply any command that was ever sent; its sender may receive the result."""
        command_index = index % len(self.sent_commands)
        result = self._apply(self.sent_commands[command_index])
        for task in self.tasks:
            if answered and task.pending_command == command_index:
                task.pending_command = None
                self._advance_task(task, result)

    @precondition(lambda self: self.sent_commands)
    @rule(answered=st.booleans())
    def deliver_newest_command(self, answered: bool) -> None:
        """Apply the newest command, so that orders reach an outcome."""
        self.deliver_command(len(self.sent_commands) - 1, answered)

    def _advance_task(self, task: OrderTask, result: Result) -> None:
        expected = {"claim": Claimed, "dispatch": DispatchRecorded}.get(task.step)
        if expected is None or not isinstance(result, expected):
            task.step = "ended"
        elif task.step == "claim":
            task.step = "dispatch"
            attempt = f"a{len(self.sent_commands)}"
            self._send_command(
                task, Dispatch(task.key, task.token, "server", attempt, 0)
            )
        else:
            task.step = "send"

    @rule(index=st.integers(0, 99), result=st.sampled_from(["done", "not_run", "lost"]))
    def send_order(self, index: int, result: str) -> None:
        """Send a dispatched order, which runs unless the result is not_run."""
        ready = [task for task in self.tasks if task.step == "send"]
        if not ready:
            return
        task = ready[index % len(ready)]
        self.send_counts[task.key] += 1
        if result != "not_run":
            self.executed_keys.add(task.key)
        kind: Any = "unknown" if result == "lost" else result
        task.step = "outcome"
        self._send_command(task, Outcome(task.key, task.token, kind, "ok", None, 0))

    @rule(index=st.integers(0, 99))
    def record_late_reply(self, index: int) -> None:
        """Record a reply that arrives after its attempt was abandoned."""
        ran = [task for task in self.tasks if task.key in self.executed_keys]
        if ran:
            task = ran[index % len(ran)]
            self.sent_commands.append(
                Outcome(task.key, task.token, "done", "late", None, 0)
            )

    @rule(index=st.integers(0, 99))
    def release_claim(self, index: int) -> None:
        """Release a claim whose command or dispatch may still be in flight."""
        task = self._select_task(index)
        if task is not None and task.step in ("claim", "dispatch"):
            task.step = "ended"
            self._send_command(task, Release(task.key, task.token, 0))

    @rule(host=st.integers(0, HOST_COUNT - 1))
    def crash_host(self, host: int) -> None:
        """Crash a host at any step; its commands in flight remain."""
        self.incarnations[host] += 1
        self.tasks = [task for task in self.tasks if task.host != host]

    @rule(step_ms=st.sampled_from([1, 600_000, DAY_MS, 9 * DAY_MS, 85 * DAY_MS]))
    def advance_time(self, step_ms: int) -> None:
        """Advance the time, possibly beyond the retention."""
        self.time_ms += step_ms

    @rule(offset_ms=st.integers(1, 20 * DAY_MS))
    def set_clock_back(self, offset_ms: int) -> None:
        """Elect a leader whose clock is behind."""
        self.time_ms = max(START_MS, self.time_ms - offset_ms)

    @rule()
    def restart_replica(self) -> None:
        """Restart one replica from its snapshot."""
        state = json.loads(json.dumps(self.restarted_replica.dump()))
        self.restarted_replica = OrderLedger()
        self.restarted_replica.load(state)

    @rule(key=st.sampled_from(KEYS))
    def check_record(self, key: str) -> None:
        """Compare the record and its explanation with the orders that ran."""
        record = self.stable_replica.lookup(key)
        if record is not None and not (record.outcome or record.state == "claimed"):
            self._check_reply_to_caller(key, record)
        if "has not run" in self.stable_replica.explain(key):
            assert key not in self.executed_keys

    @invariant()
    def orders_run_at_most_once(self) -> None:
        """Check the guarantees of the ledger and that the replicas agree."""
        for key in KEYS:
            assert len(self.recorded_dispatches[key]) <= 1, "two dispatches of one key"
            assert self.send_counts[key] <= 1, "one order was sent twice"
            record = self.stable_replica.lookup(key)
            outcome = record.outcome if record else None
            if outcome is not None and outcome.kind == "not_run":
                assert key not in self.executed_keys
        assert self.restarted_replica.dump() == self.stable_replica.dump(), (
            "replicas disagree"
        )


def test_orders_run_at_most_once() -> None:
    # Guards against an order that runs twice or after its retention, and against
    # not_run for an order that ran, when hosts crash between any two steps.
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        LedgerMachine,
        settings=settings(
            derandomize=True, max_examples=250, stateful_step_count=50, deadline=None
        ),
    )
