"""A complete deployment in one process on loopback.

The demo, the load tool and tests use it. It runs real hosts and stand-in backend
servers that communicate over HTTP on free ports.
"""

import asyncio
import dataclasses
import json
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import aiohttp
from kingcuplug_common import HostSettings, TlsSettings, random_identifier
from kingcuplug_daemon import Host, client_context, routing_policy_for
from kingcuplug_log import LogSettings
from kingcuplug_membership import MembershipSettings

from kingcuplug_cli._standin import ExecutionCounts, StandInServer, StandInService

__all__ = ["DeploymentSpec", "LocalDeployment", "load_deployment_spec"]

_READY_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceGroup:
    """Services of equal size."""

    services: tuple[str, ...]
    servers: int
    slots: int
    connections: int
    connection_cost_ms: float
    shard_count: int
    replicas: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """Availability zones and backend servers of one deployment."""

    availability_zones: tuple[str, ...]
    zone_latency_ms: float
    caller_latency_ms: float
    groups: tuple[ServiceGroup, ...]


def load_deployment_spec(
    path: Path, only_services: Sequence[str] | None = None
) -> DeploymentSpec:
    """Read a ``servers.json`` of the examples.

    Parameters
    ----------
    only : sequence of str, optional
        Keep only these services.
    """
    fields = json.loads(path.read_text())
    groups = []
    for group in fields["groups"]:
        services = tuple(
            name
            for name in group["services"]
            if only_services is None or name in only_services
        )
        if services:
            groups.append(ServiceGroup(**(group | {"services": services})))
    return DeploymentSpec(
        tuple(fields["availability_zones"]),
        fields["zone_latency_ms"],
        fields["caller_latency_ms"],
        tuple(groups),
    )


