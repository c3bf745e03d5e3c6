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
    """How messages travel; applies to requests and replies.

    Attributes
    ----------
    delay_s : tuple of float
        Least and greatest delay of a message; a wide range also reorders.
    drop, duplicate : float
        Share of messages that are lost or arrive twice.
    """

    delay_s: tuple[float, float] = (0.0004, 0.0006)
    drop: float = 0.0
    duplicate: float = 0.0


class FakeNetwork:
    """Carries messages between hosts that attach their handlers.

    A cut is silent: the sender gets no error and waits for its own timeout. A host
    without a process refuses connections.

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
        self._cuts: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def attach(self, host: str, handler: Handler) -> None:
        """Let a host's process receive messages."""
        self._handlers[host] = handler

    def detach(self, host: str) -> None:
        """End a host's process; replies that it has not sent are lost."""
        self._handlers.pop(host, None)

    def cut(self, source: str, destination: str) -> None:
        """Lose everything from one host to another, silently."""
        self._cuts.add((source, destination))

    def isolate(self, host: str, others: list[str]) -> None:
        """Cut a host off from all others, both ways."""
        for other in others:
            if other != host:
                self.cut(host, other)
                self.cut(other, host)

    def heal(self) -> None:
        """End all cuts and faults."""
        self._cuts.clear()
        self.faults = LinkFaults()

    def transport(
        self, source: str
    ) -> Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]:
        """Return the transport of one run of a host's process.

        A peer id is ``<host>/<disk id>``; the message goes to the host.
        """

        async def call(peer: str, message: dict[str, Any]) -> dict[str, Any]:
            destination = peer.partition("/")[0]
            answer = asyncio.get_running_loop().create_future()
            text = orjson.dumps(message)
            self._spawn(self._deliver(source, destination, text, answer))
            if self._random.random() < self.faults.duplicate:
                self._spawn(self._deliver(source, destination, text, None))
            reply: dict[str, Any] = orjson.loads(await answer)
            return reply

        return call

    def close(self) -> None:
        """Lose everything that is under way."""
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
        text: bytes,
        answer: asyncio.Future[bytes] | None,
    ) -> None:
        message = orjson.loads(text)
        self._observe(source, destination, message)
        if not await self._travel(source, destination):
            return
        handler = self._handlers.get(destination)
        if handler is None:
            _resolve(answer, ConnectionRefusedError(f"{destination} is down"))
            return
        reply = await handler(message)
        if self._handlers.get(destination) != handler:
            return
        self._observe(destination, source, reply)
        if await self._travel(destination, source):
            _resolve(answer, orjson.dumps(reply))

    def _observe(self, source: str, destination: str, message: dict[str, Any]) -> None:
        for observer in list(self.observers):
            observer(source, destination, message)

    async def _travel(self, source: str, destination: str) -> bool:
        """Return whether the message arrives, after its delay."""
        faults = self.faults
        lost = self._random.random() < faults.drop
        await asyncio.sleep(self._random.uniform(*faults.delay_s))
        return not lost and (source, destination) not in self._cuts


def _resolve(
    answer: asyncio.Future[bytes] | None, outcome: bytes | ConnectionError
) -> None:
    if answer is None or answer.done():
        return
    if isinstance(outcome, bytes):
        answer.set_result(outcome)
    else:
        answer.set_exception(outcome)
