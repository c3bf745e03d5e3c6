"""Child process with a bare aiohttp fan-out, the reference for the tier's CPU.

It sends only the sub-requests that a query needs, each to a random server of its
shard, without limits, retries or checks. ``drive`` generates the planned queries in
the process itself; ``listen`` accepts them from callers over HTTP, as the tier does.
"""

import asyncio
import itertools
import random
from typing import Any

import aiohttp
import orjson
from kingcuplug_daemon import Listener

from kingcuplug_cli._bench._worker_process import serve_commands

__all__ = ["FanOutWorker"]

_JSON_HEADERS = {"Content-Type": "application/json"}
_SUB_REQUEST_DEADLINE_MS = 1_000


class FanOutWorker:
    """Command handlers of the bare fan-out process."""

    def __init__(self) -> None:
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        self._rng = random.Random(1)
        self._attempt_numbers = itertools.count()
        self._service = ""
        self._shard_addresses: list[list[str]] = []
        self._listener: Listener | None = None

    async def prepare(self, fields: dict[str, Any]) -> None:
        """Set the service and the server addresses of each of its shards."""
        self._service = fields["service"]
        self._shard_addresses = fields["holders"]

    async def listen(self, _: dict[str, Any]) -> str:
        """Accept queries over HTTP; return the address."""
        self._listener = Listener(self._asgi_application, "127.0.0.1:0")
        await self._listener.start()
        return self._listener.address

    async def drive(self, fields: dict[str, Any]) -> None:
        """Send the given queries, pairs of seconds from now and body."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for at_s, body in fields["queries"]:
            await asyncio.sleep(max(start + at_s - loop.time(), 0))
            tasks.append(loop.create_task(self._fan_out(f"bare-{at_s}", body)))
        await asyncio.gather(*tasks)

    async def stop(self, _: dict[str, Any]) -> None:
        """Close the connections."""
        await self._http.close()

    async def _fan_out(self, request_id: str, body: Any) -> list[dict[str, Any]]:
        replies = await asyncio.gather(
            *(
                self._send_sub_request(request_id, shard, body)
                for shard in range(len(self._shard_addresses))
            )
        )
        return [{"shard": reply["shard"], "value": reply["value"]} for reply in replies]

    async def _send_sub_request(self, request_id: str, shard: int, body: Any) -> Any:
        fields = {
            "request_id": request_id,
            "attempt_id": f"{next(self._attempt_numbers)}",
            "service": self._service,
            "snapshot": 1,
            "shard": shard,
            "shard_count": len(self._shard_addresses),
            "deadline_ms": _SUB_REQUEST_DEADLINE_MS,
            "priority": "normal",
            "kind": "query",
            "body": body,
        }
        address = self._rng.choice(self._shard_addresses[shard])
        async with self._http.post(
            f"http://{address}/sub-request",
            data=orjson.dumps(fields),
            headers=_JSON_HEADERS,
        ) as response:
            reply = orjson.loads(await response.read())
        # A shed sub-request has no value; the comparison runs below that load.
        return {"value": None} | reply

    async def _asgi_application(self, scope: Any, receive: Any, send: Any) -> None:
        body_parts = []
        while True:
            message = await receive()
            body_parts.append(message.get("body", b""))
            if not message.get("more_body"):
                break
        fields = orjson.loads(b"".join(body_parts) or b"{}")
        answer: dict[str, Any] = {}
        if "body" in fields:
            value = await self._fan_out(fields["request_id"], fields["body"])
            answer = _answer_fields(value, len(self._shard_addresses))
        headers = [(b"content-type", b"application/json")]
        response_start = {
            "type": "http.response.start",
            "status": 200,
            "headers": headers,
        }
        await send(response_start)
        await send({"type": "http.response.body", "body": orjson.dumps(answer)})


def _answer_fields(value: list[dict[str, Any]], shard_count: int) -> dict[str, Any]:
    return {
        "value": value,
        "snapshot": 1,
        "shard_count": shard_count,
        "coverage": 1.0,
        "partial": False,
        "missing_shards": [],
        "revision": 0,
    }


async def _main() -> None:
    worker = FanOutWorker()
    names = ("prepare", "listen", "drive", "stop")
    await serve_commands({name: getattr(worker, name) for name in names})


if __name__ == "__main__":
    asyncio.run(_main())
