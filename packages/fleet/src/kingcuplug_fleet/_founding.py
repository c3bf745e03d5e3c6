"""Agreement of the seeds on the first members of the control group.

The hosts that start with the system for the first time have empty disks, and any of
them may end, or never start. The seeds agree by single-decree Paxos: a proposer asks
all seeds for a promise, and proposes those that gave one and other hosts that ask to
join, or what one of the seeds has accepted before. What a majority of the seeds
accepts is chosen, and only its members create the group.

A seed that has lost its disk has lost its promises, too, and takes no further part, so
that no two majorities choose differently. Seeds without a disk leave the agreement to
those with one; a proposer that does not know of one needs more of the others. Where no
seed has a disk, they agree for the hosts that ask to join. Their records end with their
processes, so all of them must accept a group: each that still runs rules out a second
one. A new group has as many members as the tolerated losses of disks require, unless
there are too few hosts.

The decisions are in `FoundingRecord` and in functions without input or output;
`Founding` makes them durable and exchanges the messages.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from kingcuplug_common import (
    EventLog,
    random_identifier,
    require_count,
    require_mapping,
    require_string,
    require_strings,
)
from kingcuplug_log import Clock, Member, quorum_size

from kingcuplug_fleet._disk_tolerance import DiskTolerance
from kingcuplug_fleet._founding_messages import (
    ACCEPTED,
    FOUND_PATH,
    FOUNDED_REPLY,
    NO_SEED_REPLY,
    PROMISED,
    REFUSED,
    WITHOUT_DISK_REPLY,
)
from kingcuplug_fleet._peer_client import PeerClient, PeerFailed

__all__ = [
    "Ballot",
    "Founding",
    "FoundingRecord",
    "InitialGroup",
    "Promise",
    "announce_group",
    "joined_reply",
    "log_no_group",
    "select_group",
]

_CALL_TIMEOUT_S = 0.5
_ANNOUNCEMENT_TIMEOUT_S = 0.8
# All hosts of a system are started within some tenths of a second. A group without one
# of the seeds is founded only later, and a smaller one than required later still.
_START_SKEW_S = 2.0
_FORMATION_TIMEOUT_S = 6.0
# Each seed waits so much longer than the one before it, before it proposes.
_SUCCESSION_DELAY_S = 1.0


class Ballot(NamedTuple):
    """Number of a proposal, unique by the position of its seed."""

    round: int
    seed: int


_NO_BALLOT = Ballot(0, 0)


@dataclass(frozen=True)
class InitialGroup:
    """A group of control hosts as it begins."""

    cluster: str
    members: tuple[Member, ...]

    def to_json(self) -> dict[str, Any]:
        """Return the fields as a JSON object."""
        return {
            "cluster": self.cluster,
            "members": [member.to_json() for member in self.members],
        }

    @classmethod
    def from_json(cls, value: Any) -> "InitialGroup":
        """Return the group in a message.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the value is malformed.
        """
        members = tuple(Member.from_json(entry) for entry in value["members"])
        return cls(require_string(value["cluster"]), members)


Proposal = tuple[Ballot, InitialGroup]


@dataclass(frozen=True)
class FoundingRecord:
    """What one seed has promised and accepted.

    Attributes
    ----------
    seeds : tuple of str
        Addresses of all seeds at the first start of the system.
    promised : Ballot
        No proposal with a smaller number is accepted.
    accepted : Proposal or None
        The accepted proposal with the greatest number.
    """

    seeds: tuple[str, ...]
    promised: Ballot = _NO_BALLOT
    accepted: Proposal | None = None

    def promise(self, ballot: Ballot) -> "FoundingRecord | None":
        """Return the record after a promise, ``None`` if it must be refused."""
        return replace(self, promised=ballot) if ballot > self.promised else None

    def accept(self, ballot: Ballot, group: InitialGroup) -> "FoundingRecord | None":
        """Return the record after an acceptance, ``None`` if it must be refused."""
        if ballot < self.promised:
            return None
        return replace(self, promised=ballot, accepted=(ballot, group))

    def to_json(self) -> dict[str, Any]:
        """Return the fields as a JSON object."""
        return {
            "seeds": list(self.seeds),
            "promised": list(self.promised),
            "accepted": _proposal_to_json(self.accepted),
        }

    @classmethod
    def from_json(cls, value: Any) -> "FoundingRecord":
        """Return the record on a disk.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the value is malformed.
        """
        fields = require_mapping(value)
        return cls(
            tuple(require_strings(fields["seeds"])),
            _ballot_from_json(fields["promised"]),
            _proposal_from_json(fields["accepted"]),
        )


@dataclass(frozen=True)
class Promise:
    """A seed's promise to accept no proposal with a smaller number.

    Attributes
    ----------
    member : Member or None
        The seed as a member of the group, ``None`` if it has no disk.
    accepted : Proposal or None
        What the seed has accepted.
    """

    member: Member | None
    accepted: Proposal | None


@dataclass(frozen=True)
class _Reply:
    """What a seed answers."""

    state: str
    round: int = 0
    group: InitialGroup | None = None
    promise: Promise | None = None

    @classmethod
    def from_json(cls, value: Any) -> "_Reply":
        """Return the reply in a message.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the value is malformed.
        """
        fields = require_mapping(value)
        state = require_string(fields["state"])
        group, promise = fields.get("group"), None
        if state == PROMISED:
            accepted = _proposal_from_json(fields["accepted"])
            member = fields["member"]
            promise = Promise(
                None if member is None else Member.from_json(member), accepted
            )
        return cls(
            state,
            require_count(fields.get("round", 0)),
            None if group is None else InitialGroup.from_json(group),
            promise,
        )


def select_group(promises: Sequence[Promise]) -> InitialGroup | None:
    """Return the group that a proposal must name, ``None`` if it is free to choose.

    A group that may have been chosen was accepted by one member of any majority.
    """
    accepted = [p.accepted for p in promises if p.accepted is not None]
    return max(accepted, key=lambda proposal: proposal[0])[1] if accepted else None


def joined_reply(group: InitialGroup | None) -> dict[str, Any]:
    """Return the answer of a host that knows of a group, and perhaps its beginning."""
    return {**FOUNDED_REPLY, "group": None if group is None else group.to_json()}


async def announce_group(
    client: PeerClient, group: InitialGroup, seeds: Sequence[str], excluded: str
) -> None:
    """Tell seeds and members, without one address, which group was chosen."""
    addresses = {m.address for m in group.members} | set(seeds)
    value = {"chosen": group.to_json()}
    calls = [
        client.call(address, FOUND_PATH, value, _ANNOUNCEMENT_TIMEOUT_S)
        for address in addresses - {excluded}
    ]
    await asyncio.gather(*calls, return_exceptions=True)


def log_no_group(log: EventLog, seeds: Sequence[str] | dict[str, str]) -> None:
    """Log for whom a host waits that has known of no group for long.

    Parameters
    ----------
    seeds : sequence of str or dict
        Addresses of the seeds, with their last answers where this host asks them.
    """
    log.write(
        "no_control_group",
        {
            "seeds": seeds if isinstance(seeds, dict) else list(seeds),
            "remedy": (
                "start the seeds; if none of them ever had a group, with empty data "
                "folders and as the system's first start"
            ),
        },
        bypass_rate_limit=True,
    )


class Founding:
    """One seed's part in the agreement, until the group exists.

    Parameters
    ----------
    record : FoundingRecord
        What this host has promised before.
    save_record : callable
        Keep a record, as a JSON object, for as long as this host keeps anything.
    address : str
        Address of this host.
    member : Member or None
        This host as a member of the group, ``None`` if it has no disk.
    joined_reply : callable
        Return the reply of a host that has joined a group, ``None`` if it has not.
    applicants : callable
        Return the other hosts that ask to join.
    tolerance : DiskTolerance
        Losses that the group is to bear.

    Attributes
    ----------
    answers : dict
        State in the last answer of each seed, by address; empty if there was none.
    """

    def __init__(
        self,
        record: FoundingRecord,
        save_record: Callable[[dict[str, Any]], Awaitable[None]],
        address: str,
        member: Member | None,
        joined_reply: Callable[[], dict[str, Any] | None],
        applicants: Callable[[], list[Member]],
        tolerance: DiskTolerance,
        client: PeerClient,
        clock: Clock,
    ) -> None:
        self._record = record
        self._save_record = save_record
        self._address = address
        self._member = member
        self._joined_reply = joined_reply
        self._applicants = applicants
        self._tolerance = tolerance
        self._client = client
        self._clock = clock
        self._started_at = clock()
        self._last_round = record.promised.round
        self._lock = asyncio.Lock()
        self.answers = dict.fromkeys(record.seeds, "")

    async def handle(self, value: Any) -> dict[str, Any]:
        """Answer another seed's message; a promise is durable before the reply.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the message is malformed.
        StorageFailed
            If the promise cannot be stored.
        """
        seeds = require_strings(value["seeds"])
        ballot = _ballot_from_json(value["ballot"])
        group = InitialGroup.from_json(value["group"]) if "group" in value else None
        if sorted(seeds) != sorted(self._record.seeds) or not self._is_seed():
            return NO_SEED_REPLY
        joined = self._joined_reply()
        if joined is not None:
            return joined
        from_disk = not value.get("without_disk", False)
        if self._member is None and from_disk:
            return WITHOUT_DISK_REPLY
        if self._member is not None and not from_disk:
            return NO_SEED_REPLY
        if group is not None:
            accepted = group
            if await self._keep(lambda record: record.accept(ballot, accepted)):
                return {"state": ACCEPTED}
        elif await self._keep(lambda record: record.promise(ballot)):
            return {
                "state": PROMISED,
                "member": None if self._member is None else self._member.to_json(),
                "accepted": _proposal_to_json(self._record.accepted),
            }
        return {"state": REFUSED, "round": self._record.promised.round}

    async def propose(self) -> InitialGroup | None:
        """Try once to have a group chosen, or to learn which one was.

        Returns
        -------
        InitialGroup or None
            The group that was chosen, ``None`` if this host does not know.
        """
        if not self._is_due():
            return None
        own_number = sorted(self._record.seeds).index(self._address)
        ballot = Ballot(self._last_round + 1, own_number)
        replies = await self._ask_seeds(ballot, {}, self._may_choose_members)
        if any(reply.state == FOUNDED_REPLY["state"] for reply in replies):
            return next((r.group for r in replies if r.group is not None), None)
        if not self._may_choose_members(replies):
            return None
        group = select_group(_promises(replies)) or self._new_group(replies)
        value = {"group": group.to_json()}
        required = self._quorum(replies)

        def is_chosen(replies: list[_Reply]) -> bool:
            return sum(reply.state == ACCEPTED for reply in replies) >= required

        replies = await self._ask_seeds(ballot, value, is_chosen)
        return group if is_chosen(replies) else None

    def _electorate(self, replies: list[_Reply]) -> int:
        """Return the number of seeds that may take part."""
        if self._member is None:
            return len(self._record.seeds)
        without_disk = WITHOUT_DISK_REPLY["state"]
        return len(self._record.seeds) - sum(r.state == without_disk for r in replies)

    def _quorum(self, replies: list[_Reply]) -> int:
        """Return how many seeds must promise, and accept a group.

        Records without a disk end with their processes. One that is left of all is
        enough to know what was chosen.
        """
        electorate = self._electorate(replies)
        return electorate if self._member is None else quorum_size(electorate)

    def _may_choose_members(self, replies: list[_Reply]) -> bool:
        """Return whether enough seeds have promised to propose a group."""
        promises = _promises(replies)
        has_disks = self._member is not None
        if any((promise.member is not None) is not has_disks for promise in promises):
            # A build without this rule promises to proposers without a disk, too.
            return False
        if len(promises) < self._quorum(replies):
            return False
        if select_group(promises) is not None:
            return True
        waited_s = self._clock() - self._started_at
        # Hosts with a group need some time to tell a seed that has forgotten it.
        has_all_seeds = has_disks and len(promises) == self._electorate(replies)
        members = self._new_members(replies)
        if not members:
            return False
        has_all_members = self._tolerance.is_met([member.zone for member in members])
        if has_all_members and (has_all_seeds or waited_s >= _START_SKEW_S):
            return True
        # A system with a single seed asks for no further control hosts.
        has_one_seed = len(self._record.seeds) == 1
        return waited_s >= (_START_SKEW_S if has_one_seed else _FORMATION_TIMEOUT_S)

    def _new_members(self, replies: list[_Reply]) -> list[Member]:
        """Return the seeds that have promised, and applicants up to the size needed.

        Where the loss of zones is to be tolerated, seeds of a zone with too many of
        them are left out, if the others and the applicants are enough.
        """
        members = [p.member for p in _promises(replies) if p.member is not None]
        addresses = {member.address for member in members}
        others = [m for m in self._applicants() if m.address not in addresses]
        everyone = {member.id: member for member in [*members, *others]}
        if self._tolerance.zones:
            zones = {i: member.zone for i, member in everyone.items()}
            chosen = self._tolerance.choose_voters(zones)
            if chosen is not None:
                return [everyone[identifier] for identifier in chosen]
        missing = self._tolerance.required_voters - len(members)
        return members + others[: max(0, missing)]

    def _new_group(self, replies: list[_Reply]) -> InitialGroup:
        members = sorted(self._new_members(replies), key=lambda member: member.id)
        return InitialGroup(random_identifier(), tuple(members))

    def _is_seed(self) -> bool:
        return self._address in self._record.seeds

    def _is_due(self) -> bool:
        """Return whether the seeds before this one have had time to propose."""
        if not self._is_seed():
            return False
        delay_s = self._record.seeds.index(self._address) * _SUCCESSION_DELAY_S
        return self._clock() - self._started_at >= delay_s

    async def _keep(
        self, change: Callable[[FoundingRecord], FoundingRecord | None]
    ) -> bool:
        """Store a change of the record; return whether it was allowed."""
        async with self._lock:
            record = change(self._record)
            if record is None:
                return False
            await self._save_record(record.to_json())
            self._record = record
            return True

    async def _ask_seeds(
        self,
        ballot: Ballot,
        fields: dict[str, Any],
        is_enough: Callable[[list[_Reply]], bool],
    ) -> list[_Reply]:
        """Send a message to all seeds, this one included, and return the replies.

        Seeds that have not replied are no longer waited for once there are enough.
        """
        value = {"seeds": list(self._record.seeds), "ballot": list(ballot), **fields}
        if self._member is None:
            value["without_disk"] = True
        pending = {
            asyncio.ensure_future(self._ask_seed(address, value))
            for address in self._record.seeds
        }
        replies: list[_Reply] = []
        try:
            while pending and not is_enough(replies):
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                answers = [task.result() for task in done]
                replies += [answer for answer in answers if answer is not None]
        finally:
            for task in pending:
                task.cancel()
        rounds = [reply.round for reply in replies]
        self._last_round = max([self._last_round, ballot.round, *rounds])
        return replies

    async def _ask_seed(self, address: str, value: Any) -> _Reply | None:
        try:
            if address == self._address:
                answer: Any = await self.handle(value)
            else:
                answer = await self._client.call(
                    address, FOUND_PATH, value, _CALL_TIMEOUT_S
                )
            reply = _Reply.from_json(answer)
        except (PeerFailed, LookupError, TypeError, ValueError):
            self.answers[address] = ""
            return None
        self.answers[address] = reply.state
        return reply


def _promises(replies: list[_Reply]) -> list[Promise]:
    return [reply.promise for reply in replies if reply.promise is not None]


def _ballot_from_json(value: Any) -> Ballot:
    number, seed = value
    return Ballot(require_count(number), require_count(seed))


def _proposal_to_json(proposal: Proposal | None) -> Any:
    if proposal is None:
        return None
    ballot, group = proposal
    return [list(ballot), group.to_json()]


def _proposal_from_json(value: Any) -> Proposal | None:
    if value is None:
        return None
    ballot, group = value
    return _ballot_from_json(ballot), InitialGroup.from_json(group)
