"""Commands about the configuration, against a running deployment."""

import json
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli import _config
from kingcuplug_cli._connection import Connection, OperatorClient
from kingcuplug_cli._results import OutcomeUnknown


@pytest.fixture
def write_changed_text(run_as_operator: Any, tmp_path: Path):
    """Return a function that writes a changed copy of the text in force to a file."""

    def write(retention_days: int, **services: Any) -> Path:
        fields = json.loads(run_as_operator("config", "show", "--raw").out)
        fields["retention_days"] = retention_days
        fields["services"].update(services)
        path = tmp_path / f"text-{retention_days}.json"
        path.write_text(json.dumps(fields))
        return path

    return write


def test_check_reports_all_faults_and_apply_sends_nothing(
    run_as_operator: Any, tmp_path: Path
):
    """Guards against a check that reports only the first fault."""
    path = tmp_path / "faulty.json"
    path.write_text('{"services": {"a": {"depends_on": ["b", "c"]}}}')
    run = run_as_operator("config", "check", str(path))
    assert run.exit_code == 1
    assert "'b'" in run.out
    assert "'c'" in run.out
    assert run_as_operator("config", "apply", str(path)).exit_code == 1


def test_apply_with_wait_returns_when_in_force_on_all_hosts(
    run_as_operator: Any, write_changed_text: Any, deployment: Any
):
    """Guards against a wait that ends when the change is only accepted."""
    run = run_as_operator(
        "config", "apply", str(write_changed_text(41)), "--wait", "--author", "ana"
    )
    assert run.exit_code == 0
    revision = run_as_operator("config", "show", "--json").fields["number"]
    assert f"accepted as revision {revision}" in run.out
    assert f"revision {revision} is in force everywhere" in run.out
    assert [
        host.entry.configuration.current_revision() for host in deployment.local.hosts
    ] == [
        revision,
        revision,
    ]
    status = run_as_operator("config", "status", "--json")
    assert status.exit_code == 0
    assert status.fields["in_force"]
    assert {row["host"] for row in status.fields["hosts"]} == {"host-01", "host-02"}
    assert f"revision {revision}" in run_as_operator("config", "history").out


def test_diff_lists_changes(run_as_operator: Any, write_changed_text: Any):
    """Guards against a diff that leaves out changed services or retention."""
    run = run_as_operator("config", "diff", str(write_changed_text(42, added={})))
    assert run.exit_code == 0
    assert "+ service added" in run.out
    assert "-> 42" in run.out


def test_conflict_reports_accepted_change(
    run_as_operator: Any, write_changed_text: Any
):
    """Guards against a conflict without the accepted author and the differences."""
    base = run_as_operator("config", "show", "--json").fields["number"]
    refused_text = write_changed_text(44)
    winner = run_as_operator(
        "config", "apply", str(write_changed_text(43)), "--author", "bia"
    )
    assert winner.exit_code == 0
    run = run_as_operator(
        "config", "apply", str(refused_text), "--base-revision", str(base)
    )
    assert run.exit_code == 1
    assert f"revision {base + 1} by bia" in run.out
    assert "retention_days: 43 -> 44" in run.out
    assert f"--base-revision {base + 1}" in run.out
    fields = run_as_operator(
        "config", "apply", str(refused_text), "--base-revision", str(base), "--json"
    ).fields
    assert fields["winner_author"] == "bia"
    assert fields["changed_since_base"] == ["retention_days: 43"]


def test_repeated_change_returns_same_revision(
    run_as_operator: Any, write_changed_text: Any
):
    """Guards against a resend that is applied twice or gets a conflict."""
    base = str(run_as_operator("config", "show", "--json").fields["number"])
    arguments = ["--base-revision", base, "--author", "ana", "--json"]
    path = str(write_changed_text(45))
    first = run_as_operator("config", "apply", path, *arguments).fields
    assert run_as_operator("config", "apply", path, *arguments).fields == first
    conflict = run_as_operator(
        "config", "apply", path, "--base-revision", base, "--author", "eva"
    )
    assert conflict.exit_code == 1


