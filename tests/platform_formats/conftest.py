"""A host of the platform as a real process."""

import os
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import randint
from typing import IO, Any

import orjson
import pytest

_DEPLOYMENT = Path(__file__).parents[2] / "deploy/system.toml"
# How the platform starts a host, without the interpreter's name.
RUN_ARGUMENTS = tomllib.loads(_DEPLOYMENT.read_text())["roles"]["host"]["run"].split()[
    1:
]
_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.01


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free on the loopback address."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


@dataclass
class HostRun:
    """Settings of a host and its process; `lines` are its log, as they come."""

    settings: dict[str, Any]
    path: Path
    process: subprocess.Popen[bytes]
    lines: list[dict[str, Any]] = field(default_factory=list)

    def wait_for_event(self, name: str, count: int = 1) -> dict[str, Any]:
        """Return the `count`-th line of an event; fail if the process ends first."""
        deadline = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline:
            # Asked first, so that the last lines of an ended process are read.
            ended = self.process.poll()
            found = [line for line in list(self.lines) if line["event"] == name]
            if len(found) >= count:
                return found[count - 1]
            assert ended is None, f"ended with {ended} before {name}: {self.lines}"
            time.sleep(_POLL_INTERVAL_S)
        raise AssertionError(f"no {name} in {self.lines}")

    def wait_for_ready(self) -> None:
        """Wait until callers are accepted."""
        host, _, port = self.settings["listen"]["front"].rpartition(":")
        deadline = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline:
            assert self.process.poll() is None, self.lines
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
                return
            except OSError:
                time.sleep(_POLL_INTERVAL_S)
        raise AssertionError(f"callers are not accepted: {self.lines}")

    def wait_for_exit(self) -> int:
        """Return the exit status."""
        return self.process.wait(_TIMEOUT_S)


def _make_loopback_address() -> str:
    return f"127.{randint(1, 254)}.{randint(1, 254)}.{randint(1, 254)}"


def _read_lines(run: HostRun, output: IO[bytes]) -> None:
    for line in output:
        run.lines.append(orjson.loads(line))


@pytest.fixture
def make_settings() -> Callable[..., dict[str, Any]]:
    """Return a function that makes the settings of a host without a disk."""

    def make(**fields: Any) -> dict[str, Any]:
        front, ready, control = find_free_ports(3)
        settings = {
            "node_name": "host",
            # The port of the metrics is fixed: hosts of other runs have it, too.
            "ip": _make_loopback_address(),
            "zone": "z",
            "listen": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
            },
            "seeds": [f"127.0.0.1:{control}"],
            "first_start": True,
            "data_directory": None,
            "heartbeat_interval_ms": 1_000,
            "fault_tolerance": {"machines": 0},
            "limits": {"cpu_share": 1.0, "cpu_cores": 1, "link_mbps": 1_000.0},
            "bounds": {
                "grace_s": 2,
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 60,
                "retry_window_s": 10,
            },
        }
        return settings | fields

    return make


@pytest.fixture
def start_host(
    tmp_path: Path, make_settings: Callable[..., dict[str, Any]]
) -> Iterator[Callable[..., HostRun]]:
    """Return a function that starts a host process; all are ended after the test."""
    runs: list[HostRun] = []

    def start(
        settings: dict[str, Any] | None = None,
        data: bytes | None = None,
        is_pipe: bool = False,
        first_module_folders: Sequence[Path] = (),
        **options: Any,
    ) -> HostRun:
        """Start a process; `data` replaces the content of its settings file.

        With `is_pipe` the test writes the settings, for which the process waits.
        `first_module_folders` come before those of the sources under test.
        """
        settings = make_settings() if settings is None else settings
        path = tmp_path / f"settings-{len(runs)}.json"
        if is_pipe:
            os.mkfifo(path)
        else:
            path.write_bytes(orjson.dumps(settings) if data is None else data)
        folders = [*first_module_folders, *sys.path]
        process = subprocess.Popen(
            [sys.executable, *RUN_ARGUMENTS],
            env=os.environ
            | {
                "KINGCUPLUG_CONFIG": str(path),
                # The sources under test, not an installed copy.
                "PYTHONPATH": os.pathsep.join(map(str, folders)),
            },
            **({"stdout": subprocess.PIPE, "stderr": subprocess.DEVNULL} | options),
        )
        run = HostRun(settings, path, process)
        runs.append(run)
        if process.stdout is not None:
            reader = threading.Thread(
                target=_read_lines, args=(run, process.stdout), daemon=True
            )
            reader.start()
        return run

    yield start
    for run in runs:
        run.process.kill()
        run.process.wait()
        if run.process.stdout is not None:
            run.process.stdout.close()
