"""One query over all shards of a route, merged into one answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from heapq import nlargest

from kingcuplug_routing import AnswerRule

from kingcuplug_gateway._call import ServiceCall

__all__ = ["RECORD_BYTES", "Merged", "Scatter", "merge_records"]

RECORD_BYTES = 16


@dataclass(frozen=True, slots=True)
class Merged:
    """The parts that are in, and the best of their records.

    Attributes
    ----------
    seals : list of bytes
        Signatures of the parts.
    missing : list of str
        Shards that are left out.
    """

    seals: list[bytes]
    missing: list[str]
    body: bytes


def merge_records(parts: list[bytes], top: int) -> bytes:
    """Return the greatest `top` records of all parts, greatest first.

    A remainder shorter than a record at the end of a part is no record.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(nlargest(top, records))


class Scatter:
    """Asks every shard and decides when the answer is complete enough.

    Parameters
    ----------
    calls : list of ServiceCall
        One for each shard, not yet started.
    """

    def __init__(self, rule: AnswerRule) -> None:
        self._loop = asyncio.get_running_loop()
        self._rule = rule
        self._finished: asyncio.Future[None] = self._loop.create_future()
        self._timers: list[asyncio.TimerHandle] = []
        self._open = rule.total
        self._included = 0
        self._hurried = False
        self.calls: list[ServiceCall] = []

    async def run(
        self, make_call: Callable[[str], ServiceCall], shards: tuple[str, ...]
    ) -> None:
        """Return when the query is to be answered with what is in.

        Parameters
        ----------
        make_call : callable
            Makes the call to one shard; its `done` must be `part_done`.
        """
        self.calls = [make_call(shard) for shard in shards]
        try:
            for call in self.calls:
                call.start()
            self._arm()
            await self._finished
        finally:
            self._stop(
                cancelled=not self._finished.done() or self._finished.cancelled()
            )

    def part_done(self, call: ServiceCall) -> None:
        """Take the end of one shard's call."""
        self._open -= 1
        self._included += call.ending.good
        self._check()
        if not self._hurried and 0 < self._open <= self._rule.stragglers:
            self._hurry()

    def merged(self, top: int, seal_name: bytes) -> Merged | None:
        """Return the merged answer, or ``None`` if too few shards are in."""
        if self._included < self._rule.needed:
            return None
        seals, bodies, missing = [], [], []
        for call in self.calls:
            response = call.ending.response
            if not call.ending.good or response is None:
                missing.append(call.service)
                continue
            seals.append(response.fields[seal_name])
            bodies.append(response.body)
        return Merged(seals, missing, merge_records(bodies, top))

    def _hurry(self) -> None:
        """Ask the last shards again soon, now that most of them have answered."""
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
        for call in self.calls:
            if not call.over:
                call.cancel(linger=not cancelled)
