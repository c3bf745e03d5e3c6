"""Callers and operators of one soak."""

import asyncio
import contextlib
import random as random_module
from collections.abc import Sequence
from typing import Any

import orjson
from kingcuplug_fleet import PeerFailed

from kingcuplug_soak._calls import call
from kingcuplug_soak._checks import Asked, Judge
from kingcuplug_soak._hosts import HostProcess

__all__ = ["Callers", "Operator", "document"]

_HOST_NAME = "soak.example"
_TIMEOUT_MS = 1_500
_PAUSE_S = 0.02
TOP = 5


def document(version: int, shards: Sequence[str], idle_timeout_ms: int) -> bytes:
    """Return a configuration document with one route of each kind."""
    names = (*shards, "reads", "orders")
    common = {"timeout_ms": _TIMEOUT_MS, "target_latency_ms": 300, "max_attempts": 2}
    routes: list[dict[str, Any]] = [
        {
            "kind": "safe",
            "fanout_services": list(shards),
            "top_k": TOP,
            "minimum": 0.6,
        },
        {"kind": "safe", "service": "reads"},
        {"kind": "unsafe", "service": "orders"},
    ]
    for route, name in zip(routes, ("query", "read", "order"), strict=True):
        prefix = f"/{name}/"
        route |= {"name": name, "host": _HOST_NAME, "path_prefix": prefix, **common}
    services = [{"name": name, "connection_limit": 40} for name in names]
    limits = {"idle_timeout_ms": idle_timeout_ms}
    value = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }
    return orjson.dumps(value)


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
            f"Host: {_HOST_NAME}\r\nAttempt-Id: {asked.attempt_id}\r\n"
            f"Deadline-Milliseconds: {_TIMEOUT_MS}\r\n"
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
                    host.control, "PUT", "/v1/configuration", body, follow=True
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
            response = await call(host.control, "GET", "/v1/configuration", follow=True)
            if response.status == 200:
                version = orjson.loads(response.body)["version"]
                self._judge.read_back(version, before)
                return True
        return False
