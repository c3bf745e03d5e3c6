"""Memory of a host process under what callers and operators make it hold."""

import contextlib
import resource
import socket
import time
import urllib.error
import urllib.request
import zlib
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import Any

import orjson
import pytest

_LIMIT_MB = 100
_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05
_METRICS_PORT = 9464


@pytest.fixture
def host_with_limit(start_host, make_settings) -> Any:
    """Return a host process that may use `_LIMIT_MB` megabytes."""
    settings = make_settings(ip=_own_address())
    settings["limits"]["memory_mb"] = _LIMIT_MB
    run = start_host(settings)
    run.wait_for_event("started")
    return run


def _own_address() -> str:
    """Return an address of the test, as the port of the metrics is fixed."""
    return f"127.20.{time.monotonic_ns() // 997 % 250 + 1}.7"


def _read_gauges(run: Any) -> dict[str, float]:
    address = f"{run.settings['ip']}:{_METRICS_PORT}"
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as reply:
        lines = reply.read().decode().splitlines()
    return {
        name: float(value)
        for name, _, value in (line.partition(" ") for line in lines)
        if not name.startswith("#") and "{" not in name
    }


def _wait_for(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(_POLL_INTERVAL_S)


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=_TIMEOUT_S)


def test_metrics_tell_what_the_process_uses_of_its_limits(host_with_limit):
    """Guards against a process that is killed for its memory without any sign of it."""
    run = host_with_limit
    with closing(_connect(run.settings["listen"]["front"])) as caller:
        caller.sendall(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + b"x" * 5_000
        )
        _wait_for(
            lambda: _read_gauges(run)["kingcuplug_buffered_request_bytes"] == 5_000
        )
        gauges = _read_gauges(run)
    resident = gauges["kingcuplug_resident_bytes"]
    assert 1e6 < resident <= gauges["kingcuplug_resident_peak_bytes"]
    assert gauges["kingcuplug_memory_limit_bytes"] == _LIMIT_MB * 1e6
    assert gauges["kingcuplug_descriptors_open"] > 0
    assert (
        gauges["kingcuplug_descriptors_open"] < gauges["kingcuplug_descriptors_limit"]
    )
    assert gauges["kingcuplug_uptime_seconds"] > 0
    assert gauges["kingcuplug_buffered_response_bytes"] == 0
    assert gauges["kingcuplug_buffered_answer_bytes"] == 0
    _wait_for(lambda: _read_gauges(run)["kingcuplug_buffered_request_bytes"] == 0)


def _keep_sending(address: str, data: bytes, count: int) -> list[socket.socket]:
    """Open connections that have sent some data and send no more."""
    connections = []
    for _ in range(count):
        connection = _connect(address)
        connections.append(connection)
        with contextlib.suppress(OSError):  # The host may have closed it.
            connection.sendall(data)
    return connections


def _peak_bytes(run: Any) -> float:
    return _read_gauges(run)["kingcuplug_resident_peak_bytes"]


def _unfinished_request(method: str, target: str, body_bytes: int) -> bytes:
    head = f"{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes + 1}"
    return head.encode() + b"\r\n\r\n" + b"x" * body_bytes


def _status_of_small_request(run: Any) -> int:
    with closing(_connect(run.settings["listen"]["front"])) as caller:
        caller.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nsmall")
        return int(caller.recv(65_536).split()[1])


_CHUNKED_POST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("listener", "data", "count"),
    [
        ("front", _unfinished_request("POST", "/", 262_144), 700),
        ("front", _CHUNKED_POST + b"2\r\nxx\r\n" * 500_000, 24),
        ("control", _unfinished_request("PUT", "/v1/configuration", 15_000_000), 10),
        ("control", _unfinished_request("POST", "/peer/v2/poll", 15_000_000), 10),
    ],
)
def test_unfinished_requests_keep_the_process_below_its_limit(
    host_with_limit, listener, data, count
):
    """Guards against a process killed for the bodies that its peers never finish."""
    run = host_with_limit
    connections = _keep_sending(run.settings["listen"][listener], data, count)
    try:
        assert _peak_bytes(run) < _LIMIT_MB * 1e6
        # The answer of a host without routes.
        assert _status_of_small_request(run) == 503
    finally:
        for connection in connections:
            connection.close()
    assert run.process.poll() is None


