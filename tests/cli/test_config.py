"""Commands about the configuration, against a running deployment."""

import json
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli import _config
from kingcuplug_cli._connection import Connection, OperatorClient
from kingcuplug_cli._results import OutcomeUnknown


@pytest.fixture
def text(operator: Any, tmp_path: Path):
    """Return a function that writes the text in force with another retention."""

    def write(retention_days: int, **services: Any) -> Path:
        fields = json.loads(operator("config", "show", "--raw").out)
        fields["retention_days"] = retention_days
        fields["services"].update(services)
        path = tmp_path / f"text-{retention_days}.json"
        path.write_text(json.dumps(fields))
        return path

    return write


def test_a_faulty_text_is_not_sent(operator: Any, tmp_path: Path):
    """Guards against faults that an operator learns one by one."""
    path = tmp_path / "faulty.json"
    path.write_text('{"services": {"a": {"depends_on": ["b", "c"]}}}')
    run = operator("config", "check", str(path))
    assert run.exit_code == 1
    assert "'b'" in run.out
    assert "'c'" in run.out
    assert operator("config", "apply", str(path)).exit_code == 1


def test_apply_waits_until_it_is_in_force_everywhere(
    operator: Any, text: Any, deployment: Any
):
    """Guards against "accepted" being taken for "in force everywhere"."""
    run = operator("config", "apply", str(text(41)), "--wait", "--author", "ana")
    assert run.exit_code == 0
    revision = operator("config", "show", "--json").fields["number"]
    assert f"accepted as revision {revision}" in run.out
    assert f"revision {revision} is in force everywhere" in run.out
    assert [host.entry.configuration.current() for host in deployment.local.hosts] == [
        revision,
        revision,
    ]
    status = operator("config", "status", "--json")
    assert status.exit_code == 0
    assert status.fields["in_force"]
    assert {row["host"] for row in status.fields["hosts"]} == {"host-01", "host-02"}
    assert f"revision {revision}" in operator("config", "history").out


def test_diff_shows_what_a_text_changes(operator: Any, text: Any):
    """Guards against an apply whose effect nobody could see before."""
    run = operator("config", "diff", str(text(42, added={})))
    assert run.exit_code == 0
    assert "+ service added" in run.out
    assert "-> 42" in run.out


def test_the_loser_of_a_race_learns_the_winner(operator: Any, text: Any):
    """Guards against a conflict that does not say who won and what differs."""
    base = operator("config", "show", "--json").fields["number"]
    mine = text(44)
    winner = operator("config", "apply", str(text(43)), "--author", "bia")
    assert winner.exit_code == 0
    run = operator("config", "apply", str(mine), "--base-revision", str(base))
    assert run.exit_code == 1
    assert f"revision {base + 1} by bia" in run.out
    assert "retention_days: 43 -> 44" in run.out
    assert f"--base-revision {base + 1}" in run.out
    fields = operator(
        "config", "apply", str(mine), "--base-revision", str(base), "--json"
    ).fields
    assert fields["winner_author"] == "bia"
    assert fields["changed_since_base"] == ["retention_days: 43"]


def test_the_same_change_again_is_the_same_revision(operator: Any, text: Any):
    """Guards against a resend that is applied twice or gets a conflict."""
    base = str(operator("config", "show", "--json").fields["number"])
    arguments = ["--base-revision", base, "--author", "ana", "--json"]
    path = str(text(45))
    first = operator("config", "apply", path, *arguments).fields
    assert operator("config", "apply", path, *arguments).fields == first
    other = operator(
        "config", "apply", path, "--base-revision", base, "--author", "eva"
    )
    assert other.exit_code == 1


def test_the_present_text_is_not_sent_again(operator: Any, tmp_path: Path):
    """Guards against revisions that change nothing."""
    shown = operator("config", "show", "--json").fields
    path = tmp_path / "same.json"
    path.write_text(shown["text"])
    run = operator("config", "apply", str(path), "--wait")
    assert run.exit_code == 0
    assert f"unchanged: this text is revision {shown['number']}" in run.out


class _AnswerLosingClient(OperatorClient):
    """Loses the answers of the first changes; the host applies them."""

    answers_to_lose = 0

    async def call(self, path: str, *args: Any, mutating: bool = False, **kw: Any):
        answer = await super().call(path, *args, mutating=mutating, **kw)
        if mutating and self.answers_to_lose:
            self.answers_to_lose -= 1
            raise OutcomeUnknown("the answer was lost", "ask again")
        return answer


def _make_lossy_client(
    deployment: Any, tmp_path: Path, lost: int
) -> _AnswerLosingClient:
    token = tmp_path / "token"
    client = _AnswerLosingClient(
        Connection(host=deployment.address(), token_file=token)
    )
    client.answers_to_lose = lost
    return client


def test_a_lost_answer_is_followed_by_a_resend(
    operator: Any, deployment: Any, text: Any, tmp_path: Path
):
    """Guards against a conflict with one's own change after a lost answer."""
    path = str(text(46))
    base = operator("config", "show", "--json").fields["number"]
    client = _make_lossy_client(deployment, tmp_path, 1)
    applied = deployment.run(_config.apply(client, path, author="ana"))
    assert (applied.revision, applied.resends) == (base + 1, 1)


def test_a_host_that_ends_after_a_lost_answer_leaves_the_outcome_unknown(
    operator: Any, deployment: Any, text: Any, tmp_path: Path
):
    """Guards against "nothing was sent" when only the resend was not."""
    path = str(text(48))
    client = _make_lossy_client(deployment, tmp_path, 1)
    sent = client.call

    async def call(*args: Any, **kw: Any) -> dict[str, Any]:
        try:
            return await sent(*args, **kw)
        finally:
            if kw.get("mutating"):
                client.host = "127.0.0.1:1"

    client.call = call
    with pytest.raises(OutcomeUnknown):
        deployment.run(_config.apply(client, path, author="ana", resend_s=0.6))


def test_an_outcome_that_stays_unknown_says_how_to_resend(
    operator: Any, deployment: Any, text: Any, tmp_path: Path
):
    """Guards against a second revision when an operator repeats the command."""
    path = str(text(47))
    base = operator("config", "show", "--json").fields["number"]
    client = _make_lossy_client(deployment, tmp_path, 9)
    with pytest.raises(OutcomeUnknown) as unknown:
        deployment.run(_config.apply(client, path, author="ana", resend_s=0.0))
    assert f"--base-revision {base}" in unknown.value.remedy
    assert unknown.value.exit_code == 3
    arguments = ["--author", "ana", "--base-revision", str(base), "--json"]
    assert operator("config", "apply", path, *arguments).fields["revision"] == base + 1


def test_a_wait_that_ends_too_early_is_not_done(deployment: Any, operator: Any):
    """Guards against "in force" while the leases of an earlier leader still run."""

    async def ask() -> dict[str, Any]:
        control = deployment.local.hosts[0].control
        sessions = control.sessions
        try:
            sessions.wait_in_force = _time_out
            return await control.read(
                {"type": "in_force", "revision": 1, "wait_ms": 10}
            )
        finally:
            del sessions.wait_in_force

    answer = deployment.run(ask())
    assert answer["waiting_for"] == []
    assert not answer["in_force"]


async def _time_out(revision: int) -> None:
    raise TimeoutError
