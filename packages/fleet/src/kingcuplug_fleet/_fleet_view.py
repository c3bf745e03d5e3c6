"""One host's view of the fleet, with a signal for tasks that wait for changes."""

import asyncio
import hashlib
from typing import Any
from zlib import crc32

import orjson
from kingcuplug_common import Condition, random_identifier
from kingcuplug_routing import (
    DEMAND_WINDOW_S,
    SlidingWindowCounter,
    SlowServerDetector,
    SuspectRecords,
    SuspectRegister,
)

from kingcuplug_fleet._demand_totals import DemandTotals
from kingcuplug_fleet._directory import Directory
from kingcuplug_fleet._evacuation import Evacuation
from kingcuplug_fleet._mesh_messages import SharedFields
from kingcuplug_fleet._quota_state import QuotaState
from kingcuplug_fleet._server_record import ServerRecord

__all__ = ["FleetView"]

# A host polls its control host at least once a second.
_HOST_TIMEOUT_S = 3.5
# Hosts divide shared limits in proportion to their requests in this window.
_REQUESTS_WINDOW_S = 10.0
# Smaller relative changes of the number of requests are not published.
_MIN_REQUEST_CHANGE_RATIO = 0.1
# Two different states have equal digests with a probability of 1 in 2**64.
_STATE_DIGEST_BYTES = 8


