"""Real `kingcuplugd` processes on loopback, for tests that kill and suspend them."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import aiohttp

__all__ = ["HostProcess", "ProcessSet"]

_DAEMON_CODE = "from kingcuplug_daemon import main; main()"
_POLL_INTERVAL_S = 0.05
_READY_TIMEOUT_S = 30.0
_REQUEST_TIMEOUT_S = 3.0


class HostProcess:
    """One host's process and files; it can be killed, suspended and restarted.

    Parameters
    ----------
    settings : dict
        Content of the settings file.
    folder : Path
        Folder for the settings file and the data folder.
    """

    def __init__(self, settings: dict[str, Any], folder: Path) -> None:
        self.name = str(settings["host"])
        self.caller_address = str(settings["caller_address"])
        self.peer_address = str(settings["peer_address"])
        self.data_folder = folder / self.name
        self._settings_file = folder / f"{self.name}.json"
        self._settings_file.write_text(
            json.dumps(settings | {"data_folder": str(self.data_folder)})
        )
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        log = self._settings_file.with_suffix(".log").open("ab")
        with log:
            self._process = subprocess.Popen(
                [sys.executable, "-c", _DAEMON_CODE, str(self._settings_file)],
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def suspend(self) -> None:
        """Suspend the process, which simulates a long pause or a network partition."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._send_signal(signal.SIGCONT)

    async def terminate(self) -> int:
        """Send SIGTERM and return the exit code."""
        self._send_signal(signal.SIGTERM)
        assert self._process is not None
        return await asyncio.to_thread(self._process.wait)

    def delete_data_folder(self) -> None:
        """Delete the data folder of a process that is not running."""
        shutil.rmtree(self.data_folder, ignore_errors=True)

    def _send_signal(self, number: int) -> None:
        if self._process is not None:
            self._process.send_signal(number)


class ProcessSet:
    """Control and entry hosts as processes.

    Parameters
    ----------
    count : int
        Number of hosts; each has both roles.
    folder : Path
        Folder for settings, logs and data.
    """

    def __init__(self, count: int, folder: Path) -> None:
        addresses = _free_addresses(2 * count)
        peers = addresses[count:]
        self.hosts = [
            HostProcess(
                {
                    "host": f"host-{number + 1}",
                    "availability_zone": f"zone-{number % 3 + 1}",
                    "roles": ["control", "entry"],
                    "caller_address": addresses[number],
                    "peer_address": peers[number],
                    "control_seeds": peers,
                    "shutdown_grace_ms": 200,
                },
                folder,
            )
            for number in range(count)
        ]
        self._request_count = 0
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        )

    async def start(self) -> None:
        """Start all processes and form one cluster of voters."""
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await self.wait_until_live(host)
        first = self.hosts[0]
        await self.call_operator(first, "control/bootstrap", {})
        for host in self.hosts[1:]:
            await self.add_voter(first, host)

    async def stop(self) -> None:
        """Kill all processes."""
        for host in self.hosts:
            host.resume() if host.is_running else None
            host.kill()
        await self._session.close()

    async def add_voter(self, via: HostProcess, host: HostProcess) -> None:
        """Add a host as voter.

        A host that is already a member counts as added, because an attempt whose
        reply was lost may have succeeded.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                status, reply = await self._post_once(
                    via, "operator/control/add", {"address": host.peer_address}
                )
                if status == 200 or "already" in str(reply):
                    return
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def wait_until_live(self, host: HostProcess) -> None:
        """Wait until a host passes its liveness check."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self._returns_ok(host, "healthz"):  # noqa: ASYNC110
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def wait_until_ready(self, hosts: list[HostProcess] | None = None) -> None:
        """Wait until hosts are ready; by default all running ones."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for host in hosts or [h for h in self.hosts if h.is_running]:
                while not await self._returns_ok(host, "readyz"):  # noqa: ASYNC110
                    await asyncio.sleep(_POLL_INTERVAL_S)

    def next_running_host(self) -> HostProcess:
        """Return the next running host, round robin as the load balancer does."""
        running = [host for host in self.hosts if host.is_running]
        self._request_count += 1
        return running[self._request_count % len(running)]

    def next_base_url(self) -> str:
        """Return the base URL of the next running host."""
        return f"http://{self.next_running_host().caller_address}"

    async def leader(self) -> HostProcess:
        """Wait for a leader of the log with a valid lease and return it."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                for host in self.hosts:
                    status, reply = await self._post_once(
                        host, "operator/control/status", {}
                    )
                    if status == 200 and reply.get("lease_valid"):
                        return host
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def call_operator(
        self, host: HostProcess, path: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        """Call an operator endpoint until it succeeds."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                status, reply = await self._post_once(host, f"operator/{path}", fields)
                if status == 200:
                    return reply
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def post(
        self, path: str, fields: dict[str, Any], host: HostProcess | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Post to ``/v1/<path>`` of a host; status 0 means that no reply arrived."""
        return await self._post_once(host or self.next_running_host(), path, fields)

    async def _post_once(
        self, host: HostProcess, path: str, fields: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if not host.is_running:
            return 0, {}
        url = f"http://{host.caller_address}/v1/{path}"
        try:
            async with self._session.post(url, json=fields) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def _returns_ok(self, host: HostProcess, path: str) -> bool:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            url = f"http://{host.caller_address}/{path}"
            async with self._session.get(url) as response:
                return response.status == 200
        return False


def _free_addresses(count: int) -> list[str]:
    """Return distinct unused addresses; all sockets stay bound until all are known."""
    sockets = [socket.socket() for _ in range(count)]
    for each_socket in sockets:
        each_socket.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{each_socket.getsockname()[1]}" for each_socket in sockets]
    for each_socket in sockets:
        each_socket.close()
    return addresses
