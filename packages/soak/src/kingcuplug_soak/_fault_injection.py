"""Random troubles, in series and overlapping."""

import asyncio
import random as random_module
import signal
from collections.abc import Awaitable, Callable

from kingcuplug_soak._fake_servers import Backend, Backends
from kingcuplug_soak._hosts import HostProcess, Hosts
from kingcuplug_soak._traffic import ORDERS, Operator

__all__ = ["Troubles"]

_GRACE_S = 6.0


class Troubles:
    """Starts troubles at random moments and keeps a record of them.

    Attributes
    ----------
    record : list of str
        What was done when, for the report.
    """

    def __init__(
        self,
        hosts: Hosts,
        backends: Backends,
        operator: Operator,
        shard_sets: list[tuple[str, ...]],
        random: random_module.Random,
    ) -> None:
        self._hosts = hosts
        self._backends = backends
        self._operator = operator
        self._shard_sets = shard_sets
        self._random = random
        self._wiped = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.record: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Start troubles for a time, then wait until all of them are over."""
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        kinds: list[Callable[[], Awaitable[str]]] = [
            self._kill,
            self._pause,
            self._restart,
            self._cut,
            self._reset,
            self._delay,
            self._wipe,
            self._kill_many,
            self._server_crash,
            self._server_fault,
            self._server_fault,
            self._server_fault,
            self._server_drain,
            self._changes,
            self._changes,
        ]
        while loop.time() < begun_at + duration_s:
            await asyncio.sleep(self._random.uniform(0.1, 1.0))
            task = asyncio.ensure_future(
                self._one(self._random.choice(kinds), begun_at)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _one(self, kind: Callable[[], Awaitable[str]], begun_at: float) -> None:
        at_s = asyncio.get_running_loop().time() - begun_at
        self.record.append(f"{at_s:.2f} s {await kind()}")

    def _host(self) -> HostProcess:
        return self._random.choice(self._hosts.all)

    def _odd(self) -> bool:
        return self._random.random() < 0.5

    def _server(self) -> Backend:
        return self._random.choice(self._backends.servers)

    async def _kill(self) -> str:
        host = self._host()
        await host.end()
        await asyncio.sleep(self._random.uniform(0.1, 2.0))
        self._again(host)
        return f"killed {host.name}"

    async def _kill_many(self) -> str:
        hosts = self._random.sample(self._hosts.all, len(self._hosts.all) // 2 + 1)
        await asyncio.gather(*(host.end() for host in hosts))
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        for host in hosts:
            self._again(host)
        return f"killed {[host.name for host in hosts]} at once"

    async def _pause(self) -> str:
        host = self._host()
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 4.0))
        host.signal(signal.SIGCONT)
        return f"paused {host.name}"

    async def _restart(self) -> str:
        host = self._host()
        host.signal(signal.SIGCONT)
        await host.leave(_GRACE_S)
        self._again(host)
        return f"restarted {host.name}"

    async def _cut(self) -> str:
        host = self._host()
        faults = host.proxy.faults
        faults.mute_in = self._random.random() < 0.7
        faults.mute_out = not faults.mute_in or self._random.random() < 0.5
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        faults.mute_in = faults.mute_out = False
        host.proxy.reset()
        return "cut a host's control"

    async def _reset(self) -> str:
        host = self._host()
        host.proxy.reset()
        return f"reset connections of {host.name}"

    async def _delay(self) -> str:
        host = self._host()
        host.proxy.faults.delay_s = self._random.uniform(0.01, 0.2)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        host.proxy.faults.delay_s = 0.0
        return f"delayed {host.name}"

    async def _wipe(self) -> str:
        """Lose one disk in a run: the group bears one at a time."""
        if self._wiped:
            return "no second disk lost"
        self._wiped = True
        host = self._random.choice([h for h in self._hosts.all if h.folder_used])
        await host.end()
        host.wipe()
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        self._again(host)
        return f"lost the disk of {host.name}"

    async def _server_crash(self) -> str:
        server = self._server()
        self._backends.servers.remove(server)
        await server.crash()
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        await self._backends.add(server.service, server.zone)
        return f"crashed {server.name}"

    async def _server_drain(self) -> str:
        server = self._server()
        self._backends.servers.remove(server)
        await self._backends.add(server.service, server.zone)
        await server.drain()
        return f"drained {server.name}"

    async def _server_fault(self) -> str:
        # Orders are the only requests that must not be repeated, so they get half of
        # the faults after which a repetition would be wrong.
        orders = [s for s in self._backends.servers if s.service == ORDERS]
        server = self._random.choice(orders) if self._odd() else self._server()
        server.fault = self._random.choice(("full", "errors", "lost"))
        server.slow_s = self._random.choice((0.0, 0.0, 0.2))
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        server.fault, server.slow_s = "", 0.0
        return f"faults at {server.name}"

    async def _changes(self) -> str:
        count = self._random.randint(1, 4)
        changes = [
            self._operator.change(self._random.choice(self._shard_sets), 4.0)
            for _ in range(count)
        ]
        done = await asyncio.gather(*changes)
        await self._operator.read()
        return f"{sum(done)} of {count} changes acknowledged"

    def _again(self, host: HostProcess) -> None:
        if not host.running:
            host.start()