_NESTED = b"[" + b"[]," * 3_000_000 + b"[]]"


@pytest.mark.parametrize(
    ("head", "body", "status"),
    [
        (b"PUT /v1/configuration", _NESTED, 413),
        (b"PUT /v1/instances/i-1", _NESTED, 413),
        (b"POST /peer/v2/poll", _NESTED, 400),
        (
            b"POST /peer/v2/poll HTTP/1.1\r\nContent-Encoding: deflate",
            zlib.compress(_NESTED),
            400,
        ),
    ],
)
def test_message_that_grows_when_decoded_keeps_the_process_below_its_limit(
    host_with_limit, head, body, status
):
    """Guards against a process killed by one message of many empty values."""
    run = host_with_limit
    line, _, headers = head.partition(b" HTTP/1.1\r\n")
    with closing(_connect(run.settings["listen"]["control"])) as connection:
        connection.sendall(
            line
            + b" HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % len(body)
            + (headers + b"\r\n" if headers else b"")
            + b"\r\n"
            + body
        )
        answered = int(connection.recv(65_536).split()[1])
    assert _peak_bytes(run) < _LIMIT_MB * 1e6
    assert answered == status
    assert run.process.poll() is None


def test_large_documents_do_not_add_up_in_memory_and_on_the_disk(
    start_host, make_settings, tmp_path
):
    """Guards against a log of whole documents that outgrows memory and disk."""
    settings = make_settings(ip=_own_address(), data_directory=str(tmp_path / "data"))
    settings["limits"]["memory_mb"] = _LIMIT_MB
    run = start_host(settings)
    run.wait_for_event("started")
    document = {"routes": [], "services": [], "note": "x" * 1_000_000}
    largest_bytes = 0
    for version in range(1, 61):
        body = orjson.dumps(document | {"version": version})
        _wait_for(lambda body=body: _put_document(run, body) == 200)
        largest_bytes = max(largest_bytes, _size_of_files(tmp_path / "data"))
    assert largest_bytes < 20e6
    assert _peak_bytes(run) < _LIMIT_MB * 1e6
    assert orjson.loads(_get_document(run))["version"] == 60


def _size_of_files(folder: Path) -> int:
    size = 0
    for path in folder.iterdir():
        with contextlib.suppress(FileNotFoundError):  # It was renamed meanwhile.
            size += path.stat().st_size
    return size


def _put_document(run: Any, body: bytes) -> int:
    url = f"http://{run.settings['listen']['control']}/v1/configuration"
    request = urllib.request.Request(url, data=body, method="PUT")
    try:
        with urllib.request.urlopen(request, timeout=5) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code


def _get_document(run: Any) -> bytes:
    url = f"http://{run.settings['listen']['control']}/v1/configuration"
    with urllib.request.urlopen(url, timeout=5) as reply:
        return reply.read()


def test_callers_leave_descriptors_to_everything_else(
    start_host, make_settings, tmp_path
):
    """Guards against callers that bring control, disk and readiness to a halt."""
    settings = make_settings(ip=_own_address(), data_directory=str(tmp_path / "data"))
    settings["limits"]["file_descriptors"] = 700
    run = start_host(settings)
    run.wait_for_event("started")
    resource.prlimit(run.process.pid, resource.RLIMIT_NOFILE, (700, 700))
    body = orjson.dumps({"version": 1, "routes": [], "services": []})
    _wait_for(lambda: _put_document(run, body) == 200)
    unfinished = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nbody"
    callers = _keep_sending(settings["listen"]["front"], unfinished, 800)
    try:
        newer = orjson.dumps({"version": 2, "routes": [], "services": []})
        assert _put_document(run, newer) == 200
        assert _status_of_readiness(run) == 200
        assert _read_gauges(run)["kingcuplug_connections_refused"] > 0
        run.wait_for_event("descriptors_short")
        time.sleep(1.2)  # Then the requests of the others have stalled.
        assert _status_of_small_request(run) == 404
    finally:
        for caller in callers:
            caller.close()


def _status_of_readiness(run: Any) -> int:
    url = f"http://{run.settings['listen']['ready']}/"
    with urllib.request.urlopen(url, timeout=5) as reply:
        return reply.status
