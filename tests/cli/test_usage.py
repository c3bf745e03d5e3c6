"""Wrong usage and hosts that cannot be reached."""

import json
import socket
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli import main


@pytest.fixture
def closed_address() -> str:
    """Return an address at which nobody listens."""
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{held.getsockname()[1]}"


@pytest.mark.parametrize("arguments", [(), ("--help",)])
def test_help_lists_the_commands(
    capsys: pytest.CaptureFixture[str], arguments: tuple[str, ...]
):
    """Guards against a help that names options and no command."""
    main(arguments)
    assert "config" in capsys.readouterr().out


def test_a_host_that_does_not_run_ends_with_4(program: Any, closed_address: str):
    """Guards against a script that takes "nobody answered" for a refusal."""
    run = program("hosts", "--host", closed_address)
    assert run.exit_code == 4
    assert closed_address in run.err
    assert "check that the host runs" in run.err


def test_no_change_is_sent_when_no_host_answers(
    program: Any, closed_address: str, tmp_path: Path
):
    """Guards against calling an apply's outcome unknown though nothing was sent."""
    text = tmp_path / "text.json"
    text.write_text('{"services": {}}')
    arguments = ["--base-revision", "1", "--host", closed_address]
    assert program("config", "apply", str(text), *arguments).exit_code == 4


@pytest.mark.parametrize(
    "arguments",
    [
        ("hosts",),
        ("hosts", "--hots", "127.0.0.1:1"),
        ("hosts", "surplus", "--host", "127.0.0.1:1"),
        ("config", "shwo"),
        ("config", "apply", "text", "--base-revision", "x", "--host", "127.0.0.1:1"),
        ("config", "apply", "text", "--wait-s", "x", "--host", "127.0.0.1:1"),
        ("hosts", "--host", "127.0.0.1:1", "--token-file", "/nonexistent/token"),
        ("hosts", "--host", "127.0.0.1:1", "--ca-file", "/nonexistent/ca.pem"),
        ("config", "check", "/nonexistent/text.json"),
        ("config", "diff", "/nonexistent/text.json", "--host", "127.0.0.1:1"),
        ("receipt", "verify", "/nonexistent/receipt", "--host", "127.0.0.1:1"),
        ("trace", "show", "/nonexistent/trace", "request"),
    ],
)
def test_wrong_usage_ends_with_2(program: Any, arguments: tuple[str, ...]):
    """Guards against wrong usage that looks like an unreachable host."""
    assert program(*arguments).exit_code == 2


def test_a_surplus_word_runs_nothing(operator: Any, tmp_path: Path):
    """Guards against an apply that is done before its arguments are understood."""
    text = tmp_path / "text.json"
    text.write_text('{"services": {}}')
    before = operator("config", "show", "--json").fields["number"]
    assert operator("config", "apply", str(text), str(before)).exit_code == 2
    assert operator("config", "show", "--json").fields["number"] == before


def test_malformed_client_settings_name_the_variable(
    program: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a stack trace for a misspelt settings file."""
    settings = tmp_path / "client.json"
    for content in ("{", "[]", '{"hosts": "127.0.0.1:1"}', '{"host": 7}'):
        settings.write_text(content)
        monkeypatch.setenv("KINGCUPLUG_CLIENT", str(settings))
        run = program("hosts")
        assert run.exit_code == 2, content
        assert run.err.startswith("kingcuplug: ")


def test_options_go_before_the_settings_file(operator: Any, closed_address: str):
    """Guards against a command that goes to another host than the one named."""
    assert operator("hosts").exit_code == 0
    assert operator("hosts", "--host", closed_address).exit_code == 4


def test_json_errors_carry_the_exit_code(program: Any, closed_address: str):
    """Guards against errors that scripts cannot read under --json."""
    run = program("hosts", "--host", closed_address, "--json")
    fields = json.loads(run.err)
    assert fields["exit_code"] == run.exit_code == 4
    assert fields["error"] == "Unreachable"
    assert fields["remedy"]


def test_a_switch_does_not_take_the_next_word(program: Any, tmp_path: Path):
    """Guards against `--json FILE` reading FILE as the switch's value."""
    text = tmp_path / "text.json"
    text.write_text('{"services": {"trims": {}}}')
    run = program("config", "check", "--json", str(text))
    assert run.exit_code == 0
    assert run.fields == {"services": 1, "faults": []}


def test_a_wrong_token_is_refused(operator: Any, tmp_path: Path):
    """Guards against operators' commands without the operators' token."""
    wrong = tmp_path / "wrong"
    wrong.write_text("announce-secret")
    run = operator("hosts", "--token-file", str(wrong), "--json")
    assert run.exit_code == 1
    assert "bearer token" in json.loads(run.err)["message"]


def test_the_peer_address_is_named_as_the_mistake(operator: Any, deployment: Any):
    """Guards against a bare 404 when the wrong listener is asked."""
    run = operator("hosts", "--host", deployment.local.hosts[0].peer_address)
    assert run.exit_code == 4
    assert "caller_address" in run.err
