"""Measure commits per second and commit latency on real files.

Three replicas run in one process and exchange messages directly; each has its own
folder below the given one. Each of n concurrent callers proposes one command after
another.
"""

import asyncio
import contextlib
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from kingcuplug_log import (
    ChangeRefused,
    DiskFileSystem,
    LogSettings,
    Member,
    NotLeader,
    Replica,
    Storage,
    member_id,
)

_CALLER_COUNTS = (1, 8, 64, 512)
_DURATION_S = 4.0
_COMMAND_BYTES = 200
_SYNC_SAMPLES = 200


class _CountingStateMachine:
    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: Any) -> int:
        self.count += 1
        return index

    def dump(self) -> dict[str, Any]:
        return {"count": self.count}

    def load(self, state: dict[str, Any]) -> None:
        self.count = state["count"]


async def _start_replicas(folder: Path) -> list[Replica]:
    replicas: dict[str, Replica] = {}

    async def transport(peer: str, message: dict[str, Any]) -> dict[str, Any]:
        return await replicas[peer].handle(message)

    members = []
    for name in ("a", "b", "c"):
        storage = Storage(DiskFileSystem(folder / name))
        await storage.open()
        member = Member(member_id(name, storage.disk_id), name, name)
        replicas[member.id] = Replica(
            member,
            storage,
            transport,
            _CountingStateMachine(),
            LogSettings(),
            time.monotonic,
            random.Random(name),
        )
        members.append(member)
    first = replicas[members[0].id]
    for replica in replicas.values():
        await replica.start()
    await first.bootstrap("measure")
    for member in members[1:]:
        await _join(first, member)
    return list(replicas.values())


async def _join(leader: Replica, member: Member) -> None:
    # The call is refused until a leader is elected and the last learner promoted.
    while member not in leader.status().members:
        with contextlib.suppress(NotLeader, ChangeRefused):
            await leader.change_members(add=member)
        await asyncio.sleep(0.05)


async def _measure_commits(leader: Replica, callers: int) -> tuple[float, list[float]]:
    command = {"text": "x" * _COMMAND_BYTES}
    latencies: list[float] = []
    started = time.monotonic()

    async def propose_repeatedly() -> None:
        while time.monotonic() - started < _DURATION_S:
            call_started = time.monotonic()
            try:
                await leader.propose(command)
            except NotLeader:
                return
            latencies.append(time.monotonic() - call_started)

    await asyncio.gather(*(propose_repeatedly() for _ in range(callers)))
    return len(latencies) / (time.monotonic() - started), sorted(latencies)


async def _median_sync_ms(folder: Path) -> float:
    files = DiskFileSystem(folder / "sync")
    handle = await files.open_append("probe")
    samples = []
    for _ in range(_SYNC_SAMPLES):
        files.write(handle, b"x" * _COMMAND_BYTES)
        call_started = time.monotonic()
        await files.sync(handle)
        samples.append(time.monotonic() - call_started)
    files.close(handle)
    return sorted(samples)[len(samples) // 2] * 1_000


async def _main(folder: Path) -> None:
    print(f"one write and sync alone: median {await _median_sync_ms(folder):.2f} ms")
    replicas = await _start_replicas(folder)
    print(f"{'callers':>8}{'commits/s':>12}{'p50 ms':>10}{'p99 ms':>10}")
    for callers in _CALLER_COUNTS:
        leader = next(replica for replica in replicas if replica.leading)
        rate, latencies = await _measure_commits(leader, callers)
        p50 = latencies[len(latencies) // 2] * 1_000
        p99 = latencies[len(latencies) * 99 // 100] * 1_000
        print(f"{callers:>8}{rate:>12.0f}{p50:>10.2f}{p99:>10.2f}")
    for replica in replicas:
        await replica.stop()


if __name__ == "__main__":
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as name:
        asyncio.run(_main(Path(name)))
