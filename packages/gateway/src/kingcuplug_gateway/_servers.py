"""Backend servers of each service, with this host's state and limits for them."""

import asyncio
import math
import random as random_module
from collections import Counter
from collections.abc import Callable, Collection, Container, Iterable, Iterator, Mapping
from dataclasses import dataclass

from kingcuplug_routing import (
    COLD_RULE,
    ConcurrencyLimiter,
    LatencySamples,
    ReplicaState,
    RetryBudget,
    RetryBudgetSettings,
    ServerLimit,
    ServerSignals,
    ServerWork,
    SlidingWindowCounter,
    ZoneRegions,
    host_share,
)

from kingcuplug_gateway._connection_pool import ConnectionPool
from kingcuplug_gateway._passed_signals import PassedSignal
from kingcuplug_gateway._routes import ServiceSettings

__all__ = ["Server", "ServerInfo", "ServerTable", "ServicePool", "why_unserved"]

_MS_PER_S = 1_000
# Callers are not spread evenly over the hosts, so the hosts' shares together stay
# below the limit.
_CONNECTION_LIMIT_SHARE = 0.95
# Assumed until a control host reports the number of hosts. The number is high because
# servers reset connections above their limit.
_ASSUMED_HOSTS = 100
# Share of the fleet's retry budget that gatherers use. The hosts that they gather for
# keep the remainder, for the case that gatherers do not reply.
_GATHERER_RETRY_SHARE = 0.7
# Share of a server's connection limit that all gatherers use together. Other hosts
# hold at most one connection each, and only while gatherers do not reply.
_GATHERER_CONNECTION_SHARE = 0.4
_NO_REGIONS = ZoneRegions()
# More servers than leave in the time that the directory keeps them.
_MAX_DEPARTED_SIGNALS = 4_096
# An operator ends an evacuation, at the earliest, when a person has seen its effect.
# Callers that return sooner only load the hosts; later ones would lose served time.
_EVACUATED_RETRY_RANGE_S = (1.0, 2.0)