class LocalDeployment:
    """Hosts and stand-ins of one deployment.

    Parameters
    ----------
    sizes : DeploymentSpec
        Zones and backend servers.
    entry_hosts, control_hosts : int
        Numbers of hosts; the first ones have both roles.
    seed : int
        Seed of the stand-ins' service times.
    folder : Path, optional
        Parent of the data folders; by default a temporary one.
    tls : TlsSettings, optional
        Identity of all hosts and stand-ins; without it nothing uses TLS.

    Attributes
    ----------
    hosts : list of Host
        Running hosts.
    servers : list of StandInServer
        Running stand-ins.
    journal : ExecutionCounts
        Counts of the work that the stand-ins executed.
    """

    def __init__(
        self,
        spec: DeploymentSpec,
        entry_hosts: int = 3,
        control_hosts: int = 3,
        seed: int = 1,
        folder: Path | None = None,
        routing_policy: Any = routing_policy_for,
        operator_token: str | None = None,
        log_settings: LogSettings | None = None,
        membership_settings: MembershipSettings | None = None,
        host_fields: dict[str, Any] | None = None,
        tls: TlsSettings | None = None,
    ) -> None:
        self.spec = spec
        self.hosts: list[Host] = []
        self.servers: list[StandInServer] = []
        self.execution_counts = ExecutionCounts()
        self._temporary_folder = None if folder else tempfile.TemporaryDirectory()
        self._folder = folder or Path(
            str(self._temporary_folder and self._temporary_folder.name)
        )
        self._entry_host_count = entry_hosts
        self._control_host_count = control_hosts
        self._seed = seed
        self._routing_policy = routing_policy
        self._operator_token = operator_token
        self._tls = tls
        self._scheme = "http" if tls is None else "https"
        self._log_settings = log_settings
        self._membership_settings = membership_settings
        self._host_fields = host_fields or {}
        self._next_entry_index = 0
        self._control_seeds: tuple[str, ...] = ()
        self._http: aiohttp.ClientSession | None = None

    # Lifecycle

    async def start(self, text: str) -> int:
        """Start everything, apply the text and return its revision."""
        await self.start_control_hosts()
        revision = await self.apply(text, 0)
        await self.start_entry_hosts()
        await self.start_servers()
        await self.wait_ready()
        return revision

    async def start_control_hosts(self) -> None:
        """Start the control hosts and bootstrap the log."""
        self.hosts += [self.make_host(n) for n in range(self._control_host_count)]
        self._control_seeds = tuple(host.peer_address for host in self.hosts)
        for host in self.hosts:
            host.settings = host.settings.model_copy(
                update={"control_seeds": self._control_seeds}
            )
            await host.start()
        first = self.hosts[0]
        await self.call_operator(first, "control/bootstrap", {})
        await self._poll_until(self._has_leader)
        for host in self.hosts[1:]:
            await self.call_operator(
                first, "control/add", {"address": host.peer_address}
            )

    async def start_entry_hosts(self) -> None:
        """Start the hosts that have the entry role only."""
        for number in range(self._control_host_count, self._entry_host_count):
            host = self.make_host(number)
            self.hosts.append(host)
            await host.start()

    async def start_servers(self, snapshot: int = 1) -> None:
        """Start all stand-ins with their shards of one snapshot."""
        for group in self.spec.groups:
            for name in group.services:
                self.servers += self._make_servers(group, name, snapshot)
        await asyncio.gather(*(server.start() for server in self.servers))

    async def stop(self) -> None:
        """Stop everything gracefully."""
        await asyncio.gather(*(s.crash() for s in self.servers if s.running))
        await asyncio.gather(*(host.stop(grace_ms=0) for host in self.hosts))
        if self._http is not None:
            await self._http.close()
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    def make_host(self, number: int) -> Host:
        """Return a host that is not started; equal numbers share a data folder."""
        roles = []
        if number < self._control_host_count:
            roles.append("control")
        if number < self._entry_host_count:
            roles.append("entry")
        zones = self.spec.availability_zones
        name = f"host-{number + 1:02}"
        previous = self.hosts[number] if number < len(self.hosts) else None
        fields = {
            "host": name,
            "availability_zone": zones[number % len(zones)],
            "roles": roles,
            "caller_address": previous.caller_address if previous else "127.0.0.1:0",
            "peer_address": previous.peer_address if previous else "127.0.0.1:0",
            "data_folder": self._folder / name if "control" in roles else None,
            "control_seeds": self._control_seeds,
            "operator_token_file": self._write_token_file(),
            "caller_tls": self._tls,
            "peer_tls": self._tls,
            "backend_tls": self._tls,
        }
        return Host(
            HostSettings.model_validate(fields | self._host_fields),
            self._routing_policy,
            self._log_settings,
            self._membership_settings,
        )

    def _write_token_file(self) -> Path | None:
        if self._operator_token is None:
            return None
        path = self._folder / "operator-token"
        path.write_text(self._operator_token)
        return path

    def _make_servers(
        self, group: ServiceGroup, name: str, snapshot: int
    ) -> list[StandInServer]:
        service = StandInService(
            name, group.slots, group.connections, group.connection_cost_ms
        )
        zones = self.spec.availability_zones
        return [
            StandInServer(
                f"{name}-s{number}",
                service,
                zones[number % len(zones)],
                {snapshot: (group.shard_count, shards_of_server(group, number))},
                self.execution_counts,
                self.next_entry_url,
                seed=self._seed * 1_000_003 + len(self.servers) + number,
                tls=self._tls,
            )
            for number in range(group.servers)
        ]

    # Callers and operators

    def next_entry_url(self) -> str:
        """Return the base URL of the next ready entry host."""
        entry_hosts = [
            host for host in self.hosts if host.entry and not host.lifecycle.draining
        ]
        self._next_entry_index += 1
        return (
            f"{self._scheme}://"
            f"{entry_hosts[self._next_entry_index % len(entry_hosts)].caller_address}"
        )

    @property
    def http(self) -> aiohttp.ClientSession:
        """The callers' HTTP client."""
        if self._http is None:
            self._http = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, ssl=client_context(self._tls) or True
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._http

    async def call(
        self, service: str, kind: str, fields: dict[str, Any], base: str | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a request as a caller; return HTTP status and answer."""
        url = f"{base or self.next_entry_url()}/v1/services/{service}/{kind}"
        async with self.http.post(url, json=fields) as response:
            return response.status, await response.json()

    async def call_operator(
        self, host: Host, path: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        """Call an operator's endpoint and return its answer."""
        headers = (
            {"Authorization": f"Bearer {self._operator_token}"}
            if self._operator_token
            else {}
        )
        url = f"{self._scheme}://{host.caller_address}/v1/operator/{path}"
        async with self.http.post(url, json=fields, headers=headers) as response:
            answer = await response.json()
            if response.status != 200:
                raise RuntimeError(f"{path} failed with {response.status}: {answer}")
            return dict(answer)

    async def apply(self, text: str, base_revision: int) -> int:
        """Apply a configuration text and return its revision."""
        answer = await self.call_operator(
            self.hosts[0],
            "configuration",
            {
                "change_id": random_identifier(),
                "base_revision": base_revision,
                "text": text,
                "author": "local",
            },
        )
        if answer.get("type") != "accepted":
            raise RuntimeError(f"configuration was not accepted: {answer}")
        return int(answer["revision"])

    async def wait_ready(self) -> None:
        """Wait until every entry host is ready and lists all stand-ins."""
        await self._poll_until(self._is_ready)

    async def _has_leader(self) -> bool:
        control = self.hosts[0].control
        return control is not None and control.replica.status().lease_valid

    async def _is_ready(self) -> bool:
        for host in self.hosts:
            if host.entry is None:
                continue
            url = f"{self._scheme}://{host.caller_address}/readyz"
            async with self.http.get(url) as response:
                if response.status != 200:
                    return False
            if not self._has_all_servers(host):
                return False
        return True

    def _has_all_servers(self, host: Host) -> bool:
        assert host.entry is not None
        directory = host.entry.session.directory
        live_servers = {
            entry.announcement.server
            for service in directory.services()
            for entry in directory.servers(service)
            if entry.live
        }
        return all(
            server.name in live_servers for server in self.servers if server.running
        )

    @staticmethod
    async def _poll_until(condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(_READY_TIMEOUT_S):
            # Readiness is polled over HTTP, so there is no event to wait for.
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(_POLL_INTERVAL_S)


def shards_of_server(group: ServiceGroup, number: int) -> tuple[int, ...]:
    """Return the shards of one server: each is on `replicas` consecutive servers."""
    return tuple(
        shard
        for shard in range(group.shard_count)
        if (number - shard) % group.servers < group.replicas
    )
