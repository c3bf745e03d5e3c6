"""A host whose tree is removed or replaced while it runs."""

import http.client
import importlib.util
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import orjson
import pytest

_ROOT = Path(__file__).parents[2]
_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_METRICS_PORT = 9464
_DOCUMENT = {
    "version": 1,
    "routes": [
        {
            "name": "query",
            "host": "query.example",
            "path_prefix": "/",
            "kind": "safe",
            "timeout_ms": 1_000,
            "fanout_services": ["service"],
            "top_k": 5,
            "minimum": 0.5,
        },
        {
            "name": "order",
            "host": "order.example",
            "path_prefix": "/",
            "kind": "unsafe",
            "timeout_ms": 1_000,
            "service": "service",
        },
    ],
    "services": [{"name": "service"}],
}
_HEARTBEAT = {
    "service": "service",
    "address": "127.0.0.1:1",
    "zone": "z",
    "slots": 1,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1,
}


@pytest.fixture
def deps(tmp_path):
    """Return a folder of what a host imports to start, without prometheus_client."""
    folder = tmp_path / "deps"
    folder.mkdir()
    for package in [*_ROOT.glob("packages/*/src/*"), *_ROOT.glob("platform/src/*")]:
        if (package / "__init__.py").exists():
            shutil.copytree(package, folder / package.name)
    for name in ("httptools", "orjson"):
        source = Path(importlib.util.find_spec(name).origin).parent
        shutil.copytree(source, folder / name)
    return folder


def _call(address, method, path, body=None, **headers):
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_S)
    try:
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body and json.dumps(body), headers)
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


def _await_event(path, name):
    deadline = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < deadline:
        lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
        if any(line["event"] == name for line in lines):
            return lines
        time.sleep(_POLL_INTERVAL_S)
    raise AssertionError(f"no {name} in {path.read_text()}")


def test_host_serves_when_its_tree_is_gone(tmp_path, make_settings, deps):
    """Guards against a late import that ends a process or fails its requests."""
    data_folder = tmp_path / "data"
    data_folder.mkdir()
    # The metrics port is fixed, so that each run has an address of its own.
    address = f"127.21.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
    settings = make_settings(ip=address, data_directory=str(data_folder))
    listen = settings["listen"]
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps(settings))
    log = tmp_path / "log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            # Without the packages that are installed for the tests.
            [sys.executable, "-S", "-m", "kingcuplug_platform"],
            cwd=tmp_path,
            env={"KINGCUPLUG_CONFIG": str(path), "PYTHONPATH": str(deps)},
            stdout=output,
        )
    try:
        _await_event(log, "started")
        deps.rename(deps.with_name("removed"))
        metrics = f"{address}:{_METRICS_PORT}"
        assert _call(metrics, "GET", "/metrics") == 500
        control = listen["control"]
        deadline = time.monotonic() + _TIMEOUT_S
        while _call(control, "PUT", "/v1/configuration", _DOCUMENT) != 200:
            assert time.monotonic() < deadline, log.read_text()
            time.sleep(_POLL_INTERVAL_S)
        assert _call(control, "GET", "/v1/configuration") == 200
        assert _call(control, "PUT", "/v1/instances/server", _HEARTBEAT) == 200
        for host in ("query.example", "order.example"):
            names = {"Host": host, "Attempt_Id": host, "Deadline_Milliseconds": "500"}
            assert _call(listen["front"], "GET", "/", **names) in (502, 503)
        assert _call(control, "DELETE", "/v1/instances/server", {"born": 1}) == 200
        seeds = [*settings["seeds"], "127.0.0.1:1"]
        path.write_bytes(orjson.dumps(settings | {"seeds": seeds}))
        process.send_signal(signal.SIGHUP)
        _await_event(log, "settings_reloaded")
        process.terminate()
        assert process.wait(_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
    lines = _await_event(log, "stopped")
    errors = [line for line in lines if line["event"].endswith(("_error", "_failed"))]
    errors = [line for line in errors if line["event"] != "request_failed"]
    assert [line["error"] for line in errors] == [
        "ModuleNotFoundError(\"No module named 'prometheus_client'\")"
    ]
