"""An order to evacuate a zone, which must outlive all other faults of a soak."""

import asyncio
import random as random_module
from collections.abc import Sequence

from kingcuplug_soak._fake_servers import FakeServer
from kingcuplug_soak._hosts import HostProcess
from kingcuplug_soak._traffic import Operator

__all__ = ["EvacuationCheck", "count_arrivals"]

# Each soak has one order only: a host that was suspended while it held an order may
# propose it after a later one, and then the soak doesn't know which one is in force.
_EVACUATED_RATIO = 0.5
_ACKNOWLEDGEMENT_TIMEOUT_S = 6.0


def count_arrivals(
    servers: Sequence[FakeServer], zone: str, from_s: float, until_s: float
) -> int:
    """Return how many requests reached the servers of a zone in a span of time."""
    return sum(
        from_s <= arrival.at_s < until_s
        for server in servers
        if server.zone == zone
        for arrival in server.arrivals
    )


class EvacuationCheck:
    """Orders the evacuation of one zone in some soaks, and checks that it holds.

    Draws from a generator of its own, so that the other faults of a seed stay the same.
    The zone is that of a host without a disk, if there is one: hosts prefer servers in
    their zone, and those without a disk get the order by messages only.
    """

    def __init__(
        self, seed: int, operator: Operator, hosts: Sequence[HostProcess]
    ) -> None:
        diskless = [host for host in hosts if not host.has_disk]
        zones = {host.settings.availability_zone for host in diskless or hosts}
        self._zones = sorted(zones)
        self._random = random_module.Random(f"evacuation {seed}")
        self._operator = operator
        self._evacuated_zone: str | None = None

    async def run(self, duration_s: float) -> list[str]:
        """Send the order at a random time; return a line for the log of faults."""
        if self._random.random() > _EVACUATED_RATIO:
            return []
        zone = self._random.choice(self._zones)
        delay_s = self._random.uniform(0, duration_s)
        await asyncio.sleep(delay_s)
        acknowledged = await self._operator.order_evacuation(
            zone, True, _ACKNOWLEDGEMENT_TIMEOUT_S
        )
        if acknowledged:
            self._evacuated_zone = zone
        outcome = "acknowledged" if acknowledged else "unknown"
        return [f"{delay_s:.2f} s evacuation of {zone}: {outcome}"]

    def find_arrivals(
        self, servers: Sequence[FakeServer], from_s: float, until_s: float
    ) -> list[str]:
        """Return a violation if requests reached the zone after the recovery."""
        if self._evacuated_zone is None:
            return []
        count = count_arrivals(servers, self._evacuated_zone, from_s, until_s)
        if count == 0:
            return []
        return [f"{count} requests reached the evacuated zone {self._evacuated_zone}"]
