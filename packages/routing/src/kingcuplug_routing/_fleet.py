"""The servers of one service as one entry host knows them."""

from collections.abc import Iterable, Sequence, Set
from math import inf

from kingcuplug_routing._policy import RoutingPolicy
from kingcuplug_routing._server import Server
from kingcuplug_routing._table import ReplicaTable
from kingcuplug_routing._types import HoldingView, ServerView
from kingcuplug_routing._upkeep import forget, prefer_zones

__all__ = ["Fleet"]

_UPKEEP_S = 0.25
_GONE_S = 5.0  # a directory entry can lag behind by a lease and a session exchange


class Fleet:
    """Servers, replica lists, ejections and lost holdings.

    Attributes
    ----------
    table : ReplicaTable
        Replica lists for choices.
    upkeep_at : float
        Time of the loop at which `upkeep` is due.
    ramping_until : float
        Time of the loop at which the last slow start ends.
    """

    def __init__(self, policy: RoutingPolicy) -> None:
        self._policy = policy
        self._holdings: dict[Server, tuple[HoldingView, ...]] = {}
        self._servers: dict[str, Server] = {}
        self._live_entry_hosts = 1
        self._gone: dict[tuple[str, int], float] = {}
        self._rebuild_at = inf
        self.table = ReplicaTable({}, 0.0)
        self.upkeep_at = 0.0
        self.ramping_until = 0.0

    def update(
        self,
        views: Iterable[ServerView],
        live_entry_hosts: int,
        mean_ms: float,
        now: float,
    ) -> set[Server]:
        """Replace the known servers and return the former and the new ones."""
        self._live_entry_hosts = max(1, live_entry_hosts)
        former = set(self._holdings)
        self._holdings = {
            self._known(view, mean_ms, now): view.holdings
            for view in views
            if view.state == "serving"
        }
        for name, server in list(self._servers.items()):
            # A server that comes back must find its requests in flight counted.
            if server not in self._holdings and not server.in_flight:
                del self._servers[name]
        self._rebuild(now)
        return former | set(self._holdings)

    def servers(self) -> Iterable[Server]:
        """Return the serving servers."""
        return self._holdings

    def slots(self) -> float:
        """Return this entry host's even share of the slots of working servers."""
        working = sum(each.slots for each in self._holdings if not each.failures)
        total = working or sum(each.slots for each in self._holdings)
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
        every = self.table.every[snapshot][shard]
        return [each for each in every if each.server not in exclude]

    def lose_holding(self, server: Server, snapshot: int, now: float) -> None:
        """Stop choosing a server for a snapshot that it no longer has."""
        self._gone[server.server, snapshot] = now + _GONE_S
        self._rebuild(now)

    def eject(self, server: Server, now: float) -> bool:
        """Eject a server that failed too often; return whether lists changed."""
        duration = server.eject_for(now)
        if duration is None:
            return False
        server.ejected_until = now + duration
        server.ejections += 1
        self._rebuild(now)
        return True

    def upkeep(self, mean_ms: float, now: float) -> bool:
        """Make the regular corrections; return whether lists changed."""
        elapsed = min(1.0, now - self.upkeep_at + _UPKEEP_S)
        forget(self._holdings, mean_ms, elapsed)
        prefer_zones(self._holdings)
        self.upkeep_at = now + _UPKEEP_S
        if now < self._rebuild_at:
            return False
        self._rebuild(now)
        return True

    def _known(self, view: ServerView, mean_ms: float, now: float) -> Server:
        known = self._servers.get(view.server)
        if known is None or known.incarnation != view.incarnation:
            known = Server(view, self._policy, mean_ms, now)
            self._servers[view.server] = known
            self.ramping_until = max(self.ramping_until, known.ramp_end)
        known.refresh(view, self._live_entry_hosts)
        return known

    def _rebuild(self, now: float) -> None:
        self._gone = {key: end for key, end in self._gone.items() if end > now}
        holdings = {
            server: [
                view
                for view in views
                if (server.server, view.snapshot) not in self._gone
            ]
            for server, views in self._holdings.items()
        }
        self.table = ReplicaTable(holdings, now)
        ends = [each.ejected_until for each in holdings if each.ejected_until > now]
        self._rebuild_at = min([*ends, *self._gone.values()], default=inf)
