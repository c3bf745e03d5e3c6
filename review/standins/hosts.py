"""The platform: starts, signals and restarts host processes."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from standins.messages import exchange

__all__ = ["ROOT", "Deployment", "HostProcess"]

ROOT = Path(__file__).resolve().parents[2]
_METRICS_PORT = 9464
_READY_TIMEOUT_S = 25.0
_POLL_INTERVAL_S = 0.1


def _run_command() -> list[str]:
    """Return the command of the only role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    (role,) = deploy["roles"].values()
    return str(role["run"]).split()


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def _free_network() -> str:
    """Return the first three bytes of loopback addresses that are not in use."""
    while True:
        network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.2", _METRICS_PORT))
            except OSError:
                continue
        return network


class HostProcess:
    """One host of the system, with its settings file and its data folder.

    Attributes
    ----------
    front, ready, control : str
        Addresses of the host's listeners.
    process : subprocess.Popen or None
        The process, also after it has ended.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        folder: Path,
        has_disk: bool,
        link_mbps: float,
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.link_mbps = link_mbps
        ports = _free_ports(ip, 3)
        self.front, self.ready, self.control = (f"{ip}:{port}" for port in ports)
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder / name
        self._folder.mkdir()
        self.data_folder = self._folder / "data" if has_disk else None
        self.log_path = self._folder / "log"

    def start(self, settings: dict[str, Any]) -> None:
        """Start the process with the command of the deploy file."""
        if self.data_folder is not None:
            self.data_folder.mkdir(exist_ok=True)
        path = self._folder / "settings.json"
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "KINGCUPLUG_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                _run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once, and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def lose_disk(self) -> None:
        """Empty the data folder."""
        if self.data_folder is not None:
            shutil.rmtree(self.data_folder)

    def log_events(self) -> list[dict[str, Any]]:
        """Return the events that the process has logged so far."""
        events = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if line.startswith("{") and line.endswith("}"):
                events.append(json.loads(line))
        return events

    async def is_ready(self) -> bool:
        """Return whether the host answers the platform's readiness check with 200."""
        try:
            answer = await exchange(self.ready, "GET", "/v1/readiness", timeout_s=1.0)
        except OSError:
            return False
        return answer.status == 200


class Deployment:
    """The hosts of one deployment, on loopback addresses of their own.

    Parameters
    ----------
    core_zones, other_zones : sequence of str
        Zone of each host with a disk, and of each other host.
    tolerated_machines : int
        Number of machines with a disk that may be lost at once.
    """

    def __init__(
        self,
        folder: Path,
        core_zones: Sequence[str],
        other_zones: Sequence[str] = (),
        tolerated_machines: int = 1,
        core_link_mbps: float = 1_000.0,
        other_link_mbps: float = 1_000.0,
    ) -> None:
        network = _free_network()
        self.server_ip = f"{network}.254"
        self.tolerated_machines = tolerated_machines
        self.zones = sorted({*core_zones, *other_zones})
        zones = [*core_zones, *other_zones]
        self.hosts = [
            HostProcess(
                f"frontend-{zone}-{number}",
                f"{network}.{number + 2}",
                zone,
                folder,
                number < len(core_zones),
                core_link_mbps if number < len(core_zones) else other_link_mbps,
            )
            for number, zone in enumerate(zones)
        ]
        self.core = self.hosts[: len(core_zones)]
        self.others = self.hosts[len(core_zones) :]

    @property
    def control_addresses(self) -> list[str]:
        """Return the addresses at which operators and servers reach the core."""
        return [host.control for host in self.core]

    def start(self, host: HostProcess, first_start: bool = False) -> None:
        """Start one host."""
        host.start(self._settings(host, first_start))

    def start_all(self) -> None:
        """Start all hosts for the first time."""
        for host in self.hosts:
            self.start(host, first_start=True)

    def end_all(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.kill()

    async def wait_ready(self) -> None:
        """Wait until all hosts are ready.

        Raises
        ------
        TimeoutError
            If one does not become ready.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for host in self.hosts:
                while not await host.is_ready():  # noqa: ASYNC110
                    await asyncio.sleep(_POLL_INTERVAL_S)

    def _settings(self, host: HostProcess, first_start: bool) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "node_name": host.name,
            "role": "host",
            "machine_class": "frontend",
            "serves": ["frontend", "control_plane"],
            "ip": host.ip,
            "zone": host.zone,
            "region": "region",
            "zones": dict.fromkeys(self.zones, "region"),
            "listen": {
                "front": host.front,
                "ready": host.ready,
                "control": host.control,
            },
            "internal_port_range": [7740, 7755],
            "seeds": self.control_addresses[:3],
            "first_start": first_start,
            "counts_toward_tolerance": host.data_folder is not None,
            "limits": {
                "cpu_share": 0.968,
                "cpu_cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4100,
                "link_mbps": host.link_mbps,
                "disk_mb": 64,
            },
            "discovery": "registry",
            "entry": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "scatter",
            ],
            "fault_tolerance": {
                "machines": self.tolerated_machines,
                "zones": 0,
                "regions": 0,
            },
            "bounds": {
                "seed_lag_s": 3,
                "address_reuse_s": 2,
                "stability_window_ms": 5000,
                "ack_timeout_ms": 6000,
                "catch_up_s": 6,
                "drain_ms": 4000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 4000,
                "rollback_slack_ms": 250,
                "max_stretch_ms": 15000,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_budget_slack": 174,
                "recovery_s": 15,
            },
            "config_mode": "highest",
        }
        if host.data_folder is not None:
            settings["data_directory"] = str(host.data_folder)
        return settings
