"""A small system of hosts on a simulated network, in virtual time."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest
from kingcuplug_common import digest
from kingcuplug_membership import (
    Announcement,
    ConfigurationSink,
    ConfigurationSource,
    Holding,
    LeaderSource,
    MeshReplicator,
    SessionClient,
    SessionServer,
)
from kingcuplug_testkit import run_virtual

SERVICES = ("counter", "cutting")
LEADER_LEASE_S = 0.3


def now() -> float:
    return asyncio.get_running_loop().time()


def make_announcement(server: str = "s1", **fields: Any) -> Announcement:
    values: dict[str, Any] = {
        "server": server,
        "service": "counter",
        "address": "127.0.0.1:9000",
        "availability_zone": "z1",
        "incarnation": 1,
        "sequence": 1,
        "slots": 3,
        "connections": 30,
        "holdings": (Holding(7, 4, (0, 1)),),
    }
    return Announcement(**(values | fields))


class FakeNetwork:
    """Delivers JSON messages between addresses, with injected faults.

    A dropped message, or one across a partition, hangs as with a silent partition; a
    stopped process refuses the connection.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.handlers: dict[tuple[str, str], Callable[[Any], Awaitable[Any]]] = {}
        self.isolated: set[str] = set()
        self.severed_links: set[frozenset[str]] = set()
        self.delay_range_s = (0.001, 0.002)
        self.drop_share = 0.0
        self.duplicate_share = 0.0
        self.drop_rules: list[Callable[[str, str, str, str], bool]] = []
        self.duplicate_tasks: set[asyncio.Task[Any]] = set()

    def reachable(self, first: str, second: str) -> bool:
        """Return whether messages pass between two addresses."""
        if first == second:
            return True
        if {first, second} & self.isolated:
            return False
        return frozenset((first, second)) not in self.severed_links

    def make_call(self, kind: str, source: str) -> Callable[[str, Any], Awaitable[Any]]:
        """Return the function by which `source` sends messages of `kind`."""

        async def call(peer: str, message: Any) -> Any:
            await self._transmit(kind, source, peer, "request")
            handler = self.handlers.get((kind, peer))
            if handler is None:
                raise ConnectionRefusedError(peer)
            text = json.dumps(message)
            if self.random.random() < self.duplicate_share:
                copy = asyncio.ensure_future(self._deliver_duplicate(handler, text))
                self.duplicate_tasks.add(copy)
            reply = json.dumps(await handler(json.loads(text)))
            await self._transmit(kind, source, peer, "reply")
            return json.loads(reply)

        return call

    async def _deliver_duplicate(
        self, handler: Callable[[Any], Awaitable[Any]], text: str
    ) -> None:
        await asyncio.sleep(self.random.uniform(0, 2))
        await handler(json.loads(text))

    async def _transmit(self, kind: str, source: str, peer: str, step: str) -> None:
        await asyncio.sleep(self.random.uniform(*self.delay_range_s))
        lost = self.random.random() < self.drop_share
        lost = lost or not self.reachable(source, peer)
        lost = lost or any(drops(kind, source, peer, step) for drops in self.drop_rules)
        if lost:
            await asyncio.get_running_loop().create_future()


class FakeLog:
    """Configuration revisions and the leader, without a consensus protocol.

    A leader that does not reach a majority loses its lease; after that, a control
    host that does reach one is elected.
    """

    def __init__(self, network: FakeNetwork) -> None:
        self.network = network
        self.control_names: list[str] = []
        self.control_hosts: dict[str, ControlHost] = {}
        self.texts = ['{"n":0}']
        self.accepted_at = [0.0]
        self.leader: str | None = "c0"
        self.term = 1
        self.elections_enabled = True
        self._lease_end = 0.0

    def accept_revision(self) -> int:
        """Accept a new revision, if there is a leader; return the newest number."""
        if self.leader and self._has_majority(self.leader):
            self.texts.append(json.dumps({"n": len(self.texts)}))
            self.accepted_at.append(now())
        return len(self.texts) - 1

    def elect(self, name: str | None) -> None:
        """Change the leader at once, without waiting for the former leader's lease."""
        self.leader = name
        self.term += 1
        if name is not None:
            # A leader has all committed entries and applies them before it leads.
            self.control_hosts[name].applied_revision = len(self.texts) - 1

    def leading_until(self, name: str) -> float:
        """Return the end of a control host's lease as leader."""
        return self._lease_end if self.leader == name else 0.0

    def _has_majority(self, name: str) -> bool:
        reached = [
            peer for peer in self.control_names if self.network.reachable(name, peer)
        ]
        return len(reached) > len(self.control_names) // 2

    async def run(self) -> None:
        """Extend the leader's lease, or elect another one after its end."""
        while True:
            if self.leader and self._has_majority(self.leader):
                self._lease_end = now() + LEADER_LEASE_S
            elif self.elections_enabled and now() > self._lease_end:
                eligible = [
                    name for name in self.control_names if self._has_majority(name)
                ]
                self.elect(self.network.random.choice(eligible) if eligible else None)
                self._lease_end = now() + LEADER_LEASE_S
            await asyncio.sleep(0.05)


