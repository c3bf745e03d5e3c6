"""Fixtures of the tests of whole hosts."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.conftest import DeploymentThread, shared_deployment

Responder = Callable[[dict[str, Any], dict[str, str]], bytes]


def sub_response(fields: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Return a valid response to a sub-request, with `changes`."""
    echoed_names = ("attempt_id", "snapshot", "shard", "shard_count")
    return (
        {name: fields[name] for name in echoed_names}
        | {"status": "ok", "value": 1}
        | changes
    )


def http_response(body: Any, length: int | None = None) -> bytes:
    """Return an HTTP response; `length` replaces the actual Content-Length."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    content_length = len(raw) if length is None else length
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (content_length, raw)


def respond_ok(fields: dict[str, Any], headers: dict[str, str]) -> bytes:
    """Return a valid response to a sub-request."""
    return http_response(sub_response(fields))


class ScriptedBackendServer:
    """A backend server of the service `raw` whose responses a test provides.

    It serves both shards of one snapshot. An empty response closes the connection.
    """

    def __init__(self, local: Any, name: str, incarnation: int) -> None:
        self.respond: Responder = respond_ok
        self.received: list[tuple[dict[str, Any], dict[str, str]]] = []
        self.connections = 0
        self._local = local
        self._name = name
        self._incarnation = incarnation
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen and announce the server; its short lease is not renewed."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        await self._announce("serving", 1)

    async def stop(self) -> None:
        """Withdraw and close."""
        await self._announce("withdrawn", 2)
        self._server.close()

    async def _announce(self, state: str, sequence: int) -> None:
        port = self._server.sockets[0].getsockname()[1]
        url = f"http://{self._local.hosts[0].caller_address}/v1/servers/announce"
        fields = {
            "server": self._name,
            "service": "raw",
            "address": f"127.0.0.1:{port}",
            "availability_zone": "zone-1",
            "incarnation": self._incarnation,
            "sequence": sequence,
            "slots": 4,
            "connections": 40,
            "state": state,
            "holdings": [{"snapshot": 1, "shard_count": 2, "shards": [0, 1]}],
        }
        async with self._local.http.post(url, json=fields) as response:
            assert response.status == 200, await response.text()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                path, headers, fields = await _read_request(reader)
                if path != "/sub-request":
                    writer.write(http_response({"cancelled": False}))
                    continue
                self.received.append((fields, headers))
                response = self.respond(fields, headers)
                writer.write(response)
                if not response:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], dict[str, Any]]:
    head_lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    pairs = (line.split(": ", 1) for line in head_lines[1:] if line)
    headers = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head_lines[0].split()[1], headers, json.loads(body)


_server_numbers = itertools.count(1)


@pytest.fixture(scope="package")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[DeploymentThread]:
    """Return the deployment that the tests of this folder share."""
    with shared_deployment(tmp_path_factory.mktemp("deployment")) as running:
        yield running


@pytest.fixture
def raw_server(deployment: Any) -> Iterator[ScriptedBackendServer]:
    """Return a scripted backend server that the first host has registered."""
    number = next(_server_numbers)
    server = ScriptedBackendServer(deployment.local, f"raw-{number}", number)
    deployment.run(server.start())
    directory = deployment.local.hosts[0].entry.session.directory
    _wait_until(lambda: any(e.live for e in directory.servers("raw")))
    yield server
    deployment.run(server.stop())
    _wait_until(lambda: not any(e.live for e in directory.servers("raw")))


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.fixture
def wait_until() -> Callable[[Callable[[], bool]], None]:
    """Return a function that waits for a condition."""
    return _wait_until


@pytest.fixture
def call(deployment: Any) -> Callable[..., tuple[int, dict[str, Any]]]:
    """Return a function that sends a request to the first host."""

    def send(service: str, kind: str, fields: dict[str, Any]) -> Any:
        base = f"http://{deployment.address()}"
        return deployment.run(deployment.local.call(service, kind, fields, base))

    return send


@pytest.fixture
def spans(deployment: Any) -> Callable[[str], list[dict[str, Any]]]:
    """Return a function that reads the spans of one request's trace."""

    def read(request_id: str) -> list[dict[str, Any]]:
        path: Path = deployment.local.hosts[0].settings.trace_file
        lines = path.read_text().splitlines() if path.exists() else []
        recorded = [json.loads(line) for line in lines if line.endswith("}}")]
        traces = {
            span["trace"]
            for span in recorded
            if span["fields"].get("request_id") == request_id
        }
        return [span for span in recorded if span["trace"] in traces]

    return read
