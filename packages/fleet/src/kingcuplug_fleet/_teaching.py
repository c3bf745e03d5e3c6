"""How control hosts tell each other and all other hosts what they know.

Every host polls one control host; the answer waits for news, at most a second. The
control hosts push to each other what servers tell them. Both directions carry records
of which the greatest wins, so the order and repetition of messages do not matter.
"""

import asyncio
import contextlib
import math
import random as random_module
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import EventLog
from kingcuplug_routing import Samples

from kingcuplug_fleet._knowledge import Knowledge
from kingcuplug_fleet._peers import PeerFailed, Peers
from kingcuplug_fleet._records import ServerRecord

__all__ = ["LEARN_PATH", "REPORT_PATH", "SHARE_PATH", "Learner", "Mesh", "teach"]

LEARN_PATH = "/peer/v2/learn"
SHARE_PATH = "/peer/v2/share"
REPORT_PATH = "/peer/v2/report"

_WAIT_S = 0.8
# A round trip and the time of a busy control host; beyond the wait, if there is one.
_ANSWER_S = 0.5
# News must be in force everywhere within 3 s, so a host that has lost its control
# host may meet only few dead ones before it finds a live one.
_RETRY_S = 0.05
_AVOIDED_S = 4.0
# News of one burst (a rolling restart, a zone's start) share an answer.
_GATHER_S = 0.02
_SHARE_INTERVAL_S = 0.9
_SHARE_TIMEOUT_S = 0.6
_REPORT_TIMEOUT_S = 0.5
_UPKEEP_S = 0.3
# Acknowledging a leaving server waits for one other control host this long, so that
# the news survives the loss of this one.
_TELL_TIMEOUT_S = 0.35


