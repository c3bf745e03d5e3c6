"""Has other hosts gather parts of a query for this one."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import EventLog, KingcuplugError, identifier
from kingcuplug_routing import AnswerRule, Delegation, Timing

from kingcuplug_gateway._call import Outgoing
from kingcuplug_gateway._gather_messages import Begin, Gathered, Rest
from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._scatter import Scatter

__all__ = ["AskPeer", "GatherNote", "Gatherers", "NotGathering", "gather"]

_MS_PER_S = 1_000
# A round trip between availability zones, and the time of a busy gatherer, beyond the
# latest moment at which it answers a first question.
_ANSWER_S = 0.01
# An answer leaves a gatherer so much before this host's own is due.
_MARGIN_S = 0.004
# A gatherer that did not answer is left out for this long, doubled by each further
# failure.
_FIRST_PAUSE_S = 1.0
_LONGEST_PAUSE_S = 8.0

# The host answers its caller in time whatever the gatherer does after its first answer,
# so a gatherer that is a moment late then is not left.
_REST_ANSWER_S = 0.1

# Calls another host: address, value and time limit in seconds. Raises `NotGathering` if
# that host refuses, and another `KingcuplugError` if it does not answer.
AskPeer = Callable[[str, Any, float], Awaitable[Any]]


class NotGathering(KingcuplugError):
    """A host does not gather parts for others, at least not now."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, "ask another host, or the shards themselves")


@dataclass(slots=True)
class GatherNote:
    """One gathering, for the log.

    Attributes
    ----------
    parts : int
        Parts that came in.
    outcome : str
        ``open`` until it has ended.
    """

    gatherer: str
    shards: int
    began_at: float
    parts: int = 0
    ended_at: float = 0.0
    outcome: str = "open"

    def end(self, outcome: str, now: float) -> None:
        """Note how the gathering ended."""
        self.outcome, self.ended_at = outcome, now

    def fields(self, begun_at: float) -> dict[str, str | float | None]:
        """Return what a log line says, with times since `begun_at`."""
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
    """The hosts that gather for this one, without those that did not answer."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._failures: dict[str, tuple[int, float]] = {}
        self.zones: Mapping[str, Sequence[str]] = {}

    def usable(self, now: float) -> dict[str, list[str]]:
        """Return addresses by availability zone."""
        usable = {
            zone: [a for a in addresses if self._failures.get(a, (0, 0.0))[1] <= now]
            for zone, addresses in self.zones.items()
        }
        return {zone: addresses for zone, addresses in usable.items() if addresses}

    def succeed(self, address: str) -> None:
        """Note that a gatherer has answered."""
        self._failures.pop(address, None)

    def fail(self, address: str, now: float, reason: str) -> None:
        """Leave a gatherer out for a while."""
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
    """Have one host gather some shards' parts, and take them.

    The gatherer sends no second attempt to save time before it was asked for the
    rest, so if it does not answer at first, this host may ask each shard once itself.

    Parameters
    ----------
    fall_back : callable
        Asks shards without the gatherer, which may have sent first attempts or not.
    """
    loop = asyncio.get_running_loop()
    address, query = delegation.gatherer, identifier()
    begin = Begin(
        query,
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
            address, begin.to_json(), timing.latest_hedge_after_s + _ANSWER_S
        )
    except KingcuplugError as error:
        refused = isinstance(error, NotGathering)
        gatherers.fail(address, loop.time(), str(error))
        note.end("refused" if refused else "fell_back", loop.time())
        fall_back(delegation.shards, not refused)
        return
    gatherers.succeed(address)
    gathered = _take(Gathered.from_json(value), scatter, note)
    lost = 0
    # At each of these moments the parts that are in may be enough.
    for due_at in (rule.target_at, rule.late_at, rule.final_at):
        scatter.lose(len(gathered.failed) - lost)
        lost = len(gathered.failed)
        if not gathered.open:
            break
        within_s = max(0.0, due_at - _MARGIN_S - loop.time())
        try:
            rest = Rest(query, within_s * _MS_PER_S)
            value = await ask(address, rest.to_json(), within_s + _REST_ANSWER_S)
        except KingcuplugError as error:
            gatherers.fail(address, loop.time(), str(error))
            note.end("lost", loop.time())
            scatter.lose(len(gathered.open))
            return
        gathered = _take(Gathered.from_json(value), scatter, note)
    scatter.lose(len(gathered.failed) - lost + len(gathered.open))
    note.end("gathered", loop.time())


def _take(gathered: Gathered, scatter: Scatter, note: GatherNote) -> Gathered:
    note.parts += len(gathered.seals)
    if gathered.seals:
        scatter.add(gathered.seals, gathered.body)
    return gathered
