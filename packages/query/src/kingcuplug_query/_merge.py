"""Merging of the values of all shards into one answer."""

from collections.abc import Mapping
from typing import Any

from kingcuplug_query._messages import SubReply

__all__ = ["merge"]


def merge(method: str, replies: Mapping[int, SubReply]) -> Any:
    """Return the merged value, in shard order.

    Parameters
    ----------
    method : str
        ``collect`` gives one entry per shard; ``concat`` joins lists.
    """
    ordered = [(shard, replies[shard].value) for shard in sorted(replies)]
    if method == "collect":
        return [{"shard": shard, "value": value} for shard, value in ordered]
    joined: list[Any] = []
    for _, value in ordered:
        joined.extend(value if isinstance(value, list) else [value])
    return joined
