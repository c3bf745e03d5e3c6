"""Time until a new group, and one whose core was killed, acknowledges a change.

Usage: ``python tools/measure_formation.py --hosts 8 --disks 5 --losses 1``. The hosts
are processes on this machine, so with many of them their start takes most of the time.
"""

import asyncio
import contextlib
import random
import tempfile
import time
from pathlib import Path

import fire
from kingcuplug_fleet import PeerFailed
from kingcuplug_platform.formats import DOCUMENT_PATH
from kingcuplug_soak._hosts import HostCluster, reserved_network
from kingcuplug_soak._http_client import send_request
from kingcuplug_soak._traffic import DEFAULT_ATTEMPTS, encode_soak_document

_TIMEOUT_S = 60.0
_RETRY_S = 0.02


def measure(
    hosts: int = 3,
    disks: int = 3,
    losses: int = 1,
    runs: int = 5,
    slow_seed_s: float = 0.0,
) -> None:
    """Print the times of each run, in seconds.

    Parameters
    ----------
    slow_seed_s : float
        Time by which one of the seeds starts later than the others.
    """
    print("first acknowledgement, acknowledgement after a kill of all hosts with disks")
    for run in range(runs):
        with tempfile.TemporaryDirectory() as folder, reserved_network(run) as network:
            cluster = HostCluster(Path(folder), hosts, disks, network, [], losses)
            times_s = asyncio.run(_measure_cluster(cluster, slow_seed_s))
        print(" ".join(f"{time_s:.2f}" for time_s in times_s), flush=True)


async def _measure_cluster(
    cluster: HostCluster, slow_seed_s: float
) -> tuple[float, float]:
    try:
        started_at = time.monotonic()
        for host in cluster.hosts:
            await host.proxy.start(host.control_address)
        for host in cluster.hosts[1:] if slow_seed_s else cluster.hosts:
            host.start()
        if slow_seed_s:
            await asyncio.sleep(slow_seed_s)
            cluster.hosts[0].start()
        await _change_routes(cluster, 1)
        formed_s = time.monotonic() - started_at
        await asyncio.sleep(2.0)
        core = [host for host in cluster.hosts if host.has_disk]
        await asyncio.gather(*(host.kill() for host in core))
        started_at = time.monotonic()
        for host in core:
            host.start()
        await _change_routes(cluster, 2)
        return formed_s, time.monotonic() - started_at
    finally:
        await cluster.stop()


async def _change_routes(cluster: HostCluster, version: int) -> None:
    """Send a change to one host after another until it is acknowledged."""
    body = encode_soak_document(version, ("s0",), 5_000, DEFAULT_ATTEMPTS)
    core = [host for host in cluster.hosts if host.has_disk]
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            address = random.choice(core).control_address
            with contextlib.suppress(PeerFailed):
                response = await send_request(
                    address, "PUT", DOCUMENT_PATH, body, follow_redirects=True
                )
                if response.status == 200:
                    return
            await asyncio.sleep(_RETRY_S)


if __name__ == "__main__":
    fire.Fire(measure)
