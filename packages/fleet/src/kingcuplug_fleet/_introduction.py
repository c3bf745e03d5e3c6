"""Introduction of the control hosts to the seeds that are none.

Handles this failure: the seeds of all hosts were replaced by hosts without a disk, and
then all hosts lose power. The seeds have forgotten the control hosts, and no other
host can find one through them. The control hosts still know their seeds and each
other, so they contact the seeds themselves.
"""

import asyncio
import contextlib
from collections.abc import Callable

from kingcuplug_fleet._fleet_view import FleetView
from kingcuplug_fleet._peer_client import PeerClient, PeerFailed

__all__ = ["INTRODUCE_PATH", "introduce_control_hosts"]

INTRODUCE_PATH = "/peer/v2/introduce"

# Until there is a leader, hosts that have just started may be waiting for a control
# host; afterwards the introduction only reaches seeds that start later.
_INTERVAL_WITHOUT_LEADER_S = 0.25
_INTERVAL_S = 2.0
_TIMEOUT_S = 0.5


async def introduce_control_hosts(
    view: FleetView,
    client: PeerClient,
    seeds: Callable[[], tuple[str, ...]],
    connected: Callable[[], bool],
    own_address: str,
) -> None:
    """Send the known control hosts to the seeds that are none, until cancelled.

    Parameters
    ----------
    seeds : callable
        Return the configured seeds, which may change.
    connected : callable
        Return whether this control host is connected to the leader.
    """

    async def introduce(seed: str) -> None:
        addresses = sorted({own_address, *view.control_hosts})
        with contextlib.suppress(PeerFailed):
            await client.call(seed, INTRODUCE_PATH, addresses, _TIMEOUT_S)

    while True:
        others = set(seeds()) - set(view.control_hosts) - {own_address}
        await asyncio.gather(*(introduce(seed) for seed in sorted(others)))
        await asyncio.sleep(_INTERVAL_S if connected() else _INTERVAL_WITHOUT_LEADER_S)
