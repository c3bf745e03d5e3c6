"""Fixtures of the tests of the operators' commands."""

import dataclasses
import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli import main

from tests.conftest import DeploymentThread, shared_deployment


@dataclasses.dataclass(frozen=True)
class ProgramRun:
    """Exit code and output of one run of the program."""

    exit_code: int
    out: str
    err: str

    @property
    def fields(self) -> Any:
        """The result as JSON."""
        return json.loads(self.out)


RunProgram = Callable[..., ProgramRun]


@pytest.fixture(scope="package")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[DeploymentThread]:
    """Return the deployment shared by the tests of this folder."""
    with shared_deployment(tmp_path_factory.mktemp("deployment")) as running:
        yield running


@pytest.fixture
def run_program(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> RunProgram:
    """Return a function that runs `kingcuplug` with the given arguments."""
    monkeypatch.delenv("KINGCUPLUG_CLIENT", raising=False)

    def run(*arguments: str) -> ProgramRun:
        capsys.readouterr()
        with pytest.raises(SystemExit) as exited:
            main(arguments)
        captured = capsys.readouterr()
        return ProgramRun(int(exited.value.code or 0), captured.out, captured.err)

    return run


@pytest.fixture
def run_as_operator(
    run_program: RunProgram,
    deployment: Any,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> RunProgram:
    """Return `run_program` with host and token set by a client settings file."""
    token = tmp_path / "token"
    token.write_text("operator-secret\n")
    settings = tmp_path / "client.json"
    settings.write_text(
        json.dumps({"host": deployment.address(), "token_file": str(token)})
    )
    monkeypatch.setenv("KINGCUPLUG_CLIENT", str(settings))
    return run_program
