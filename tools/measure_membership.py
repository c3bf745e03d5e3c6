"""Measure CPU time, memory and traffic of membership, one line per size.

Run it with the project's virtual environment; it uses one process, no network and
about 0.5 GB of memory. Messages are encoded to JSON and decoded as between
processes. The figures exclude HTTP.

Sections: session (one session, idle and under change), directory (memory and CPU
by number of servers), control (one control host by number of sessions), full (a
zone's servers announce again, through one control host to its sessions and peers).
"""

import argparse
import asyncio
import gc
import sys
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
for package in ("common", "membership", "testkit"):
    sys.path.insert(0, str(ROOT / "packages" / package / "src"))

from kingcuplug_membership import (  # noqa: E402
    Announcement,
    ConfigurationSink,
    ConfigurationSource,
    Directory,
    Holding,
    LeaderSource,
    MeshReplicator,
    ServerEntry,
    SessionClient,
    SessionServer,
    holder_name,
)
from kingcuplug_testkit import run_virtual  # noqa: E402

SERVICE_COUNT = 570
SERVERS_PER_SERVICE = 100
ROUTED_SERVICES = 25
Call = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]


def make_entry(number: int, sequence: int = 1, holder: str = "e0/1") -> ServerEntry:
    """Return the directory entry of one server of the target fleet."""
    service = f"service-{number // SERVERS_PER_SERVICE:03d}"
    announcement = Announcement(
        f"server-{number:05d}",
        service,
        f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:9000",
        f"zone-{number % 10}",
        1_700_000_000_000,
        sequence,
        3,
        30,
        "serving",
        (Holding(17, 82, (number % 82,)),),
    )
    return ServerEntry(announcement, (holder,))


def virtual_time() -> float:
    """Return the virtual time."""
    return asyncio.get_running_loop().time()


