"""Injection of random faults, which may overlap."""

import asyncio
import contextlib
import random as random_module
import signal
from collections.abc import Awaitable, Callable

from kingcuplug_fleet import (
    INTRODUCE_PATH,
    POLL_PATH,
    PUSH_PATH,
    REPORT_PATH,
    PeerFailed,
)

from kingcuplug_soak._fake_servers import FakeServer, FakeServerPool
from kingcuplug_soak._hosts import HostCluster, HostProcess
from kingcuplug_soak._http_client import send_request
from kingcuplug_soak._traffic import ORDER_SERVICE, Operator

__all__ = ["FaultInjector"]

_GATHER_PATH = "/peer/v2/gather"
_MOST_BETWEEN_LOSSES_S = 2.5
_MALFORMED_MESSAGES = (
    b"",
    b"null",
    b"[]",
    b'{"host": 1}',
    b'["begin", "g", "r", 7, 7, 7, 7, "x", "x", "x", "x"]',
    b'["10.0.0.1:1", "z", 0, [["i", 1, 1, "s", "a", "z", "x", "ready", 0]], {}, [], 0]',
    b'[{"i": [1, "slow"]}, -1]',
    b"\x00\xff" * 40,
)


class FaultInjector:
    """Injects random faults at random times and logs them.

    Parameters
    ----------
    tolerated_losses : int
        Number of disks that may be lost at once.

    Attributes
    ----------
    fault_log : list of str
        Time and description of each fault, for the report.
    """

    def __init__(
        self,
        cluster: HostCluster,
        backends: FakeServerPool,
        operator: Operator,
        shard_sets: list[tuple[str, ...]],
        random: random_module.Random,
        tolerated_losses: int = 1,
    ) -> None:
        self._cluster = cluster
        self._backends = backends
        self._operator = operator
        self._shard_sets = shard_sets
        self._random = random
        self._tolerated_losses = tolerated_losses
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault_log: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Inject faults for `duration_s`, then wait until all of them have ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        faults: list[Callable[[], Awaitable[str]]] = [
            self._kill_host,
            self._pause_host,
            self._restart_host,
            self._partition_host,
            self._abort_host_connections,
            self._delay_host_traffic,
            self._erase_host_disk,
            self._kill_majority,
            self._kill_all,
            self._send_malformed_messages,
            self._crash_server,
            self._inject_server_fault,
            self._inject_server_fault,
            self._inject_server_fault,
            self._drain_server,
            self._change_configuration,
            self._change_configuration,
        ]
        if self._cluster.successor is not None:
            self._start_task(
                self._remove_host_beside_lost_disks(duration_s), started_at
            )
        while loop.time() < started_at + duration_s:
            await asyncio.sleep(self._random.uniform(0.1, 1.0))
            self._start_task(self._random.choice(faults)(), started_at)
        await asyncio.gather(*self._tasks)

    def _start_task(self, fault: Awaitable[str], started_at: float) -> None:
        task = asyncio.ensure_future(self._await_fault(fault, started_at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _await_fault(self, fault: Awaitable[str], started_at: float) -> None:
        at_s = asyncio.get_running_loop().time() - started_at
        self.fault_log.append(f"{at_s:.2f} s {await fault}")

    def _pick_host(self) -> HostProcess:
        return self._random.choice(self._cluster.hosts)

    def _flip_coin(self) -> bool:
        return self._random.random() < 0.5

    def _pick_server(self) -> FakeServer:
        return self._random.choice(self._backends.servers)

    async def _kill_host(self) -> str:
        host = self._pick_host()
        await host.kill()
        await asyncio.sleep(self._random.uniform(0.1, 2.0))
        host.start_if_stopped()
        return f"killed {host.name}"

    async def _kill_majority(self) -> str:
        hosts = self._random.sample(
            self._cluster.hosts, len(self._cluster.hosts) // 2 + 1
        )
        await asyncio.gather(*(host.kill() for host in hosts))
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        for host in hosts:
            host.start_if_stopped()
        return f"killed {[host.name for host in hosts]} at once"

    async def _kill_all(self) -> str:
        hosts = self._cluster.hosts
        await asyncio.gather(*(host.kill() for host in hosts))
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        for host in hosts:
            host.start_if_stopped()
        return "killed all hosts at once"

    async def _send_malformed_messages(self) -> str:
        """Send messages that no host sends; none may end the process."""
        host = self._pick_host()
        for path in (POLL_PATH, PUSH_PATH, REPORT_PATH, INTRODUCE_PATH, _GATHER_PATH):
            message = self._random.choice(_MALFORMED_MESSAGES)
            with contextlib.suppress(PeerFailed):
                await send_request(host.control_address, "POST", path, message)
        return f"sent malformed messages to {host.name}"

    async def _pause_host(self) -> str:
        host = self._pick_host()
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 4.0))
        host.send_signal(signal.SIGCONT)
        return f"paused {host.name}"

    async def _restart_host(self) -> str:
        host = self._pick_host()
        host.send_signal(signal.SIGCONT)
        await host.terminate()
        host.start_if_stopped()
        return f"restarted {host.name}"

    async def _partition_host(self) -> str:
        host = self._pick_host()
        faults = host.proxy.faults
        faults.drop_inbound = self._random.random() < 0.7
        faults.drop_outbound = not faults.drop_inbound or self._random.random() < 0.5
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        faults.drop_inbound = faults.drop_outbound = False
        host.proxy.abort_connections()
        return "partitioned the control traffic of a host"

    async def _abort_host_connections(self) -> str:
        host = self._pick_host()
        host.proxy.abort_connections()
        return f"aborted connections of {host.name}"

    async def _delay_host_traffic(self) -> str:
        host = self._pick_host()
        host.proxy.faults.delay_s = self._random.uniform(0.01, 0.2)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        host.proxy.faults.delay_s = 0.0
        return f"delayed control traffic of {host.name}"

    async def _erase_host_disk(self) -> str:
        """Erase as many disks as may be lost at once, once in a soak."""
        if self._cluster.disks_lost:
            return "skipped a second disk loss"
        self._cluster.disks_lost = True
        if self._tolerated_losses > 1 or self._cluster.tolerated_zones:
            names = await self._cluster.lose_disks(self._tolerated_losses, self._random)
            return f"killed all hosts and erased the disks of {names}"
        host = self._random.choice([h for h in self._cluster.hosts if h.has_disk])
        await host.kill()
        host.erase_disk()
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        host.start_if_stopped()
        return f"erased the disk of {host.name}"

    async def _remove_host_beside_lost_disks(self, duration_s: float) -> str:
        """Remove a host that was replaced, and erase disks shortly before or after.

        The processes that lose their disks and the one that is removed are killed.
        """
        cluster, random = self._cluster, self._random
        cluster.disks_lost = True
        await asyncio.sleep(random.uniform(0.0, duration_s * 0.7))
        with_disk = [host for host in cluster.hosts if host.has_disk]
        removed, *lost = random.sample(with_disk, 1 + self._tolerated_losses)

        async def remove() -> None:
            await asyncio.sleep(random.uniform(0.0, _MOST_BETWEEN_LOSSES_S))
            await cluster.remove(removed)

        async def lose(host: HostProcess) -> None:
            await asyncio.sleep(random.uniform(0.0, _MOST_BETWEEN_LOSSES_S))
            await host.kill()
            host.erase_disk()
            await asyncio.sleep(random.uniform(0.1, 1.0))
            host.start_if_stopped()

        await asyncio.gather(remove(), *(lose(host) for host in lost))
        names = [host.name for host in lost]
        return f"removed {removed.name} for good beside the lost disks of {names}"

    async def _crash_server(self) -> str:
        server = self._pick_server()
        await self._backends.crash_and_replace(server, self._random.uniform(0.2, 2.0))
        return f"crashed {server.name}"

    async def _drain_server(self) -> str:
        server = self._pick_server()
        self._backends.servers.remove(server)
        await self._backends.add(server.service, server.zone)
        await server.drain()
        return f"drained {server.name}"

    async def _inject_server_fault(self) -> str:
        # Only orders must not be repeated, so their servers get at least half of the
        # faults after which a retry would be wrong.
        orders = [s for s in self._backends.servers if s.service == ORDER_SERVICE]
        server = (
            self._random.choice(orders) if self._flip_coin() else self._pick_server()
        )
        server.fault = self._random.choice(
            ("full", "paused", "limited", "errors", "lost", "copies", "endless")
        )
        server.delay_s = self._random.choice((0.0, 0.0, 0.2))
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        server.fault, server.delay_s = "", 0.0
        return f"injected faults into {server.name}"

    async def _change_configuration(self) -> str:
        count = self._random.randint(1, 4)
        changes = [
            self._operator.change_shards(self._random.choice(self._shard_sets), 4.0)
            for _ in range(count)
        ]
        acknowledged = await asyncio.gather(*changes)
        await self._operator.read_configuration()
        return f"{sum(acknowledged)} of {count} changes acknowledged"