@dataclass(frozen=True, slots=True)
class ServerInfo:
    """A backend server that requests may be sent to.

    Attributes
    ----------
    slow_start_ms : int
        Remaining time of the server's slow start, when this host was informed.
    heartbeats_missing : bool
        Whether the heartbeats of the server have stopped.
    start_ms : int
        Start of the server's incarnation.
    cold_until : float
        Event loop time until which the server is cold by its heartbeats.
    latency_factor : float
        Response time of the server relative to the typical one if the samples of all
        hosts show it as slow; otherwise 1.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    slow_start_ms: int
    heartbeats_missing: bool
    latency_factor: float = 1.0
    start_ms: int = 0
    cold_until: float = 0.0


class Server:
    """One backend server with its connections and its state as observed here.

    Attributes
    ----------
    signals : ServerSignals
        What the server has said of itself.
    work : ServerWork
        What it has to do, where replicas are chosen by expected cost.
    """

    def __init__(
        self,
        info: ServerInfo,
        in_other_zone: bool,
        connection_limit: int,
        signals: ServerSignals,
    ) -> None:
        self.info = info
        self.state = ReplicaState(slots=max(1, info.slots), remote=in_other_zone)
        self.work = ServerWork(self.state.slots)
        self.connections = ConnectionPool(info.address, connection_limit)
        self.signals = signals


class ServicePool:
    """Servers of one service, with its retry budgets and concurrency limiter.

    Attributes
    ----------
    servers : dict
        Servers that requests may be sent to, by id.
    evacuated_count : int
        Number of further servers, which are in evacuated zones.
    """

    def __init__(
        self,
        name: str,
        budget_settings: RetryBudgetSettings,
        random: random_module.Random,
        budget_share: float,
    ) -> None:
        self.name = name
        self._random = random
        self.servers: dict[str, Server] = {}
        self.evacuated_count = 0
        self.caller_retry_budget = RetryBudget(budget_settings, random, budget_share)
        self.peer_retry_budget = RetryBudget(
            budget_settings, random, _GATHERER_RETRY_SHARE
        )
        self.limiter = ConcurrencyLimiter()

    @property
    def slots(self) -> int:
        """Number of requests that all servers together run at once."""
        return sum(server.state.slots for server in self.servers.values())

    @property
    def is_known(self) -> bool:
        """Whether the service has servers, if only evacuated ones."""
        return bool(self.servers) or self.evacuated_count > 0

    @property
    def is_evacuated(self) -> bool:
        """Whether all servers are in evacuated zones."""
        return not self.servers and self.evacuated_count > 0

    def servers_except(self, excluded: Iterable[str] = ()) -> list[Server]:
        """Return the servers other than those with an excluded id."""
        return [
            s for identifier, s in self.servers.items() if identifier not in excluded
        ]

    def healthy_zones(self, now: float) -> set[str]:
        """Return the availability zones with a server not known to be unhealthy."""
        return {
            server.info.availability_zone
            for server in self.servers.values()
            if not server.info.heartbeats_missing
            and server.signals.wants_requests(now)
            and server.info.latency_factor <= 1.0
            and now >= server.state.unreachable_until
        }

    def has_reachable_server(
        self, now: float, may_serve: Callable[[str], bool] | None = None
    ) -> bool:
        """Return whether some server may accept connections, and wants requests.

        Parameters
        ----------
        may_serve : callable, optional
            Returns whether servers in a zone count; by default, all do.
        """
        return any(
            now >= s.state.unreachable_until and s.signals.wants_requests(now)
            for s in self.servers.values()
            if may_serve is None or may_serve(s.info.availability_zone)
        )

    def wait_s(
        self, now: float, may_serve: Callable[[str], bool] | None = None
    ) -> float:
        """Return how long until this host may send some server a request.

        Infinite if all of them leave; 0 without servers. If all of them are evacuated,
        nothing tells when that ends, and callers are spread over a range of times.

        Parameters
        ----------
        may_serve : callable, optional
            Returns whether servers in a zone count; by default, all do.
        """
        if self.is_evacuated:
            return self._random.uniform(*_EVACUATED_RETRY_RANGE_S)
        servers: Collection[Server] = self.servers.values()
        if may_serve is not None:
            servers = [s for s in servers if may_serve(s.info.availability_zone)]
        earliest = math.inf if servers else now
        for server in servers:
            earliest = min(earliest, server.signals.room_at(now))
            if earliest <= now:
                break
        return earliest - now


def why_unserved(
    pools: Iterable[ServicePool], reason: str, now: float
) -> tuple[str, float]:
    """Return why some services have too few servers, and when to ask again.

    Parameters
    ----------
    reason : str
        The reason if no service is evacuated.

    Returns
    -------
    tuple of str and float
        The reason, and the seconds to wait, 0 if nothing is known.
    """
    evacuated = [pool for pool in pools if pool.is_evacuated]
    if not evacuated:
        return reason, 0.0
    return "evacuated", max(pool.wait_s(now) for pool in evacuated)


class ServerTable:
    """Server pools of all services.

    Parameters
    ----------
    availability_zone : str
        Availability zone of the host.
    uses_gatherers : bool
        Whether other hosts gather parts of queries for this one.
    silent_gatherer_ratio : callable
        Returns the share of the gatherers that do not answer this host. They use
        nothing of the retry budget, so their part of it goes to this host's share.

    Attributes
    ----------
    regions : ZoneRegions
        Regions of the zones of servers and hosts.
    hosts : int
        Number of live hosts; 0 if unknown.
    fleet_requests : int
        Requests of all hosts in the last window; 0 if unknown.
    evacuated_zones : frozenset of str
        Availability zones whose servers get nothing from the next call of
        `replace_servers` on.
    withdraws_unstarted : bool
        Whether attempts that may not have begun at their servers are withdrawn as soon
        as their calls end.
    """

    def __init__(
        self,
        availability_zone: str,
        budget_settings: RetryBudgetSettings,
        random: random_module.Random,
        uses_gatherers: bool = False,
        silent_gatherer_ratio: Callable[[], float] = lambda: 0.0,
        regions: ZoneRegions = _NO_REGIONS,
    ) -> None:
        self.regions = regions
        self._silent_gatherer_ratio = silent_gatherer_ratio
        self._random = random
        self._budget_share = 1 - _GATHERER_RETRY_SHARE if uses_gatherers else 1.0
        self._own_zone = availability_zone
        self._budget_settings = budget_settings
        self._pools: dict[str, ServicePool] = {}
        self._connection_limits: dict[str, int] = {}
        self._cold_services: dict[str, ServiceSettings] = {}
        self._request_window = SlidingWindowCounter(budget_settings.window_s)
        self._unreported_requests = 0
        self._received_share = 0.0
        self._gatherer_count = 0
        self._departed_signals: dict[str, ServerSignals] = {}
        # A host may know tens of thousands of servers, of which few hold requests back.
        self._signalling_servers: dict[str, Server] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.hosts = 0
        self.fleet_requests = 0
        self.withdraws_unstarted = False
        self._fleet_demand: Mapping[str, int] = {}

    def set_fleet_requests(self, fleet_requests: int, now: float) -> None:
        """Set the number of requests of all hosts in the last window, 0 if unknown."""
        if fleet_requests == self.fleet_requests:
            return
        self.fleet_requests = fleet_requests
        if fleet_requests > 0:
            own = self._request_window.settled_total(now)
            self._received_share = host_share(own, fleet_requests, self.hosts)

    def count_request(self, now: float) -> None:
        """Count a caller's request."""
        self._request_window.add(now)
        self._unreported_requests += 1

    def retry_share(self, now: float, for_peer: bool = False) -> float:
        """Return this host's share of the fleet's retry budget.

        Parameters
        ----------
        for_peer : bool
            Return the share for queries of other hosts, which are spread evenly over
            the gatherers.
        """
        if for_peer:
            return 1 / self._gatherer_count if self._gatherer_count else 0.0
        even_share = host_share(0, 0, self.hosts)
        if self._received_share == 0:
            return even_share
        # The requests of all hosts may have grown since the number was received, as
        # those of this host have: more than the share of then would be taken twice.
        bound = max(self._received_share, even_share)
        if self.fleet_requests == 0:
            return bound
        own = self._request_window.total(now)
        return min(host_share(own, self.fleet_requests, self.hosts), bound)

    def retry_share_of_silent_gatherers(self) -> float:
        """Return the part of the retry budget that silent gatherers leave unused."""
        return _GATHERER_RETRY_SHARE * self._silent_gatherer_ratio()

    def pop_request_count(self) -> int:
        """Return the number of requests since the previous call."""
        count, self._unreported_requests = self._unreported_requests, 0
        return count

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service, which may have no servers."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = ServicePool(
                service, self._budget_settings, self._random, self._budget_share
            )
        return pool

    def pool_or_none(self, service: str) -> ServicePool | None:
        """Return the pool of a service if there is one, without making it."""
        return self._pools.get(service)

    def sample(
        self, count: int, now: float, excluded: Container[str] = ()
    ) -> list[Server]:
        """Return up to `count` servers, of different services if there are enough.

        Servers that are known to be unreachable, or whose id is excluded, are left out.
        If all of them are unreachable, any are returned.
        """
        found = self._sample(count, excluded, now)
        return found or self._sample(count, excluded, math.inf)

    def _sample(
        self, count: int, excluded: Container[str], reachable_at: float
    ) -> list[Server]:
        found: dict[str, Server] = {}
        pools = list(self._pools.values())
        self._random.shuffle(pools)
        for pool in pools * count:
            if len(found) == count:
                break
            candidates = [
                server
                for identifier, server in pool.servers.items()
                if identifier not in excluded
                and identifier not in found
                and not server.info.heartbeats_missing
                and reachable_at >= server.state.unreachable_until
            ]
            if candidates:
                server = self._random.choice(candidates)
                found[server.info.id] = server
        return list(found.values())

    def set_connection_limits(
        self, limits: dict[str, int], hosts: int, gatherers: int = 0
    ) -> None:
        """Set the services' connection limits and the number of hosts.

        Parameters
        ----------
        gatherers : int
            Number of gatherers if this host is one; otherwise 0.
        """
        self.hosts = hosts
        self._gatherer_count = gatherers
        self._connection_limits = limits
        for pool in self._pools.values():
            limit = self._host_connection_limit(pool.name)
            for server in pool.servers.values():
                server.connections.limit = limit

    def set_cold_limits(self, services: Iterable[ServiceSettings]) -> None:
        """Set the limits of requests to cold servers of the services that have one."""
        self._cold_services = {s.name: s for s in services if s.cold_requests_per_s > 0}
        now = asyncio.get_running_loop().time()
        for pool in self._pools.values():
            for server in pool.servers.values():
                self._limit_cold(server, now)

    def set_cold(self, server: Server, cold_until: float) -> None:
        """Set until when a server is cold by its own word, unless it is for longer."""
        if cold_until > server.signals.cold_until:
            server.signals.cold_until = cold_until
            self._limit_cold(server, asyncio.get_running_loop().time())

    def cold_servers(self) -> list[Server]:
        """Return the servers to which this host limits its requests as cold ones."""
        servers = self._signalling_servers.values()
        return [s for s in servers if s.signals.cold_limit is not None]

    @property
    def evacuated_count(self) -> int:
        """Number of servers in evacuated zones."""
        return sum(pool.evacuated_count for pool in self._pools.values())

    def is_evacuated(self, server: Server) -> bool:
        """Return whether a server is in an evacuated zone."""
        return server.info.availability_zone in self.evacuated_zones

    def replace_servers(self, servers: Iterable[ServerInfo]) -> None:
        """Replace the servers of all services; requests in progress continue.

        Requests that wait for a connection to a server that is removed, or to a former
        address of one, are sent elsewhere.
        """
        now = asyncio.get_running_loop().time()
        by_service: dict[str, dict[str, ServerInfo]] = {}
        evacuated_counts: Counter[str] = Counter()
        for server in servers:
            if server.availability_zone in self.evacuated_zones:
                evacuated_counts[server.service] += 1
            else:
                by_service.setdefault(server.service, {})[server.id] = server
        for service in by_service.keys() | self._pools.keys() | evacuated_counts.keys():
            pool = self.pool(service)
            pool.evacuated_count = evacuated_counts[service]
            self._replace_pool(pool, by_service.get(service, {}), now)
            if service not in by_service and service not in self._connection_limits:
                # It has no servers and no route; requests in progress keep their pool.
                del self._pools[service]

    def pop_samples(self) -> LatencySamples:
        """Return the servers' latency samples since the previous call."""
        samples = {}
        for pool in self._pools.values():
            for identifier, server in pool.servers.items():
                observed = server.state.drain_samples()
                if observed != (0, 0.0):
                    samples[identifier] = observed
        return samples

    def forget_failures(self) -> None:
        """Forget which servers failed, because the fault was on this host's side."""
        for pool in self._pools.values():
            for server in pool.servers.values():
                server.state.forget_failures()
                server.work = ServerWork(server.state.slots)

    def limited_servers(self) -> list[Server]:
        """Return the servers that have named a limit in their last answer."""
        servers = self._signalling_servers.values()
        return [s for s in servers if s.signals.limit is not None]

    def set_limit(self, server: Server, limit_per_s: float | None) -> bool:
        """Set or end the limit that a server names; return whether it has changed."""
        limit = server.signals.limit
        if limit_per_s is None:
            server.signals.limit = None
            self._index_signals(server)
            return limit is not None
        if limit is not None and limit.limit_per_s == limit_per_s:
            return False
        now = asyncio.get_running_loop().time()
        if limit is None:
            limit = ServerLimit(limit_per_s, self._random.random(), now)
            server.signals.limit = limit
        limit.limit_per_s = limit_per_s
        self._share_limit(server.info.id, limit, now)
        self._index_signals(server)
        return True

    def set_leaving(self, server: Server, first_hand: bool = True) -> bool:
        """Send a server no more requests, not even those that wait for a connection.

        Parameters
        ----------
        first_hand : bool
            Whether the server has told this host itself.

        Returns
        -------
        bool
            Whether that is new.
        """
        server.signals.said_leaving |= first_hand
        if server.signals.leaving:
            return False
        server.signals.leaving = True
        server.connections.fail_waiting()
        self._index_signals(server)
        return True

    def pause_until(self, server: Server, at: float, first_hand: bool = True) -> bool:
        """Send a server no requests before a time; return whether that is later.

        Parameters
        ----------
        first_hand : bool
            Whether the server has told this host itself.
        """
        if first_hand:
            server.signals.said_not_before = max(at, server.signals.said_not_before)
        if at <= server.signals.not_before:
            return False
        server.signals.not_before = at
        server.connections.fail_waiting()
        self._index_signals(server)
        return True

    def signals_to_pass_on(
        self, services: Iterable[str], now: float
    ) -> list[PassedSignal]:
        """Return what servers of some services have told this host itself."""
        wanted = frozenset(services)
        return [
            PassedSignal(
                server.info.service,
                identifier,
                server.signals.start_ms,
                server.signals.said_leaving,
                max(0.0, server.signals.said_not_before - now) * _MS_PER_S,
            )
            for identifier, server in self._signalling_servers.items()
            if server.info.service in wanted and server.signals.has_said_to_wait(now)
        ]

    def share_limits(self, fleet_demand: Mapping[str, int], now: float) -> None:
        """Divide the limits of servers anew; to be called several times a second.

        Parameters
        ----------
        fleet_demand : mapping
            Requests of all hosts for these servers, by id; without an entry unknown.
        """
        self._fleet_demand = fleet_demand
        for server in self.cold_servers():
            if now >= server.signals.cold_until:
                self._limit_cold(server, now)
        for identifier, signals in self._limited():
            for limit in signals.limits:
                self._share_limit(identifier, limit, now)

    def pop_demand(self) -> dict[str, int]:
        """Return the demand for limited servers since the previous call, by id."""
        demand = {
            identifier: signals.pop_demand() for identifier, signals in self._limited()
        }
        return {identifier: count for identifier, count in demand.items() if count}

    def restore_demand(self, demand: Mapping[str, int]) -> None:
        """Return demand that could not be reported, to be reported later."""
        for identifier, signals in self._limited():
            signals.restore_demand(demand.get(identifier, 0))

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

    def _replace_pool(
        self, pool: ServicePool, wanted: dict[str, ServerInfo], now: float
    ) -> None:
        former: list[ConnectionPool] = []
        for identifier in pool.servers.keys() - wanted.keys():
            removed = pool.servers.pop(identifier)
            self._signalling_servers.pop(identifier, None)
            former.append(removed.connections)
            self._keep_signals(removed)
        for identifier, info in wanted.items():
            server = pool.servers.get(identifier)
            if server is None or server.info.address != info.address:
                if server is not None:
                    former.append(server.connections)
                    self._keep_signals(server)
                in_other_zone = info.availability_zone != self._own_zone
                server = Server(
                    info,
                    in_other_zone,
                    self._host_connection_limit(pool.name),
                    self._signals_of(info),
                )
                # One that returns from an evacuation may have become warm meanwhile.
                server.state.cold_until = (
                    info.cold_until or now + info.slow_start_ms / _MS_PER_S
                )
                pool.servers[identifier] = server
                self._index_signals(server)
            elif server.signals.start_ms != info.start_ms:
                server.signals = self._signals_of(info)
                server.work = ServerWork(server.state.slots)
                self._index_signals(server)
            if info.cold_until > now:
                self.set_cold(server, info.cold_until)
            server.state.heartbeat_lost = info.heartbeats_missing
            server.state.shared_latency_ratio = info.latency_factor
        # Requests that are refused choose among the servers of this update.
        for connections in former:
            connections.close()
            connections.refuse_unsent()

    def _keep_signals(self, server: Server) -> None:
        """Keep what a removed server has said, in case it is announced again."""
        if server.signals.is_empty:
            return
        self._departed_signals[server.info.id] = server.signals
        if len(self._departed_signals) > _MAX_DEPARTED_SIGNALS:
            self._departed_signals.pop(next(iter(self._departed_signals)))

    def _signals_of(self, info: ServerInfo) -> ServerSignals:
        """Return what a server has said, also before it was last removed."""
        signals = self._departed_signals.pop(info.id, None)
        if signals is None or signals.start_ms != info.start_ms:
            signals = ServerSignals(info.start_ms)
        return signals

    def _index_signals(self, server: Server) -> None:
        """Take notice that the signals of a server, or of a removed one, changed."""
        current = self.pool(server.info.service).servers.get(server.info.id)
        if current is None:
            self._keep_signals(server)
        elif current is server and not server.signals.is_empty:
            self._signalling_servers[server.info.id] = server
        elif current is server:
            self._signalling_servers.pop(server.info.id, None)

    def _limit_cold(self, server: Server, now: float) -> None:
        """Limit the requests to a server while it is cold, if its service says so."""
        signals, service = server.signals, self._cold_services.get(server.info.service)
        if service is not None and service.cold_start_s > 0:
            # Bounds how long a single faulty statement counts.
            longest_until = now + service.cold_start_s
            signals.cold_until = min(signals.cold_until, longest_until)
        if service is None or now >= signals.cold_until:
            if signals.cold_limit is not None:
                signals.cold_limit = None
                self._index_signals(server)
            return
        if signals.cold_limit is None:
            signals.cold_limit = ServerLimit(
                service.cold_requests_per_s, self._random.random(), now, COLD_RULE
            )
        signals.cold_limit.limit_per_s = service.cold_requests_per_s
        self._share_limit(server.info.id, signals.cold_limit, now)
        self._index_signals(server)

    def _limited(self) -> Iterator[tuple[str, ServerSignals]]:
        """Yield the ids of the limited servers with their signals."""
        for identifier, server in self._signalling_servers.items():
            if server.signals.is_limited:
                yield identifier, server.signals

    def _share_limit(self, identifier: str, limit: ServerLimit, now: float) -> None:
        total = self._fleet_demand.get(identifier, 0)
        limit.set_fleet(total, self.hosts or _ASSUMED_HOSTS, now)

    def _host_connection_limit(self, service: str) -> int:
        total = self._connection_limits.get(service)
        if total is None:
            return 1
        limit = int(total * _CONNECTION_LIMIT_SHARE / (self.hosts or _ASSUMED_HOSTS))
        if self._gatherer_count:
            limit = max(
                limit, int(total * _GATHERER_CONNECTION_SHARE / self._gatherer_count)
            )
        return max(1, limit)
