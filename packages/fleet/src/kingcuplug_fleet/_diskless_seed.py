"""The part of a seed without a disk in the founding of the control group.

Handles this failure: no seed has a disk. The hosts that have one know only the seeds,
so that none of them can find the others, or decide which of them found the group. The
seeds collect their requests to join, agree on the first members (see `Founding`), and
announce them.
"""

import asyncio
import random as random_module
from collections.abc import Callable
from typing import Any

from kingcuplug_common import EventLog, boot_time
from kingcuplug_log import Clock

from kingcuplug_fleet._disk_tolerance import DiskTolerance
from kingcuplug_fleet._errors import CoreUnavailable
from kingcuplug_fleet._founding import (
    Founding,
    FoundingRecord,
    InitialGroup,
    announce_group,
    joined_reply,
    log_no_group,
)
from kingcuplug_fleet._founding_messages import (
    FOUND_PATH,
    FOUNDED_REPLY,
    JOIN_PATH,
    NO_SEED_REPLY,
)
from kingcuplug_fleet._join_requests import JoinRequests
from kingcuplug_fleet._membership import JoinRequest
from kingcuplug_fleet._peer_client import PeerClient

__all__ = ["DisklessSeed"]

# Between proposals and announcements of one seed, at random up to twice as long.
_INTERVAL_S = 0.1
_NO_GROUP_LOG_INTERVAL_S = 10.0


class DisklessSeed:
    """Collects hosts with a disk, and agrees with the other seeds on the first members.

    Parameters
    ----------
    address : str
        ``ip:port`` at which other hosts reach this one.
    seeds : tuple of str
        Addresses of all seeds.
    first_start : bool
        Whether the whole system starts for the first time. Otherwise this process may
        follow one that has promised something: it answers, but proposes nothing.
    has_leader : callable
        Return whether a control host with a leader has been found.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        address: str,
        seeds: tuple[str, ...],
        first_start: bool,
        tolerance: DiskTolerance,
        client: PeerClient,
        has_leader: Callable[[], bool],
        log: EventLog,
        clock: Clock = boot_time,
    ) -> None:
        self._address = address
        self._seeds = seeds
        self._first_start = first_start
        self._client = client
        self._has_leader = has_leader
        self._log = log
        self._clock = clock
        self._join_requests = JoinRequests(clock)
        self._group: InitialGroup | None = None
        self._group_exists = False
        self._random = random_module.Random()
        self._founding = Founding(
            FoundingRecord(seeds),
            _keep_in_memory,
            address,
            None,
            self._joined_reply,
            self._join_requests.applicants,
            tolerance,
            client,
            clock,
        )

    async def run(self) -> None:
        """Found a group, and announce it until it has a leader."""
        logged_at = self._clock()
        while not self._has_leader():
            if self._clock() - logged_at > _NO_GROUP_LOG_INTERVAL_S:
                logged_at = self._clock()
                log_no_group(self._log, self._founding.answers)
            await self._take_step()
            await asyncio.sleep(self._random.uniform(1, 2) * _INTERVAL_S)
        self._group_exists = True

    async def _take_step(self) -> None:
        if self._group is None and self._first_start and not self._group_exists:
            group = await self._founding.propose()
            if group is not None:
                self._set_group(group)
        if self._group is not None:
            await announce_group(
                self._client, self._group, self._seeds, excluded=self._address
            )

    async def handle_call(self, path: str, value: Any) -> Any:
        """Execute a call of another host and return the reply.

        Raises
        ------
        CoreUnavailable
            If only a host with a disk can execute the call.
        LookupError, TypeError, ValueError
            If the message is malformed.
        """
        if path == JOIN_PATH:
            return self._receive_join_request(JoinRequest.from_json(value))
        if path != FOUND_PATH:
            raise CoreUnavailable("this host keeps no state")
        if "chosen" in value:
            self._set_group(InitialGroup.from_json(value["chosen"]))
            return FOUNDED_REPLY
        return await self._founding.handle(value)

    def _receive_join_request(self, request: JoinRequest) -> Any:
        if request.empty_disk:
            self._join_requests.add(request)
        else:
            # Its disk holds the log of a group that this process does not know of.
            self._group_exists = True
        return {}

    def _joined_reply(self) -> dict[str, Any] | None:
        """Return the answer to other seeds, ``None`` as long as there is no group."""
        if self._group is not None:
            return joined_reply(self._group)
        if self._has_leader():
            return FOUNDED_REPLY
        return NO_SEED_REPLY if self._group_exists else None

    def _set_group(self, group: InitialGroup) -> None:
        if self._group is not None:
            return
        self._group = group
        self._log.write(
            "group_chosen",
            {"cluster": group.cluster, "members": [m.id for m in group.members]},
            bypass_rate_limit=True,
        )


async def _keep_in_memory(record: dict[str, Any]) -> None:
    """Save no record: `Founding` holds it for as long as the process runs."""
