"""The host processes of one soak: start, signals, restart and loss of a disk."""

import asyncio
import contextlib
import os
import random as random_module
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from kingcuplug_soak import _host_process
from kingcuplug_soak._proxy import Proxy

__all__ = ["HostCluster", "HostProcess", "reserved_network"]

(
    _CALLER_PORT,
    _READY_PORT,
    _CONTROL_PORT,
    _CONTROL_BIND_PORT,
    _RESERVATION_PORT,
) = range(21_000, 21_005)
_NETWORKS = 16_384
_FIRST_NETWORK = 64
_RESERVATION_NUMBER = 254


@contextlib.contextmanager
def reserved_network(first: int) -> Iterator[str]:
    """Reserve a network of loopback addresses, such as ``127.64.0.``, for one soak.

    A listening socket reserves it, so two soaks never use the same addresses, even if
    all processes of one of them are down.

    Parameters
    ----------
    first : int
        Network to try first.
    """
    for attempt in range(_NETWORKS):
        upper, lower = divmod((first + attempt) % _NETWORKS, 256)
        network = f"127.{_FIRST_NETWORK + upper}.{lower}."
        with contextlib.suppress(OSError):
            address = (f"{network}{_RESERVATION_NUMBER}", _RESERVATION_PORT)
            reservation = socket.create_server(address)
            break
    else:
        raise OSError(f"no free network of {_NETWORKS} loopback networks")
    with contextlib.closing(reservation):
        yield network


@dataclass
class HostProcess:
    """Settings and proxy of one host, and its process once it was started."""

    name: str
    settings: dict[str, Any]
    folder: Path
    proxy: Proxy
    process: subprocess.Popen[bytes] | None = None
    start_count: int = field(default=0)

    @property
    def caller_address(self) -> str:
        """Address for callers."""
        return str(self.settings["listen"]["front"])

    @property
    def control_address(self) -> str:
        """Address for servers, operators and peers; the proxy listens there."""
        return str(self.settings["listen"]["control"])

    @property
    def control_bind_address(self) -> str:
        """Address to which the proxy forwards."""
        return f"{self.settings['ip']}:{_CONTROL_BIND_PORT}"

    @property
    def has_disk(self) -> bool:
        """Whether the host has a disk."""
        return self.settings["data_directory"] is not None

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process; its output is appended to the host's log file."""
        self.settings["first_start"] = self.start_count == 0
        self.start_count += 1
        path = self.folder / f"{self.name}.json"
        path.write_bytes(orjson.dumps(self.settings))
        script = _host_process.__file__
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "-P", script, self.control_bind_address],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                # The sources of the soak itself, not an installed copy.
                env=os.environ
                | {
                    "KINGCUPLUG_CONFIG": str(path),
                    "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
                },
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)

    async def terminate(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL if the process runs longer than `grace_s`."""
        self.send_signal(signal.SIGTERM)
        if self.process is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(self.process.wait, grace_s)
        await self.kill()

    def erase_disk(self) -> None:
        """Delete the data directory."""
        if self.settings["data_directory"]:
            shutil.rmtree(self.settings["data_directory"], ignore_errors=True)


class HostCluster:
    """All host processes of one soak; the first `disks` of them have a disk.

    Parameters
    ----------
    network : str
        First three numbers of the hosts' loopback addresses, such as ``127.64.0.``.
    tolerated_losses : int
        Number of disks that may be lost at once, as the settings of the hosts name it.
    """

    def __init__(
        self,
        folder: Path,
        count: int,
        disks: int,
        network: str,
        tolerated_losses: int = 1,
    ) -> None:
        self.hosts: list[HostProcess] = []
        addresses = [f"{network}{number + 1}" for number in range(count)]
        seeds = [f"{a}:{_CONTROL_PORT}" for a in addresses[: min(3, disks)]]
        for number, address in enumerate(addresses):
            name = f"host-{number}"
            settings = {
                "node_name": name,
                "ip": address,
                "zone": f"zone-{number % 3}",
                "listen": {
                    "front": f"{address}:{_CALLER_PORT}",
                    "ready": f"{address}:{_READY_PORT}",
                    "control": f"{address}:{_CONTROL_PORT}",
                },
                "seeds": seeds,
                "fault_tolerance": {"machines": tolerated_losses},
                "first_start": True,
                "data_directory": str(folder / name) if number < disks else None,
                "heartbeat_interval_ms": 800,
                # Hosts with little bandwidth delegate gathering to control hosts.
                "limits": {"link_mbps": 1_000.0 if number < disks else 7.0},
                "bounds": {
                    "grace_s": 6,
                    "retry_budget_ratio": 0.2,
                    "retry_budget_slack": 60,
                    "retry_window_s": 10,
                },
            }
            proxy = Proxy(f"{address}:{_CONTROL_BIND_PORT}")
            self.hosts.append(HostProcess(name, settings, folder, proxy))

    async def start(self) -> None:
        """Start the proxies and processes of all hosts."""
        for host in self.hosts:
            await host.proxy.start(host.control_address)
            host.start()

    async def lose_disks(self, count: int, random: random_module.Random) -> list[str]:
        """Kill all hosts, erase some disks and start all again; return whose disks."""
        lost = random.sample([host for host in self.hosts if host.has_disk], count)
        await asyncio.gather(*(host.kill() for host in self.hosts))
        for host in lost:
            # Another fault may have started the host meanwhile.
            while host.is_running:
                await host.kill()
            host.erase_disk()
        await asyncio.sleep(random.uniform(0.1, 1.0))
        for host in self.hosts:
            if not host.is_running:
                host.start()
        return [host.name for host in lost]

    async def stop(self) -> None:
        """Kill all processes and stop the proxies."""
        for host in self.hosts:
            await host.kill()
            host.proxy.stop()