class InProcessTransport:
    """Deliver JSON messages within the process and count their bytes."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], Callable[[Any], Awaitable[Any]]] = {}
        self.message_count = 0
        self.byte_count = 0

    def make_call(self, kind: str) -> Call:
        """Return a function that sends messages of `kind`."""

        async def call(peer: str, message: dict[str, Any]) -> dict[str, Any]:
            request = orjson.dumps(message)
            await asyncio.sleep(0.001)
            reply = orjson.dumps(await self.handlers[kind, peer](orjson.loads(request)))
            self.message_count += 1
            self.byte_count += len(request) + len(reply)
            decoded: dict[str, Any] = orjson.loads(reply)
            return decoded

        return call


class MembershipSystem:
    """Control hosts led by c0, and sessions with fixed control hosts."""

    def __init__(self, controls: int) -> None:
        self.session_transport = InProcessTransport()
        self.mesh_transport = InProcessTransport()
        self.tasks: list[asyncio.Task[Any]] = []
        self.control_names = [f"c{number}" for number in range(controls)]
        self.session_servers = {
            name: self._start_control(name) for name in self.control_names
        }
        self.session_clients: list[SessionClient] = []

    def _start_control(self, name: str) -> SessionServer:
        leader = LeaderSource(
            lambda: virtual_time() + 1 if name == "c0" else 0.0,
            lambda: "c0",
            lambda: 1,
            lambda: 0,
            lambda: 0,
        )
        server = SessionServer(
            name,
            lambda: [other for other in self.control_names if other != name],
            ConfigurationSource(lambda: 0, lambda n: [], lambda: "{}", lambda: ""),
            leader,
            self.mesh_transport.make_call("barrier"),
            virtual_time,
        )
        mesh = MeshReplicator(
            name,
            server.directory,
            server.verdicts,
            server.completeness,
            lambda: self.control_names,
            self.mesh_transport.make_call("mesh"),
            virtual_time,
        )

        async def barrier(message: Any) -> Any:
            return server.leader_exchange.handle(message)

        self.session_transport.handlers["session", name] = server.handle
        self.mesh_transport.handlers["mesh", name] = mesh.handle
        self.mesh_transport.handlers["barrier", name] = barrier
        self.tasks += [
            asyncio.ensure_future(server.run()),
            asyncio.ensure_future(mesh.run()),
        ]
        return server

    def connect(self, number: int, control: str) -> SessionClient:
        """Start the session of one entry host."""
        first = number * ROUTED_SERVICES
        services = tuple(
            f"service-{(first + index) % SERVICE_COUNT:03d}"
            for index in range(ROUTED_SERVICES)
        )
        revision = [-1]
        sink = ConfigurationSink(
            lambda: revision[0],
            lambda new, deltas, text, digest: revision.__setitem__(0, new),
            lambda: services,
        )
        client = SessionClient(
            f"e{number}",
            1,
            "zone-1",
            "10.0.0.1:80",
            lambda: [control],
            sink,
            self.session_transport.make_call("session"),
            virtual_time,
        )
        self.session_clients.append(client)
        self.tasks.append(asyncio.ensure_future(client.run()))
        return client

    async def wait_until_ready(self) -> None:
        """Wait until all sessions are confirmed and idle."""
        while True:
            if all(client.is_confirmed() for client in self.session_clients):
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(5)

    async def measure_rates(self, duration_s: float) -> tuple[float, float, float]:
        """Return messages/s, bytes/s and CPU ms/s of the sessions over `duration_s`."""
        messages, size, cpu = (
            self.session_transport.message_count,
            self.session_transport.byte_count,
            time.process_time(),
        )
        await asyncio.sleep(duration_s)
        return (
            (self.session_transport.message_count - messages) / duration_s,
            (self.session_transport.byte_count - size) / duration_s,
            (time.process_time() - cpu) / duration_s * 1_000,
        )


async def reannounce_servers(system: MembershipSystem, rate_per_s: float) -> None:
    """Announce servers of the routed services again, `rate_per_s` times a second."""
    number = 0
    while True:
        await asyncio.sleep(1 / rate_per_s)
        number += 1
        server = number % (ROUTED_SERVICES * SERVERS_PER_SERVICE)
        update = make_entry(server, 2 + number)
        system.session_servers["c0"].directory.merge(update, local=True)


async def measure_session() -> None:
    """Measure one session with one control host."""
    for rate in (0.0, 0.1, 1.0, 10.0, 100.0):
        system = MembershipSystem(1)
        system.connect(0, "c0")
        await system.wait_until_ready()
        if rate:
            system.tasks.append(asyncio.ensure_future(reannounce_servers(system, rate)))
        messages, size, cpu = await system.measure_rates(200)
        print(
            f"session: {rate:5.1f} changes/s of routed services: {messages:5.2f} "
            f"exchanges/s {size:8.0f} B/s {cpu:6.3f} ms CPU/s (both ends)"
        )
        await stop_system(system)


async def stop_system(system: MembershipSystem) -> None:
    """Cancel all tasks of a system."""
    for task in system.tasks:
        task.cancel()
    await asyncio.gather(*system.tasks, return_exceptions=True)


def measure_directory() -> None:
    """Measure memory and CPU time of a directory."""
    for servers in (1_000, 10_000, 57_000):
        entries = [make_entry(number) for number in range(servers)]
        gc.collect()
        tracemalloc.start()
        copies = [make_entry(number) for number in range(servers)]
        entries_bytes, _ = tracemalloc.get_traced_memory()
        directory = Directory(lambda: 0.0)
        for copy in copies:
            directory.merge(copy)
        copies.clear()
        gc.collect()
        directory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        merge_target = Directory(lambda: 0.0)
        merge_us = cpu_time_us(
            lambda: [merge_target.merge(item) for item in entries],  # noqa: B023
            servers,
        )
        remerge_us = cpu_time_us(
            lambda: [merge_target.merge(item) for item in entries],  # noqa: B023
            servers,
        )
        routed = [f"service-{index:03d}" for index in range(ROUTED_SERVICES)]
        read_us = cpu_time_us(lambda: merge_target.changes_since(0, routed), 1)  # noqa: B023
        print(
            f"directory: {servers:6d} servers: {directory_bytes / 1e6:6.1f} MB "
            f"({entries_bytes / 1e6:.1f} MB of them entries), merge {merge_us:.2f} us, "
            f"known entry {remerge_us:.2f} us, whole of {ROUTED_SERVICES} services "
            f"{read_us / 1_000:.2f} ms"
        )


def cpu_time_us(action: Callable[[], Any], count: int) -> float:
    """Return the CPU time of `action` in microseconds, divided by `count`."""
    started = time.process_time()
    action()
    return (time.process_time() - started) * 1e6 / count


async def poll_session(system: MembershipSystem, number: int) -> None:
    """Poll as an entry host does, without applying the replies."""
    call = system.session_transport.make_call("session")
    first = number * ROUTED_SERVICES
    request: dict[str, Any] = {
        "host": f"e{number}",
        "incarnation": 1,
        "availability_zone": "zone-1",
        "confirmed": 0,
        "number": 0,
        "services": [
            f"service-{(first + index) % SERVICE_COUNT:03d}"
            for index in range(ROUTED_SERVICES)
        ],
    }
    while True:
        request["number"] += 1
        reply = await call("c0", request)
        if not reply.get("lease_ms"):
            await asyncio.sleep(0.2)
            continue
        request["epoch"] = reply["epoch"]
        request["directory"] = reply["directory"]
        request.pop("services", None)


async def measure_control() -> None:
    """Measure one control host with many sessions, without entry hosts' work."""
    for sessions in (50, 100, 200, 400):
        system = MembershipSystem(1)
        for number in range(57_000):
            system.session_servers["c0"].directory.merge(make_entry(number), local=True)
        await asyncio.sleep(2)
        started = time.process_time()
        for number in range(sessions):
            system.tasks.append(asyncio.ensure_future(poll_session(system, number)))
        await asyncio.sleep(5)
        start_ms = (time.process_time() - started) * 1_000 / sessions
        start_size = system.session_transport.byte_count / sessions
        idle = await system.measure_rates(20)
        system.tasks.append(asyncio.ensure_future(reannounce_servers(system, 1.0)))
        busy = await system.measure_rates(20)
        print(
            f"control: {sessions:4d} sessions, 57000 servers: start "
            f"{start_size / 1e3:.0f} kB {start_ms:.1f} ms each; idle "
            f"{idle[1] / 1e3:.1f} kB/s {idle[2]:.1f} ms CPU/s; 1 change/s "
            f"{busy[1] / 1e3:.1f} kB/s {busy[2]:.1f} ms CPU/s"
        )
        await stop_system(system)


