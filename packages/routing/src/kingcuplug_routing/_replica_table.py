"""Replica lists per snapshot and shard.

They are rebuilt when the directory, an ejection or a holding changes, so that a choice
is only a list index.
"""

from collections.abc import Iterable, Mapping

from kingcuplug_routing._server import Server
from kingcuplug_routing._types import HoldingView, SnapshotView

__all__ = ["ReplicaTable", "max_ejected"]

Replicas = list[tuple[Server, ...]]


def max_ejected(replica_count: int) -> int:
    """Return how many of a shard's replicas may be ejected at once."""
    return min(max(1, replica_count // 3), replica_count - 1)


class ReplicaTable:
    """Replicas by snapshot and shard.

    Parameters
    ----------
    holdings : mapping
        Holdings of each server.
    now : float
        Current event loop time, to which the ends of ejections are compared.

    Attributes
    ----------
    every, usable : dict
        By snapshot, the replicas of each shard: all of them, and all but the ejected.
    """

    def __init__(
        self, holdings: Mapping[Server, Iterable[HoldingView]], now: float
    ) -> None:
        lists: dict[int, list[list[Server]]] = {}
        for server, views in holdings.items():
            for view in views:
                shards = lists.setdefault(view.snapshot, [])
                while len(shards) < view.shard_count:
                    shards.append([])
                for shard in view.shards:
                    shards[shard].append(server)
        self.every: dict[int, Replicas] = {
            snapshot: [tuple(replicas) for replicas in shards]
            for snapshot, shards in lists.items()
        }
        self.usable: dict[int, Replicas] = {
            snapshot: [_without_ejected(replicas, now) for replicas in shards]
            for snapshot, shards in self.every.items()
        }

    def snapshots(self) -> list[SnapshotView]:
        """Return the served snapshots, newest first."""
        return [
            SnapshotView(
                snapshot,
                len(shards),
                frozenset(shard for shard, replicas in enumerate(shards) if replicas),
            )
            for snapshot, shards in sorted(self.every.items(), reverse=True)
        ]


def _without_ejected(replicas: tuple[Server, ...], now: float) -> tuple[Server, ...]:
    ejected = [each for each in replicas if each.ejected_until > now]
    if not ejected:
        return replicas
    ejected.sort(key=lambda each: each.ejected_until, reverse=True)
    removed = ejected[: max_ejected(len(replicas))]
    return tuple(each for each in replicas if each not in removed)