class ControlHost:
    """Process of a control host."""

    def __init__(self, system: "System", name: str) -> None:
        self.system = system
        self.name = name
        self.applied_revision = 0
        self.replicates = True
        self.start()

    def start(self) -> None:
        """Start the process."""
        network, log, clock = self.system.network, self.system.log, now
        self.server = SessionServer(
            self.name,
            lambda: [name for name in self.system.control_hosts if name != self.name],
            ConfigurationSource(
                lambda: self.applied_revision,
                lambda revision: (
                    [{"n": n} for n in range(revision + 1, self.applied_revision)]
                    + [{"n": self.applied_revision}]
                ),
                lambda: log.texts[self.applied_revision],
                lambda: digest(log.texts[self.applied_revision]),
            ),
            LeaderSource(
                lambda: log.leading_until(self.name),
                lambda: log.leader,
                lambda: log.term,
                lambda: len(log.texts) - 1,
                lambda: self.applied_revision,
            ),
            network.make_call("barrier", self.name),
            clock,
        )
        self.mesh = MeshReplicator(
            self.name,
            self.server.directory,
            self.server.verdicts,
            self.server.completeness,
            lambda: list(self.system.control_hosts),
            network.make_call("mesh", self.name),
            clock,
        )
        network.handlers["session", self.name] = self.server.handle
        network.handlers["mesh", self.name] = self.mesh.handle
        network.handlers["barrier", self.name] = self._handle_barrier
        self.tasks = [
            asyncio.ensure_future(self.server.run()),
            asyncio.ensure_future(self.mesh.run()),
            asyncio.ensure_future(self._replicate()),
        ]

    async def _handle_barrier(self, message: Any) -> Any:
        return self.server.leader_exchange.handle(message)

    async def _replicate(self) -> None:
        log = self.system.log
        while True:
            await asyncio.sleep(0.05)
            reachable = log.leader and self.system.network.reachable(
                self.name, log.leader
            )
            if (
                self.replicates
                and reachable
                and self.applied_revision < len(log.texts) - 1
            ):
                self.applied_revision = len(log.texts) - 1
                self.server.wake_polls()

    def stop(self) -> None:
        """Stop the process abruptly, as a crash does."""
        for kind in ("session", "mesh", "barrier"):
            self.system.network.handlers.pop((kind, self.name), None)
        for task in self.tasks:
            task.cancel()

    def restart(self) -> None:
        """Replace the process by a new one that has lost its state."""
        self.stop()
        self.start()


class EntryHost:
    """Process of an entry host, with the configuration in force there."""

    def __init__(self, system: "System", name: str) -> None:
        self.system = system
        self.name = name
        self.incarnation = 0
        self.failures_to_apply = 0
        self.served_revisions: list[tuple[float, int]] = []
        self.start()

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.revision = -1
        self.text = ""
        self.client = SessionClient(
            self.name,
            self.incarnation,
            "z1",
            self.name,
            lambda: list(self.system.control_hosts),
            ConfigurationSink(lambda: self.revision, self._apply, lambda: SERVICES),
            self.system.network.make_call("session", self.name),
            now,
        )
        self.leases = self.client.leases
        self.tasks = [asyncio.ensure_future(self.client.run())]

    def _apply(
        self,
        revision: int,
        deltas: list[Any] | None,
        text: str | None,
        expected_digest: str,
    ) -> None:
        result = text if deltas is None else json.dumps(deltas[-1])
        if self.failures_to_apply:
            self.failures_to_apply -= 1
            result = "other"
        if result is None or digest(result) != expected_digest:
            raise ValueError(f"digest of revision {revision} differs")
        self.revision, self.text = revision, result

    def stop(self) -> None:
        """Stop the process abruptly, as a crash does."""
        for task in self.tasks:
            task.cancel()

    def restart(self) -> None:
        """Replace the process by a new one that has lost its state."""
        self.stop()
        self.start()

    def live_servers(self, service: str = "counter") -> list[str]:
        """Return the live servers that this host's router would use."""
        entries = self.client.directory.servers(service)
        return sorted(entry.announcement.server for entry in entries)

    def server_state(self, server: str, service: str = "counter") -> str | None:
        """Return the state of a live server in this host's directory."""
        entry = self.client.directory.get(service, server)
        return entry.announcement.state if entry and entry.live else None


