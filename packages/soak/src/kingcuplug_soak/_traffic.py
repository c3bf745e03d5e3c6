"""Traffic of the simulated callers and operators of one soak."""

import asyncio
import contextlib
import random as random_module
from collections.abc import Mapping, Sequence
from typing import Any

import orjson
from kingcuplug_fleet import PeerFailed
from kingcuplug_gateway import Route, RouteTable, ServiceSettings, WeightedService
from kingcuplug_platform.formats import (
    DOCUMENT_PATH,
    EVACUATION_PATH,
    HEADER_NAMES,
    encode_document,
)

from kingcuplug_soak._consistency import CallerAttempt, ConsistencyChecker
from kingcuplug_soak._hosts import HostProcess
from kingcuplug_soak._http_client import send_request

__all__ = ["DEFAULT_ATTEMPTS", "CallerTraffic", "Operator", "encode_soak_document"]

_HOST_NAME = "soak.example"
_REQUEST_TIMEOUT_MS = 1_500
_TARGET_LATENCY_MS = 300
_REQUEST_INTERVAL_S = 0.02
TOP_RECORDS = 5
_COLD_START_S = 60.0
DEFAULT_ATTEMPTS = {"query": 2, "read": 2, "order": 2}
ORDER_SERVICE = "orders"


def encode_soak_document(
    version: int,
    shards: Sequence[str],
    idle_timeout_ms: int,
    max_attempts: Mapping[str, int],
    cold_requests_per_s: float = 0.0,
) -> bytes:
    """Return a configuration document with one route of each kind."""

    def make_route(name: str, **fields: Any) -> Route:
        return Route(
            name=name,
            host=_HOST_NAME,
            prefix=f"/{name}/",
            max_attempts=max_attempts[name],
            timeout_ms=_REQUEST_TIMEOUT_MS,
            target_ms=_TARGET_LATENCY_MS,
            priority=1,
            **fields,
        )

    query = make_route(
        "query",
        repeatable=True,
        services=(),
        shards=tuple(shards),
        top_records=TOP_RECORDS,
        minimum_coverage=0.6,
    )
    read = make_route(
        "read", repeatable=True, services=(WeightedService("reads", 1.0),), shards=()
    )
    order = make_route(
        "order",
        repeatable=False,
        services=(WeightedService(ORDER_SERVICE, 1.0),),
        shards=(),
    )
    service_names = (*shards, "reads", ORDER_SERVICE)
    table = RouteTable(
        version=version,
        routes=(query, read, order),
        services={
            name: ServiceSettings(
                name, "/health", 40, _COLD_START_S, cold_requests_per_s
            )
            for name in service_names
        },
        max_header_bytes=16_384,
        max_body_bytes=262_144,
        header_timeout_ms=3_000,
        idle_timeout_ms=idle_timeout_ms,
    )
    return encode_document(table)


class CallerTraffic:
    """Sends requests of random kinds to random hosts at a fixed rate."""

    def __init__(
        self,
        hosts: list[HostProcess],
        checker: ConsistencyChecker,
        random: random_module.Random,
    ) -> None:
        self._hosts = hosts
        self._checker = checker
        self._random = random
        self._request_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        pending: set[asyncio.Task[None]] = set()
        while True:
            self._request_count += 1
            task = asyncio.ensure_future(self._send_attempt(self._request_count))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(_REQUEST_INTERVAL_S)

    async def _send_attempt(self, number: int) -> None:
        kind = self._random.choice(("query", "query", "read", "order"))
        attempt = CallerAttempt(f"try-{number}", kind)
        headers = (
            f"Host: {_HOST_NAME}\r\n"
            f"{HEADER_NAMES.attempt_id.decode()}: {attempt.attempt_id}\r\n"
            f"{HEADER_NAMES.deadline_ms.decode()}: {_REQUEST_TIMEOUT_MS}\r\n"
        )
        method = "POST" if kind == "order" else "GET"
        host = self._random.choice(self._hosts)
        self._checker.record_attempt(attempt)
        self._checker.backends.hosts_by_attempt[attempt.attempt_id] = host.name
        with contextlib.suppress(PeerFailed):
            response = await send_request(
                host.caller_address, method, f"/{kind}/{number}", b"", headers, 3.0
            )
            self._checker.check_response(attempt, response)


class Operator:
    """Changes and reads the configuration; retries until a response is conclusive.

    Attributes
    ----------
    cold_requests_per_s : float
        Requests a second to a cold server, in the next configurations; 0 for no limit.
    """

    def __init__(
        self,
        hosts: list[HostProcess],
        checker: ConsistencyChecker,
        random: random_module.Random,
    ) -> None:
        self._hosts = hosts
        self._checker = checker
        self._random = random
        self._last_version = 0
        self.cold_requests_per_s = 0.0

    async def change_shards(self, shards: Sequence[str], timeout_s: float) -> bool:
        """Retry one change until it is acknowledged; return whether it was in time."""
        self._last_version += self._random.randint(1, 3)
        version = self._last_version
        self._checker.shards_by_version[version] = frozenset(shards)
        body = encode_soak_document(
            version,
            shards,
            self._random.randint(5, 15) * 1_000,
            self._checker.max_attempts,
            self.cold_requests_per_s,
        )
        deadline_at = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < deadline_at:
            host = self._random.choice(self._hosts)
            with contextlib.suppress(PeerFailed):
                response = await send_request(
                    host.control_address,
                    "PUT",
                    DOCUMENT_PATH,
                    body,
                    follow_redirects=True,
                )
                if response.status == 200:
                    acknowledged = max(self._checker.acknowledged_version, version)
                    self._checker.acknowledged_version = acknowledged
                    return True
                if response.status == 400:
                    self._checker.violations.append(
                        f"valid version {version} was rejected"
                    )
                    return False
            await asyncio.sleep(0.1)
        return False

    async def order_evacuation(
        self, zone: str, evacuated: bool, timeout_s: float
    ) -> bool:
        """Retry an order until it is acknowledged; return whether it was in time."""
        deadline_at = asyncio.get_running_loop().time() + timeout_s
        method, path = "POST" if evacuated else "DELETE", f"{EVACUATION_PATH}{zone}"
        while asyncio.get_running_loop().time() < deadline_at:
            address = self._random.choice(self._hosts).control_address
            with contextlib.suppress(PeerFailed):
                response = await send_request(
                    address, method, path, follow_redirects=True
                )
                if response.status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def read_configuration(self) -> bool:
        """Read the configuration from a random host; return whether it responded."""
        acknowledged_before = self._checker.acknowledged_version
        host = self._random.choice(self._hosts)
        with contextlib.suppress(PeerFailed):
            response = await send_request(
                host.control_address, "GET", DOCUMENT_PATH, follow_redirects=True
            )
            if response.status == 200:
                version = orjson.loads(response.body)["version"]
                self._checker.check_configuration_read(version, acknowledged_before)
                return True
        return False