class FleetView:
    """A host's view of servers, the newest routes, control hosts and live hosts.

    Parameters
    ----------
    silent_after_s : float
        Time without a heartbeat after which a server counts as silent.

    Attributes
    ----------
    epoch : str
        Identifies this run of the process; versions of the directory are comparable
        only within it.
    changed : Condition
        Notified on each change that is propagated to other hosts.
    routes_version : int
        Version of the newest route document.
    routes_document : str
        The newest route document.
    evacuation : Evacuation
        The newest set of evacuated zones.
    control_hosts : tuple of str
        Addresses of the discovered control hosts.
    host_count : int
        Number of live hosts that serve callers, 0 if unknown.
    silent_servers : set of str
        Ids of servers whose heartbeats have stopped.
    slow_servers : dict
        Pace of the servers that are slow by the samples of all hosts, by id.
    zones : dict
        Availability zones of control hosts, by address.
    reachable_control_hosts : tuple of str
        Addresses of control hosts from which the leader has recently received a push.
    request_count : int
        Requests of all hosts in the last ten seconds, 0 if unknown.
    demand : dict
        Requests of all hosts for each server that has named a limit, by server id;
        without an entry unknown.
    suspects : mapping
        Requests under which servers crashed at any host, by fingerprint.
    quotas : QuotaState
        Admission ratios of teams near or over their quota.
    paces : SlowServerDetector
        Response time samples reported by hosts; used on control hosts only.
    """

    def __init__(self, silent_after_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._assumed_host_count = 0
        self._local_polls: dict[str, float] = {}
        self._remote_polls: dict[str, float] = {}
        self._local_addresses: dict[str, tuple[str, str]] = {}
        self.epoch = random_identifier()
        self.changed = Condition()
        self.directory = Directory(silent_after_s)
        self.routes_version = 0
        self.routes_document = ""
        self.evacuation = Evacuation()
        self.control_hosts: tuple[str, ...] = ()
        self.host_count = 0
        self.silent_servers: set[str] = set()
        self.slow_servers: dict[str, float] = {}
        self.paces = SlowServerDetector()
        self.zones: dict[str, str] = {}
        self.reachable_control_hosts: tuple[str, ...] = ()
        self.request_count = 0
        self.demand: dict[str, int] = {}
        self._known_demand: tuple[float, dict[str, int]] = (self._started_at, {})
        self._demand_totals = DemandTotals(self._started_at)
        self.suspects: SuspectRecords = {}
        self._suspect_register = SuspectRegister()
        self.quotas = QuotaState(self._started_at, self.changed.notify)
        self._request_window = SlidingWindowCounter(_REQUESTS_WINDOW_S)
        self._request_window_started_at = self._started_at
        self._encoded_state = b""
        self._state_digest = ""

    def state(self) -> list[Any]:
        """Return the state that hosts copy from their control host, without servers."""
        shared = SharedFields(
            self.demand,
            self.suspects,
            quotas=self.quotas.ratios,
            evacuation=self.evacuation,
        )
        return [
            sorted(self.silent_servers),
            dict(sorted(self.slow_servers.items())),
            list(self.control_hosts),
            dict(sorted(self.zones.items())),
            self.host_count,
            self.request_count,
            list(self.reachable_control_hosts),
            *shared.to_json(),
        ]

    def state_digest(self) -> str:
        """Return a digest of `state`."""
        data = orjson.dumps(self.state())
        if data != self._encoded_state:
            self._encoded_state = data
            digest = hashlib.blake2b(data, digest_size=_STATE_DIGEST_BYTES)
            self._state_digest = digest.hexdigest()
        return self._state_digest

    def update_routes(self, version: int, document: str) -> None:
        """Replace the route document if the version is newer."""
        if version > self.routes_version:
            self.routes_version, self.routes_document = version, document
            self.changed.notify()

    def update_evacuation(self, evacuation: Evacuation) -> None:
        """Replace the set of evacuated zones if the version is newer."""
        if evacuation.version > self.evacuation.version:
            self.evacuation = evacuation
            self.changed.notify()

    def merge_servers(self, records: list[ServerRecord], direct: bool = False) -> bool:
        """Merge records into the directory; return whether one must be propagated."""
        now, merge = self._loop.time(), self.directory.merge
        changes = [record for record in records if merge(record, now, direct)]
        if changes:
            self.changed.notify()
        return bool(changes)

    def set_control_hosts(self, addresses: list[str]) -> None:
        """Replace the addresses of the control hosts, unless the list is empty."""
        control_hosts = tuple(sorted(addresses))
        if control_hosts and control_hosts != self.control_hosts:
            self.control_hosts = control_hosts
            self.changed.notify()

    def set_silent_servers(self, server_ids: set[str]) -> None:
        """Replace the ids of the servers whose heartbeats have stopped."""
        if server_ids != self.silent_servers:
            self.silent_servers = server_ids
            self.changed.notify()

    def set_slow_servers(self, paces: dict[str, float]) -> None:
        """Replace the paces of slow servers, by id."""
        if paces != self.slow_servers:
            self.slow_servers = paces
            self.changed.notify()

    def set_reachable_control_hosts(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses of the control hosts that the leader can reach."""
        if addresses != self.reachable_control_hosts:
            self.reachable_control_hosts = addresses
            self.changed.notify()

    def assume_host_count(self, count: int) -> None:
        """Assume a number of hosts until all live hosts have had time to poll."""
        self._started_at = self._loop.time()
        self._assumed_host_count = count
        self.set_host_count(count)

    def control_host_in_zone(self, availability_zone: str, key: str) -> str | None:
        """Return a reachable control host in an availability zone, if there is one.

        Parameters
        ----------
        key : str
            Key for rendezvous hashing: the same key selects the same control host
            while that host is reachable.
        """
        near = [
            a
            for a in self.reachable_control_hosts
            if self.zones.get(a) == availability_zone
        ]
        return max(near, key=lambda a: crc32(f"{key} {a}".encode()), default=None)

    def update_host_count(self) -> None:
        """Update the number of live hosts from recent polls.

        Shortly after a restart the assumed number is the minimum.
        """
        count = len(self.live_hosts())
        if self._loop.time() - self._started_at < _HOST_TIMEOUT_S:
            count = max(count, self._assumed_host_count)
        self.set_host_count(count)

    def set_host_count(self, count: int) -> None:
        """Set the number of live hosts."""
        if count != self.host_count:
            self.host_count = count
            self.changed.notify()

    def set_request_count(self, count: int) -> None:
        """Set the number of requests of all hosts in the last ten seconds."""
        if count != self.request_count:
            self.request_count = count
            self.changed.notify()

    def set_demand(self, demand: dict[str, int]) -> None:
        """Set the requests of all hosts for servers that have named a limit."""
        if demand:
            self._known_demand = (self._loop.time(), demand)
        if demand != self.demand:
            self.demand = demand
            self.changed.notify()

    def add_demand(self, reported: dict[str, int]) -> None:
        """Add the reported demand for servers that have named a limit."""
        self._demand_totals.record(reported, self._loop.time())

    def update_demand(self) -> None:
        """Publish the totals of the reported demand."""
        self.set_demand(self._demand_totals.totals(self._loop.time()))

    def set_suspects(self, suspects: SuspectRecords) -> None:
        """Set the requests under which servers crashed at any host."""
        if suspects != self.suspects:
            self.suspects = suspects
            self.changed.notify()

    def update_suspects(self, reported: SuspectRecords, answered: list[str]) -> None:
        """Add reported suspects, end those that were answered, and publish the rest.

        A new coordinator goes on from what the last one has published.
        """
        now = self._loop.time()
        self._suspect_register.add(self.suspects, now)
        self._suspect_register.add(reported, now)
        self._suspect_register.discard(answered)
        self.set_suspects(self._suspect_register.records(now))

    def forget_totals(self) -> None:
        """Forget the totals over all hosts, which are out of date without reports."""
        self.set_request_count(0)
        self.set_demand({})

    def restart_totals(self) -> None:
        """Restart the windows of reports; the number of requests is unknown for one.

        The demand for limited servers continues from the totals of the last coordinator
        unless these are too old, and the quotas of teams from its ratios.
        """
        now = self._loop.time()
        self.quotas.restart(now)
        known_at, demand = self._known_demand
        inherited = demand if now < known_at + DEMAND_WINDOW_S else {}
        self._demand_totals = DemandTotals(now, inherited)
        self._request_window = SlidingWindowCounter(_REQUESTS_WINDOW_S)
        self._request_window_started_at = now
        self.forget_totals()

    def add_requests(self, reported: int) -> None:
        """Add a reported number of requests, and publish the total if it changed."""
        now = self._loop.time()
        self._request_window.add(now, reported)
        if now - self._request_window_started_at < _REQUESTS_WINDOW_S:
            return
        total = self._request_window.total(now)
        if (
            abs(total - self.request_count)
            > self.request_count * _MIN_REQUEST_CHANGE_RATIO
        ):
            self.set_request_count(total)

    def record_host_poll(
        self, name: str, address: str = "", availability_zone: str = ""
    ) -> None:
        """Record a host's poll of this control host.

        Parameters
        ----------
        address, availability_zone : str
            Control address and zone of the host; empty if it does not state them.
        """
        self._local_polls[name] = self._loop.time()
        if address:
            self._local_addresses[name] = (address, availability_zone)

    def local_host_addresses(self) -> list[tuple[str, str]]:
        """Return address and zone of the hosts that have polled this one recently."""
        names = self.local_hosts()
        self._local_addresses = {
            name: self._local_addresses[name]
            for name in names
            if name in self._local_addresses
        }
        return list(self._local_addresses.values())

    def record_remote_host_poll(self, name: str) -> None:
        """Record a host's poll of another control host."""
        self._remote_polls[name] = self._loop.time()

    def local_hosts(self) -> list[str]:
        """Return the hosts that have polled this control host recently."""
        self._local_polls = self._recent_polls(self._local_polls)
        return list(self._local_polls)

    def live_hosts(self) -> set[str]:
        """Return the hosts that have polled any control host recently."""
        self._remote_polls = self._recent_polls(self._remote_polls)
        return set(self._remote_polls) | set(self.local_hosts())

    def _recent_polls(self, hosts: dict[str, float]) -> dict[str, float]:
        limit = self._loop.time() - _HOST_TIMEOUT_S
        return {name: at for name, at in hosts.items() if at > limit}
