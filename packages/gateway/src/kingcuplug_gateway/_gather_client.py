"""Client side of gathering: has other hosts query shards for this one."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import EventLog, KingcuplugError, identifier
from kingcuplug_routing import AnswerRule, Delegation, Timing

from kingcuplug_gateway._gather_messages import Begin, Gathered, Rest
from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._scatter import Scatter
from kingcuplug_gateway._service_call import Outgoing

__all__ = ["AskPeer", "GatherNote", "Gatherers", "NotGathering", "gather"]

_MS_PER_S = 1_000
# Covers a round trip between availability zones and the delay of a busy gatherer, on
# top of the latest time at which it replies to a first request.
_ANSWER_S = 0.01
# A gatherer replies this long before the response of this host is due.
_MARGIN_S = 0.004
# A gatherer that did not reply is excluded for this long, doubled by each further
# failure up to the maximum.
_FIRST_PAUSE_S = 1.0
_LONGEST_PAUSE_S = 8.0

# After the first reply, this host answers its caller in time whatever the gatherer
# does, so a gatherer that is slightly late then is not excluded.
_REST_ANSWER_S = 0.1

# Calls another host with an address, a JSON value and a time limit in seconds. Raises
# `NotGathering` if that host refuses, and another `KingcuplugError` if it does not
# reply.
AskPeer = Callable[[str, Any, float], Awaitable[Any]]


class NotGathering(KingcuplugError):
    """The host does not gather parts for others, permanently or for now."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, "ask another host, or the shards themselves")


@dataclass(slots=True)
class GatherNote:
    """Log record of one gather operation.

    Attributes
    ----------
    parts : int
        Number of parts received.
    outcome : str
        ``open`` until the operation has ended.
    """

    gatherer: str
    shards: int
    began_at: float
    parts: int = 0
    ended_at: float = 0.0
    outcome: str = "open"

    def end(self, outcome: str, now: float) -> None:
        """Record how the operation ended."""
        self.outcome, self.ended_at = outcome, now

    def fields(self, begun_at: float) -> dict[str, str | float | None]:
        """Return the log entry, with times relative to `started_at`."""
        took_s = self.ended_at - self.began_at if self.ended_at else None
        return {
            "gatherer": self.gatherer,
            "shards": self.shards,
            "parts": self.parts,
            "sent_ms": round((self.began_at - begun_at) * _MS_PER_S, 1),
            "took_ms": round(took_s * _MS_PER_S, 1) if took_s is not None else None,
            "outcome": self.outcome,
        }


class Gatherers:
    """Addresses of the gatherers, with temporary exclusion of those that failed."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._failures: dict[str, tuple[int, float]] = {}
        self.zones: Mapping[str, Sequence[str]] = {}

    def usable(self, now: float) -> dict[str, list[str]]:
        """Return the addresses not excluded at the time `now`, by availability zone."""
        usable = {
            zone: [a for a in addresses if self._failures.get(a, (0, 0.0))[1] <= now]
            for zone, addresses in self.zones.items()
        }
        return {zone: addresses for zone, addresses in usable.items() if addresses}

    def succeed(self, address: str) -> None:
        """Record a reply of a gatherer, which clears its earlier failures."""
        self._failures.pop(address, None)

    def fail(self, address: str, now: float, reason: str) -> None:
        """Exclude a gatherer that failed, for longer after each further failure."""
        failures, until = self._failures.get(address, (0, 0.0))
        if until > now:
            return
        pause_s = min(_FIRST_PAUSE_S * 2**failures, _LONGEST_PAUSE_S)
        self._failures[address] = (failures + 1, now + pause_s)
        self._log.write(
            "gatherer_left", {"address": address, "pause_s": pause_s, "reason": reason}
        )


async def gather(
    ask: AskPeer,
    gatherers: Gatherers,
    delegation: Delegation,
    route: Route,
    outgoing: Outgoing,
    timing: Timing,
    scatter: Scatter,
    rule: AnswerRule,
    note: GatherNote,
    fall_back: Callable[[Sequence[str], bool], None],
) -> None:
    """Have one host gather the parts of some shards, and add them to the query.

    The gatherer sends no hedged attempts before it is asked for the remaining parts.
    If it does not reply to the first request, this host may therefore still send one
    attempt to each shard itself.

    Parameters
    ----------
    call_shards_directly : callable
        Sends requests to the shards from this host. Its second argument says whether
        the gatherer may have sent first attempts.
    """
    loop = asyncio.get_running_loop()
    address, gather_id = delegation.gatherer, identifier()
    request = Begin(
        gather_id,
        route.name,
        delegation.shards,
        outgoing.head,
        outgoing.body,
        outgoing.attempt_id,
        (outgoing.deadline_at - loop.time()) * _MS_PER_S,
        route.target_ms,
        route.max_attempts,
        route.top_records,
    )
    try:
        value = await ask(
            address, request.to_json(), timing.latest_hedge_after_s + _ANSWER_S
        )
    except KingcuplugError as error:
        refused = isinstance(error, NotGathering)
        gatherers.fail(address, loop.time(), str(error))
        note.end("refused" if refused else "fell_back", loop.time())
        fall_back(delegation.shards, not refused)
        return
    gatherers.succeed(address)
    reply = _take(Gathered.from_json(value), scatter, note)
    failed_count = 0
    # At each of these times the parts received by then may be sufficient.
    for due_at in (rule.target_at, rule.late_at, rule.final_at):
        scatter.lose(len(reply.failed) - failed_count)
        failed_count = len(reply.failed)
        if not reply.open:
            break
        within_s = max(0.0, due_at - _MARGIN_S - loop.time())
        try:
            remainder = Rest(gather_id, within_s * _MS_PER_S)
            value = await ask(address, remainder.to_json(), within_s + _REST_ANSWER_S)
        except KingcuplugError as error:
            gatherers.fail(address, loop.time(), str(error))
            note.end("lost", loop.time())
            scatter.lose(len(reply.open))
            return
        reply = _take(Gathered.from_json(value), scatter, note)
    scatter.lose(len(reply.failed) - failed_count + len(reply.open))
    note.end("gathered", loop.time())


def _take(gathered: Gathered, scatter: Scatter, note: GatherNote) -> Gathered:
    note.parts += len(gathered.seals)
    if gathered.seals:
        scatter.add(gathered.seals, gathered.body)
    return gathered