async def teach(
    knowledge: Knowledge, connected: Callable[[], bool], value: Any
) -> dict[str, Any]:
    """Answer a host's poll.

    Parameters
    ----------
    connected : callable
        Whether this control host is in touch with the leader; the asking host
        prefers one that is.
    """
    knowledge.meet_host(value["host"])
    knowledge.learn_servers([ServerRecord.from_json(r) for r in value["servers"]])
    same_epoch = value["epoch"] == knowledge.epoch
    cursor = int(value["cursor"]) if same_epoch else 0
    directory = knowledge.directory
    seen = (set(value["silent"]), value["control"], value["hosts"], value["slow"])

    def news() -> bool:
        current = (
            knowledge.silent,
            list(knowledge.control),
            knowledge.hosts,
            knowledge.slow,
        )
        return (
            directory.version > cursor
            or knowledge.routes_version > value["routes"]
            or current != seen
        )

    if connected() and value["wait"]:
        await knowledge.changed.until(news, _WAIT_S)
        await asyncio.sleep(_GATHER_S)
    newer = knowledge.routes_version > value["routes"]
    return {
        "epoch": knowledge.epoch,
        "cursor": directory.version,
        "servers": [record.to_json() for record in directory.since(cursor)],
        "silent": sorted(knowledge.silent),
        "slow": knowledge.slow,
        "zones": knowledge.zones,
        "routes": knowledge.routes_version if newer else 0,
        "document": knowledge.routes_document if newer else "",
        "control": knowledge.control,
        "hosts": knowledge.hosts,
        "connected": connected(),
    }


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
        self._random = random_module.Random()
        self.teacher: str | None = None
        self.confirmed_at = -math.inf

    async def run(self) -> None:
        """Learn for ever."""
        while True:
            if self._skip():
                await asyncio.sleep(_WAIT_S / 2)
                continue
            address = self.teacher or self._choose()
            if address is None or not await self._poll(address):
                self._leave(address)
                await asyncio.sleep(_RETRY_S)

    async def report(self, samples: Samples) -> None:
        """Tell the control host what was seen of servers' pace; loss is harmless."""
        if self.teacher is not None and samples:
            with contextlib.suppress(PeerFailed):
                await self._peers.call(
                    self.teacher, REPORT_PATH, samples, _REPORT_TIMEOUT_S
                )

    def _choose(self) -> str | None:
        """Return a control host, one that has not failed lately if there is one."""
        now = asyncio.get_running_loop().time()
        # The seeds may be all that is reachable if the known ones are gone.
        known = set(self._knowledge.control) | set(self._seeds())
        known.discard(self._own_address)
        limit = now - _AVOIDED_S
        fresh = [a for a in known if self._avoided.get(a, limit) <= limit]
        zones = self._knowledge.zones
        near = [a for a in fresh if zones.get(a) == self._zone]
        if near or fresh:
            return self._random.choice(sorted(near or fresh))
        return min(known, key=lambda a: self._avoided[a]) if known else None

    def _leave(self, address: str | None) -> None:
        if address is not None:
            self._avoided[address] = asyncio.get_running_loop().time()
        if self.teacher is not None:
            self._log.write("control_host_lost", {"address": address}, always=True)
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
            "silent": sorted(knowledge.silent),
            "slow": knowledge.slow,
            "control": list(knowledge.control),
            "hosts": knowledge.hosts,
            # The first answer comes at once: it shows that the host is alive.
            "wait": self.teacher == address,
        }
        asked_at = asyncio.get_running_loop().time()
        timeout_s = _ANSWER_S + (_WAIT_S if self.teacher == address else 0)
        try:
            reply = await self._peers.call(address, LEARN_PATH, value, timeout_s)
        except PeerFailed:
            cursor.version = 0
            return False
        self._take(reply)
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
        zones = knowledge.zones
        if zones.get(address) != self._zone and self._zone in zones.values():
            # Bytes between availability zones are priced.
            nearer = self._choose()
            if nearer is not None and zones.get(nearer) == self._zone:
                self.teacher = None
                return True
        if self.teacher != address:
            self.teacher = address
            self._log.write("control_host_found", {"address": address}, always=True)
        return True

    def _take(self, reply: Any) -> None:
        knowledge = self._knowledge
        if reply["routes"]:
            knowledge.learn_routes(reply["routes"], reply["document"])
        knowledge.learn_servers([ServerRecord.from_json(r) for r in reply["servers"]])
        if reply["connected"]:
            knowledge.zones = reply["zones"]
            knowledge.learn_control(reply["control"])
            knowledge.learn_hosts(reply["hosts"])
            knowledge.learn_silent(set(reply["silent"]))
            knowledge.learn_slow(reply["slow"])


