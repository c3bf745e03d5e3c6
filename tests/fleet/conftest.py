"""Factory of server records, and a fake client for calls between hosts."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from kingcuplug_fleet import PeerFailed, ServerRecord, ServerState

Handler = Callable[[str, Any], Awaitable[Any]]


def make_record(**fields: Any) -> ServerRecord:
    """Return the record of a ready server, with the given fields replaced."""
    defaults: dict[str, Any] = {
        "id": "i-1",
        "start_ms": 1_000,
        "sequence": 1,
        "service": "stock",
        "address": "10.0.0.1:80",
        "availability_zone": "z",
        "slots": 3,
        "state": ServerState.READY,
    }
    return ServerRecord(**(defaults | fields))


@pytest.fixture
def record() -> Callable[..., ServerRecord]:
    return make_record


class FakePeerClient:
    """Client that dispatches calls to a handler function per address."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.frozen: set[str] = set()

    async def call(self, address: str, path: str, value: Any, timeout_s: float) -> Any:
        """Call the handler of an address; calls to a frozen address time out."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.handlers[address](path, value)
                if address in self.frozen:
                    await asyncio.sleep(timeout_s)
                return reply
        except TimeoutError as error:
            raise PeerFailed("no response", "try another host") from error

    def restricted_to_partition(
        self, caller: str, sides: dict[str, str]
    ) -> "FakePeerClient":
        """Return a client for one host that reaches only its side of a partition."""
        restricted = FakePeerClient()
        restricted.handlers = self.handlers

        async def call(address: str, path: str, value: Any, timeout_s: float) -> Any:
            if address not in sides[caller]:
                await asyncio.sleep(timeout_s)
                raise PeerFailed("no response", "try another host")
            return await self.call(address, path, value, timeout_s)

        restricted.call = call
        return restricted
