"""The host processes of one soak: start, signals, restart and loss of a disk."""

import asyncio
import contextlib
import dataclasses
import os
import random as random_module
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from kingcuplug_node import NodeSettings
from kingcuplug_platform.formats import (
    METRICS_PORT,
    SETTINGS_VARIABLE,
    encode_settings,
)
from kingcuplug_routing import RetryBudgetSettings

from kingcuplug_soak import _host_process
from kingcuplug_soak._host_run import HostRun
from kingcuplug_soak._proxy import Proxy

__all__ = ["ZONES", "HostCluster", "HostProcess", "reserved_network"]

ZONES = ("zone-0", "zone-1", "zone-2")

(
    _CALLER_PORT,
    _READY_PORT,
    _CONTROL_PORT,
    _CONTROL_BIND_PORT,
    _RESERVATION_PORT,
) = range(21_000, 21_005)
_SEEDS = 3
_NETWORKS = 16_384
_MS_PER_S = 1_000
_FIRST_NETWORK = 64
_RESERVATION_NUMBER = 254
_WATCH_INTERVAL_S = 0.01
_SAMPLE_INTERVAL_S = 1.0
# The users' platform starts a process that has ended again after a short delay.
_RESTART_DELAY_S = 0.5


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
    """Settings and proxy of one host, and its processes once it was started.

    Attributes
    ----------
    violations : list of str
        Receives what the processes must not do.
    runs : list of HostRun
        Processes whose end was not seen yet, the newest last.
    early_end_count : int
        Processes that a signal ended before the program's first line.
    is_removed : bool
        Whether the host is gone for good.
    """

    name: str
    settings: NodeSettings
    folder: Path
    proxy: Proxy
    violations: list[str]
    runs: list[HostRun] = field(default_factory=list)
    start_count: int = 0
    early_end_count: int = 0
    is_removed: bool = False
    longest_busy_s: float = 0.0
    _broken_settings: int = 0

    @property
    def caller_address(self) -> str:
        """Address for callers."""
        return self.settings.caller_address

    @property
    def ready_address(self) -> str:
        """Address of the readiness check."""
        return self.settings.ready_address

    @property
    def control_address(self) -> str:
        """Address for servers, operators and peers; the proxy listens there."""
        return self.settings.control_address

    @property
    def control_bind_address(self) -> str:
        """Address to which the proxy forwards."""
        ip = self.control_address.rpartition(":")[0]
        return f"{ip}:{_CONTROL_BIND_PORT}"

    @property
    def metrics_address(self) -> str:
        """Address of the metrics."""
        return self.settings.metrics_address

    @property
    def has_disk(self) -> bool:
        """Whether the host has a disk."""
        return self.settings.data_folder is not None

    @property
    def is_running(self) -> bool:
        """Whether the newest process runs."""
        return bool(self.runs) and self.runs[-1].is_running

    @property
    def settings_file(self) -> Path:
        """Path of the settings file."""
        return self.folder / f"{self.name}.json"

    def start(
        self, limits: str = "", redirections: str = "", stdout: int | None = None
    ) -> HostRun:
        """Start a process, whose output goes to a log file of its own.

        Parameters
        ----------
        limits : str
            Shell commands that run before the program, such as ``ulimit -n 64``.
        redirections : str
            Redirections of the program in the shell's notation, such as ``>&-``.
        stdout : int or None
            Descriptor of the standard output, in place of the log file.
        """
        is_first = self.start_count == 0
        self.settings = dataclasses.replace(self.settings, first_start=is_first)
        self.start_count += 1
        if not self._broken_settings:
            self.write_settings()
        command = [sys.executable, "-S", "-P", _host_process.__file__]
        begun_file = self.folder / f"{self.name}-{self.start_count}.begun"
        command += [self.control_bind_address, str(begun_file)]
        if limits or redirections:
            script = f'{limits or ":"}; exec "$@" {redirections}'
            command = ["/bin/sh", "-c", script, "sh", *command]
        log_file = self.folder / f"{self.name}-{self.start_count}.log"
        with log_file.open("wb") as output:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output if stdout is None else stdout,
                stderr=output,
                # The sources of the soak itself, not an installed copy.
                env=os.environ
                | {
                    SETTINGS_VARIABLE: str(self.settings_file),
                    "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
                },
            )
        self.runs.append(HostRun(process, begun_file, log_file))
        return self.runs[-1]

    def start_if_stopped(self) -> None:
        """Start a process unless the newest one runs, or the host is gone."""
        if not self.is_running and not self.is_removed:
            self.start()

    def write_settings(self, data: bytes | None = None) -> None:
        """Write the settings file; `data` replaces its content."""
        self.settings_file.write_bytes(
            encode_settings(self.settings) if data is None else data
        )

    @contextlib.contextmanager
    def broken_settings(self) -> Iterator[None]:
        """Let the settings file be broken; write it whole at the end."""
        self._broken_settings += 1
        try:
            yield
        finally:
            self._broken_settings -= 1
            if not self._broken_settings:
                self.write_settings()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the newest process."""
        if self.runs:
            self.runs[-1].send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL to all processes and wait for them to exit."""
        while running := [run for run in self.runs if run.is_running]:
            for run in running:
                run.send_signal(signal.SIGKILL)
            for run in running:
                await asyncio.to_thread(run.process.wait)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace time of the settings."""
        if self.runs:
            run = self.runs[-1]
            run.send_signal(signal.SIGTERM)
            await self.wait_stopped(run)

    async def wait_stopped(self, run: HostRun) -> None:
        """Kill a process that outruns the grace time after its first SIGTERM."""
        if run.stopping_since is None:
            return
        grace_s = self.settings.termination_grace_ms / _MS_PER_S
        remaining_s = run.stopping_since + grace_s - time.monotonic()
        try:
            await asyncio.to_thread(run.process.wait, max(0.0, remaining_s))
        except subprocess.TimeoutExpired:
            if not run.was_paused_while_stopping:
                self.violations.append(
                    f"the process {run.process.pid} of {self.name} ran longer than "
                    f"{grace_s:g} s after SIGTERM: {run.last_log_lines()}"
                )
            run.send_signal(signal.SIGKILL)
            await asyncio.to_thread(run.process.wait)

    def check_ends(self) -> bool:
        """Report the processes that ended by themselves.

        Returns
        -------
        bool
            Whether the newest process ended without a request to stop.
        """
        stopped = False
        for run in tuple(self.runs):
            status = run.process.poll()
            self.longest_busy_s = max(self.longest_busy_s, run.longest_busy_s)
            if status is None:
                continue
            is_newest = run is self.runs[-1]
            self.runs.remove(run)
            if not run.ended_as_requested(status):
                self.violations.append(
                    f"the process {run.process.pid} of {self.name} ended by itself "
                    f"with status {status}, {time.monotonic() - run.started_at:.2f} s "
                    f"after its start: {run.last_log_lines()}"
                )
            elif status in (0, -signal.SIGKILL):
                continue
            else:
                self.early_end_count += 1
            stopped |= is_newest
        return stopped

    def sample_processor(self) -> None:
        """Measure the processor time of the processes."""
        for run in self.runs:
            run.sample_processor()

    def resident_mib(self) -> float:
        """Return the resident memory of the largest process, in MiB."""
        return max((run.resident_mib() for run in self.runs), default=0.0)

    def erase_disk(self) -> None:
        """Delete the data directory."""
        if self.settings.data_folder is not None:
            shutil.rmtree(self.settings.data_folder, ignore_errors=True)


class HostCluster:
    """All host processes of one soak; the first `disks` of them have a disk.

    Parameters
    ----------
    network : str
        First three numbers of the hosts' loopback addresses, such as ``127.64.0.``.
    violations : list of str
        Receives what the processes must not do.
    tolerated_losses : int
        Number of disks that may be lost at once, as the settings of the hosts name it.
    tolerated_zones : int
        Number of zones whose disks may all be lost at once. If it is not 0, all seeds
        are in one zone, which thus holds most of the disks.
    diskless_seeds : bool
        Whether the seeds are the last hosts, in place of the first ones.
    has_successor : bool
        Whether one more host with a disk is kept back at first.

    Attributes
    ----------
    successor : HostProcess or None
        The host that is kept back.
    disks_lost : bool
        Whether as many disks were lost already as may be lost.
    occupied_ports : list of socket
        Listening sockets that other programs hold until the end of the soak.
    """

    def __init__(
        self,
        folder: Path,
        count: int,
        disks: int,
        network: str,
        violations: list[str],
        tolerated_losses: int = 1,
        tolerated_zones: int = 0,
        diskless_seeds: bool = False,
        has_successor: bool = False,
    ) -> None:
        count, disks = count + has_successor, disks + has_successor
        self.tolerated_zones = tolerated_zones
        self.hosts: list[HostProcess] = []
        self.disks_lost = False
        self.occupied_ports: list[socket.socket] = []
        addresses = [f"{network}{number + 1}" for number in range(count)]
        seed_ips = addresses[: min(_SEEDS, disks)]
        if diskless_seeds:
            seed_ips = addresses[disks:][-_SEEDS:]
        seeds = tuple(f"{ip}:{_CONTROL_PORT}" for ip in seed_ips)
        for number, address in enumerate(addresses):
            name = f"host-{number}"
            settings = NodeSettings(
                host=name,
                availability_zone=(
                    _unbalanced_zone(number)
                    if tolerated_zones
                    else ZONES[number % len(ZONES)]
                ),
                caller_address=f"{address}:{_CALLER_PORT}",
                ready_address=f"{address}:{_READY_PORT}",
                control_address=f"{address}:{_CONTROL_PORT}",
                metrics_address=f"{address}:{METRICS_PORT}",
                seeds=seeds,
                first_start=True,
                data_folder=folder / name if number < disks else None,
                heartbeat_interval_ms=800,
                termination_grace_ms=6_000,
                retry_budget=RetryBudgetSettings(),
                # Hosts with little bandwidth delegate gathering to control hosts.
                link_mbps=1_000.0 if number < disks else 7.0,
                tolerated_losses=tolerated_losses,
                tolerated_zones=tolerated_zones,
                zone_regions=dict.fromkeys(ZONES, "region"),
            )
            proxy = Proxy(f"{address}:{_CONTROL_BIND_PORT}")
            self.hosts.append(HostProcess(name, settings, folder, proxy, violations))
        self.successor = self.hosts.pop(disks - 1) if has_successor else None

    async def start_successor(self) -> None:
        """Start the host that was kept back, as a machine that is added later."""
        if self.successor is not None:
            self.successor.start_count = 1
            self.hosts.append(self.successor)
            await self.successor.proxy.start(self.successor.control_address)
            self.successor.start()

    async def remove(self, host: HostProcess) -> None:
        """Kill a host that never returns."""
        host.is_removed = True
        await host.kill()
        host.check_ends()
        host.proxy.stop()
        self.hosts.remove(host)

    async def start(self) -> None:
        """Start the proxies and processes of all hosts."""
        for host in self.hosts:
            await host.proxy.start(host.control_address)
            host.start()

    @contextlib.asynccontextmanager
    async def watched(self) -> AsyncIterator[None]:
        """Report ended processes and start them again until the block ends."""
        watch_task = asyncio.ensure_future(self._watch())
        try:
            yield
        finally:
            watch_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch_task

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        sampled_at = loop.time()
        restarts: list[asyncio.TimerHandle] = []
        try:
            while True:
                await asyncio.sleep(_WATCH_INTERVAL_S)
                restarts += [
                    loop.call_later(_RESTART_DELAY_S, host.start_if_stopped)
                    for host in self.hosts
                    if host.check_ends()
                ]
                if loop.time() > sampled_at + _SAMPLE_INTERVAL_S:
                    sampled_at = loop.time()
                    for host in self.hosts:
                        host.sample_processor()
        finally:
            for restart in restarts:
                restart.cancel()

    async def lose_disks(self, count: int, random: random_module.Random) -> list[str]:
        """Kill all hosts, erase some disks and start all again; return whose disks.

        They are `count` disks, or all disks of a zone if such a loss is tolerated.
        """
        self.disks_lost = True
        with_disk = [host for host in self.hosts if host.has_disk]
        if self.tolerated_zones and (count == 1 or random.random() < 0.5):
            zone = random.choice(with_disk).settings.availability_zone
            lost = [h for h in with_disk if h.settings.availability_zone == zone]
        else:
            lost = random.sample(with_disk, count)
        await asyncio.gather(*(host.kill() for host in self.hosts))
        for host in lost:
            # Another fault may have started the host meanwhile.
            await host.kill()
            host.erase_disk()
        await asyncio.sleep(random.uniform(0.1, 1.0))
        for host in self.hosts:
            if not host.is_running:
                host.start()
        return [host.name for host in lost]

    async def stop(self) -> None:
        """Kill all processes and stop the proxies; report processes that had ended."""
        for host in self.hosts:
            host.check_ends()
            await host.kill()
            host.proxy.stop()
        for occupied in self.occupied_ports:
            occupied.close()


def _unbalanced_zone(number: int) -> str:
    """Return the zone of a host where all seeds are in one zone."""
    return "zone-0" if number < _SEEDS else f"zone-{1 + number % 2}"