def test_text_in_force_is_not_sent_again(run_as_operator: Any, tmp_path: Path):
    """Guards against a new revision for an unchanged text."""
    shown = run_as_operator("config", "show", "--json").fields
    path = tmp_path / "same.json"
    path.write_text(shown["text"])
    run = run_as_operator("config", "apply", str(path), "--wait")
    assert run.exit_code == 0
    assert f"unchanged: this text is revision {shown['number']}" in run.out


class _AnswerLosingClient(OperatorClient):
    """Loses the answers to the first changes, which the host does apply."""

    answers_to_lose = 0

    async def call(self, path: str, *args: Any, mutating: bool = False, **kw: Any):
        answer = await super().call(path, *args, mutating=mutating, **kw)
        if mutating and self.answers_to_lose:
            self.answers_to_lose -= 1
            raise OutcomeUnknown("the answer was lost", "ask again")
        return answer


def _make_lossy_client(
    deployment: Any, tmp_path: Path, answers_to_lose: int
) -> _AnswerLosingClient:
    token = tmp_path / "token"
    client = _AnswerLosingClient(
        Connection(host=deployment.address(), token_file=token)
    )
    client.answers_to_lose = answers_to_lose
    return client


def test_change_is_resent_after_lost_answer(
    run_as_operator: Any, deployment: Any, write_changed_text: Any, tmp_path: Path
):
    """Guards against a resend that conflicts with its own first attempt."""
    path = str(write_changed_text(46))
    base = run_as_operator("config", "show", "--json").fields["number"]
    client = _make_lossy_client(deployment, tmp_path, 1)
    applied = deployment.run(_config.apply(client, path, author="ana"))
    assert (applied.revision, applied.resends) == (base + 1, 1)


def test_outcome_stays_unknown_if_host_fails_before_resend(
    run_as_operator: Any, deployment: Any, write_changed_text: Any, tmp_path: Path
):
    """Guards against ``Unreachable`` when the first attempt may have been applied."""
    path = str(write_changed_text(48))
    client = _make_lossy_client(deployment, tmp_path, 1)
    original_call = client.call

    async def call(*args: Any, **kw: Any) -> dict[str, Any]:
        try:
            return await original_call(*args, **kw)
        finally:
            if kw.get("mutating"):
                client.host = "127.0.0.1:1"

    client.call = call
    with pytest.raises(OutcomeUnknown):
        deployment.run(_config.apply(client, path, author="ana", resend_s=0.6))


def test_unknown_outcome_explains_how_to_resend(
    run_as_operator: Any, deployment: Any, write_changed_text: Any, tmp_path: Path
):
    """Guards against a second revision when an operator repeats the command."""
    path = str(write_changed_text(47))
    base = run_as_operator("config", "show", "--json").fields["number"]
    client = _make_lossy_client(deployment, tmp_path, 9)
    with pytest.raises(OutcomeUnknown) as unknown:
        deployment.run(_config.apply(client, path, author="ana", resend_s=0.0))
    assert f"--base-revision {base}" in unknown.value.remedy
    assert unknown.value.exit_code == 3
    arguments = ["--author", "ana", "--base-revision", str(base), "--json"]
    assert (
        run_as_operator("config", "apply", path, *arguments).fields["revision"]
        == base + 1
    )


def test_wait_for_leases_of_earlier_leader_is_not_in_force(
    deployment: Any, run_as_operator: Any
):
    """Guards against "in force" while the leases of an earlier leader still run."""

    async def read_in_force() -> dict[str, Any]:
        control = deployment.local.hosts[0].control
        sessions = control.sessions
        try:
            sessions.wait_in_force = _time_out
            return await control.read(
                {"type": "in_force", "revision": 1, "wait_ms": 10}
            )
        finally:
            del sessions.wait_in_force

    answer = deployment.run(read_in_force())
    assert answer["waiting_for"] == []
    assert not answer["in_force"]


async def _time_out(revision: int) -> None:
    raise TimeoutError
