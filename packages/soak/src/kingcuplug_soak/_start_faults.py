"""Faults around the start of a process, which may overlap with all others.

Each fault draws from a generator of its own, so it depends on the seed and its number
only, and the faults that other generators draw stay the same.
"""

import asyncio
import contextlib
import os
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from random import Random

from kingcuplug_platform.formats import encode_settings

from kingcuplug_soak._hosts import HostCluster, HostProcess

__all__ = ["START_FAULTS", "inject_start_faults"]

_MAX_PAUSE_S = 1.5
_SIGNALS_WITHIN_S = 0.4
_DESCRIPTOR_LIMITS = (4_100, 256, 64, 48, 32)

StartFault = Callable[[HostCluster, Random], Awaitable[str]]


async def inject_start_faults(
    cluster: HostCluster, seed: int, duration_s: float
) -> list[str]:
    """Inject faults for `duration_s` and wait for their ends; return what was done."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    log: list[str] = []

    async def inject(number: int, random: Random) -> None:
        at_s = loop.time() - started_at
        fault = random.choice(START_FAULTS)
        done = await fault(cluster, random)
        log.append(f"{at_s:.2f} s start fault {number}: {done}")

    number = 0
    tasks = []
    while loop.time() < started_at + duration_s:
        number += 1
        random = Random(f"start fault {seed} {number}")
        await asyncio.sleep(random.uniform(0.1, _MAX_PAUSE_S))
        tasks.append(asyncio.ensure_future(inject(number, random)))
    await asyncio.gather(*tasks)
    return log


async def _send_signals_at_start(cluster: HostCluster, random: Random) -> str:
    host = random.choice(cluster.hosts)
    count = random.randint(1, 5)
    moments_s = sorted(random.uniform(0, _SIGNALS_WITHIN_S) for _ in range(count))
    numbers = random.choices((signal.SIGHUP, signal.SIGTERM), (3, 1), k=count)
    await host.kill()
    run = host.start()
    elapsed_s = 0.0
    for moment_s, number in zip(moments_s, numbers, strict=True):
        await asyncio.sleep(moment_s - elapsed_s)
        elapsed_s = moment_s
        run.send_signal(number)
    await host.wait_stopped(run)
    host.start_if_stopped()
    sent = [f"{n.name} {at:.3f} s" for at, n in zip(moments_s, numbers, strict=True)]
    return f"sent {sent} after the start of {host.name}"


def _break_settings(host: HostProcess, random: Random) -> str:
    """Leave the settings file as a writer that is not done yet leaves it."""
    data = encode_settings(host.settings)
    state = random.choice(("empty", "cut", "missing"))
    if state == "missing":
        host.settings_file.unlink(missing_ok=True)
    else:
        host.write_settings(
            b"" if state == "empty" else data[: random.randrange(1, len(data))]
        )
    return state


async def _replace_settings(cluster: HostCluster, random: Random) -> str:
    """Replace the settings file step by step while a process starts or runs."""
    host = random.choice(cluster.hosts)
    restarts = random.random() < 0.6
    steps = []
    with host.broken_settings():
        for step in range(random.randint(1, 4)):
            steps.append(_break_settings(host, random))
            if restarts and step == 0:
                await host.kill()
                host.start_if_stopped()
            if random.random() < 0.3:
                host.send_signal(signal.SIGHUP)
            await asyncio.sleep(random.uniform(0.02, 0.6))
    if random.random() < 0.5:
        host.send_signal(signal.SIGHUP)
    return f"left the settings of {host.name} {steps}, restarted: {restarts}"


def _listen(address: str) -> socket.socket:
    ip, _, port = address.rpartition(":")
    return socket.create_server((ip, int(port)))


async def _take_port(cluster: HostCluster, random: Random) -> str:
    """Let another socket listen at a port of a host before and during its start."""
    host = random.choice(cluster.hosts)
    address = random.choice(
        (
            host.caller_address,
            host.ready_address,
            host.control_bind_address,
            host.metrics_address,
        )
    )
    # A host serves callers without its metrics.
    for_good = address == host.metrics_address and random.random() < 0.3
    await host.kill()
    try:
        taken = _listen(address)
    except OSError:
        host.start_if_stopped()
        return f"skipped {address} of {host.name}, which is in use"
    if for_good:
        cluster.occupied_ports.append(taken)
        host.start_if_stopped()
        return f"took {address} of {host.name} for good"
    with contextlib.closing(taken):
        await asyncio.sleep(random.uniform(0.0, 0.5))
        host.start_if_stopped()
        await asyncio.sleep(random.uniform(0.1, 3.0))
    return f"took {address} of {host.name} for some time"


async def _start_successor_early(cluster: HostCluster, random: Random) -> str:
    """Start a process while the one before it drains or is being killed."""
    host = random.choice(cluster.hosts)
    if not host.is_running:
        return f"skipped {host.name}, which does not run"
    predecessor = host.runs[-1]
    if random.random() < 0.4:
        predecessor.send_signal(signal.SIGKILL)
        host.start()
        return f"started {host.name} while it was killed"
    predecessor.send_signal(signal.SIGCONT)
    predecessor.send_signal(signal.SIGTERM)
    await asyncio.sleep(random.uniform(0.0, 3.5))
    if predecessor.is_running and host.runs[-1] is predecessor:
        host.start()
    await host.wait_stopped(predecessor)
    host.start_if_stopped()
    return f"started {host.name} while it drained"


async def _break_output(cluster: HostCluster, random: Random) -> str:
    """Start a process whose output is closed, unread or cannot be written."""
    host = random.choice(cluster.hosts)
    kind = random.choice((">&-", ">&- 2>&-", ">/dev/full", "no reader", "unread"))
    await host.kill()
    if kind.startswith(">"):
        host.start(redirections=kind)
        await asyncio.sleep(random.uniform(0.5, 4.0))
    else:
        reader, writer = os.pipe()
        host.start(stdout=writer)
        os.close(writer)
        await asyncio.sleep(random.uniform(0.0, 2.0))
        if kind == "no reader":
            os.close(reader)
        await asyncio.sleep(random.uniform(0.1, 2.0))
        if kind == "unread":
            os.close(reader)
    if random.random() < 0.5:
        host.send_signal(signal.SIGHUP)
    await host.terminate()
    host.start_if_stopped()
    return f"started {host.name} with its output {kind}"


@contextlib.contextmanager
def _file_in_place_of(folder: Path) -> Iterator[None]:
    folder.write_bytes(b"")
    try:
        yield
    finally:
        folder.unlink()


async def _lose_data_folder(cluster: HostCluster, random: Random) -> str:
    """Erase a disk, and put a file in place of the data folder for some time."""
    host = random.choice([host for host in cluster.hosts if host.has_disk])
    folder = host.settings.data_folder
    if folder is None or cluster.disks_lost:
        return "skipped a second disk loss"
    cluster.disks_lost = True
    await host.kill()
    host.erase_disk()
    with _file_in_place_of(folder):
        host.start()
        await asyncio.sleep(random.uniform(0.1, 3.0))
    return f"erased the disk of {host.name}, whose folder was a file for some time"


async def _limit_process(cluster: HostCluster, random: Random) -> str:
    """Start a process with few descriptors, or one that may not write to any file."""
    host = random.choice(cluster.hosts)
    limit = random.choice(
        ("ulimit -f 0", *(f"ulimit -n {count}" for count in _DESCRIPTOR_LIMITS))
    )
    await host.kill()
    host.start(limits=limit)
    await asyncio.sleep(random.uniform(0.5, 4.0))
    await host.terminate()
    host.start_if_stopped()
    return f"started {host.name} with {limit}"


async def _restart_repeatedly(cluster: HostCluster, random: Random) -> str:
    """Restart a process several times within its first second."""
    host = random.choice(cluster.hosts)
    count = random.randint(3, 6)
    for _ in range(count):
        await (host.kill() if random.random() < 0.7 else host.terminate())
        host.start_if_stopped()
        await asyncio.sleep(random.uniform(0.0, 1.0))
    return f"restarted {host.name} {count} times"


async def _restart_all_with_new_settings(cluster: HostCluster, random: Random) -> str:
    """Restart all hosts at once while their settings files are replaced."""
    is_killed = random.random() < 0.5

    async def restart(host: HostProcess, host_random: Random) -> None:
        with host.broken_settings():
            _break_settings(host, host_random)
            await (host.kill() if is_killed else host.terminate())
            await asyncio.sleep(host_random.uniform(0.0, 0.3))
            host.start_if_stopped()
            await asyncio.sleep(host_random.uniform(0.0, 1.0))
        if host_random.random() < 0.5:
            host.send_signal(signal.SIGHUP)

    await asyncio.gather(
        *(restart(host, Random(random.random())) for host in cluster.hosts)
    )
    return f"restarted all hosts while their settings changed, killed: {is_killed}"


START_FAULTS: tuple[StartFault, ...] = (
    _send_signals_at_start,
    _send_signals_at_start,
    _replace_settings,
    _replace_settings,
    _take_port,
    _take_port,
    _break_output,
    _start_successor_early,
    _break_output,
    _lose_data_folder,
    _limit_process,
    _restart_repeatedly,
    _restart_all_with_new_settings,
)
