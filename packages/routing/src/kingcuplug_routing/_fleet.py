"""State of the servers of one service at one entry host."""

from collections.abc import Iterable, Sequence, Set
from math import inf

from kingcuplug_routing._maintenance import decay_latencies, update_zone_factors
from kingcuplug_routing._policy import RoutingPolicy
from kingcuplug_routing._replica_table import ReplicaTable
from kingcuplug_routing._server import Server
from kingcuplug_routing._types import HoldingView, ServerView

__all__ = ["Fleet"]

_MAINTENANCE_INTERVAL_S = 0.25
# A directory entry can lag behind by a lease and a session exchange.
_LOST_HOLDING_S = 5.0


class Fleet:
    """Servers of one service with replica lists, ejections and lost holdings.

    Attributes
    ----------
    table : ReplicaTable
        Replica lists from which replicas are chosen.
    maintenance_at : float
        Event loop time at which `run_maintenance` is due.
    slow_start_until : float
        Event loop time at which the last slow start ends.
    """

    def __init__(self, policy: RoutingPolicy) -> None:
        self._policy = policy
        self._holdings: dict[Server, tuple[HoldingView, ...]] = {}
        self._servers: dict[tuple[str, int], Server] = {}
        self._live_entry_hosts = 1
        self._lost_holdings: dict[tuple[str, int], float] = {}
        self._rebuild_at = inf
        self.table = ReplicaTable({}, 0.0)
        self.maintenance_at = 0.0
        self.slow_start_until = 0.0

    def update(
        self,
        views: Iterable[ServerView],
        live_entry_hosts: int,
        mean_ms: float,
        now: float,
    ) -> set[Server]:
        """Replace the known servers; return the previous and the new ones."""
        self._live_entry_hosts = max(1, live_entry_hosts)
        previous = set(self._holdings)
        self._holdings = {
            self._refreshed_server(view, mean_ms, now): view.holdings
            for view in views
            if view.state == "serving"
        }
        for key, server in list(self._servers.items()):
            # An incarnation with requests in flight is kept, so that they still count
            # if the directory lists it again.
            if server not in self._holdings and not server.in_flight:
                del self._servers[key]
        self._rebuild(now)
        return previous | set(self._holdings)

    def servers(self) -> Iterable[Server]:
        """Return the serving servers."""
        return self._holdings

    def slot_share(self) -> float:
        """Return this entry host's even share of the healthy servers' slots."""
        healthy_slots = sum(
            each.slots for each in self._holdings if not each.consecutive_failures
        )
        total = healthy_slots or sum(each.slots for each in self._holdings)
        return total / self._live_entry_hosts

    def replicas(
        self, snapshot: int, shard: int, exclude: Set[str]
    ) -> Sequence[Server]:
        """Return the replicas of a shard that may be chosen."""
        try:
            replicas = self.table.usable[snapshot][shard]
        except (KeyError, IndexError):
            return ()
        if not exclude:
            return replicas
        allowed = [each for each in replicas if each.server not in exclude]
        if allowed:
            return allowed
        # An ejected replica is better than a refusal.
        all_replicas = self.table.every[snapshot][shard]
        return [each for each in all_replicas if each.server not in exclude]

    def exclude_holding(self, server: Server, snapshot: int, now: float) -> None:
        """Exclude a server from choices for a snapshot that it no longer holds."""
        self._lost_holdings[server.server, snapshot] = now + _LOST_HOLDING_S
        self._rebuild(now)

    def eject_if_failing(self, server: Server, now: float) -> bool:
        """Eject a server with too many failures; return whether lists changed."""
        duration = server.ejection_duration_s(now)
        if duration is None:
            return False
        server.ejected_until = now + duration
        server.ejection_count += 1
        self._rebuild(now)
        return True

    def run_maintenance(self, mean_ms: float, now: float) -> bool:
        """Run the regular corrections; return whether replica lists changed."""
        elapsed = min(1.0, now - self.maintenance_at + _MAINTENANCE_INTERVAL_S)
        decay_latencies(self._holdings, mean_ms, elapsed)
        update_zone_factors(self._holdings)
        self.maintenance_at = now + _MAINTENANCE_INTERVAL_S
        if now < self._rebuild_at:
            return False
        self._rebuild(now)
        return True

    def _refreshed_server(self, view: ServerView, mean_ms: float, now: float) -> Server:
        key = (view.server, view.incarnation)
        server = self._servers.get(key)
        if server is None:
            server = self._servers[key] = Server(view, self._policy, mean_ms, now)
            self.slow_start_until = max(self.slow_start_until, server.slow_start_end)
        server.refresh(view, self._live_entry_hosts)
        return server

    def _rebuild(self, now: float) -> None:
        self._lost_holdings = {
            key: end for key, end in self._lost_holdings.items() if end > now
        }
        holdings = {
            server: [
                view
                for view in views
                if (server.server, view.snapshot) not in self._lost_holdings
            ]
            for server, views in self._holdings.items()
        }
        self.table = ReplicaTable(holdings, now)
        ejection_ends = [
            each.ejected_until for each in holdings if each.ejected_until > now
        ]
        self._rebuild_at = min(
            [*ejection_ends, *self._lost_holdings.values()], default=inf
        )
