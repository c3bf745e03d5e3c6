"""One deployment under one policy, spread over child processes."""

import asyncio
import contextlib
import dataclasses
import json
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp
from kingcuplug_common import identifier

from kingcuplug_cli._bench._balancer import Balancer
from kingcuplug_cli._bench._scenario import Policy, Times
from kingcuplug_cli._bench._schedule import ServiceLoad
from kingcuplug_cli._bench._worker import Worker
from kingcuplug_cli._local import Sizes

__all__ = ["BenchDeployment"]

_READY_TIMEOUT_S = 40.0
_POLL_S = 0.1
_GRACE_MS = 1_000
_CONTROL_HOSTS = 3


class BenchDeployment:
    """Hosts and stand-ins in processes of their own.

    Parameters
    ----------
    sizes : Sizes
        Zones and services.
    text : dict
        The configuration text.
    policy : Policy
        Routing under test.
    http : aiohttp.ClientSession
        The callers' client.
    seed : int
        Seed of the service times.
    entry_hosts, host_processes : int
        Number of entry hosts, and of processes that they are spread over. The
        control hosts have a process of their own: in one with entry hosts, bursts
        of queries delayed their heartbeats and caused elections.

    Attributes
    ----------
    revisions : list of (float, int)
        Time on the loop's clock of each acceptance, and the revision.
    configuration_retries : int
        Changes that had to be sent again, such as during an election.
    """

    def __init__(
        self,
        sizes: Sizes,
        text: dict[str, Any],
        policy: Policy,
        http: aiohttp.ClientSession,
        seed: int,
        entry_hosts: int = 10,
        host_processes: int = 2,
    ) -> None:
        self.sizes = sizes
        self.policy = policy
        self.balancer = Balancer(http)
        self.revisions: list[tuple[float, int]] = []
        self.configuration_retries = 0
        self.http = http
        self.servers = Worker("stand-ins", "kingcuplug_cli._bench._servers_worker")
        self.hosts = [
            Worker(name, "kingcuplug_cli._bench._hosts_worker")
            for name in ("control", *(f"entry {n + 1}" for n in range(host_processes)))
        ]
        self._text = _with_policy(text, policy)
        self._seed = seed
        self._entry_hosts = entry_hosts
        self._hosts = _CONTROL_HOSTS + entry_hosts
        self._settings: dict[str, dict[str, Any]] = {}
        self._seeds: list[str] = []
        self._server_names: list[str] = []
        self._folder = tempfile.TemporaryDirectory(prefix="kingcuplug-bench-")
        self._checks: asyncio.Task[None] | None = None

    @property
    def processes(self) -> list[Worker]:
        """All child processes."""
        return [*self.hosts, self.servers]

    @property
    def loads(self) -> list[ServiceLoad]:
        """The services that can be put under load."""
        return [
            ServiceLoad(name, group.servers * group.slots, group.shard_count)
            for group in self.sizes.groups
            for name in group.services
        ]

    async def start(self, times: Times) -> None:
        """Start everything and wait until every entry host knows all servers."""
        await asyncio.gather(*(worker.start() for worker in self.processes))
        for number in range(_CONTROL_HOSTS):
            await self._start_host(number)
        await self._bootstrap()
        for number in range(_CONTROL_HOSTS, self._hosts):
            await self._start_host(number)
        await self._start_servers(times)
        self._checks = asyncio.create_task(self.balancer.run())
        await self.settle()

    async def stop(self) -> None:
        """End all child processes."""
        if self._checks is not None:
            self._checks.cancel()
            await asyncio.gather(self._checks, return_exceptions=True)
        with contextlib.suppress(RuntimeError):
            await asyncio.gather(*(worker.call("stop") for worker in self.hosts))
        await asyncio.gather(*(worker.stop() for worker in self.processes))
        self._folder.cleanup()

    async def settle(self) -> None:
        """Wait until all hosts are ready and know all servers as serving."""
        await _until(self._settled)

    async def heal(self, times: Times) -> None:
        """Bring all stand-ins back and wait until that is known everywhere."""
        await self.servers.call("heal", behaviour=_behaviour(times))
        await self.settle()

    async def usage(self) -> dict[str, dict[str, float]]:
        """Return CPU seconds, clock and peak memory per child process."""
        return {worker.name: await worker.call("usage") for worker in self.processes}

    async def restart_hosts(self, count: int) -> None:
        """Restart `count` entry hosts, one after the other, gracefully."""
        for number in range(self._hosts - count, self._hosts):
            await self._worker(number).call("drain", host=_name(number))
            await self._start_host(number)

    async def apply(self, turn: int) -> None:
        """Apply a changed configuration text."""
        for service in self._text["services"].values():
            # Only the upper bound of retries moves, so that the load is the same.
            service["policy"]["retry_budget"] = 0.1 + turn % 2 * 0.001
        fields = {
            "change_id": identifier(),
            "base_revision": self.revisions[-1][1] if self.revisions else 0,
            "text": json.dumps(self._text),
            "author": "bench",
        }
        answer: dict[str, Any] = {}

        async def accepted() -> bool:
            # The same change id makes a repetition after a lost answer harmless.
            with contextlib.suppress(RuntimeError):
                answer.update(await self._operate("configuration", fields))
                return True
            self.configuration_retries += 1
            return False

        await _until(accepted)
        if answer.get("type") != "accepted":
            raise RuntimeError(f"the configuration was not accepted: {answer}")
        now = asyncio.get_running_loop().time()
        self.revisions.append((now, int(answer["revision"])))

    # Start

    async def _bootstrap(self) -> None:
        await self._operate("control/bootstrap", {})
        for number in range(1, _CONTROL_HOSTS):
            await _until(partial(self._add, number))
        await self.apply(0)

    async def _add(self, number: int) -> bool:
        """Add a control host; the first leader may not be elected yet."""
        with contextlib.suppress(RuntimeError):
            await self._operate("control/add", {"address": self._seeds[number]})
            return True
        return False

    async def _start_host(self, number: int) -> None:
        settings = self._settings.get(_name(number)) or self._make_settings(number)
        addresses = await self._worker(number).call(
            "start", settings=settings, policy=self.policy.model_dump()
        )
        self._settings[_name(number)] = settings | addresses
        if "entry" in settings["roles"]:
            self.balancer.targets[_name(number)] = addresses["caller_address"]
        if number < _CONTROL_HOSTS and len(self._seeds) < _CONTROL_HOSTS:
            self._seeds.append(addresses["peer_address"])

    def _make_settings(self, number: int) -> dict[str, Any]:
        zone = number % len(self.sizes.availability_zones)
        control = number < _CONTROL_HOSTS
        name = _name(number)
        address = f"127.0.{zone + 1}.{number + 1}"
        return {
            "host": name,
            "availability_zone": self.sizes.availability_zones[zone],
            "roles": ["control"] if control else ["entry"],
            "caller_address": f"{address}:0",
            "peer_address": f"{address}:0",
            "data_folder": str(Path(self._folder.name) / name) if control else None,
            "control_seeds": list(self._seeds),
            "shutdown_grace_ms": _GRACE_MS,
        }

    async def _start_servers(self, times: Times) -> None:
        zone_of = {
            settings["caller_address"].rpartition(":")[0]: settings["availability_zone"]
            for settings in self._settings.values()
        }
        self._server_names = await self.servers.call(
            "start",
            sizes=dataclasses.asdict(self.sizes),
            zone_of=zone_of,
            entries=[f"http://{a}" for a in self.balancer.targets.values()],
            seed=self._seed,
            behaviour=_behaviour(times),
        )

    async def _settled(self) -> bool:
        await self.balancer.check()
        if len(self.balancer.ready) < self._entry_hosts:
            return False
        known = await asyncio.gather(
            *(w.call("knows", servers=self._server_names) for w in self.hosts)
        )
        return all(known)

    def _worker(self, number: int) -> Worker:
        if number < _CONTROL_HOSTS:
            return self.hosts[0]
        return self.hosts[1 + number % (len(self.hosts) - 1)]

    async def _operate(self, path: str, fields: dict[str, Any]) -> dict[str, Any]:
        address = self._settings[_name(0)]["caller_address"]
        url = f"http://{address}/v1/operator/{path}"
        async with self.http.post(url, json=fields) as response:
            answer = await response.json()
            if response.status != 200:
                raise RuntimeError(f"{path} failed with {response.status}: {answer}")
            return dict(answer)


def _name(number: int) -> str:
    return f"host-{number + 1:02}"


def _behaviour(times: Times) -> dict[str, float]:
    return {
        "service_time_ms": times.median_ms,
        "spread": times.spread,
        "straggle_share": times.straggle_share,
        "straggle_factor": times.straggle_factor,
    }


def _with_policy(text: dict[str, Any], policy: Policy) -> dict[str, Any]:
    copied: dict[str, Any] = json.loads(json.dumps(text))
    for service in copied["services"].values():
        service.setdefault("policy", {}).update(policy.service)
    return copied


async def _until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(_READY_TIMEOUT_S):
        # State of other processes is asked for, so there is no event to wait for.
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(_POLL_S)
