"""Compare the CPU time of a sub-request in the gateway and in a bare aiohttp fan-out.

The gateway is measured with servers chosen by counts and by expected cost. All query
the same fake servers, which run in a separate process, in alternating rounds of one
run. Only the ratios are comparable between machines and runs.
"""

import asyncio
import os
import random
import subprocess
import sys
import time
from pathlib import Path

import aiohttp

for _source in (Path(__file__).resolve().parents[1] / "packages").glob("*/src"):
    sys.path.insert(0, str(_source))

from kingcuplug_common import EventLog, Metrics  # noqa: E402
from kingcuplug_gateway import (  # noqa: E402
    Gateway,
    GatewaySettings,
    HeaderNames,
    Route,
    RouteTable,
    ServerInfo,
    ServiceSettings,
)
from kingcuplug_http import Limits, Listener, Request, Response  # noqa: E402

SHARD_COUNT = 36
QUERIES_PER_ROUND = 150  # For each client.
ROUNDS = 4
COUNTS_TARGET_MS, COST_TARGET_MS = 60, 59  # Below 60 ms, expected cost decides.
REPLY_BYTES = 1_000
HEADER_NAMES = HeaderNames(
    attempt_id=b"Try-Id",
    deadline_ms=b"Left-Ms",
    expected_server=b"Only-At",
    signature=b"Seal",
    not_run=b"Unrun",
    part_signatures=b"Seals",
    missing_parts=b"Missing",
    server_limit=b"Limit",
    server_leaving=b"Leaving",
)


async def serve_backends() -> None:
    """Serve sub-requests on one port per shard until killed."""
    body = os.urandom(REPLY_BYTES)

    async def answer(request: Request) -> Response:
        echo = (b"Try-Id", request.header(b"try-id") or b"")
        return Response(200, [(b"Seal", os.urandom(6).hex().encode()), echo], body)

    listeners = [Listener(answer, Limits) for _ in range(SHARD_COUNT)]
    addresses = [await listener.start("127.0.0.1:0") for listener in listeners]
    print(" ".join(addresses), flush=True)
    await asyncio.Event().wait()


def make_gateway(addresses: list[str], target_ms: int) -> Gateway:
    """Return a gateway with one server for each shard."""
    names = [f"s{number}" for number in range(SHARD_COUNT)]
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    gateway = Gateway(
        GatewaySettings("z", HEADER_NAMES), log, Metrics(), random.Random(1)
    )
    route = Route(
        "r", "a", "/", True, (), tuple(names), 2, 60_000, target_ms, 1, 50, 1.0
    )
    services = {name: ServiceSettings(name, "/", 64) for name in names}
    gateway.install_routes(
        RouteTable(1, (route,), services, 8_192, 65_536, 3_000, 15_000)
    )
    known = [
        ServerInfo(f"i-{name}", name, address, "z", 4, 0, False)
        for name, address in zip(names, addresses, strict=True)
    ]
    gateway.update_fleet(known, hosts=1)
    return gateway


async def query_gateway(gateway: Gateway, number: int) -> None:
    """Send one query through the gateway."""
    fields = {b"host": b"a", b"try-id": b"%d" % number}
    now = asyncio.get_running_loop().time()
    request = Request(
        b"GET", b"/x", list(fields.items()), b"", True, now, False, fields
    )
    response = await gateway.handle(request)
    assert response.status == 200, response


async def query_aiohttp(session: aiohttp.ClientSession, urls: list[str]) -> None:
    """Send one query to all servers concurrently with aiohttp."""

    async def fetch(url: str) -> bytes:
        async with session.get(url, headers={"Try-Id": "1"}) as response:
            return await response.read()

    await asyncio.gather(*map(fetch, urls))


async def measure(addresses: list[str]) -> None:
    """Print the CPU time of a sub-request for both, and the ratio."""
    gateways = {
        "gateway": make_gateway(addresses, COUNTS_TARGET_MS),
        "by cost": make_gateway(addresses, COST_TARGET_MS),
    }
    urls = [f"http://{address}/x" for address in addresses]
    cpu_s = dict.fromkeys([*gateways, "aiohttp"], 0.0)
    async with aiohttp.ClientSession() as session:
        for gateway in gateways.values():
            await query_gateway(gateway, 0)
        await query_aiohttp(session, urls)
        for round_number in range(ROUNDS):
            for name, gateway in gateways.items():
                started = time.process_time()
                for number in range(QUERIES_PER_ROUND):
                    await query_gateway(
                        gateway, round_number * QUERIES_PER_ROUND + number
                    )
                cpu_s[name] += time.process_time() - started
            started = time.process_time()
            for _ in range(QUERIES_PER_ROUND):
                await query_aiohttp(session, urls)
            cpu_s["aiohttp"] += time.process_time() - started
    for name, seconds in cpu_s.items():
        sub_request_us = seconds / (ROUNDS * QUERIES_PER_ROUND * SHARD_COUNT) * 1e6
        print(f"{name}: {sub_request_us:.0f} us a sub-request")
    print(f"by cost / gateway: {cpu_s['by cost'] / cpu_s['gateway']:.3f}")
    print(f"ratio: {cpu_s['gateway'] / cpu_s['aiohttp']:.2f} (target: 0.6)")


def main() -> None:
    """Run the servers in a separate process and measure."""
    if sys.argv[1:] == ["serve"]:
        asyncio.run(serve_backends())
        return
    command = [sys.executable, __file__, "serve"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as servers:
        assert servers.stdout is not None
        try:
            asyncio.run(measure(servers.stdout.readline().split()))
        finally:
            servers.kill()


main()
