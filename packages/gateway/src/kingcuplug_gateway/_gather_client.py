"""Client side of gathering: has other hosts query shards for this one."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import EventLog, KingcuplugError
from kingcuplug_routing import Delegation, LatencyEstimator, PartialAnswerPolicy

from kingcuplug_gateway._gather_messages import (
    PROBE,
    GatherReply,
    GatherRequest,
    RemainderRequest,
    new_gather_id,
)
from kingcuplug_gateway._passed_signals import PassedSignal
from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._scatter import ScatterQuery
from kingcuplug_gateway._service_call import OutboundRequest

__all__ = [
    "CallPeer",
    "GatherRecord",
    "GathererDirectory",
    "NotGathering",
    "gather_from_peer",
    "probe_gatherers",
]

_MS_PER_S = 1_000
# Covers a round trip between availability zones and the delay of a busy gatherer, on
# top of the latest time at which it replies to a first request.
_FIRST_REPLY_SLACK_S = 0.01
# A gatherer replies this long before the response of this host is due.
_REPLY_LEAD_S = 0.004
# A gatherer that did not reply is probed after this long, doubled by each further
# failure of a query up to the maximum.
_MIN_EXCLUSION_S = 1.0
_MAX_EXCLUSION_S = 8.0
_PROBE_INTERVAL_S = 1.0
# One that answers later would delay queries beyond their target.
_PROBE_TIMEOUT_S = 0.2

# After the first reply, this host answers its caller in time whatever the gatherer
# does, so a gatherer that is slightly late then is not excluded.
_REMAINDER_REPLY_SLACK_S = 0.1

# Raised by decoding a malformed reply.
_MALFORMED = (TypeError, ValueError)

# Calls another host with an address, a JSON value and a time limit in seconds. Raises
# `NotGathering` if that host refuses, and another `KingcuplugError` if it does not
# reply.
CallPeer = Callable[[str, Any, float], Awaitable[Any]]


class NotGathering(KingcuplugError):
    """The host does not gather parts for others, permanently or for now."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, "ask another host, or the shards themselves")


@dataclass(slots=True)
class GatherRecord:
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
    sent_at: float
    parts: int = 0
    ended_at: float = 0.0
    outcome: str = "open"

    @property
    def may_have_sent(self) -> bool:
        """Whether the gatherer may have sent requests to servers."""
        return self.outcome != "refused"

    def end(self, outcome: str, now: float) -> None:
        """Record how the operation ended."""
        self.outcome, self.ended_at = outcome, now

    def log_entry(self, started_at: float) -> dict[str, str | float | None]:
        """Return the log entry, with times relative to `started_at`."""
        took_s = self.ended_at - self.sent_at if self.ended_at else None
        return {
            "gatherer": self.gatherer,
            "shards": self.shards,
            "parts": self.parts,
            "sent_ms": round((self.sent_at - started_at) * _MS_PER_S, 1),
            "took_ms": round(took_s * _MS_PER_S, 1) if took_s is not None else None,
            "outcome": self.outcome,
        }


@dataclass(slots=True)
class _Exclusion:
    """Failures of one gatherer since its last reply to a query."""

    failures: int = 0
    excluded: bool = False
    probe_at: float = 0.0


