"""Which hosts gather the parts of a query for a host with a narrow link.

Answers these load patterns: the parts of a query over many shards fill the link of a
small host for a third of the time that its caller has; ninety small hosts each see a
server too seldom to know that it has turned slow; and every part from another
availability zone is priced. A host with a wide link in the zone where replicas are
gathers the parts, answers with the best records of all of them, and sees enough
requests to know the servers.
"""

import random as random_module
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

__all__ = ["Delegation", "delegate"]


@dataclass(frozen=True, slots=True)
class Delegation:
    """Shards of one query whose parts one host gathers."""

    gatherer: str
    shards: tuple[str, ...]


def delegate(
    zones: Mapping[str, Collection[str]],
    own_zone: str,
    gatherers: Mapping[str, Sequence[str]],
    random: random_module.Random,
) -> list[Delegation]:
    """Divide the shards of a query among gatherers.

    Shards that no gatherer is near to are left out; the host asks those itself.

    Parameters
    ----------
    zones : mapping
        Availability zones with a usable server, by shard.
    gatherers : mapping
        Addresses of hosts that gather, by availability zone.
    """
    rest = list(zones)
    delegations = []
    order = sorted(gatherers, key=lambda zone: (zone != own_zone, random.random()))
    while rest and order:
        # The own zone first, then the one that has most of what is left.
        zone = order[0]
        if zone != own_zone:
            zone = max(order, key=lambda z: sum(z in zones[shard] for shard in rest))
        order.remove(zone)
        near = tuple(shard for shard in rest if zone in zones[shard])
        if near and gatherers[zone]:
            delegations.append(Delegation(random.choice(gatherers[zone]), near))
            rest = [shard for shard in rest if shard not in near]
    return delegations
