"""Selection of the snapshot that a query reads, and of its shards."""

from collections.abc import Iterable

from kingcuplug_common import digest
from kingcuplug_routing import SnapshotView

__all__ = ["choose_snapshot", "shard_of", "wanted_shards"]

_HASH_DIGITS = 8


def shard_of(partition_key: str, shard_count: int) -> int:
    """Return the shard that holds `partition_key`."""
    return int(digest(partition_key)[:_HASH_DIGITS], 16) % shard_count


def wanted_shards(view: SnapshotView, partition_key: str | None) -> tuple[int, ...]:
    """Return the shards that a query reads, by the shard map of the snapshot."""
    if partition_key is None:
        return tuple(range(view.shard_count))
    return (shard_of(partition_key, view.shard_count),)


def choose_snapshot(
    views: Iterable[SnapshotView],
    partition_key: str | None,
    newer_than: int | None = None,
) -> SnapshotView | None:
    """Return the newest snapshot on which every wanted shard is served.

    If there is none, return the snapshot with the greatest share of served shards,
    and the newest of several such snapshots; ``None`` if no snapshot is known.

    Parameters
    ----------
    views : iterable of SnapshotView
        The known snapshots, newest first.
    newer_than : int, optional
        Consider only snapshots with a greater number.
    """
    best: SnapshotView | None = None
    best_served_share = -1.0
    for view in views:
        if newer_than is not None and view.snapshot <= newer_than:
            continue
        wanted = wanted_shards(view, partition_key)
        served_count = sum(1 for shard in wanted if shard in view.served_shards)
        served_share = served_count / len(wanted)
        if served_share == 1:
            return view
        if served_share > best_served_share:
            best, best_served_share = view, served_share
    return best
