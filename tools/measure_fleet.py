"""Sizes and processor time of the fleet's control messages, in one process."""

import asyncio
import time

import orjson
from kingcuplug_fleet import Directory, Knowledge, ServerRecord, ServerState, teach
from kingcuplug_platform import decode_statement
from kingcuplug_routing import PaceBoard

SERVERS = (1_000, 10_000, 57_000)
STATEMENT = orjson.dumps(
    {
        "service": "service-1",
        "address": "10.1.64.21:8687",
        "zone": "zone-a",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "sequence": 1,
        "cold_remaining_ms": 0,
        "born": 1_787_052_846_096,
    }
)


def record(number: int, sequence: int = 1) -> ServerRecord:
    """Return the statement of one of many servers."""
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
    return ServerRecord(
        f"i-{number:010x}",
        1_787_052_846_096,
        sequence,
        f"service-{number // 3}",
        address,
        "zone-a",
        3,
        ServerState.READY,
    )


async def measure(count: int) -> None:
    """Print the figures for one number of servers."""
    directory = Directory(5.0)
    begun = time.process_time()
    for number in range(count):
        directory.merge(record(number), 0.0)
    merged = time.process_time()
    usable = len(directory.usable())
    listed = time.process_time()
    silent = len(directory.silent(1.0))
    aged = time.process_time()
    data = orjson.dumps([r.to_json() for r in directory.since(0)])
    print(
        f"{count} servers ({usable} usable, {silent} silent): "
        f"merge {(merged - begun) / count * 1e6:.1f} us, "
        f"usable {(listed - merged) * 1e3:.1f} ms, "
        f"silent {(aged - listed) * 1e3:.1f} ms, "
        f"whole directory {len(data) / count:.0f} B a server"
    )


async def main() -> None:
    """Print all figures."""
    for count in SERVERS:
        await measure(count)
    begun = time.process_time()
    for _ in range(20_000):
        decode_statement("i-1", STATEMENT)
    print(f"decode a statement: {(time.process_time() - begun) / 20_000 * 1e6:.1f} us")
    board = PaceBoard()
    samples = {f"i-{number:010x}": (2, 2.1) for number in range(36)}
    begun = time.process_time()
    for step in range(2_000):
        board.add(samples, step * 0.01)
    spent = time.process_time() - begun
    print(
        f"take a report of 36 servers: {spent / 2_000 * 1e6:.0f} us, "
        f"{len(orjson.dumps(samples))} B"
    )
    knowledge = Knowledge(5.0)
    knowledge.learn_control([f"10.1.0.{n}:8224" for n in range(8)])
    poll = {
        "host": "frontend-1",
        "epoch": knowledge.epoch,
        "cursor": 0,
        "routes": 0,
        "servers": [],
        "silent": [],
        "slow": {},
        "control": list(knowledge.control),
        "hosts": 0,
        "wait": False,
    }
    begun = time.process_time()
    for _ in range(2_000):
        reply = await teach(knowledge, bool, poll)
    spent = time.process_time() - begun
    print(
        f"answer a poll: {spent / 2_000 * 1e6:.0f} us, "
        f"{len(orjson.dumps(poll))} B and {len(orjson.dumps(reply))} B"
    )


asyncio.run(main())
