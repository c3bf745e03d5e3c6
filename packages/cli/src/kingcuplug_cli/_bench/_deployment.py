"""A deployment under one policy, in child processes."""

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
from kingcuplug_common import random_identifier

from kingcuplug_cli._bench._load_balancer import LoadBalancer
from kingcuplug_cli._bench._scenario import Policy, ServiceTimes
from kingcuplug_cli._bench._schedule import ServiceLoad
from kingcuplug_cli._bench._worker_process import WorkerProcess
from kingcuplug_cli._local import DeploymentSpec

__all__ = ["BenchDeployment"]

_CONDITION_TIMEOUT_S = 40.0
_POLL_PERIOD_S = 0.1
_SHUTDOWN_GRACE_MS = 1_000
_CONTROL_HOST_COUNT = 3


class BenchDeployment:
    """Hosts and simulated backend servers in child processes.

    Parameters
    ----------
    sizes : DeploymentSpec
        Zones and services.
    configuration : dict
        The configuration, decoded from its JSON text.
    policy : Policy
        Routing under test.
    http : aiohttp.ClientSession
        Client that sends the callers' requests.
    seed : int
        Seed of the service times.
    entry_host_count, host_process_count : int
        Number of entry hosts, and of processes that they are spread over. The
        control hosts run in a separate process: in one shared with entry hosts,
        bursts of queries delayed their heartbeats and caused elections.

    Attributes
    ----------
    accepted_revisions : list of (float, int)
        Acceptance time, on the event loop's clock, and number of each revision.
    configuration_retries : int
        Number of changes that were sent again, such as during an election.
    """

    def __init__(
        self,
        sizes: DeploymentSpec,
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
        """The services that arrivals can be planned for."""
        return [
            ServiceLoad(name, group.servers * group.slots, group.shard_count)
            for group in self.sizes.groups
            for name in group.services
        ]

    async def start(self, times: ServiceTimes) -> None:
        """Start everything and wait until all hosts are ready."""
        await asyncio.gather(*(worker.start() for worker in self.workers))
        for host_index in range(_CONTROL_HOST_COUNT):
            await self._start_host(host_index)
        await self._bootstrap_control_group()
        for host_index in range(_CONTROL_HOST_COUNT, self._host_count):
            await self._start_host(host_index)
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
        """Wait until all entry hosts are ready and list all servers as serving."""
        await _poll_until(self._is_ready)

    async def reset_servers(self, times: ServiceTimes) -> None:
        """Restore all servers and wait until every entry host lists them as serving."""
        await self.server_worker.call("heal", behaviour=_behaviour_fields(times))
        await self.wait_until_ready()

    async def usage_by_process(self) -> dict[str, dict[str, float]]:
        """Return CPU time, clock and peak memory of each child process."""
        return {worker.name: await worker.call("usage") for worker in self.workers}

    async def restart_entry_hosts(self, count: int) -> None:
        """Restart `count` entry hosts gracefully, one after the other."""
        for host_index in range(self._host_count - count, self._host_count):
            await self._host_worker(host_index).call(
                "drain", host=_host_name(host_index)
            )
            await self._start_host(host_index)

    async def apply_configuration(self, change_number: int) -> None:
        """Submit a changed configuration and wait until it is accepted."""
        for service in self._configuration["services"].values():
            # Only the retry budget changes, so that the load stays the same.
            service["policy"]["retry_budget"] = 0.1 + change_number % 2 * 0.001
        fields = {
            "change_id": random_identifier(),
            "base_revision": self.accepted_revisions[-1][1]
            if self.accepted_revisions
            else 0,
            "text": json.dumps(self._configuration),
            "author": "bench",
        }
        answer: dict[str, Any] = {}

        async def submit_change() -> bool:
            # The change id makes a repetition after a lost answer idempotent.
            with contextlib.suppress(RuntimeError):
                answer.update(await self._call_operator_api("configuration", fields))
                return True
            self.configuration_retries += 1
            return False

        await _poll_until(submit_change)
        if answer.get("type") != "accepted":
            raise RuntimeError(f"the configuration was not accepted: {answer}")
        now = asyncio.get_running_loop().time()
        self.accepted_revisions.append((now, int(answer["revision"])))

    async def _bootstrap_control_group(self) -> None:
        await self._call_operator_api("control/bootstrap", {})
        for host_index in range(1, _CONTROL_HOST_COUNT):
            await _poll_until(partial(self._add_control_host, host_index))
        await self.apply_configuration(0)

    async def _add_control_host(self, host_index: int) -> bool:
        """Add a control host; return False while there is no elected leader."""
        with contextlib.suppress(RuntimeError):
            await self._call_operator_api(
                "control/add", {"address": self._control_seeds[host_index]}
            )
            return True
        return False

    async def _start_host(self, host_index: int) -> None:
        settings = self._settings_by_host.get(
            _host_name(host_index)
        ) or self._make_settings(host_index)
        addresses = await self._host_worker(host_index).call(
            "start", settings=settings, policy=self.policy.model_dump()
        )
        self._settings_by_host[_host_name(host_index)] = settings | addresses
        if "entry" in settings["roles"]:
            self.balancer.addresses[_host_name(host_index)] = addresses[
                "caller_address"
            ]
        if (
            host_index < _CONTROL_HOST_COUNT
            and len(self._control_seeds) < _CONTROL_HOST_COUNT
        ):
            self._control_seeds.append(addresses["peer_address"])

    def _make_settings(self, host_index: int) -> dict[str, Any]:
        zone_index = host_index % len(self.sizes.availability_zones)
        is_control = host_index < _CONTROL_HOST_COUNT
        name = _host_name(host_index)
        address = f"127.0.{zone_index + 1}.{host_index + 1}"
        return {
            "host": name,
            "availability_zone": self.sizes.availability_zones[zone_index],
            "roles": ["control"] if is_control else ["entry"],
            "caller_address": f"{address}:0",
            "peer_address": f"{address}:0",
            "data_folder": str(Path(self._data_folder.name) / name)
            if is_control
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
            entries=[
                f"http://{address}" for address in self.balancer.addresses.values()
            ],
            seed=self._seed,
            behaviour=_behaviour_fields(times),
        )

    async def _is_ready(self) -> bool:
        await self.balancer.check_all_hosts()
        if len(self.balancer.ready_hosts) < self._entry_host_count:
            return False
        all_serving = await asyncio.gather(
            *(
                worker.call("knows", servers=self._server_names)
                for worker in self.host_workers
            )
        )
        return all(all_serving)

    def _host_worker(self, host_index: int) -> WorkerProcess:
        if host_index < _CONTROL_HOST_COUNT:
            return self.host_workers[0]
        return self.host_workers[1 + host_index % (len(self.host_workers) - 1)]

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


def _host_name(host_index: int) -> str:
    return f"host-{host_index + 1:02}"


def _behaviour_fields(times: ServiceTimes) -> dict[str, float]:
    return {
        "service_time_ms": times.median_ms,
        "spread": times.spread,
        "straggle_share": times.straggle_share,
        "straggle_factor": times.straggle_factor,
    }


def _apply_policy(configuration: dict[str, Any], policy: Policy) -> dict[str, Any]:
    changed: dict[str, Any] = json.loads(json.dumps(configuration))
    for service in changed["services"].values():
        service.setdefault("policy", {}).update(policy.service)
    return changed


async def _poll_until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(_CONDITION_TIMEOUT_S):
        # The condition is the state of other processes, which set no local event.
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(_POLL_PERIOD_S)
