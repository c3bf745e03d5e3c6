"""How hosts learn from control hosts what those know.

Every host polls one control host, one in its own availability zone if there is any;
the answer waits for news, at most a second. Both directions carry records of which the
greatest wins, so the order and repetition of messages do not matter.
"""

import asyncio
import contextlib
import math
import random as random_module
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import EventLog

from kingcuplug_fleet._knowledge import Knowledge
from kingcuplug_fleet._mesh import REPORT_PATH
from kingcuplug_fleet._mesh_messages import Report
from kingcuplug_fleet._peers import PeerFailed, Peers
from kingcuplug_fleet._records import ServerRecord

__all__ = ["LEARN_PATH", "Learner", "teach"]

LEARN_PATH = "/peer/v2/learn"

_WAIT_S = 0.8
# A round trip and the time of a busy control host; beyond the wait, if there is one.
_ANSWER_S = 0.5
# News must be in force everywhere within 3 s, so a host that has lost its control
# host may meet only few dead ones before it finds a live one.
_RETRY_S = 0.05
# While there is no leader no control host can help; all hosts asking at once would
# then only delay the election on the control hosts' links.
_LONGEST_RETRY_S = 0.25
_AVOIDED_S = 4.0
# News of one burst (a rolling restart, a zone's start) share an answer.
_GATHER_S = 0.02
_REPORT_TIMEOUT_S = 0.5


async def teach(
    knowledge: Knowledge, connected: Callable[[], bool], own: str, value: Any
) -> dict[str, Any]:
    """Answer a host's poll.

    Parameters
    ----------
    connected : callable
        Whether this control host is in touch with the leader; the asking host
        prefers one that is.
    own : str
        Address of this control host.
    """
    if _is_far(knowledge, own, value["zone"]):
        # The whole directory stays in the zone that the host is in.
        return {"nearer": knowledge.zones}
    if not connected() and _has_other(knowledge, own, value["zone"]):
        # Nobody leads; the host only looks for one who does.
        return {"connected": False, "slow": knowledge.slow}
    knowledge.meet_host(value["host"])
    knowledge.learn_servers([ServerRecord.from_json(r) for r in value["servers"]])
    directory = knowledge.directory
    cursor = 0
    if value["epoch"] == knowledge.epoch:
        cursor = int(value["cursor"])
    elif value["digest"] == directory.digest:
        # The host has come from another control host that knows the same.
        cursor = directory.version

    def news() -> bool:
        return (
            directory.version > cursor
            or knowledge.routes_version > value["routes"]
            or knowledge.state_key() != value["state_key"]
        )

    if connected() and value["wait"]:
        await knowledge.changed.until(news, _WAIT_S)
        await asyncio.sleep(_GATHER_S)
    reply: dict[str, Any] = {
        "epoch": knowledge.epoch,
        "cursor": directory.version,
        "servers": [record.to_json() for record in directory.since(cursor)],
        "connected": connected(),
    }
    if knowledge.routes_version > value["routes"]:
        reply["routes"] = knowledge.routes_version
        reply["document"] = knowledge.routes_document
    if not connected():
        reply["slow"] = knowledge.slow
    elif knowledge.state_key() != value["state_key"]:
        reply["state"] = knowledge.state()
        reply["state_key"] = knowledge.state_key()
    return reply


def _is_far(knowledge: Knowledge, own: str, zone: str | None) -> bool:
    """Return whether a reachable control host is nearer to the host that asks."""
    if not _has_other(knowledge, own, zone):
        return False
    return zone is not None and knowledge.near(zone, own) is not None


def _has_other(knowledge: Knowledge, own: str, zone: str | None) -> bool:
    """Return whether a zone other than the own one has control hosts."""
    if zone is None or knowledge.zones.get(own) == zone:
        return False
    return zone in knowledge.zones.values()


@dataclass(slots=True)
class _Cursor:
    epoch: str = ""
    version: int = 0


