"""Delegation of scatter-gather work from a host with little bandwidth.

Handles these load patterns: the partial answers of a query over many shards occupy the
link of a small host for a third of the caller's deadline; each of ninety small hosts
sends a server too few requests to detect that it has become slow; and traffic between
availability zones is billed. A gatherer, a host with more bandwidth in the
availability zone of the replicas, collects the partial answers, returns only the best
records of all of them, and sends enough requests to detect slow servers.
"""

import random as random_module
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

__all__ = ["Delegation", "delegate"]


@dataclass(frozen=True, slots=True)
class Delegation:
    """Shards of one query whose partial answers one host gathers."""

    gatherer: str
    shards: tuple[str, ...]


def delegate(
    zones: Mapping[str, Collection[str]],
    own_zone: str,
    gatherers: Mapping[str, Sequence[str]],
    random: random_module.Random,
) -> list[Delegation]:
    """Assign the shards of a query to gatherers.

    Shards without a server in a gatherer's availability zone are left out; the host
    queries those itself.

    Parameters
    ----------
    zones : mapping
        Availability zones with a usable server, by shard.
    gatherers : mapping
        Addresses of hosts that gather, by availability zone.
    """
    remaining = list(zones)
    delegations = []
    candidate_zones = sorted(
        gatherers, key=lambda zone: (zone != own_zone, random.random())
    )
    while remaining and candidate_zones:
        # The host's own zone first, then the one with most of the remaining shards.
        zone = candidate_zones[0]
        if zone != own_zone:
            zone = max(
                candidate_zones,
                key=lambda z: sum(z in zones[shard] for shard in remaining),
            )
        candidate_zones.remove(zone)
        local_shards = tuple(shard for shard in remaining if zone in zones[shard])
        if local_shards and gatherers[zone]:
            delegations.append(Delegation(random.choice(gatherers[zone]), local_shards))
            remaining = [shard for shard in remaining if shard not in local_shards]
    return delegations
