"""Tests that the documentation pages match the code."""

import json
import re
import shlex
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli._results import ExitCode
from kingcuplug_common import HostSettings, Refusal, RefusalKind, RefusalReason
from kingcuplug_daemon import Host
from kingcuplug_daemon._http import status_code

from tests.conftest import CONFIGURATION_TEXT

DOCS = Path(__file__).parents[2] / "docs"
SECOND_HOST = "127.0.1.2:9080"
SECOND_MEMBER = "entry-02/0123456789abcdef"


def test_documented_refusals_match_code():
    """Guards against callers that rely on a reason or status that is not sent."""
    page = (DOCS / "interfaces.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d{3}) \| (?:`\w+`|both) \|", page, re.M)
    documented = {reason: int(status) for reason, status in rows}
    implemented = {
        reason.value: status_code(Refusal(RefusalKind.NOT_RUN, reason, "", ""))
        for reason in RefusalReason
    }
    assert documented == implemented
    assert len(rows) == len(implemented)


def test_documented_exit_codes_match_code():
    """Guards against scripts that misread an exit code."""
    page = (DOCS / "operating.md").read_text()
    section = page[page.index("## 9. Exit codes") :]
    assert [int(code) for code in re.findall(r"^\| (\d) \|", section, re.M)] == list(
        ExitCode
    )


def _operating_page_commands() -> list[str]:
    page = (DOCS / "operating.md").read_text()
    blocks = re.findall(r"```\n(.*?)```", page, re.S)
    lines = [line for block in blocks for line in block.splitlines()]
    return [line for line in lines if line.startswith("kingcuplug ")]


@pytest.fixture
def unbootstrapped_hosts(deployment: Any, tmp_path: Path) -> Iterator[list[Host]]:
    """Return two hosts of a system that is not bootstrapped."""

    async def start() -> list[Host]:
        hosts: list[Host] = []
        for number in (1, 2):
            settings = HostSettings(
                host=f"entry-0{number}",
                availability_zone="zone-1",
                roles=frozenset(("control", "entry")),
                caller_address="127.0.0.1:0",
                peer_address="127.0.0.1:0",
                data_folder=tmp_path / f"data-{number}",
            )
            hosts.append(Host(settings))
            await hosts[-1].start()
        return hosts

    hosts = deployment.run(start())
    yield hosts
    for host in hosts:
        deployment.run(host.stop(grace_ms=0))


def test_every_command_of_operating_page_succeeds(
    run_as_operator: Any,
    deployment: Any,
    unbootstrapped_hosts: list[Host],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against documented commands that fail."""
    monkeypatch.chdir(tmp_path)
    _, answer = deployment.call("stock", "query", {"body": 1})
    (tmp_path / "answer.json").write_text(json.dumps(answer))
    (tmp_path / "configuration.json").write_text(CONFIGURATION_TEXT)
    span = {"trace": "t", "span": "s", "parent": None, "name": "query", "start_us": 1}
    span |= {"duration_us": 1, "fields": {"request_id": "request-1"}}
    (tmp_path / "trace.jsonl").write_text(json.dumps(span))
    (tmp_path / "client.json").write_text(
        json.dumps({"host": unbootstrapped_hosts[0].caller_address})
    )
    token = f"--token-file={tmp_path / 'token'}"
    commands = _operating_page_commands()
    assert len(commands) >= 20
    for command in commands:
        member = deployment.run(_member_id(unbootstrapped_hosts[1]))
        line = command.replace(SECOND_HOST, unbootstrapped_hosts[1].peer_address)
        words = shlex.split(line.replace(SECOND_MEMBER, member))[1:]
        if words[0] == "receipt":
            # The receipt comes from the deployment that has backend servers.
            words += ["--host", deployment.address(), token]
        run = run_as_operator(*words)
        assert run.exit_code == 0, f"{command}: {run.err or run.out}"


async def _member_id(host: Host) -> str:
    assert host.control is not None
    return host.control.identity()["member"]