class Learner:
    """Polls one control host after the other for news.

    Parameters
    ----------
    host : str
        Name of this host.
    seeds : callable
        Control addresses of the settings, which may change.
    skip : callable
        Whether this host knows everything at first hand now.

    Attributes
    ----------
    teacher : str or None
        The control host that is polled.
    confirmed_at : float
        When the last poll was sent that a control host in touch with the leader
        answered, in event loop time.
    """

    def __init__(
        self,
        host: str,
        knowledge: Knowledge,
        peers: Peers,
        seeds: Callable[[], tuple[str, ...]],
        skip: Callable[[], bool],
        own_address: str,
        availability_zone: str,
        log: EventLog,
    ) -> None:
        self._host = host
        self._knowledge = knowledge
        self._peers = peers
        self._seeds = seeds
        self._skip = skip
        self._own_address = own_address
        self._zone = availability_zone
        self._log = log
        self._cursors: dict[str, _Cursor] = {}
        self._avoided: dict[str, float] = {}
        self._failed: dict[str, float] = {}
        self._random = random_module.Random()
        # Takes reports while no control host is in touch with a leader.
        self._answered: str | None = None
        self._state_key = ""
        self.teacher: str | None = None
        self.confirmed_at = -math.inf

    async def run(self) -> None:
        """Learn for ever."""
        failures = 0
        while True:
            if self._skip():
                await asyncio.sleep(_WAIT_S / 2)
                continue
            address = self.teacher or self._choose()
            if address is not None and await self._poll(address):
                failures = 0
                continue
            self._leave(address)
            failures += 1
            await asyncio.sleep(min(_RETRY_S * failures, _LONGEST_RETRY_S))

    async def report(self, report: Report) -> None:
        """Tell the control host what this host has seen; loss is harmless."""
        address = self.teacher or self._answered
        if address is not None and report != Report():
            with contextlib.suppress(PeerFailed):
                await self._peers.call(
                    address, REPORT_PATH, report.to_json(), _REPORT_TIMEOUT_S
                )

    def _choose(self) -> str | None:
        """Return a control host, one that has not failed lately if there is one."""
        now = asyncio.get_running_loop().time()
        # The seeds may be all that is reachable if the known ones are gone.
        known = set(self._knowledge.control) | set(self._seeds())
        known.discard(self._own_address)
        limit = now - _AVOIDED_S
        fresh = [a for a in known if self._avoided.get(a, limit) <= limit]
        near = [a for a in fresh if self._is_near(a)]
        if near or fresh:
            return self._random.choice(sorted(near or fresh))
        return min(known, key=lambda a: self._avoided[a]) if known else None

    def _is_near(self, address: str) -> bool:
        return self._knowledge.zones.get(address) == self._zone

    def _near_failed(self) -> bool:
        """Return whether a control host in the own zone did not answer lately."""
        limit = asyncio.get_running_loop().time() - _AVOIDED_S
        return any(self._is_near(a) and at > limit for a, at in self._failed.items())

    def _leave(self, address: str | None) -> None:
        if address is not None:
            self._avoided[address] = asyncio.get_running_loop().time()
        if self.teacher is not None:
            self._log.write("control_host_lost", {"address": address}, always=True)
            # Without reports the number of requests grows old.
            self._knowledge.learn_requests(0)
            self._state_key = ""
        self.teacher = None

    async def _poll(self, address: str) -> bool:
        """Ask once; return whether to ask the same host again."""
        knowledge = self._knowledge
        cursor = self._cursors.setdefault(address, _Cursor())
        begun = cursor.version > 0
        value = {
            "host": self._host,
            "epoch": cursor.epoch,
            "cursor": cursor.version,
            "routes": knowledge.routes_version,
            "servers": []
            if begun
            else [record.to_json() for record in knowledge.directory.leaving()],
            # Control hosts that know the same need not tell it again.
            "digest": knowledge.directory.digest,
            "state_key": self._state_key,
            # A far control host that knows a nearer one tells only of that.
            "zone": None if self._near_failed() else self._zone,
            # The first answer comes at once: it shows that the host is alive.
            "wait": self.teacher == address,
        }
        asked_at = asyncio.get_running_loop().time()
        timeout_s = _ANSWER_S + (_WAIT_S if self.teacher == address else 0)
        try:
            reply = await self._peers.call(address, LEARN_PATH, value, timeout_s)
        except PeerFailed:
            self._failed[address] = asyncio.get_running_loop().time()
            return False
        if "epoch" not in reply and "slow" in reply:
            self._take_slow(reply["slow"])
            return False
        if "nearer" in reply:
            knowledge.zones = reply["nearer"]
            knowledge.learn_control(list(reply["nearer"]))
            self.teacher = None
            return self._is_near(self._choose() or "")
        self._take(reply)
        self._answered = address
        if reply["epoch"] != cursor.epoch:
            # A control host that has restarted must hear who is leaving.
            self._cursors[address] = _Cursor(reply["epoch"], 0)
            if begun:
                return True
        self._cursors[address] = _Cursor(reply["epoch"], reply["cursor"])
        if not reply["connected"]:
            return False
        # Counted from the question, as the answer may have been long on its way.
        self.confirmed_at = asked_at
        if not self._is_near(address) and self._is_near(self._choose() or ""):
            # Bytes between availability zones are priced.
            self.teacher = None
            return True
        if self.teacher != address:
            self.teacher = address
            self._log.write("control_host_found", {"address": address}, always=True)
        return True

    def _take(self, reply: Any) -> None:
        knowledge = self._knowledge
        if "document" in reply:
            knowledge.learn_routes(reply["routes"], reply["document"])
        knowledge.learn_servers([ServerRecord.from_json(r) for r in reply["servers"]])
        if "state" in reply:
            self._take_state(reply["state"])
            self._state_key = reply["state_key"]
        elif "slow" in reply:
            self._take_slow(reply["slow"])

    def _take_slow(self, slow: dict[str, float]) -> None:
        """Take who is slow from a control host that nobody leads."""
        if self.teacher is None:
            self._knowledge.learn_slow(slow)
            self._state_key = ""

    def _take_state(self, state: Any) -> None:
        knowledge = self._knowledge
        silent, slow, control, zones, hosts, requests, reachable = state
        knowledge.learn_silent(set(silent))
        knowledge.learn_slow(slow)
        knowledge.learn_control(control)
        knowledge.zones = zones
        knowledge.learn_hosts(hosts)
        knowledge.learn_requests(requests)
        knowledge.learn_reachable(tuple(reachable))
