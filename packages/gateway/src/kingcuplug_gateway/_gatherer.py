"""Gathers the parts of other hosts' queries."""

import asyncio
from collections.abc import Callable
from typing import Any

from kingcuplug_common import EventLog
from kingcuplug_routing import AnswerRule, Timing

from kingcuplug_gateway._call import Outgoing, ServiceCall
from kingcuplug_gateway._gather_messages import Begin, Gathered, Rest, decode_question
from kingcuplug_gateway._gathering import NotGathering
from kingcuplug_gateway._scatter import merge_records

__all__ = ["Gatherer", "UnknownGathering"]

_MS_PER_S = 1_000
# The host that asks comes back for the rest at once, or has answered its caller.
_KEPT_S = 0.05
# After a suspension of this host, the end of the question's connection may have come,
# too. The loop reads it one round after the question, and cancels in the next.
_WITHDRAWAL_ROUNDS = 3
_RESOLUTION_S = 0.001  # Timers of the loop may fire early by less than this.

MakeCall = Callable[
    [str, Outgoing, Timing, int, Callable[[ServiceCall], None]], ServiceCall
]


class UnknownGathering(ValueError):
    """The rest is asked of a gathering that has ended, or never began here."""


class Gatherer:
    """Answers the questions of hosts for which this one gathers.

    Parameters
    ----------
    make_call : callable
        Makes a call to one shard: shard, request, timing, greatest number of
        attempts, and whom to tell of its end.
    timing : callable
        Returns how long answers of a route take, by its name and target.
    seal_name : bytes
        Header of a part's signature, in lower case.
    """

    def __init__(
        self,
        make_call: MakeCall,
        timing: Callable[[str, int], Timing],
        seal_name: bytes,
        log: EventLog,
    ) -> None:
        self._make_call = make_call
        self._timing = timing
        self._seal_name = seal_name
        self._log = log
        self._running: dict[str, _Gathering] = {}

    async def answer(self, value: Any, begins: bool) -> Any:
        """Answer one question; leaving it cancels the attempts.

        Parameters
        ----------
        begins : bool
            Whether new gatherings are taken.

        Raises
        ------
        NotGathering
            If a new gathering is asked for, and none is taken.
        UnknownGathering
            If the rest is asked of a gathering that is over.
        ValueError
            If the question cannot be read.
        """
        question = decode_question(value)
        if not begins and isinstance(question, Begin):
            raise NotGathering("the host is stopping")
        for _ in range(_WITHDRAWAL_ROUNDS):
            await asyncio.sleep(0)
        gathering = self._begin(question)
        loop = asyncio.get_running_loop()
        try:
            if isinstance(question, Rest):
                gathering.release()
                until = loop.time() + question.within_ms / _MS_PER_S
                gathered = await gathering.wait(until, hurries=False)
            else:
                until = gathering.begun_at + gathering.timing.hedge_after_s
                gathered = await gathering.wait(until, hurries=True)
        except asyncio.CancelledError:
            self._end(gathering, "caller_left")
            raise
        if gathered.open:
            gathering.keep(loop.call_later(_KEPT_S, self._end, gathering, "left"))
        else:
            self._end(gathering, "complete")
        return gathered.to_json()

    def _begin(self, question: Begin | Rest) -> "_Gathering":
        if isinstance(question, Rest):
            gathering = self._running.get(question.id)
            if gathering is None:
                raise UnknownGathering(f"gathering {question.id} is over")
            gathering.keep(None)
            return gathering
        timing = self._timing(question.route, question.target_ms)
        gathering = _Gathering(question, timing, self._seal_name)
        self._running[question.id] = gathering
        gathering.start(self._make_call)
        return gathering

    def _end(self, gathering: "_Gathering", why: str) -> None:
        self._running.pop(gathering.question.id, None)
        gathering.cancel(linger=why != "caller_left")
        if not self._log.admits("gathered"):
            return
        question, calls = gathering.question, gathering.calls
        self._log.write(
            "gathered",
            {
                "id": question.attempt_id.decode("latin-1"),
                "route": question.route,
                "shards": len(calls),
                "ended": why,
                "missing": [c.service for c in calls if not c.ending.good],
                "calls": [
                    note
                    for call in calls
                    if not call.plain
                    for note in call.notes(gathering.begun_at)
                ],
            },
            always=True,
        )


class _Gathering:
    """One query of another host, or a part of its shards.

    Attributes
    ----------
    begun_at : float
        In event loop time.
    """

    def __init__(self, question: Begin, timing: Timing, seal_name: bytes) -> None:
        self._loop = asyncio.get_running_loop()
        self._seal_name = seal_name
        self._told: set[str] = set()
        self._open = len(question.shards)
        self._wake: asyncio.Future[None] | None = None
        self._kept: asyncio.TimerHandle | None = None
        self.question = question
        self.timing = timing
        self.begun_at = self._loop.time()
        self.calls: list[ServiceCall] = []
        deadline_at = self.begun_at + question.left_ms / _MS_PER_S
        self._outgoing = Outgoing(
            question.head,
            question.body,
            question.attempt_id,
            deadline_at,
            repeatable=True,
            bodiless=False,
        )
        self._rule = AnswerRule(
            len(question.shards), 1.0, self.begun_at, deadline_at, deadline_at
        )

    def start(self, make_call: MakeCall) -> None:
        """Send the first attempts."""
        question = self.question
        self.calls = [
            make_call(
                shard, self._outgoing, self.timing, question.max_attempts, self._done
            )
            for shard in question.shards
        ]
        for call in self.calls:
            call.start()

    def release(self) -> None:
        """Allow second attempts."""
        for call in self.calls:
            if not call.over:
                call.release()

    def keep(self, timer: asyncio.TimerHandle | None) -> None:
        """Set what ends the gathering if nobody asks for the rest."""
        if self._kept is not None:
            self._kept.cancel()
        self._kept = timer

    def cancel(self, linger: bool) -> None:
        """Drop what is open, at once or after a moment."""
        self.keep(None)
        for call in self.calls:
            if not call.over:
                call.cancel(linger)

    async def wait(self, until: float, hurries: bool) -> Gathered:
        """Return what has come in, when all has or the time is over.

        Parameters
        ----------
        hurries : bool
            Return sooner if only a few shards are late, so that they are asked again.
        """
        while self._open:
            now = self._loop.time()
            if hurries and self._open <= self._rule.stragglers:
                until = min(until, self._rule.hurry_at(now))
                hurries = False
            if now >= until:
                break
            self._wake = self._loop.create_future()
            timer = self._loop.call_at(until, self._notify)
            try:
                await self._wake
            finally:
                timer.cancel()
                self._wake = None
            if self._loop.time() + _RESOLUTION_S >= until:
                break
        return self._take()

    def _done(self, call: ServiceCall) -> None:
        self._open -= 1
        self._notify()

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _take(self) -> Gathered:
        seals, bodies = [], []
        for call in self.calls:
            response = call.ending.response
            if call.ending.good and response and call.service not in self._told:
                self._told.add(call.service)
                seals.append(response.fields[self._seal_name])
                bodies.append(response.body)
        return Gathered(
            tuple(seals),
            merge_records(bodies, self.question.top),
            tuple(c.service for c in self.calls if c.over and not c.ending.good),
            tuple(c.service for c in self.calls if not c.over),
        )
