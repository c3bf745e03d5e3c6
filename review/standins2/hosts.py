"""Host processes of a small deployment, started as the deploy file says."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from calls import CallFailed, call

__all__ = ["CannotRun", "Deployment", "Host"]

_REPOSITORY = Path(__file__).resolve().parents[2]
_FRONT_PORT, _READY_PORT, _CONTROL_PORT = 8226, 8227, 8224
_METRICS_PORT = 9464
_RESERVED_NUMBER = 254
_SEEDS = 3
_PLATFORM_VARIABLES = ("PATH", "HOME", "LANG")


class CannotRun(Exception):
    """The deployment did not start, so nothing can be said about the rule."""


@dataclass
class Host:
    """One host.

    Attributes
    ----------
    settings : dict
        Content of the settings file.
    process : Popen or None
        The newest process.
    """

    name: str
    settings: dict[str, Any]
    folder: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Address for callers."""
        return str(self.settings["listen"]["front"])

    @property
    def ready(self) -> str:
        """Address of the readiness check."""
        return str(self.settings["listen"]["ready"])

    @property
    def control(self) -> str:
        """Address for servers and operators."""
        return str(self.settings["listen"]["control"])

    @property
    def zone(self) -> str:
        """Availability zone."""
        return str(self.settings["zone"])

    @property
    def has_disk(self) -> bool:
        """Whether the host has a disk."""
        return "data_directory" in self.settings

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        return path

    def start(self) -> None:
        """Start a process with the command of the deploy file."""
        deploy = tomllib.loads((_REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"]["host"]["run"].split()
        environment = {k: v for k, v in os.environ.items() if k in _PLATFORM_VARIABLES}
        environment["PYTHONPATH"] = str(_REPOSITORY / "target/deps")
        environment["KINGCUPLUG_CONFIG"] = str(self.write_settings())
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=_REPOSITORY,
            )
        self.settings["first_start"] = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the newest process."""
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the newest process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def lose_disk(self) -> None:
        """Lose all that is stored; to be called while no process runs."""
        shutil.rmtree(self.settings["data_directory"], ignore_errors=True)

    async def metric(self, name: str) -> float | None:
        """Return a gauge of the host, ``None`` if it has none or does not answer."""
        address = f"{self.settings['ip']}:{_METRICS_PORT}"
        with contextlib.suppress(CallFailed):
            answer = await call(address, "GET", "/metrics")
            for line in answer.body.decode().splitlines():
                found, _, value = line.rpartition(" ")
                is_comment = line.startswith("#")
                if not is_comment and found.partition("{")[0].endswith(name):
                    return float(value)
        return None


class Deployment:
    """All hosts of a small deployment, in a temporary folder.

    Parameters
    ----------
    zones : list of str
        Availability zones; hosts are spread over them in turn.
    disks : int
        Number of hosts with a disk, which serve control.
    diskless : int
        Number of further hosts.
    bounds : dict
        Bounds of the rules.
    changes : dict
        Fields that all settings files hold in place of the usual ones.
    spare_disks : int
        Number of hosts with an empty disk that are added later.

    Attributes
    ----------
    spares : list of Host
        Hosts that are not started with the others.
    """

    def __init__(
        self,
        zones: list[str],
        disks: int,
        diskless: int,
        bounds: dict[str, Any],
        changes: dict[str, Any] | None = None,
        spare_disks: int = 0,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="kingcuplug-review-"))
        self._reservation, self.network = _reserve_network()
        count = disks + diskless + spare_disks
        addresses = [f"{self.network}{number + 1}" for number in range(count)]
        seeds = [f"{a}:{_CONTROL_PORT}" for a in addresses[: min(_SEEDS, disks)]]
        self.hosts: list[Host] = []
        self.spares: list[Host] = []
        for number, ip in enumerate(addresses):
            is_spare = number >= disks + diskless
            has_disk = number < disks or is_spare
            name = f"frontend-{number + 1}"
            settings: dict[str, Any] = {
                "node_name": name,
                "role": "host",
                "machine_class": "frontend",
                "serves": ["frontend", "control_plane"],
                "ip": ip,
                "zone": zones[number % len(zones)],
                "region": "region-1",
                "zones": dict.fromkeys(zones, "region-1"),
                "listen": {
                    "front": f"{ip}:{_FRONT_PORT}",
                    "ready": f"{ip}:{_READY_PORT}",
                    "control": f"{ip}:{_CONTROL_PORT}",
                },
                "internal_port_range": [7740, 7755],
                "seeds": seeds,
                "first_start": not is_spare,
                "counts_toward_tolerance": has_disk,
                "limits": {
                    "cpu_share": 0.968,
                    "cpu_cores": 2,
                    "memory_mb": 300,
                    "file_descriptors": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 64 if has_disk else 0,
                },
                "discovery": "registry",
                "entry": "virtual_ip",
                "heartbeat_interval_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": bounds,
                "config_mode": "highest",
                **(changes or {}),
            }
            if has_disk:
                settings["data_directory"] = str(self.folder / f"data-{number + 1}")
            host = Host(name, settings, self.folder)
            self.hosts.append(host)
            if is_spare:
                self.spares.append(host)

    async def start(self) -> None:
        """Start all hosts and wait until one leads the control group.

        Raises
        ------
        CannotRun
            If none does.
        """
        if not (_REPOSITORY / "target/deps").is_dir():
            raise CannotRun("target/deps is missing; run the build of the deploy file")
        for host in self.hosts:
            if host not in self.spares:
                host.start()
        for _ in range(100):
            await asyncio.sleep(0.2)
            if await self.leader() is not None:
                return
        raise CannotRun("no host leads the control group")

    async def leader(self) -> Host | None:
        """Return the host that leads the control group, ``None`` if none does."""
        for host in self.hosts:
            if host.has_disk and await host.metric("control_leads"):
                return host
        return None

    async def wait_ready(self) -> None:
        """Wait until all hosts say that they are ready.

        Raises
        ------
        CannotRun
            If one does not.
        """
        for _ in range(100):
            running_hosts = [host for host in self.hosts if host.process is not None]
            states = [await _is_ready(host) for host in running_hosts]
            if all(states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("not all hosts are ready")

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for host in self.hosts:
            with contextlib.suppress(OSError):
                host.kill()
        self._reservation.close()
        shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.contextmanager
def running(deployment: Deployment) -> Iterator[Deployment]:
    """Stop a deployment at the end of a block, whatever happens in it."""
    try:
        yield deployment
    finally:
        deployment.stop()


async def _is_ready(host: Host) -> bool:
    try:
        return (await call(host.ready, "GET", "/v1/readiness")).status == 200
    except CallFailed:
        return False


def _reserve_network() -> tuple[socket.socket, str]:
    """Return a socket that reserves a loopback network, and the network."""
    for _ in range(100):
        network = f"127.{random.randrange(64, 128)}.{random.randrange(256)}."
        with contextlib.suppress(OSError):
            address = (f"{network}{_RESERVED_NUMBER}", _CONTROL_PORT)
            return socket.create_server(address), network
    raise CannotRun("no loopback network is free")
