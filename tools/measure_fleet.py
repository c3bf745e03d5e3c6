"""Measure sizes and CPU time of the fleet's control messages, in one process."""

import asyncio
import random
import time

import orjson
from kingcuplug_fleet import (
    Directory,
    FleetView,
    PushMessage,
    ServerRecord,
    ServerState,
    answer_poll,
    encode_body,
)
from kingcuplug_platform.formats import decode_heartbeat
from kingcuplug_routing import SlowServerDetector

SERVER_COUNTS = (1_000, 10_000, 57_000)
REPORTED_SERVERS = 1_839  # 57,000 servers over 31 control hosts.
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


def make_record(number: int, sequence: int = 1) -> ServerRecord:
    """Return the directory record of one of many servers."""
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"
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


async def measure_directory(count: int) -> None:
    """Print the cost of directory operations for one number of servers."""
    directory = Directory(5.0)
    started = time.process_time()
    for number in range(count):
        directory.merge(make_record(number), 0.0)
    merge_ended = time.process_time()
    usable = len(directory.usable())
    usable_ended = time.process_time()
    silent = len(directory.silent(1.0))
    silent_ended = time.process_time()
    data = orjson.dumps([r.to_json() for r in directory.changed_since(0)])
    print(
        f"{count} servers ({usable} usable, {silent} silent): "
        f"merge {(merge_ended - started) / count * 1e6:.1f} us, "
        f"usable {(usable_ended - merge_ended) * 1e3:.1f} ms, "
        f"silent {(silent_ended - usable_ended) * 1e3:.1f} ms, "
        f"whole directory {len(data) / count:.0f} B a server"
    )


async def main() -> None:
    """Run and print all measurements."""
    for count in SERVER_COUNTS:
        await measure_directory(count)
    started = time.process_time()
    for _ in range(20_000):
        decode_heartbeat("i-1", STATEMENT)
    print(
        f"decode a statement: {(time.process_time() - started) / 20_000 * 1e6:.1f} us"
    )
    board = SlowServerDetector()
    samples = {f"i-{number:010x}": (2, 2.1) for number in range(36)}
    started = time.process_time()
    for number in range(2_000):
        board.record(samples, number * 0.01)
    elapsed_s = time.process_time() - started
    print(
        f"take a report of 36 servers: {elapsed_s / 2_000 * 1e6:.0f} us, "
        f"{len(orjson.dumps(samples))} B"
    )
    knowledge = FleetView(5.0)
    knowledge.set_control_hosts([f"10.1.0.{n}:8224" for n in range(8)])
    poll = {
        "host": "frontend-1",
        "epoch": knowledge.epoch,
        "cursor": 0,
        "routes": 0,
        "servers": [],
        "digest": 0,
        "state_key": knowledge.state_digest(),
        "zone": "zone-a",
        "wait": False,
    }
    started = time.process_time()
    for _ in range(2_000):
        reply = await answer_poll(knowledge, lambda: True, "10.1.0.1:8224", poll)
    elapsed_s = time.process_time() - started
    # Random ids and start times, because regular ones would compress too well.
    rng = random.Random(1)
    heard = {
        f"i-{rng.getrandbits(40):010x}": (
            1_787_052_846_096 + rng.randrange(10**9),
            rng.randrange(10**4),
        )
        for _ in range(REPORTED_SERVERS)
    }
    report = PushMessage("10.1.0.1:8224", "zone-a", 2**63, heartbeats=heard)
    started = time.process_time()
    _, body = encode_body(report.to_json())
    elapsed_ms = (time.process_time() - started) * 1e3
    print(
        f"report {REPORTED_SERVERS} heard servers: {len(body)} B, "
        f"{elapsed_ms:.1f} ms to encode"
    )
    records = [make_record(rng.getrandbits(40)).to_json() for _ in range(1_000)]
    plain_bytes, deflated_bytes = (
        len(orjson.dumps(records)),
        len(encode_body(records)[1]),
    )
    print(f"1,000 records: {plain_bytes} B, deflated {deflated_bytes} B")
    print(
        f"answer a poll: {elapsed_s / 2_000 * 1e6:.0f} us, "
        f"{len(orjson.dumps(poll))} B and {len(orjson.dumps(reply))} B"
    )


asyncio.run(main())
