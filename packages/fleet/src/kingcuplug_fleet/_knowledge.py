"""What one host knows of the fleet, and the signal that wakes whoever waits for it."""

import asyncio
import hashlib
from typing import Any
from zlib import crc32

import orjson
from kingcuplug_common import Signal, identifier
from kingcuplug_routing import PaceBoard, WindowCount

from kingcuplug_fleet._directory import Directory
from kingcuplug_fleet._records import ServerRecord

__all__ = ["Knowledge"]

# A host asks its control host at least once a second.
_HOST_KEPT_S = 3.5
# Hosts divide what all of them share by their requests in this window.
_REQUESTS_WINDOW_S = 10.0
# Smaller changes of the number of requests are not told.
_REQUESTS_STEP = 0.1
_KEY_BYTES = 8  # Two states share a key once in 2**64 changes.


class Knowledge:
    """Servers, the newest routes, control hosts and live hosts.

    Parameters
    ----------
    silent_after_s : float
        Without a statement for this long, a server counts as silent.

    Attributes
    ----------
    epoch : str
        Identifies this run of the process; versions of the directory count in it.
    changed : Signal
        Notified when something changes that other hosts must learn.
    routes_version : int
        Version of the newest route document known here.
    routes_document : str
        That document.
    control : tuple of str
        Addresses of control hosts, as far as known.
    hosts : int
        Number of live hosts that serve callers, 0 if unknown.
    slow : dict
        Pace of the servers that all hosts together find slow.
    zones : dict
        Availability zones of control hosts, by address.
    reachable : tuple of str
        Addresses of control hosts that the leader has heard lately.
    requests : int
        Requests of all hosts in the last ten seconds, 0 if unknown.
    paces : PaceBoard
        What hosts have reported here; used at control hosts only.
    """

    def __init__(self, silent_after_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._begun_at = self._loop.time()
        self._expected_hosts = 0
        self._met: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self.epoch = identifier()
        self.changed = Signal()
        self.directory = Directory(silent_after_s)
        self.routes_version = 0
        self.routes_document = ""
        self.control: tuple[str, ...] = ()
        self.hosts = 0
        self.silent: set[str] = set()
        self.slow: dict[str, float] = {}
        self.paces = PaceBoard()
        self.zones: dict[str, str] = {}
        self.reachable: tuple[str, ...] = ()
        self.requests = 0
        self._counted = WindowCount(_REQUESTS_WINDOW_S)
        self._counted_since = self._begun_at
        self._state_data = b""
        self._state_key = ""

    def state(self) -> list[Any]:
        """Return what hosts take over from their control host beside the servers."""
        return [
            sorted(self.silent),
            dict(sorted(self.slow.items())),
            list(self.control),
            dict(sorted(self.zones.items())),
            self.hosts,
            self.requests,
            list(self.reachable),
        ]

    def state_key(self) -> str:
        """Return what is equal only where `state` is equal."""
        data = orjson.dumps(self.state())
        if data != self._state_data:
            self._state_data = data
            hashed = hashlib.blake2b(data, digest_size=_KEY_BYTES)
            self._state_key = hashed.hexdigest()
        return self._state_key

    def learn_routes(self, version: int, document: str) -> None:
        """Take a route document if it is newer."""
        if version > self.routes_version:
            self.routes_version, self.routes_document = version, document
            self.changed.notify()

    def learn_servers(
        self, records: list[ServerRecord], first_hand: bool = False
    ) -> bool:
        """Take statements about servers; return whether one was news."""
        now, merge = self._loop.time(), self.directory.merge
        news = [record for record in records if merge(record, now, first_hand)]
        if news:
            self.changed.notify()
        return bool(news)

    def learn_control(self, addresses: list[str]) -> None:
        """Take the addresses of the control hosts."""
        control = tuple(sorted(addresses))
        if control and control != self.control:
            self.control = control
            self.changed.notify()

    def learn_silent(self, identifiers: set[str]) -> None:
        """Take which servers have stopped to speak."""
        if identifiers != self.silent:
            self.silent = identifiers
            self.changed.notify()

    def learn_slow(self, paces: dict[str, float]) -> None:
        """Take which servers are slow."""
        if paces != self.slow:
            self.slow = paces
            self.changed.notify()

    def learn_reachable(self, addresses: tuple[str, ...]) -> None:
        """Take which control hosts the leader has heard lately."""
        if addresses != self.reachable:
            self.reachable = addresses
            self.changed.notify()

    def expect_hosts(self, count: int) -> None:
        """Assume so many hosts until those that live have had time to ask."""
        self._begun_at = self._loop.time()
        self._expected_hosts = count
        self.learn_hosts(count)

    def near(self, availability_zone: str, key: str) -> str | None:
        """Return a reachable control host in an availability zone, if there is one.

        Parameters
        ----------
        key : str
            Spreads those who ask: the same key gets the same host while it lives.
        """
        near = [a for a in self.reachable if self.zones.get(a) == availability_zone]
        return max(near, key=lambda a: crc32(f"{key} {a}".encode()), default=None)

    def count_hosts(self) -> None:
        """Count the hosts that asked lately, or were there before a restart."""
        count = len(self.live_hosts())
        if self._loop.time() - self._begun_at < _HOST_KEPT_S:
            count = max(count, self._expected_hosts)
        self.learn_hosts(count)

    def learn_hosts(self, count: int) -> None:
        """Take the number of live hosts."""
        if count != self.hosts:
            self.hosts = count
            self.changed.notify()

    def learn_requests(self, count: int) -> None:
        """Take the number of requests of all hosts in the last ten seconds."""
        if count != self.requests:
            self.requests = count
            self.changed.notify()

    def begin_counting_requests(self) -> None:
        """Forget what was counted; until a whole window has passed it is unknown."""
        self._counted = WindowCount(_REQUESTS_WINDOW_S)
        self._counted_since = self._loop.time()
        self.learn_requests(0)

    def count_requests(self, reported: int) -> None:
        """Take the number of requests that a host has reported."""
        now = self._loop.time()
        self._counted.add(now, reported)
        if now - self._counted_since < _REQUESTS_WINDOW_S:
            return
        total = self._counted.total(now)
        if abs(total - self.requests) > self.requests * _REQUESTS_STEP:
            self.learn_requests(total)

    def meet_host(self, name: str) -> None:
        """Count a host as live that has asked here."""
        self._met[name] = self._loop.time()

    def hear_of_host(self, name: str) -> None:
        """Count a host as live that has asked another control host."""
        self._told[name] = self._loop.time()

    def met_hosts(self) -> list[str]:
        """Return the hosts that asked here lately."""
        self._met = self._recent(self._met)
        return list(self._met)

    def live_hosts(self) -> set[str]:
        """Return the hosts that asked anywhere lately."""
        self._told = self._recent(self._told)
        return set(self._told) | set(self.met_hosts())

    def _recent(self, hosts: dict[str, float]) -> dict[str, float]:
        limit = self._loop.time() - _HOST_KEPT_S
        return {name: at for name, at in hosts.items() if at > limit}
