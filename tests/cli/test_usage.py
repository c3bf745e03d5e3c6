"""Tests of wrong usage and of hosts that cannot be reached."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli import main
from kingcuplug_testkit import refusing_address


@pytest.fixture
def closed_address() -> Iterator[str]:
    """Return an address on which nothing listens."""
    with refusing_address() as address:
        yield address


@pytest.mark.parametrize("arguments", [(), ("--help",)])
def test_help_lists_the_commands(
    capsys: pytest.CaptureFixture[str], arguments: tuple[str, ...]
):
    """Guards against help that lists options but no commands."""
    main(arguments)
    assert "config" in capsys.readouterr().out


def test_unreachable_host_exits_with_4(run_program: Any, closed_address: str):
    """Guards against scripts that mistake an unreachable host for a refusal."""
    run = run_program("hosts", "--host", closed_address)
    assert run.exit_code == 4
    assert closed_address in run.err
    assert "check that the host runs" in run.err


def test_apply_to_unreachable_host_exits_with_4(
    run_program: Any, closed_address: str, tmp_path: Path
):
    """Guards against an unknown outcome for a change that was never sent."""
    text = tmp_path / "text.json"
    text.write_text('{"services": {}}')
    arguments = ["--base-revision", "1", "--host", closed_address]
    assert run_program("config", "apply", str(text), *arguments).exit_code == 4


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
def test_wrong_usage_exits_with_2(run_program: Any, arguments: tuple[str, ...]):
    """Guards against wrong usage that looks like an unreachable host."""
    assert run_program(*arguments).exit_code == 2


def test_surplus_argument_runs_nothing(run_as_operator: Any, tmp_path: Path):
    """Guards against an apply that runs before all arguments are parsed."""
    text = tmp_path / "text.json"
    text.write_text('{"services": {}}')
    before = run_as_operator("config", "show", "--json").fields["number"]
    assert run_as_operator("config", "apply", str(text), str(before)).exit_code == 2
    assert run_as_operator("config", "show", "--json").fields["number"] == before


def test_malformed_client_settings_name_the_variable(
    run_program: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a stack trace for a misspelt settings file."""
    settings = tmp_path / "client.json"
    for content in ("{", "[]", '{"hosts": "127.0.0.1:1"}', '{"host": 7}'):
        settings.write_text(content)
        monkeypatch.setenv("KINGCUPLUG_CLIENT", str(settings))
        run = run_program("hosts")
        assert run.exit_code == 2, content
        assert run.err.startswith("kingcuplug: ")


def test_options_override_settings_file(run_as_operator: Any, closed_address: str):
    """Guards against a command that ignores --host."""
    assert run_as_operator("hosts").exit_code == 0
    assert run_as_operator("hosts", "--host", closed_address).exit_code == 4


def test_json_errors_include_exit_code(run_program: Any, closed_address: str):
    """Guards against errors that scripts cannot read under --json."""
    run = run_program("hosts", "--host", closed_address, "--json")
    fields = json.loads(run.err)
    assert fields["exit_code"] == run.exit_code == 4
    assert fields["error"] == "Unreachable"
    assert fields["remedy"]


def test_switch_does_not_consume_next_argument(run_program: Any, tmp_path: Path):
    """Guards against `--json FILE` reading FILE as the switch's value."""
    text = tmp_path / "text.json"
    text.write_text('{"services": {"trims": {}}}')
    run = run_program("config", "check", "--json", str(text))
    assert run.exit_code == 0
    assert run.fields == {"services": 1, "faults": []}


def test_wrong_token_is_refused(run_as_operator: Any, tmp_path: Path):
    """Guards against operators' commands without the operators' token."""
    wrong = tmp_path / "wrong"
    wrong.write_text("announce-secret")
    run = run_as_operator("hosts", "--token-file", str(wrong), "--json")
    assert run.exit_code == 1
    assert "bearer token" in json.loads(run.err)["message"]


def test_error_at_peer_address_names_caller_address(
    run_as_operator: Any, deployment: Any
):
    """Guards against an unexplained 404 from the wrong listener."""
    run = run_as_operator("hosts", "--host", deployment.local.hosts[0].peer_address)
    assert run.exit_code == 4
    assert "caller_address" in run.err
