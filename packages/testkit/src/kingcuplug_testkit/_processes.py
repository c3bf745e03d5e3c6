"""A set of real `kingcuplugd` processes on loopback, for tests that kill them."""

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

_PROGRAM = "from kingcuplug_daemon import main; main()"
_POLL_S = 0.05
_READY_S = 30.0
_REQUEST_S = 3.0


class HostProcess:
    """One host and its files; it can be killed, frozen and started again.

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
        self._file = folder / f"{self.name}.json"
        self._file.write_text(
            json.dumps(settings | {"data_folder": str(self.data_folder)})
        )
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        log = self._file.with_suffix(".log").open("ab")
        with log:
            self._process = subprocess.Popen(
                [sys.executable, "-c", _PROGRAM, str(self._file)],
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Kill the process without warning."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def freeze(self) -> None:
        """Stop the process's execution, as a long pause or a silent cut does."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)

    async def terminate(self) -> int:
        """Ask the process to stop and return its exit code."""
        self._signal(signal.SIGTERM)
        assert self._process is not None
        return await asyncio.to_thread(self._process.wait)

    def lose_disk(self) -> None:
        """Remove the data folder of a process that is not running."""
        shutil.rmtree(self.data_folder, ignore_errors=True)

    def _signal(self, number: int) -> None:
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
        self._turn = 0
        self._http = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_REQUEST_S)
        )

    async def start(self) -> None:
        """Start all processes and form one cluster of voters."""
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await self.until_live(host)
        first = self.hosts[0]
        await self.operate(first, "control/bootstrap", {})
        for host in self.hosts[1:]:
            await self.add(first, host)

    async def stop(self) -> None:
        """Kill all processes."""
        for host in self.hosts:
            host.thaw() if host.running else None
            host.kill()
        await self._http.close()

    async def add(self, through: HostProcess, host: HostProcess) -> None:
        """Add a host as voter; an earlier try may have succeeded."""
        async with asyncio.timeout(_READY_S):
            while True:
                status, answer = await self._try(
                    through, "operator/control/add", {"address": host.peer_address}
                )
                if status == 200 or "already" in str(answer):
                    return
                await asyncio.sleep(_POLL_S)

    async def until_live(self, host: HostProcess) -> None:
        """Wait until a host answers."""
        async with asyncio.timeout(_READY_S):
            while not await self._answers(host, "healthz"):  # noqa: ASYNC110
                await asyncio.sleep(_POLL_S)

    async def until_ready(self, hosts: list[HostProcess] | None = None) -> None:
        """Wait until hosts are ready; by default all that run."""
        async with asyncio.timeout(_READY_S):
            for host in hosts or [h for h in self.hosts if h.running]:
                while not await self._answers(host, "readyz"):  # noqa: ASYNC110
                    await asyncio.sleep(_POLL_S)

    def next_host(self) -> HostProcess:
        """Return the hosts in turn, as the load balancer does."""
        running = [host for host in self.hosts if host.running]
        self._turn += 1
        return running[self._turn % len(running)]

    def balancer(self) -> str:
        """Return the base URL of the next running host."""
        return f"http://{self.next_host().caller_address}"

    async def leader(self) -> HostProcess:
        """Return the leader of the log."""
        async with asyncio.timeout(_READY_S):
            while True:
                for host in self.hosts:
                    status, answer = await self._try(
                        host, "operator/control/status", {}
                    )
                    if status == 200 and answer.get("lease_valid"):
                        return host
                await asyncio.sleep(_POLL_S)

    async def operate(
        self, host: HostProcess, path: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        """Call an operator's endpoint until it succeeds."""
        async with asyncio.timeout(_READY_S):
            while True:
                status, answer = await self._try(host, f"operator/{path}", fields)
                if status == 200:
                    return answer
                await asyncio.sleep(_POLL_S)

    async def call(
        self, path: str, fields: dict[str, Any], host: HostProcess | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Post to ``/v1/<path>`` of a host; status 0 means that no answer came."""
        return await self._try(host or self.next_host(), path, fields)

    async def _try(
        self, host: HostProcess, path: str, fields: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if not host.running:
            return 0, {}
        url = f"http://{host.caller_address}/v1/{path}"
        try:
            async with self._http.post(url, json=fields) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def _answers(self, host: HostProcess, path: str) -> bool:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            url = f"http://{host.caller_address}/{path}"
            async with self._http.get(url) as response:
                return response.status == 200
        return False


def _free_addresses(count: int) -> list[str]:
    """Return unused loopback addresses; all are held until all are known."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses
