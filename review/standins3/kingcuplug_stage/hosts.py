"""Processes of the hosts, started as the deploy file does."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from kingcuplug_stage.record import Record
from kingcuplug_stage.wire import call

__all__ = ["BOUNDS", "Fleet", "Host", "free_network"]

ROOT = Path(__file__).resolve().parents[3]
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "stability_window_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_budget_slack": 60,
    "recovery_s": 12,
}
_ZONES = ("zone-a", "zone-b", "zone-c")
_FRONT_PORT, _READY_PORT, _CONTROL_PORT, _CLAIM_PORT = 24226, 24227, 24224, 24229
_INTERNAL_PORTS = [24240, 24255]
_READY_TIMEOUT_S = 20.0
_OK = 200


def free_network() -> tuple[str, socket.socket]:
    """Return the first three numbers of unused loopback addresses, and their claim."""
    for number in range(1, 250):
        network = f"127.77.{number}."
        claim = socket.socket()
        try:
            claim.bind((f"{network}254", _CLAIM_PORT))
            claim.listen()
        except OSError:
            claim.close()
            continue
        return network, claim
    raise OSError("no free network of loopback addresses")


@dataclass
class Host:
    """One machine with the role of the deploy file.

    Attributes
    ----------
    process : Popen or None
        Newest process of the role.
    """

    name: str
    ip: str
    zone: str
    settings_path: Path
    disk_path: Path | None
    process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.ip}:{_FRONT_PORT}"

    @property
    def ready(self) -> str:
        """Address of the readiness check."""
        return f"{self.ip}:{_READY_PORT}"

    @property
    def control(self) -> str:
        """Address for servers and the operator."""
        return f"{self.ip}:{_CONTROL_PORT}"


@dataclass
class Fleet:
    """All hosts of a run, in a temporary folder.

    Parameters
    ----------
    record : Record
        Receives starts and ends.
    count : int
        Number of machines.
    disks : int
        Number of machines with a disk, the first ones.
    spares : int
        Number of the last machines that are not started with the others.
    """

    record: Record
    count: int = 4
    disks: int = 4
    spares: int = 0
    hosts: list[Host] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Write the settings of all hosts."""
        self.network, self._claim = free_network()
        self._folder = tempfile.TemporaryDirectory(prefix="kingcuplug-review-")
        folder = Path(self._folder.name)
        for number in range(self.count):
            name = f"frontend-{number + 1}"
            disk = folder / f"disk-{name}" if number < self.disks else None
            if disk is not None:
                disk.mkdir()
            zone = _ZONES[number % len(_ZONES)]
            ip = f"{self.network}{number + 1}"
            self.hosts.append(Host(name, ip, zone, folder / f"{name}.json", disk))

    def _write_settings(self, host: Host, first_start: bool) -> None:
        settings = {
            "node_name": host.name,
            "role": "host",
            "machine_class": "frontend",
            "serves": ["frontend", "control_plane"],
            "ip": host.ip,
            "zone": host.zone,
            "region": "region-a",
            "zones": dict.fromkeys(_ZONES, "region-a"),
            "listen": {
                "front": host.front,
                "ready": host.ready,
                "control": host.control,
            },
            "internal_port_range": _INTERNAL_PORTS,
            "seeds": [other.control for other in self.hosts[:3]],
            "first_start": first_start,
            "counts_toward_tolerance": host.disk_path is not None,
            "limits": {
                "cpu_share": 0.968,
                "cpu_cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 64,
            },
            "discovery": "registry",
            "entry": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }
        if host.disk_path is not None:
            settings["data_directory"] = str(host.disk_path)
        host.settings_path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self, host: Host, first_start: bool = False) -> None:
        """Start the process of a host."""
        self._write_settings(host, first_start)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["KINGCUPLUG_CONFIG"] = str(host.settings_path)
        log = host.settings_path.with_suffix(".log").open("ab")
        with log:
            host.process = subprocess.Popen(
                ["python3", "-S", "-m", "kingcuplug_platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("host-start", host=host.name)

    async def start_all(self) -> None:
        """Start all hosts but the spare ones for the first time."""
        for host in self.hosts[: self.count - self.spares]:
            self.start(host, first_start=True)

    def kill(self, host: Host) -> None:
        """Kill the process of a host and wait for its end."""
        if host.process is not None and host.process.poll() is None:
            host.process.kill()
            host.process.wait()
            self.record.write("killed", host=host.name)

    def lose_disk(self, host: Host) -> None:
        """Lose all that a host has stored; to be called while it doesn't run."""
        if host.disk_path is not None:
            shutil.rmtree(host.disk_path)
            host.disk_path.mkdir()
            self.record.write("disk-lost", host=host.name)

    async def read_version(self, host: Host) -> int | None:
        """Read the configuration at a host; return its version if it has one."""
        answer = await call(host.control, "GET", "/v1/configuration")
        status = answer.status if answer is not None else None
        version = None
        if answer is not None and status == _OK:
            version = int(json.loads(answer.body)["version"])
        self.record.write("read", host=host.name, status=status, version=version)
        return version

    def send_signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to the process of a host."""
        if host.process is not None and host.process.poll() is None:
            host.process.send_signal(number)
            self.record.write("signal", host=host.name, number=number.name)

    async def configure(
        self, configuration: dict[str, object], tries: int = 160
    ) -> None:
        """Send a configuration until it is acknowledged, to one host after another."""
        body = json.dumps(configuration).encode()
        version = configuration["version"]
        hosts = [host for host in self.hosts if host.process is not None]
        for attempt in range(tries):
            host = hosts[attempt % len(hosts)]
            answer = await call(
                host.control,
                "PUT",
                "/v1/configuration",
                {"Content-Type": "application/json"},
                body,
            )
            status = answer.status if answer is not None else None
            self.record.write(
                "configuration", host=host.name, version=version, status=status
            )
            if status == _OK:
                return
            await asyncio.sleep(0.25)
        raise OSError("no host acknowledged the configuration")

    async def wait_ready(self) -> None:
        """Wait until all hosts report that they are ready."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for host in self.hosts:
                while True:
                    answer = await call(host.ready, "GET", "/v1/readiness")
                    if answer is not None and answer.status == _OK:
                        break
                    await asyncio.sleep(0.1)
        self.record.write("all-ready")

    def end(self) -> None:
        """Kill all processes and remove the folder."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    host.process.kill()
                host.process.wait()
        self._folder.cleanup()
        self._claim.close()

    def copy_logs(self, target: Path) -> None:
        """Copy the output of all hosts to a folder, for a look at a run."""
        for host in self.hosts:
            source = host.settings_path.with_suffix(".log")
            if source.exists():
                (target / source.name).write_bytes(source.read_bytes())
