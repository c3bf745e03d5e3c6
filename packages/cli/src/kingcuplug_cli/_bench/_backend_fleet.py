"""Simulated backend servers of one deployment and the events of a scenario."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from kingcuplug_cli._local import DeploymentSpec, ServiceGroup, shards_of_server
from kingcuplug_cli._standin import (
    ExecutionCounts,
    ServerBehaviour,
    StandInServer,
    StandInService,
)

__all__ = ["BackendFleet", "DeployedService"]

_RESTART_DELAY_S = 0.8
_SUPERVISION_PERIOD_S = 0.1
_ROLLOUT_STEP_S = 0.05

# Snapshot -> shard count of the snapshot, shards that the server holds
ShardsBySnapshot = dict[int, tuple[int, tuple[int, ...]]]


@dataclasses.dataclass(slots=True)
class DeployedService:
    """One service with its sizes, servers and newest snapshot."""

    name: str
    group: ServiceGroup
    servers: list[StandInServer]
    snapshot: int
    shard_count: int

    def shards_of_server(
        self, server_index: int, snapshot: int, shard_count: int
    ) -> ShardsBySnapshot:
        """Return the shards of one snapshot that the server `server_index` holds."""
        resized_group = dataclasses.replace(self.group, shard_count=shard_count)
        return {snapshot: (shard_count, shards_of_server(resized_group, server_index))}


class BackendFleet:
    """All simulated backend servers of one deployment.

    Parameters
    ----------
    sizes : DeploymentSpec
        Zones and services.
    choose_entry_url : callable
        Returns the base URL of an entry host.
    latency_of : callable
        Returns the one-way latency between a client's address and a zone.
    seed : int
        Seed of the service times.

    Attributes
    ----------
    journal : ExecutionCounts
        Record of the work that the servers did.
    drain_lags_s : list of float
        Time from the start of each drain to the last new work that the server got.
    shard_counts : dict
        Shard count of every snapshot of each service, including replaced ones.
    """

    def __init__(
        self,
        sizes: DeploymentSpec,
        choose_entry_url: Callable[[], str],
        latency_of: Callable[[str, str], float],
        seed: int,
    ) -> None:
        self.journal = ExecutionCounts()
        self.drain_lags_s: list[float] = []
        self.services: dict[str, DeployedService] = {}
        self.shard_counts: dict[str, dict[int, int]] = {}
        self._rng = random.Random(seed)
        self._unsupervised: set[str] = set()
        self._zones = sizes.availability_zones
        self._default_behaviour = ServerBehaviour()
        for group in sizes.groups:
            for name in group.services:
                self._add_service(group, name, choose_entry_url, latency_of)

    def _add_service(
        self,
        group: ServiceGroup,
        name: str,
        choose_entry_url: Callable[[], str],
        latency_of: Callable[[str, str], float],
    ) -> None:
        simulated_service = StandInService(
            name, group.slots, group.connections, group.connection_cost_ms
        )
        deployed = DeployedService(name, group, [], 1, group.shard_count)
        for index in range(group.servers):
            zone = self._zones[index % len(self._zones)]
            deployed.servers.append(
                StandInServer(
                    f"{name}-s{index}",
                    simulated_service,
                    zone,
                    deployed.shards_of_server(index, 1, group.shard_count),
                    self.journal,
                    choose_entry_url,
                    self._rng.getrandbits(32),
                    latency_of=_latency_to_zone(latency_of, zone),
                )
            )
        self.services[name] = deployed
        self.shard_counts[name] = {1: group.shard_count}

    @property
    def servers(self) -> list[StandInServer]:
        """All servers."""
        return [
            server for service in self.services.values() for server in service.servers
        ]

    def shard_addresses(self, service: str) -> list[list[str]]:
        """Return the addresses that hold each shard of the newest snapshot."""
        deployed = self.services[service]
        return [
            [
                server.address
                for server in deployed.servers
                if shard in server.holdings[deployed.snapshot][1]
            ]
            for shard in range(deployed.shard_count)
        ]

    async def start(self, behaviour: ServerBehaviour) -> None:
        """Start all servers with the given behaviour."""
        self._default_behaviour = behaviour
        await self.reset_servers()

    async def restart_crashed_servers(self) -> None:
        """Restart crashed servers, as a process supervisor does, until cancelled."""
        while True:
            await asyncio.sleep(_SUPERVISION_PERIOD_S)
            for server in self.servers:
                if not server.running and server.name not in self._unsupervised:
                    self._unsupervised.add(server.name)
                    asyncio.get_running_loop().create_task(
                        self._restart_after_delay(server)
                    )

    async def _restart_after_delay(self, server: StandInServer) -> None:
        await asyncio.sleep(_RESTART_DELAY_S)
        if not server.running:
            await server.start()
        self._unsupervised.discard(server.name)

    async def reset_servers(self) -> None:
        """Start every stopped server and reset the behaviour of all."""
        self._unsupervised.clear()
        for server in self.servers:
            server.behaviour = dataclasses.replace(self._default_behaviour)
        await asyncio.gather(
            *(server.start() for server in self.servers if not server.running)
        )

    async def run_event(self, action: str, fields: dict[str, Any]) -> None:
        """Run one event of a scenario to its end."""
        await getattr(self, f"_{action}")(**fields)

    # Handlers of scenario events, named after their action

    async def _slow_server(self, factor: float) -> None:
        for service in self.services.values():
            service.servers[0].behaviour.slow_factor = factor

    async def _lose_server(self) -> None:
        await self._crash_servers(
            service.servers[0] for service in self.services.values()
        )

    async def _lose_zone(self, number: int = 0) -> None:
        zone = self._zones[number]
        await self._crash_servers(
            server for server in self.servers if server.availability_zone == zone
        )

    async def _crash_servers(self, servers: Iterable[StandInServer]) -> None:
        crashed = list(servers)
        self._unsupervised.update(server.name for server in crashed)
        await asyncio.gather(*(server.crash() for server in crashed))

    async def _lie_about_load(self) -> None:
        for index, server in enumerate(self.servers):
            server.behaviour.reported_load = 0.0 if index % 2 else 1.0

    async def _cold_restart(self, cold_ms: float, factor: float) -> None:
        """Restart all servers of the first service at once, with cold caches."""
        service = next(iter(self.services.values()))
        await self._crash_servers(service.servers)
        await asyncio.sleep(_RESTART_DELAY_S)
        for server in service.servers:
            server.behaviour.cold_ms = cold_ms
            server.behaviour.cold_factor = factor
            await server.start()

    async def _rolling_drain(self, hold_s: float, last_hold_s: float) -> None:
        """Drain, stop and restart the servers of each service one after the other."""
        await asyncio.gather(
            *(
                self._drain_sequentially(service.servers, hold_s, last_hold_s)
                for service in self.services.values()
            )
        )

    async def _drain_sequentially(
        self, servers: Sequence[StandInServer], hold_s: float, last_hold_s: float
    ) -> None:
        for server in servers:
            drain_started_at = asyncio.get_running_loop().time()
            server.drain()
            await asyncio.sleep(last_hold_s if server is servers[-1] else hold_s)
            self.drain_lags_s.append(
                max(server.last_sub_request_at - drain_started_at, 0.0)
            )
            self._unsupervised.add(server.name)
            await server.stop()
            await server.start()
            self._unsupervised.discard(server.name)

    async def _index_change(self, shard_count: int, overlap_s: float) -> None:
        """Replace each index by one with another shard count, then change it back."""
        for service in self.services.values():
            original_count = service.group.shard_count
            for new_count in (original_count + shard_count, original_count):
                await self._publish_snapshot(service, new_count, overlap_s)

    async def _publish_snapshot(
        self, service: DeployedService, shard_count: int, overlap_s: float
    ) -> None:
        snapshot = service.snapshot + 1
        self.shard_counts[service.name][snapshot] = shard_count
        for index, server in enumerate(service.servers):
            new_shards = service.shards_of_server(index, snapshot, shard_count)
            server.set_holdings(server.holdings | new_shards)
            await asyncio.sleep(_ROLLOUT_STEP_S)
        service.snapshot, service.shard_count = snapshot, shard_count
        await asyncio.sleep(overlap_s)
        for index, server in enumerate(service.servers):
            server.set_holdings(service.shards_of_server(index, snapshot, shard_count))
            await asyncio.sleep(_ROLLOUT_STEP_S)


def _latency_to_zone(
    latency_of: Callable[[str, str], float], zone: str
) -> Callable[[str], float]:
    return lambda client: latency_of(client, zone)
