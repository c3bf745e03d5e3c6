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

from kingcuplug_cli._bench._load_balancer import LoadBalancer
from kingcuplug_cli._bench._scenario import Policy, ServiceTimes
from kingcuplug_cli._bench._schedule import ServiceLoad
from kingcuplug_cli._bench._worker_process import WorkerProcess
from kingcuplug_cli._local import Sizes

__all__ = ["BenchDeployment"]

_CONDITION_TIMEOUT_S = 40.0
_POLL_PERIOD_S = 0.1
_SHUTDOWN_GRACE_MS = 1_000
_CONTROL_HOST_COUNT = 3


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
        configuration: dict[str, Any],
        policy: Policy,
        http: aiohttp.ClientSession,
        seed: int,
        entry_host_count: int = 10,
        host_process_count: int = 2,
    ) -> None:
        self.sizes = sizes
        self.policy = policy
        self.balancer = LoadBalancer(http)
        self.accepted_revisions: list[tuple[float, int]] = []
        self.configuration_retries = 0
        self.http = http
        self.server_worker = WorkerProcess(
            "stand-ins", "kingcuplug_cli._bench._servers_worker"
        )
        self.host_workers = [
            WorkerProcess(name, "kingcuplug_cli._bench._hosts_worker")
            for name in (
                "control",
                *(f"entry {n + 1}" for n in range(host_process_count)),
            )
        ]
        self._configuration = _apply_policy(configuration, policy)
        self._seed = seed
        self._entry_host_count = entry_host_count
        self._host_count = _CONTROL_HOST_COUNT + entry_host_count
        self._settings_by_host: dict[str, dict[str, Any]] = {}
        self._control_seeds: list[str] = []
        self._server_names: list[str] = []
        self._data_folder = tempfile.TemporaryDirectory(prefix="kingcuplug-bench-")
        self._readiness_checks: asyncio.Task[None] | None = None

    @property
    def workers(self) -> list[WorkerProcess]:
        """All child processes."""
        return [*self.host_workers, self.server_worker]

    @property
    def service_loads(self) -> list[ServiceLoad]:
        """The services that can be put under load."""
        return [
            ServiceLoad(name, group.servers * group.slots, group.shard_count)
            for group in self.sizes.groups
            for name in group.services
        ]

    async def start(self, times: ServiceTimes) -> None:
        """Start everything and wait until every entry host knows all servers."""
        await asyncio.gather(*(worker.start() for worker in self.workers))
        for number in range(_CONTROL_HOST_COUNT):
            await self._start_host(number)
        await self._bootstrap_control_group()
        for number in range(_CONTROL_HOST_COUNT, self._host_count):
            await self._start_host(number)
        await self._start_servers(times)
        self._readiness_checks = asyncio.create_task(
            self.balancer.run_readiness_checks()
        )
        await self.wait_until_ready()

    async def stop(self) -> None:
        """End all child processes."""
        if self._readiness_checks is not None:
            self._readiness_checks.cancel()
            await asyncio.gather(self._readiness_checks, return_exceptions=True)
        with contextlib.suppress(RuntimeError):
            await asyncio.gather(*(worker.call("stop") for worker in self.host_workers))
        await asyncio.gather(*(worker.stop() for worker in self.workers))
        self._data_folder.cleanup()

    async def wait_until_ready(self) -> None:
        """Wait until all hosts are ready and know all servers as serving."""
        await _poll_until(self._is_ready)

    async def reset_servers(self, times: ServiceTimes) -> None:
        """Bring all stand-ins back and wait until that is known everywhere."""
        await self.server_worker.call("heal", behaviour=_behaviour_fields(times))
        await self.wait_until_ready()

    async def usage_by_process(self) -> dict[str, dict[str, float]]:
        """Return CPU seconds, clock and peak memory per child process."""
        return {worker.name: await worker.call("usage") for worker in self.workers}

    async def restart_entry_hosts(self, count: int) -> None:
        """Restart `count` entry hosts, one after the other, gracefully."""
        for number in range(self._host_count - count, self._host_count):
            await self._host_worker(number).call("drain", host=_host_name(number))
            await self._start_host(number)

    async def apply_configuration(self, change_number: int) -> None:
        """Apply a changed configuration text."""
        for service in self._configuration["services"].values():
            # Only the upper bound of retries moves, so that the load is the same.
            service["policy"]["retry_budget"] = 0.1 + change_number % 2 * 0.001
        fields = {
            "change_id": identifier(),
            "base_revision": self.accepted_revisions[-1][1]
            if self.accepted_revisions
            else 0,
            "text": json.dumps(self._configuration),
            "author": "bench",
        }
        answer: dict[str, Any] = {}

        async def accepted() -> bool:
            # The same change id makes a repetition after a lost answer harmless.
            with contextlib.suppress(RuntimeError):
                answer.update(await self._call_operator_api("configuration", fields))
                return True
            self.configuration_retries += 1
            return False

        await _poll_until(accepted)
        if answer.get("type") != "accepted":
            raise RuntimeError(f"the configuration was not accepted: {answer}")
        now = asyncio.get_running_loop().time()
        self.accepted_revisions.append((now, int(answer["revision"])))

    # Start

    async def _bootstrap_control_group(self) -> None:
        await self._call_operator_api("control/bootstrap", {})
        for number in range(1, _CONTROL_HOST_COUNT):
            await _poll_until(partial(self._add_control_host, number))
        await self.apply_configuration(0)

    async def _add_control_host(self, number: int) -> bool:
        """Add a control host; the first leader may not be elected yet."""
        with contextlib.suppress(RuntimeError):
            await self._call_operator_api(
                "control/add", {"address": self._control_seeds[number]}
            )
            return True
        return False

    async def _start_host(self, number: int) -> None:
        settings = self._settings_by_host.get(
            _host_name(number)
        ) or self._make_settings(number)
        addresses = await self._host_worker(number).call(
            "start", settings=settings, policy=self.policy.model_dump()
        )
        self._settings_by_host[_host_name(number)] = settings | addresses
        if "entry" in settings["roles"]:
            self.balancer.addresses[_host_name(number)] = addresses["caller_address"]
        if (
            number < _CONTROL_HOST_COUNT
            and len(self._control_seeds) < _CONTROL_HOST_COUNT
        ):
            self._control_seeds.append(addresses["peer_address"])

    def _make_settings(self, number: int) -> dict[str, Any]:
        zone = number % len(self.sizes.availability_zones)
        control = number < _CONTROL_HOST_COUNT
        name = _host_name(number)
        address = f"127.0.{zone + 1}.{number + 1}"
        return {
            "host": name,
            "availability_zone": self.sizes.availability_zones[zone],
            "roles": ["control"] if control else ["entry"],
            "caller_address": f"{address}:0",
            "peer_address": f"{address}:0",
            "data_folder": str(Path(self._data_folder.name) / name)
            if control
            else None,
            "control_seeds": list(self._control_seeds),
            "shutdown_grace_ms": _SHUTDOWN_GRACE_MS,
        }

    async def _start_servers(self, times: ServiceTimes) -> None:
        zone_of = {
            settings["caller_address"].rpartition(":")[0]: settings["availability_zone"]
            for settings in self._settings_by_host.values()
        }
        self._server_names = await self.server_worker.call(
            "start",
            sizes=dataclasses.asdict(self.sizes),
            zone_of=zone_of,
            entries=[f"http://{a}" for a in self.balancer.addresses.values()],
            seed=self._seed,
            behaviour=_behaviour_fields(times),
        )

    async def _is_ready(self) -> bool:
        await self.balancer.check_all_hosts()
        if len(self.balancer.ready_hosts) < self._entry_host_count:
            return False
        known = await asyncio.gather(
            *(w.call("knows", servers=self._server_names) for w in self.host_workers)
        )
        return all(known)

    def _host_worker(self, number: int) -> WorkerProcess:
        if number < _CONTROL_HOST_COUNT:
            return self.host_workers[0]
        return self.host_workers[1 + number % (len(self.host_workers) - 1)]

    async def _call_operator_api(
        self, path: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        address = self._settings_by_host[_host_name(0)]["caller_address"]
        url = f"http://{address}/v1/operator/{path}"
        async with self.http.post(url, json=fields) as response:
            answer = await response.json()
            if response.status != 200:
                raise RuntimeError(f"{path} failed with {response.status}: {answer}")
            return dict(answer)


def _host_name(number: int) -> str:
    return f"host-{number + 1:02}"


def _behaviour_fields(times: ServiceTimes) -> dict[str, float]:
    return {
        "service_time_ms": times.median_ms,
        "spread": times.spread,
        "straggle_share": times.straggle_share,
        "straggle_factor": times.straggle_factor,
    }


def _apply_policy(configuration: dict[str, Any], policy: Policy) -> dict[str, Any]:
    copied: dict[str, Any] = json.loads(json.dumps(configuration))
    for service in copied["services"].values():
        service.setdefault("policy", {}).update(policy.service)
    return copied


async def _poll_until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(_CONDITION_TIMEOUT_S):
        # State of other processes is asked for, so there is no event to wait for.
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(_POLL_PERIOD_S)
