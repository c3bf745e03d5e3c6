"""Callers and operators of one soak."""

import asyncio
import contextlib
import random as random_module
from collections.abc import Sequence
from typing import Any

import orjson
from kingcuplug_fleet import PeerFailed
from kingcuplug_gateway import Route, RouteTable, ServiceSettings, WeightedService
from kingcuplug_platform import DOCUMENT_PATH, HEADER_NAMES, encode_document

from kingcuplug_soak._consistency import Asked, Judge
from kingcuplug_soak._hosts import HostProcess
from kingcuplug_soak._http_client import call

__all__ = ["Callers", "Operator", "document"]

_HOST_NAME = "soak.example"
_TIMEOUT_MS = 1_500
_TARGET_MS = 300
_PAUSE_S = 0.02
TOP = 5
ORDERS = "orders"


def document(version: int, shards: Sequence[str], idle_timeout_ms: int) -> bytes:
    """Return a configuration document with one route of each kind."""

    def route(name: str, **fields: Any) -> Route:
        return Route(
            name=name,
            host=_HOST_NAME,
            prefix=f"/{name}/",
            max_attempts=2,
            timeout_ms=_TIMEOUT_MS,
            target_ms=_TARGET_MS,
            rank=1,
            **fields,
        )

    query = route(
        "query",
        repeatable=True,
        services=(),
        shards=tuple(shards),
        top_records=TOP,
        minimum_coverage=0.6,
    )
    read = route(
        "read", repeatable=True, services=(WeightedService("reads", 1.0),), shards=()
    )
    order = route(
        "order", repeatable=False, services=(WeightedService(ORDERS, 1.0),), shards=()
    )
    names = (*shards, "reads", ORDERS)
    table = RouteTable(
        version=version,
        routes=(query, read, order),
        services={name: ServiceSettings(name, "/health", 40) for name in names},
        max_header_bytes=16_384,
        max_body_bytes=262_144,
        header_timeout_ms=3_000,
        idle_timeout_ms=idle_timeout_ms,
    )
    return encode_document(table)


class Callers:
    """Sends requests of all kinds to random hosts."""

    def __init__(
        self, hosts: list[HostProcess], judge: Judge, random: random_module.Random
    ) -> None:
        self._hosts = hosts
        self._judge = judge
        self._random = random
        self._count = 0

    async def run(self) -> None:
        """Send for ever."""
        pending: set[asyncio.Task[None]] = set()
        while True:
            self._count += 1
            task = asyncio.ensure_future(self._ask(self._count))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(_PAUSE_S)

    async def _ask(self, number: int) -> None:
        kind = self._random.choice(("query", "query", "read", "order"))
        asked = Asked(f"try-{number}", kind)
        headers = (
            f"Host: {_HOST_NAME}\r\n"
            f"{HEADER_NAMES.attempt_id.decode()}: {asked.attempt_id}\r\n"
            f"{HEADER_NAMES.deadline_ms.decode()}: {_TIMEOUT_MS}\r\n"
        )
        method = "POST" if kind == "order" else "GET"
        host = self._random.choice(self._hosts)
        self._judge.sent(asked)
        with contextlib.suppress(PeerFailed):
            response = await call(
                host.front, method, f"/{kind}/{number}", b"", headers, 3.0
            )
            self._judge.answered(asked, response)


class Operator:
    """Changes and reads the configuration; resends what got no clear answer."""

    def __init__(
        self, hosts: list[HostProcess], judge: Judge, random: random_module.Random
    ) -> None:
        self._hosts = hosts
        self._judge = judge
        self._random = random
        self._version = 0

    async def change(self, shards: Sequence[str], patience_s: float) -> bool:
        """Send one change until it is acknowledged; return whether it was."""
        self._version += self._random.randint(1, 3)
        version = self._version
        self._judge.shard_sets[version] = frozenset(shards)
        body = document(version, shards, self._random.randint(5, 15) * 1_000)
        deadline_at = asyncio.get_running_loop().time() + patience_s
        while asyncio.get_running_loop().time() < deadline_at:
            host = self._random.choice(self._hosts)
            with contextlib.suppress(PeerFailed):
                response = await call(
                    host.control, "PUT", DOCUMENT_PATH, body, follow=True
                )
                if response.status == 200:
                    newest = max(self._judge.newest_acknowledged, version)
                    self._judge.newest_acknowledged = newest
                    return True
                if response.status == 400:
                    self._judge.violations.append(f"valid version {version} refused")
                    return False
            await asyncio.sleep(0.1)
        return False

    async def read(self) -> bool:
        """Read the configuration at a random host and judge the answer."""
        before = self._judge.newest_acknowledged
        host = self._random.choice(self._hosts)
        with contextlib.suppress(PeerFailed):
            response = await call(host.control, "GET", DOCUMENT_PATH, follow=True)
            if response.status == 200:
                version = orjson.loads(response.body)["version"]
                self._judge.read_back(version, before)
                return True
        return False