async def measure_reannouncement() -> None:
    """Measure servers that announce again at 20 entry hosts of 5 control hosts."""
    for servers in (570, 1_900, 5_700):
        system = MembershipSystem(5)
        for number in range(20):
            system.connect(number, f"c{number % 5}")
        await system.wait_until_ready()
        cpu, size = time.process_time(), system.session_transport.byte_count
        mesh_size, started = system.mesh_transport.byte_count, virtual_time()
        for number in range(servers):
            client = system.session_clients[number % 20]
            holder = holder_name(f"e{number % 20}", 1)
            client.leases.announce(make_entry(number, 2, holder).announcement)
        while True:
            directory_sizes = [
                len(control.directory) for control in system.session_servers.values()
            ]
            if min(directory_sizes) == servers:
                break
            await asyncio.sleep(0.01)
        elapsed_s = virtual_time() - started
        # The leader's relay and the answers to the sessions follow within 0.5 s;
        # the servers' leases end after 2 s.
        await asyncio.sleep(1.5)
        print(
            f"full: {servers:5d} servers announce: all 5 directories have them after "
            f"{elapsed_s:.2f} s (virtual); "
            f"{(time.process_time() - cpu) * 1e3:.0f} ms CPU in all; sessions "
            f"{(system.session_transport.byte_count - size) / servers:.0f} "
            f"B per server, "
            f"between control hosts "
            f"{(system.mesh_transport.byte_count - mesh_size) / servers / 5:.0f} "
            f"B per server "
            f"and control host"
        )
        await stop_system(system)


def main() -> None:
    """Run the sections named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    sections: dict[str, Callable[[], Any]] = {
        "session": lambda: run_virtual(measure_session()),
        "directory": measure_directory,
        "control": lambda: run_virtual(measure_control()),
        "full": lambda: run_virtual(measure_reannouncement()),
    }
    parser.add_argument("section", nargs="*", choices=[[], *sections], default=[])
    for name in parser.parse_args().section or sections:
        sections[name]()


if __name__ == "__main__":
    main()