class GathererDirectory:
    """Addresses of the gatherers, with exclusion of those that failed.

    A gatherer that failed is used again after it has answered a probe. A query must
    not find out: it would ask all its shards once more, and the retry budget of a host
    allows that about once in a window.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._exclusions: dict[str, _Exclusion] = {}
        self.addresses_by_zone: Mapping[str, Sequence[str]] = {}

    def available(self) -> dict[str, list[str]]:
        """Return the addresses that are not excluded, by availability zone."""
        usable = {
            zone: [a for a in addresses if not self._is_excluded(a)]
            for zone, addresses in self.addresses_by_zone.items()
        }
        return {zone: addresses for zone, addresses in usable.items() if addresses}

    def excluded_ratio(self) -> float:
        """Return the share of the gatherers that are excluded."""
        addresses = self._addresses()
        if not addresses:
            return 0.0
        return sum(map(self._is_excluded, addresses)) / len(addresses)

    def due_probes(self, now: float) -> list[str]:
        """Return the addresses of excluded gatherers to probe at the time `now`."""
        known = self._addresses()
        self._exclusions = {a: e for a, e in self._exclusions.items() if a in known}
        return [
            address
            for address, exclusion in self._exclusions.items()
            if exclusion.excluded and exclusion.probe_at <= now
        ]

    def record_probe(self, address: str, now: float, answered: bool) -> None:
        """Use a gatherer again if it has answered a probe, or else probe it later."""
        exclusion = self._exclusions.get(address)
        if exclusion is not None:
            exclusion.excluded = not answered
            exclusion.probe_at = now + _PROBE_INTERVAL_S

    def record_success(self, address: str) -> None:
        """Record the reply of a gatherer to a query, which clears its failures."""
        self._exclusions.pop(address, None)

    def record_failure(self, address: str, now: float, reason: str) -> None:
        """Exclude a gatherer that failed, for longer after each further failure."""
        exclusion = self._exclusions.setdefault(address, _Exclusion())
        if exclusion.excluded:
            return
        exclusion_s = min(_MIN_EXCLUSION_S * 2**exclusion.failures, _MAX_EXCLUSION_S)
        exclusion.failures += 1
        exclusion.excluded = True
        exclusion.probe_at = now + exclusion_s
        self._log.write(
            "gatherer_left",
            {"address": address, "pause_s": exclusion_s, "reason": reason},
        )

    def _addresses(self) -> set[str]:
        return {a for group in self.addresses_by_zone.values() for a in group}

    def _is_excluded(self, address: str) -> bool:
        exclusion = self._exclusions.get(address)
        return exclusion is not None and exclusion.excluded


async def probe_gatherers(call_peer: CallPeer, directory: GathererDirectory) -> None:
    """Probe the excluded gatherers that are due."""
    loop = asyncio.get_running_loop()

    async def probe(address: str) -> None:
        try:
            await call_peer(address, PROBE, _PROBE_TIMEOUT_S)
        except KingcuplugError:
            answered = False
        else:
            answered = True
        directory.record_probe(address, loop.time(), answered)

    await asyncio.gather(*map(probe, directory.due_probes(loop.time())))


async def gather_from_peer(
    call_peer: CallPeer,
    directory: GathererDirectory,
    delegation: Delegation,
    route: Route,
    outbound: OutboundRequest,
    timing: LatencyEstimator,
    scatter: ScatterQuery,
    rule: PartialAnswerPolicy,
    record: GatherRecord,
    call_shards_directly: Callable[[Sequence[str], bool], None],
    record_signals: Callable[[Sequence[PassedSignal], Sequence[str]], None],
) -> None:
    """Have one host gather the parts of some shards, and add them to the query.

    The gatherer sends no hedged attempts before it is asked for the remaining parts,
    and keeps one of several attempts to each shard in reserve. If it does not reply to
    the first request, this host may send that attempt itself.

    Parameters
    ----------
    call_shards_directly : callable
        Sends requests to the shards from this host. Its second argument says whether
        the gatherer may have sent first attempts.
    record_signals : callable
        Records what servers of the shards, its second argument, told the gatherer.
    """
    loop = asyncio.get_running_loop()
    address, gather_id = delegation.gatherer, new_gather_id()
    request = GatherRequest(
        gather_id,
        route.name,
        delegation.shards,
        outbound.head,
        outbound.body,
        outbound.attempt_id,
        (outbound.deadline_at - loop.time()) * _MS_PER_S,
        route.target_ms,
        route.max_attempts,
        route.top_records,
        route.allowed_regions,
    )
    try:
        value = await call_peer(
            address,
            request.to_json(),
            timing.max_hedge_delay_s + _FIRST_REPLY_SLACK_S,
        )
        reply = _decode_reply(value, len(delegation.shards))
    except (KingcuplugError, *_MALFORMED) as error:
        refused = isinstance(error, NotGathering)
        directory.record_failure(address, loop.time(), repr(error))
        record.end("refused" if refused else "fell_back", loop.time())
        call_shards_directly(delegation.shards, not refused)
        return
    directory.record_success(address)
    record_signals(reply.signals or (), delegation.shards)
    reply = _add_reply(reply, scatter, record)
    failed_count = 0
    # At each of these times the parts received by then may be sufficient.
    for due_at in (rule.target_at, rule.late_answer_at, rule.final_at):
        scatter.mark_missing(len(reply.failed_shards) - failed_count)
        failed_count = len(reply.failed_shards)
        if not reply.pending_shards:
            break
        reply_within_s = max(0.0, due_at - _REPLY_LEAD_S - loop.time())
        try:
            remainder = RemainderRequest(gather_id, reply_within_s * _MS_PER_S)
            value = await call_peer(
                address, remainder.to_json(), reply_within_s + _REMAINDER_REPLY_SLACK_S
            )
            next_reply = _decode_reply(
                value, len(reply.pending_shards) + len(reply.failed_shards)
            )
        except (KingcuplugError, *_MALFORMED) as error:
            directory.record_failure(address, loop.time(), repr(error))
            record.end("lost", loop.time())
            scatter.mark_missing(len(reply.pending_shards))
            return
        record_signals(next_reply.signals or (), delegation.shards)
        reply = _add_reply(next_reply, scatter, record)
    scatter.mark_missing(
        len(reply.failed_shards) - failed_count + len(reply.pending_shards)
    )
    record.end("gathered", loop.time())


def _decode_reply(value: Any, shard_count: int) -> GatherReply:
    """Return the reply, which must account for `shard_count` shards.

    Raises
    ------
    TypeError, ValueError
        If the reply is malformed.
    """
    reply = GatherReply.from_json(value)
    stated_count = (
        len(reply.signatures) + len(reply.failed_shards) + len(reply.pending_shards)
    )
    if stated_count != shard_count:
        raise ValueError(f"the reply names {stated_count} of {shard_count} shards")
    return reply


def _add_reply(
    reply: GatherReply, scatter: ScatterQuery, record: GatherRecord
) -> GatherReply:
    record.parts += len(reply.signatures)
    if reply.signatures:
        scatter.add_parts(reply.signatures, reply.body)
    return reply