class Mesh:
    """Pushes what servers tell this control host to the other ones."""

    def __init__(
        self,
        host: str,
        knowledge: Knowledge,
        peers: Peers,
        own: str,
        availability_zone: str,
        leader: Callable[[], str | None],
    ) -> None:
        self._host = host
        self._knowledge = knowledge
        self._peers = peers
        self._own = own
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._pending: dict[str, dict[str, tuple[int, int]]] = {}
        self._samples: Samples = {}
        self._zone = availability_zone
        self._leader = leader

    async def run(self) -> None:
        """Keep one task for each other control host, and what ages."""
        loop = asyncio.get_running_loop()
        self._knowledge.zones[self._own] = self._zone
        try:
            while True:
                self._follow_members()
                self._age(loop.time())
                await asyncio.gather(asyncio.sleep(_UPKEEP_S), self._forward_samples())
        finally:
            for task in self._tasks.values():
                task.cancel()

    def hear(self, record: ServerRecord) -> None:
        """Note that a server has spoken to this host."""
        for pending in self._pending.values():
            pending[record.id] = (record.born_ms, record.sequence)

    def take_samples(self, samples: Samples) -> None:
        """Take what a host, perhaps this one, has seen of servers' pace.

        The leader alone sums the samples up, as all to all would cost more bytes
        than the queries.
        """
        if self._leader() == self._own:
            self._knowledge.paces.add(samples, asyncio.get_running_loop().time())
            return
        for server, (count, total) in samples.items():
            known = self._samples.get(server, (0, 0.0))
            self._samples[server] = (known[0] + count, known[1] + total)

    async def tell(self, record: ServerRecord) -> bool:
        """Return once one other control host knows a record, or in vain."""
        others = list(self._tasks)
        if not others:
            return True
        value = self._message([record], {}, full=False)
        calls = [
            asyncio.ensure_future(
                self._peers.call(other, SHARE_PATH, value, _TELL_TIMEOUT_S)
            )
            for other in others
        ]
        for call in asyncio.as_completed(calls):
            with contextlib.suppress(PeerFailed):
                await call
                return True
        return False

    def take(self, value: Any) -> dict[str, Any]:
        """Take what another control host pushes."""
        knowledge = self._knowledge
        now = asyncio.get_running_loop().time()
        knowledge.learn_servers([ServerRecord.from_json(r) for r in value["servers"]])
        for identifier, (born_ms, sequence) in value["heard"].items():
            knowledge.directory.heard(identifier, born_ms, sequence, now)
        knowledge.zones[value["address"]] = value["zone"]
        if value["slow"] is not None:
            knowledge.learn_slow(value["slow"])
        for host in value["hosts"]:
            knowledge.hear_of_host(host)
        return {"epoch": knowledge.epoch}

    def _follow_members(self) -> None:
        wanted = set(self._knowledge.control) - {self._own}
        for address in self._tasks.keys() - wanted:
            self._tasks.pop(address).cancel()
            self._pending.pop(address, None)
        for address in wanted - self._tasks.keys():
            self._pending[address] = {}
            self._tasks[address] = asyncio.ensure_future(self._push(address))

    async def _forward_samples(self) -> None:
        leader = self._leader()
        if leader is None or leader == self._own or not self._samples:
            return
        samples, self._samples = self._samples, {}
        with contextlib.suppress(PeerFailed):
            await self._peers.call(leader, REPORT_PATH, samples, _REPORT_TIMEOUT_S)

    def _age(self, now: float) -> None:
        knowledge = self._knowledge
        knowledge.meet_host(self._host)
        knowledge.directory.forget(now)
        knowledge.learn_silent(knowledge.directory.silent(now))
        if self._leader() == self._own:
            knowledge.learn_slow(knowledge.paces.slow(now))
        elif self._leader() is None:
            knowledge.learn_slow({})
        knowledge.count_hosts()

    async def _push(self, address: str) -> None:
        knowledge = self._knowledge
        sent, epoch = 0, ""
        while True:
            version = knowledge.directory.version
            heard, self._pending[address] = self._pending[address], {}
            records = knowledge.directory.since(sent)
            value = self._message(records, heard, full=True)
            try:
                reply = await self._peers.call(
                    address, SHARE_PATH, value, _SHARE_TIMEOUT_S
                )
            except PeerFailed:
                # What was heard meanwhile is soon said again by the servers.
                await asyncio.sleep(_SHARE_INTERVAL_S)
                continue
            if reply["epoch"] == epoch:
                sent = version
            else:
                epoch, sent = reply["epoch"], 0

            slow = knowledge.slow

            def news(sent: int = sent, slow: dict[str, float] = slow) -> bool:
                changed = slow != knowledge.slow and self._leader() == self._own
                return knowledge.directory.version > sent or changed

            await knowledge.changed.until(news, _SHARE_INTERVAL_S)

    def _message(
        self,
        records: list[ServerRecord],
        heard: dict[str, tuple[int, int]],
        full: bool,
    ) -> dict[str, Any]:
        return {
            "servers": [record.to_json() for record in records],
            "heard": heard,
            "address": self._own,
            "zone": self._zone,
            "slow": self._knowledge.slow if self._leader() == self._own else None,
            "hosts": self._knowledge.met_hosts() if full else [],
        }
