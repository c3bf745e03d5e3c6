"""Scatter-gather query over all shards of a route."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass
from heapq import nlargest
from typing import Any

from kingcuplug_routing import AnswerRule

from kingcuplug_gateway._service_call import ServiceCall

__all__ = ["RECORD_BYTES", "Merged", "Scatter", "merge_records"]

RECORD_BYTES = 16


@dataclass(frozen=True, slots=True)
class Merged:
    """Merged answer of the parts that were received.

    Attributes
    ----------
    seals : list of bytes
        Signatures of the parts.
    missing : int
        Number of shards without a part in the answer.
    """

    seals: list[bytes]
    missing: int
    body: bytes


def merge_records(parts: list[bytes], top: int) -> bytes:
    """Return the greatest `top` records of all parts, greatest first.

    A remainder at the end of a part that is shorter than a record is ignored.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(nlargest(top, records))


class Scatter:
    """Collects the parts of one query, and decides when the answer is sufficient.

    Parameters
    ----------
    seal_name : bytes
        Name of the header with a part's signature, in lower case.

    Attributes
    ----------
    calls : list of ServiceCall
        Calls to the shards that this host queries itself.
    """

    def __init__(self, rule: AnswerRule, seal_name: bytes) -> None:
        self._seal_name = seal_name
        self._loop = asyncio.get_running_loop()
        self._rule = rule
        self._finished: asyncio.Future[None] = self._loop.create_future()
        self._timers: list[asyncio.TimerHandle] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._open = rule.total
        self._included = 0
        self._seals: list[bytes] = []
        self._bodies: list[bytes] = []
        self._hurried = False
        self.calls: list[ServiceCall] = []

    async def run(self, ask: Callable[[], list[Coroutine[Any, Any, None]]]) -> None:
        """Run the query until the received parts are to be returned.

        Parameters
        ----------
        start_calls : callable
            Starts calls with `call_shards`, and returns coroutines that have other
            hosts gather the remaining parts.
        """
        try:
            self._tasks = [asyncio.ensure_future(work) for work in ask()]
            self._arm()
            await self._finished
        finally:
            self._stop(
                cancelled=not self._finished.done() or self._finished.cancelled()
            )

    def ask_shards(
        self, make_call: Callable[[str], ServiceCall], shards: Iterable[str]
    ) -> None:
        """Start calls to shards; their callback must be `on_call_finished`."""
        calls = [make_call(shard) for shard in shards]
        self.calls += calls
        for call in calls:
            call.start()

    def part_done(self, call: ServiceCall) -> None:
        """Process the result of one shard's call."""
        response = call.ending.response
        if call.ending.good and response is not None:
            self.add([response.fields[self._seal_name]], response.body)
        else:
            self.lose(1)
        if not self._hurried and 0 < self._open <= self._rule.stragglers:
            self._hurry()

    def add(self, seals: Sequence[bytes], body: bytes) -> None:
        """Add received parts: their signatures and their greatest records."""
        self._seals += seals
        self._bodies.append(body)
        self._included += len(seals)
        self._open -= len(seals)
        self._check()

    def lose(self, shards: int) -> None:
        """Count shards that will not return a part."""
        self._open -= shards
        self._check()

    def merged(self, top: int) -> Merged | None:
        """Return the merged answer, or ``None`` if too few parts were received."""
        if self._included < self._rule.needed:
            return None
        missing = self._rule.total - self._included
        return Merged(self._seals, missing, merge_records(self._bodies, top))

    def _hurry(self) -> None:
        """Bring forward hedged attempts to the last shards after most have answered."""
        self._hurried = True
        at = self._rule.hurry_at(self._loop.time())
        for call in self.calls:
            if not call.over:
                call.hurry(at)

    def _arm(self) -> None:
        rule = self._rule
        self._timers = [
            self._loop.call_at(rule.target_at, self._check, True),
            self._loop.call_at(rule.late_at, self._check),
            self._loop.call_at(rule.final_at, self._check),
        ]

    def _check(self, at_target: bool = False) -> None:
        now = self._loop.time()
        if self._finished.done():
            return
        if self._rule.ready(self._included, self._open, now, at_target):
            self._finished.set_result(None)

    def _stop(self, cancelled: bool) -> None:
        for timer in self._timers:
            timer.cancel()
        for task in self._tasks:
            task.cancel()
        for call in self.calls:
            if not call.over:
                call.cancel(linger=not cancelled)
