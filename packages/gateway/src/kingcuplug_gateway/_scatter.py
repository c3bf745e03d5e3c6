"""Scatter-gather query over all shards of a route."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass
from heapq import nlargest
from typing import Any

from kingcuplug_http import Response
from kingcuplug_routing import PartialAnswerPolicy, is_in_time

from kingcuplug_gateway._service_call import ServiceCall

__all__ = [
    "RECORD_BYTES",
    "MergedAnswer",
    "ScatterQuery",
    "keep_greatest_records",
    "merge_records",
]

RECORD_BYTES = 16
# Shorter parts are kept whole until they are merged, which is faster.
_MAX_KEPT_PART_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Merged answer of the parts that were received.

    Attributes
    ----------
    signatures : list of bytes
        Signatures of the parts.
    missing_count : int
        Number of shards without a part in the answer.
    """

    signatures: list[bytes]
    missing_count: int
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


def keep_greatest_records(response: Response, top: int) -> None:
    """Drop from a large part what cannot be among the greatest `top` records."""
    part = response.body
    if len(part) > _MAX_KEPT_PART_BYTES:
        records = (
            part[start : start + RECORD_BYTES]
            for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
        )
        response.body = b"".join(nlargest(top, records))


class ScatterQuery:
    """Collects the parts of one query, and decides when the answer is sufficient.

    Parameters
    ----------
    signature_header : bytes
        Name of the header with a part's signature, in lower case.
    record_count : int
        Number of records in the merged answer.

    Attributes
    ----------
    calls : list of ServiceCall
        Calls to the shards that this host queries itself.
    """

    def __init__(
        self, rule: PartialAnswerPolicy, signature_header: bytes, record_count: int
    ) -> None:
        self._signature_header = signature_header
        self._record_count = record_count
        self._loop = asyncio.get_running_loop()
        self._rule = rule
        self._finished: asyncio.Future[None] = self._loop.create_future()
        self._timers: list[asyncio.TimerHandle] = []
        self._gather_tasks: list[asyncio.Task[None]] = []
        self._pending_count = rule.shard_count
        self._received_count = 0
        self._signatures: list[bytes] = []
        self._bodies: list[bytes] = []
        self._hedged_stragglers = False
        self.calls: list[ServiceCall] = []

    async def run(
        self, start_calls: Callable[[], list[Coroutine[Any, Any, None]]]
    ) -> None:
        """Run the query until the received parts are to be returned.

        Parameters
        ----------
        start_calls : callable
            Starts calls with `call_shards`, and returns coroutines that have other
            hosts gather the remaining parts.
        """
        try:
            self._gather_tasks = [asyncio.ensure_future(work) for work in start_calls()]
            self._start_timers()
            await self._finished
        finally:
            self._cancel_outstanding(
                cancelled=not self._finished.done() or self._finished.cancelled()
            )

    def interrupt(self) -> None:
        """End the query unless it has enough parts, or other hosts gather some."""
        if (
            not self._finished.done()
            and not self._gather_tasks
            and self._received_count < self._rule.required_shards
        ):
            self._finished.set_result(None)

    def call_shards(
        self, make_call: Callable[[str], ServiceCall], shards: Iterable[str]
    ) -> None:
        """Start calls to shards; their callback must be `on_call_finished`."""
        calls = [make_call(shard) for shard in shards]
        self.calls += calls
        for call in calls:
            call.start()

    def on_call_finished(self, call: ServiceCall) -> None:
        """Process the result of one shard's call."""
        response = call.result.response
        if call.result.succeeded and response is not None:
            keep_greatest_records(response, self._record_count)
            self.add_parts([response.fields[self._signature_header]], response.body)
        else:
            self.mark_missing(1)
        if (
            not self._hedged_stragglers
            and 0 < self._pending_count <= self._rule.max_stragglers
        ):
            self._hedge_stragglers()

    def add_parts(self, signatures: Sequence[bytes], body: bytes) -> None:
        """Add received parts: their signatures and their greatest records."""
        self._signatures += signatures
        self._bodies.append(body)
        self._received_count += len(signatures)
        self._pending_count -= len(signatures)
        self._finish_if_ready()

    def mark_missing(self, shard_count: int) -> None:
        """Count shards that will not return a part."""
        self._pending_count -= shard_count
        self._finish_if_ready()

    def may_skip_part(self, expected_at: float) -> bool:
        """Return whether to answer without a part that is expected at a time.

        Parameters
        ----------
        expected_at : float
            In event loop time.
        """
        sufficient = self._received_count + self._pending_count - 1
        return (
            expected_at > self._rule.target_at
            and sufficient >= self._rule.required_shards
        )

    def merge(self) -> MergedAnswer | None:
        """Return the merged answer, or ``None`` if too few parts were received."""
        if self._received_count < self._rule.required_shards:
            return None
        missing = self._rule.shard_count - self._received_count
        body = merge_records(self._bodies, self._record_count)
        return MergedAnswer(self._signatures, missing, body)

    @property
    def has_parts(self) -> bool:
        """Whether any part was received."""
        return self._received_count > 0

    @property
    def in_time(self) -> bool | None:
        """Whether it was answered by its target time; ``None`` without an answer.

        A query that fails because servers are gone says nothing about the load.
        """
        if self._received_count < self._rule.required_shards:
            return None
        return is_in_time(self._loop.time(), self._rule.target_at)

    def _hedge_stragglers(self) -> None:
        """Bring forward hedged attempts to the last shards after most have answered."""
        self._hedged_stragglers = True
        at = self._rule.straggler_hedge_at(self._loop.time())
        for call in self.calls:
            if not call.finished:
                call.hedge_by(at)

    def _start_timers(self) -> None:
        rule = self._rule
        self._timers = [
            self._loop.call_at(rule.target_at, self._finish_if_ready, True),
            self._loop.call_at(rule.late_answer_at, self._finish_if_ready),
            self._loop.call_at(rule.final_at, self._finish_if_ready),
        ]

    def _finish_if_ready(self, at_target: bool = False) -> None:
        now = self._loop.time()
        if self._finished.done():
            return
        if self._rule.should_answer(
            self._received_count, self._pending_count, now, at_target
        ):
            self._finished.set_result(None)

    def _cancel_outstanding(self, cancelled: bool) -> None:
        for timer in self._timers:
            timer.cancel()
        for task in self._gather_tasks:
            task.cancel()
        for call in self.calls:
            if not call.finished:
                call.cancel(linger=not cancelled)
