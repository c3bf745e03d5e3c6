"""The backend servers of each service, as this host may use them."""

import asyncio
import random as random_module
from collections.abc import Iterable
from dataclasses import dataclass

from kingcuplug_routing import (
    AllowanceSettings,
    ReplicaState,
    RetryAllowance,
    Samples,
    Turnstile,
    WindowCount,
    fixed_part,
)

from kingcuplug_gateway._pool import ServerConnections

__all__ = ["KnownServer", "Server", "ServerTable", "ServicePool"]

_MS_PER_S = 1_000
# Hosts do not get even shares of the callers, so their sum stays below the limit.
_LIMIT_SHARE = 0.95
# Assumed until a control host says how many there are: too many connections at once
# are reset by the servers.
_UNKNOWN_HOSTS = 100
# Of the common bound on retries, what gatherers use; the hosts that they gather for
# keep the rest for gatherers that do not answer.
_GATHER_SHARE = 0.7
# Of a server's connections, what all gatherers use together; other hosts hold at most
# one each, and only while gatherers do not answer.
_GATHER_CONNECTIONS = 0.4


@dataclass(frozen=True, slots=True)
class KnownServer:
    """One usable backend server.

    Attributes
    ----------
    cold_ms : int
        How much longer it is slow after its start, when this was learnt.
    silent : bool
        Whether its heartbeats have stopped.
    pace : float
        Duration of its answers relative to the typical one, if all hosts together
        find it slow; else 1.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    cold_ms: int
    silent: bool
    pace: float = 1.0


class Server:
    """One backend server with its connections and what was seen of it."""

    def __init__(self, known: KnownServer, remote: bool, limit: int) -> None:
        self.known = known
        self.state = ReplicaState(slots=max(1, known.slots), remote=remote)
        self.connections = ServerConnections(known.address, limit)


class ServicePool:
    """Servers of one service, and the retries that it bears."""

    def __init__(
        self,
        name: str,
        allowance: AllowanceSettings,
        random: random_module.Random,
        share: float,
    ) -> None:
        self.name = name
        self.servers: dict[str, Server] = {}
        self.allowance = RetryAllowance(allowance, random, share)
        self.gather_allowance = RetryAllowance(allowance, random, _GATHER_SHARE)
        self.turnstile = Turnstile()

    @property
    def slots(self) -> int:
        """Requests that all servers run at once."""
        return sum(server.state.slots for server in self.servers.values())

    def usable(self, excluded: Iterable[str] = ()) -> list[Server]:
        """Return the servers other than those with an excluded id."""
        return [
            s for identifier, s in self.servers.items() if identifier not in excluded
        ]

    def good_zones(self, now: float) -> set[str]:
        """Return the availability zones in which a server is not known to be bad."""
        return {
            server.known.availability_zone
            for server in self.servers.values()
            if not server.known.silent
            and server.known.pace <= 1.0
            and now >= server.state.paused_until
        }

    def reachable(self, now: float) -> bool:
        """Return whether some server is not known to refuse connections."""
        return any(now >= s.state.paused_until for s in self.servers.values())


class ServerTable:
    """All services that the host knows servers of.

    Parameters
    ----------
    availability_zone : str
        The host's own.
    delegates : bool
        Whether other hosts gather the parts of queries for this one.

    Attributes
    ----------
    hosts : int
        Live hosts, 0 if unknown.
    requests_of_all : int
        Requests of all hosts in the last window, 0 if unknown.
    """

    def __init__(
        self,
        availability_zone: str,
        allowance: AllowanceSettings,
        random: random_module.Random,
        delegates: bool = False,
    ) -> None:
        self._random = random
        self._share = 1 - _GATHER_SHARE if delegates else 1.0
        self._zone = availability_zone
        self._allowance = allowance
        self._pools: dict[str, ServicePool] = {}
        self._limits: dict[str, int] = {}
        self._requests = WindowCount(allowance.window_s)
        self._reported = 0
        self._part = 0.0
        self._gatherers = 0
        self.hosts = 0
        self.requests_of_all = 0

    def count_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.add(now)
        self._reported += 1

    def retry_part(self, now: float, gathered: bool = False) -> float:
        """Return this host's part of the retries that all hosts share.

        Parameters
        ----------
        gathered : bool
            Of the retries for queries of other hosts, which spread evenly over the
            gatherers.
        """
        if gathered:
            return 1 / self._gatherers if self._gatherers else 0.0
        if self.requests_of_all > 0:
            own = self._requests.total(now)
            self._part = fixed_part(own, self.requests_of_all, self.hosts)
        elif self._part == 0:
            return fixed_part(0, 0, self.hosts)
        # While the total is unknown, the last parts still add up to the whole.
        return self._part

    def take_requests(self) -> int:
        """Return the number of requests since the last call."""
        taken, self._reported = self._reported, 0
        return taken

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service, which may have no servers."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = ServicePool(
                service, self._allowance, self._random, self._share
            )
        return pool

    def limit_connections(
        self, limits: dict[str, int], hosts: int, gatherers: int = 0
    ) -> None:
        """Take the services' connection limits and the number of hosts.

        Parameters
        ----------
        gatherers : int
            Number of gatherers if this host is one.
        """
        self.hosts = hosts
        self._gatherers = gatherers
        self._limits = limits
        for pool in self._pools.values():
            limit = self._limit(pool.name)
            for server in pool.servers.values():
                server.connections.limit = limit

    def replace(self, known: Iterable[KnownServer]) -> None:
        """Use exactly these servers from now on; requests in progress go on."""
        now = asyncio.get_running_loop().time()
        wanted: dict[str, dict[str, KnownServer]] = {}
        for entry in known:
            wanted.setdefault(entry.service, {})[entry.id] = entry
        for service in wanted.keys() | self._pools.keys():
            self._replace(self.pool(service), wanted.get(service, {}), now)

    def take_samples(self) -> Samples:
        """Return what was seen of the servers' pace since the last call."""
        samples = {}
        for pool in self._pools.values():
            for identifier, server in pool.servers.items():
                taken = server.state.take_samples()
                if taken != (0, 0.0):
                    samples[identifier] = taken
        return samples

    def prune(self, now: float) -> None:
        """Close connections that have been idle for long."""
        for pool in self._pools.values():
            for server in pool.servers.values():
                server.connections.prune(now)

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            for server in pool.servers.values():
                server.connections.close()

    def _replace(
        self, pool: ServicePool, wanted: dict[str, KnownServer], now: float
    ) -> None:
        for identifier in pool.servers.keys() - wanted.keys():
            pool.servers.pop(identifier).connections.close()
        for identifier, known in wanted.items():
            server = pool.servers.get(identifier)
            if server is None or server.known.address != known.address:
                if server is not None:
                    server.connections.close()
                remote = known.availability_zone != self._zone
                server = Server(known, remote, self._limit(pool.name))
                server.state.cold_until = now + known.cold_ms / _MS_PER_S
                pool.servers[identifier] = server
            server.state.silent = known.silent
            server.state.shared_pace = known.pace

    def _limit(self, service: str) -> int:
        total = self._limits.get(service)
        if total is None:
            return 1
        even = int(total * _LIMIT_SHARE / (self.hosts or _UNKNOWN_HOSTS))
        if self._gatherers:
            even = max(even, int(total * _GATHER_CONNECTIONS / self._gatherers))
        return max(1, even)
