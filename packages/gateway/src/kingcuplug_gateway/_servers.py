"""Backend servers of each service, with this host's state and limits for them."""

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

from kingcuplug_gateway._connection_pool import ServerConnections

__all__ = ["KnownServer", "Server", "ServerTable", "ServicePool"]

_MS_PER_S = 1_000
# Callers are not spread evenly over the hosts, so the hosts' shares together stay
# below the limit.
_LIMIT_SHARE = 0.95
# Assumed until a control host reports the number of hosts. The number is high because
# servers reset connections above their limit.
_UNKNOWN_HOSTS = 100
# Share of the fleet's retry budget that gatherers use. The hosts that they gather for
# keep the remainder, for the case that gatherers do not reply.
_GATHER_SHARE = 0.7
# Share of a server's connection limit that all gatherers use together. Other hosts
# hold at most one connection each, and only while gatherers do not reply.
_GATHER_CONNECTIONS = 0.4


@dataclass(frozen=True, slots=True)
class KnownServer:
    """A backend server that requests may be sent to.

    Attributes
    ----------
    cold_ms : int
        Remaining time of the server's slow start, when this host was informed.
    silent : bool
        Whether the heartbeats of the server have stopped.
    pace : float
        Response time of the server relative to the typical one if the samples of all
        hosts show it as slow; otherwise 1.
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
    """One backend server with its connections and its state as observed here."""

    def __init__(self, known: KnownServer, remote: bool, limit: int) -> None:
        self.known = known
        self.state = ReplicaState(slots=max(1, known.slots), remote=remote)
        self.connections = ServerConnections(known.address, limit)


class ServicePool:
    """Servers of one service, with its retry budgets and concurrency limiter."""

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
        """Number of requests that all servers together run at once."""
        return sum(server.state.slots for server in self.servers.values())

    def usable(self, excluded: Iterable[str] = ()) -> list[Server]:
        """Return the servers other than those with an excluded id."""
        return [
            s for identifier, s in self.servers.items() if identifier not in excluded
        ]

    def good_zones(self, now: float) -> set[str]:
        """Return the availability zones with a server not known to be unhealthy."""
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
    """Server pools of all services.

    Parameters
    ----------
    availability_zone : str
        Availability zone of the host.
    delegates : bool
        Whether other hosts gather parts of queries for this one.

    Attributes
    ----------
    hosts : int
        Number of live hosts; 0 if unknown.
    requests_of_all : int
        Requests of all hosts in the last window; 0 if unknown.
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
        """Return this host's share of the fleet's retry budget.

        Parameters
        ----------
        gathered : bool
            Return the share for queries of other hosts, which are spread evenly over
            the gatherers.
        """
        if gathered:
            return 1 / self._gatherers if self._gatherers else 0.0
        if self.requests_of_all > 0:
            own = self._requests.total(now)
            self._part = fixed_part(own, self.requests_of_all, self.hosts)
        elif self._part == 0:
            return fixed_part(0, 0, self.hosts)
        # While the total is unknown, the last shares of all hosts still add up to 1.
        return self._part

    def take_requests(self) -> int:
        """Return the number of requests since the previous call."""
        count, self._reported = self._reported, 0
        return count

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
        """Set the services' connection limits and the number of hosts.

        Parameters
        ----------
        gatherers : int
            Number of gatherers if this host is one; otherwise 0.
        """
        self.hosts = hosts
        self._gatherers = gatherers
        self._limits = limits
        for pool in self._pools.values():
            limit = self._limit(pool.name)
            for server in pool.servers.values():
                server.connections.limit = limit

    def replace(self, known: Iterable[KnownServer]) -> None:
        """Replace the servers of all services; requests in progress continue."""
        now = asyncio.get_running_loop().time()
        by_service: dict[str, dict[str, KnownServer]] = {}
        for server in known:
            by_service.setdefault(server.service, {})[server.id] = server
        for service in by_service.keys() | self._pools.keys():
            self._replace(self.pool(service), by_service.get(service, {}), now)

    def take_samples(self) -> Samples:
        """Return the servers' latency samples since the previous call."""
        samples = {}
        for pool in self._pools.values():
            for identifier, server in pool.servers.items():
                observed = server.state.take_samples()
                if observed != (0, 0.0):
                    samples[identifier] = observed
        return samples

    def prune(self, now: float) -> None:
        """Close connections that have been idle for too long."""
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
        for identifier, info in wanted.items():
            server = pool.servers.get(identifier)
            if server is None or server.known.address != info.address:
                if server is not None:
                    server.connections.close()
                in_other_zone = info.availability_zone != self._zone
                server = Server(info, in_other_zone, self._limit(pool.name))
                server.state.cold_until = now + info.cold_ms / _MS_PER_S
                pool.servers[identifier] = server
            server.state.silent = info.silent
            server.state.shared_pace = info.pace

    def _limit(self, service: str) -> int:
        total = self._limits.get(service)
        if total is None:
            return 1
        limit = int(total * _LIMIT_SHARE / (self.hosts or _UNKNOWN_HOSTS))
        if self._gatherers:
            limit = max(limit, int(total * _GATHER_CONNECTIONS / self._gatherers))
        return max(1, limit)