class BackendServer:
    """Backend server that renews its lease, and announces again if that fails."""

    def __init__(
        self, system: "System", name: str, entry_index: int = 0, **fields: Any
    ):
        self.system = system
        self.entry_index = entry_index
        self.announcement = make_announcement(name, **fields)
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        self.entry_host: EntryHost | None = None
        while True:
            if self.entry_host is None or not self._renew(self.entry_host):
                self.announce()
            await asyncio.sleep(0.5)

    def _renew(self, entry_host: EntryHost) -> bool:
        return self._succeeds(
            entry_host,
            lambda: entry_host.leases.renew(self.announcement.server, *self.rank),
        )

    @property
    def rank(self) -> tuple[int, int]:
        """Return incarnation and sequence of the current announcement."""
        return self.announcement.rank

    def announce(self, **fields: Any) -> None:
        """Announce through the first entry host that accepts the announcement."""
        entry_hosts = list(self.system.entry_hosts.values())
        for offset in range(len(entry_hosts)):
            entry_host = entry_hosts[(self.entry_index + offset) % len(entry_hosts)]
            self.announcement = make_announcement(
                **(
                    {
                        name: getattr(self.announcement, name)
                        for name in _ANNOUNCEMENT_FIELDS
                    }
                    | {"sequence": self.announcement.sequence + 1}
                    | fields
                )
            )
            if self._succeeds(
                entry_host,
                lambda host=entry_host: host.leases.announce(self.announcement),
            ):
                self.entry_host, self.entry_index = (
                    entry_host,
                    (self.entry_index + offset) % len(entry_hosts),
                )
                return
        self.entry_host = None

    def _succeeds(self, entry_host: EntryHost, action: Callable[[], object]) -> bool:
        network = self.system.network
        if not network.reachable(self.announcement.server, entry_host.name):
            return False
        try:
            action()
        except Exception:
            return False
        return True

    def stop(self) -> None:
        """Stop the process abruptly, as a crash does."""
        self.task.cancel()


_ANNOUNCEMENT_FIELDS = tuple(Announcement.__dataclass_fields__)


class System:
    """Control hosts c0.. and entry hosts e0.. on one simulated network."""

    def __init__(self, control_count: int, entry_count: int, seed: int = 1) -> None:
        self.network = FakeNetwork(seed)
        self.log = FakeLog(self.network)
        self.log.control_names = [f"c{number}" for number in range(control_count)]
        self.election_task = asyncio.ensure_future(self.log.run())
        self.control_hosts: dict[str, ControlHost] = dict.fromkeys(
            self.log.control_names
        )
        self.log.control_hosts = self.control_hosts
        for name in self.control_hosts:
            self.control_hosts[name] = ControlHost(self, name)
        self.entry_hosts = {
            f"e{number}": EntryHost(self, f"e{number}") for number in range(entry_count)
        }
        self.servers: list[BackendServer] = []

    @property
    def leader(self) -> SessionServer:
        """Return the leader's session server."""
        return self.control_hosts[self.log.leader or "c0"].server

    def home_of(self, entry_host: str) -> str:
        """Return the control host that serves an entry host now."""
        for name, control in self.control_hosts.items():
            rows, _ = control.server._sessions.changes_since(0)
            if any(row.host == entry_host for row in rows):
                return name
        raise LookupError(entry_host)

    async def wait_ready(self) -> None:
        """Wait until every entry host serves."""
        await wait_until(
            lambda: all(
                entry_host.client.is_confirmed()
                for entry_host in self.entry_hosts.values()
            )
        )


async def wait_until(condition: Callable[[], bool], timeout_s: float = 20.0) -> float:
    """Wait until `condition` holds and return the time taken in seconds."""
    started = now()
    while not condition():
        if now() - started > timeout_s:
            raise AssertionError("the condition did not become true")
        await asyncio.sleep(0.01)
    return now() - started


Scenario = Callable[[System], Coroutine[Any, Any, None]]


@pytest.fixture
def run_scenario() -> Callable[..., None]:
    """Return a function that runs a scenario once every entry host serves."""

    def run(
        scenario: Scenario, control_count: int = 3, entry_count: int = 3, seed: int = 1
    ) -> None:
        async def main() -> None:
            system = System(control_count, entry_count, seed)
            await system.wait_ready()
            await scenario(system)

        run_virtual(main())

    return run
