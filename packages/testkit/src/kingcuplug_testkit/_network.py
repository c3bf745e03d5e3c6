"""A fake network between hosts, with seeded faults."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

import orjson

__all__ = ["FakeNetwork", "LinkFaults"]

Handler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]
Observer = Callable[[str, str, dict[str, Any]], None]


@dataclass
class LinkFaults:
    """Delays and faults of messages, both requests and replies.

    Attributes
    ----------
    delay_s : tuple of float
        Least and greatest delay of a message; a wide range also reorders messages.
    drop, duplicate : float
        Probability that a message is lost or delivered twice.
    """

    delay_s: tuple[float, float] = (0.0004, 0.0006)
    drop_probability: float = 0.0
    duplicate_probability: float = 0.0


class FakeNetwork:
    """Carries messages between hosts that attach their handlers.

    A blocked link drops messages silently: the sender gets no error and waits for
    its own timeout. A host without a process refuses connections.

    Parameters
    ----------
    random : Random
        Source of all delays and faults.
    """

    def __init__(self, random: Random) -> None:
        self.faults = LinkFaults()
        self.observers: list[Observer] = []
        self._random = random
        self._handlers: dict[str, Handler] = {}
        self._blocked_links: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def attach(self, host: str, handler: Handler) -> None:
        """Deliver messages for a host to the handler of its process."""
        self._handlers[host] = handler

    def detach(self, host: str) -> None:
        """Remove a host's handler; replies that it has not sent are lost."""
        self._handlers.pop(host, None)

    def block_link(self, source: str, destination: str) -> None:
        """Drop all messages from one host to another silently."""
        self._blocked_links.add((source, destination))

    def isolate(self, host: str, others: list[str]) -> None:
        """Block the links between a host and all others in both directions."""
        for other in others:
            if other != host:
                self.block_link(host, other)
                self.block_link(other, host)

    def heal(self) -> None:
        """Unblock all links and end all faults."""
        self._blocked_links.clear()
        self.faults = LinkFaults()

    def make_transport(
        self, source: str
    ) -> Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]:
        """Return the transport of one run of a host's process.

        A peer id has the form ``<host>/<disk id>``; the message goes to that host.
        """

        async def call(peer: str, message: dict[str, Any]) -> dict[str, Any]:
            destination = peer.partition("/")[0]
            reply_future = asyncio.get_running_loop().create_future()
            payload = orjson.dumps(message)
            self._spawn(self._deliver(source, destination, payload, reply_future))
            if self._random.random() < self.faults.duplicate_probability:
                self._spawn(self._deliver(source, destination, payload, None))
            reply: dict[str, Any] = orjson.loads(await reply_future)
            return reply

        return call

    def close(self) -> None:
        """Drop all messages in flight."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, delivery: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(delivery)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(
        self,
        source: str,
        destination: str,
        payload: bytes,
        reply_future: asyncio.Future[bytes] | None,
    ) -> None:
        message = orjson.loads(payload)
        self._observe(source, destination, message)
        if not await self._transmit(source, destination):
            return
        handler = self._handlers.get(destination)
        if handler is None:
            _resolve_reply(
                reply_future, ConnectionRefusedError(f"{destination} is down")
            )
            return
        reply = await handler(message)
        if self._handlers.get(destination) != handler:
            return
        self._observe(destination, source, reply)
        if await self._transmit(destination, source):
            _resolve_reply(reply_future, orjson.dumps(reply))

    def _observe(self, source: str, destination: str, message: dict[str, Any]) -> None:
        for observer in list(self.observers):
            observer(source, destination, message)

    async def _transmit(self, source: str, destination: str) -> bool:
        """Wait for the delay and return whether the message arrives."""
        faults = self.faults
        lost = self._random.random() < faults.drop_probability
        await asyncio.sleep(self._random.uniform(*faults.delay_s))
        return not lost and (source, destination) not in self._blocked_links


def _resolve_reply(
    reply_future: asyncio.Future[bytes] | None, outcome: bytes | ConnectionError
) -> None:
    if reply_future is None or reply_future.done():
        return
    if isinstance(outcome, bytes):
        reply_future.set_result(outcome)
    else:
        reply_future.set_exception(outcome)
