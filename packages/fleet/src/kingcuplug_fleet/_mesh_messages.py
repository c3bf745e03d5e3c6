"""Messages that control hosts push to each other."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from kingcuplug_common import (
    require_amount,
    require_count,
    require_integer,
    require_mapping,
    require_string,
    require_strings,
)
from kingcuplug_routing import (
    LatencySamples,
    SuspectRecord,
    SuspectRecords,
    TeamRatios,
)

from kingcuplug_fleet._evacuation import Evacuation
from kingcuplug_fleet._server_record import ServerRecord

__all__ = [
    "Heartbeats",
    "PushMessage",
    "Report",
    "SharedFields",
    "Summary",
]

# Start time and sequence of each server's last heartbeat, by server id.
Heartbeats = dict[str, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class SharedFields:
    """Fields at the end of a message, left out as far as they are empty.

    The message then has the form that hosts of earlier versions read.

    Attributes
    ----------
    demand : dict
        Number of requests for each server that has named a limit, by server id.
    suspects : mapping
        Requests under which servers crashed, by fingerprint.
    answered : list of str
        Fingerprints of the suspects that were answered since.
    run : str
        Identifies the run of the coordinator's process.
    quotas : mapping
        Two numbers by team: requests and admitted ones in a report, ratio and waiting
        time in what the coordinator publishes.
    evacuation : Evacuation
        The evacuated availability zones.
    """

    demand: dict[str, int] = field(default_factory=dict)
    suspects: SuspectRecords = field(default_factory=dict)
    answered: list[str] = field(default_factory=list)
    run: str = ""
    quotas: Mapping[str, tuple[float, float]] = field(default_factory=dict)
    evacuation: Evacuation = field(default_factory=Evacuation)

    def to_json(self) -> list[Any]:
        """Return the end of a message."""
        suspects = {
            fingerprint: [record.minutes_left, *sorted(record.executions)]
            for fingerprint, record in sorted(self.suspects.items())
        }
        demand = dict(sorted(self.demand.items()))
        quotas = dict(sorted(self.quotas.items()))
        evacuation = self.evacuation.to_json()
        end: list[Any] = [demand, suspects, self.answered, self.run]
        end += [quotas, evacuation]
        while end and not end[-1]:
            end.pop()
        return end

    @classmethod
    def from_json(cls, end: list[Any]) -> "SharedFields":
        """Return the fields from the end of a message.

        Raises
        ------
        ValueError
            If it does not describe them.
        """
        defaults: list[Any] = [{}, {}, [], "", {}, []]
        fields = [*end, *defaults[len(end) :]][: len(defaults)]
        demand, suspects, answered, run, quotas, evacuation = fields
        return cls(
            {s: require_count(n) for s, n in require_mapping(demand).items()},
            {
                fingerprint: SuspectRecord(
                    require_count(minutes_left),
                    frozenset(require_strings(executions)),
                )
                for fingerprint, (minutes_left, *executions) in require_mapping(
                    suspects
                ).items()
            },
            require_strings(answered),
            require_string(run),
            {
                team: (require_amount(first), require_amount(second))
                for team, (first, second) in require_mapping(quotas).items()
            },
            Evacuation.from_json(evacuation),
        )


@dataclass(slots=True)
class Report:
    """Measurements of one or more hosts since their last report.

    Attributes
    ----------
    samples : dict
        Number and sum of the relative response times, by server id.
    requests : int
        Number of callers' requests.
    demand : dict
        Number of requests for each server that has named a limit, by server id.
    suspects : dict
        Requests under which servers crashed, by fingerprint.
    answered : list of str
        Fingerprints of the suspects that were answered since.
    quotas : dict
        Requests and admitted requests of teams with a quota that had any, by team.
    """

    samples: LatencySamples = field(default_factory=dict)
    requests: int = 0
    demand: dict[str, int] = field(default_factory=dict)
    suspects: dict[str, SuspectRecord] = field(default_factory=dict)
    answered: list[str] = field(default_factory=list)
    quotas: dict[str, tuple[int, int]] = field(default_factory=dict)

    def add(self, other: "Report") -> None:
        """Add another report to this one."""
        for server, (count, total) in other.samples.items():
            previous = self.samples.get(server, (0, 0.0))
            self.samples[server] = (previous[0] + count, previous[1] + total)
        self.requests += other.requests
        for server, count in other.demand.items():
            self.demand[server] = self.demand.get(server, 0) + count
        for fingerprint, record in other.suspects.items():
            held = self.suspects.get(fingerprint, record)
            self.suspects[fingerprint] = SuspectRecord(
                max(record.minutes_left, held.minutes_left),
                record.executions | held.executions,
            )
        self.answered += [f for f in other.answered if f not in self.answered]
        for team, (requested, admitted) in other.quotas.items():
            sums = self.quotas.get(team, (0, 0))
            self.quotas[team] = (sums[0] + requested, sums[1] + admitted)

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        end = SharedFields(
            self.demand, self.suspects, self.answered, quotas=self.quotas
        )
        return [self.samples, self.requests, *end.to_json()]

    @classmethod
    def from_json(cls, value: list[Any]) -> "Report":
        """Return the report described by a JSON array of another host.

        Raises
        ------
        ValueError
            If the array does not describe a report.
        """
        samples, requests, *end = value
        decoded = {
            server: (require_count(count), require_amount(total))
            for server, (count, total) in require_mapping(samples).items()
        }
        shared = SharedFields.from_json(end)
        return cls(
            decoded,
            require_count(requests),
            shared.demand,
            dict(shared.suspects),
            shared.answered,
            {
                team: (require_count(requested), require_count(admitted))
                for team, (requested, admitted) in shared.quotas.items()
            },
        )


@dataclass(frozen=True, slots=True)
class Summary:
    """State that the coordinator has aggregated from all reports.

    Attributes
    ----------
    silent : list of str
        Ids of servers whose heartbeats have stopped.
    slow : dict
        Pace of the servers that are slow by the samples of all hosts, by id.
    hosts : int
        Number of live hosts.
    requests : int
        Requests of all hosts in the last ten seconds, 0 if unknown.
    reachable : dict
        Availability zones of the control hosts that the leader can reach, by address.
    demand : dict
        Requests of all hosts for each server that has named a limit, by server id.
    suspects : mapping
        Requests under which servers crashed at any host, by fingerprint.
    run : str
        Identifies the run of the coordinator's process, empty if unknown.
    quotas : mapping
        Ratio and waiting time of the teams near or over their quota, by team.
    """

    silent: list[str]
    slow: dict[str, float]
    hosts: int
    requests: int
    reachable: dict[str, str]
    demand: dict[str, int] = field(default_factory=dict)
    suspects: SuspectRecords = field(default_factory=dict)
    run: str = ""
    quotas: TeamRatios = field(default_factory=dict)

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        shared = SharedFields(
            self.demand, self.suspects, run=self.run, quotas=self.quotas
        )
        return [
            self.silent,
            self.slow,
            self.hosts,
            self.requests,
            self.reachable,
            *shared.to_json(),
        ]

    @classmethod
    def from_json(cls, value: list[Any]) -> "Summary":
        """Return the summary described by a JSON array of another host.

        Raises
        ------
        ValueError
            If the array does not describe a summary.
        """
        silent, slow, hosts, requests, reachable, *end = value
        shared = SharedFields.from_json(end)
        return cls(
            require_strings(silent),
            {i: require_amount(pace) for i, pace in require_mapping(slow).items()},
            require_count(hosts),
            require_count(requests),
            {a: require_string(z) for a, z in require_mapping(reachable).items()},
            shared.demand,
            shared.suspects,
            shared.run,
            shared.quotas,
        )


@dataclass(frozen=True, slots=True)
class PushMessage:
    """One push from one control host to another.

    Attributes
    ----------
    address, availability_zone : str
        Address and availability zone of the sender.
    digest : int
        Digest of the sender's directory, with `servers` included.
    heartbeats : dict
        Heartbeats that the sender has received since its last push.
    hosts : list of str
        Hosts that have polled the sender recently.
    summary : Summary or None
        Set by the coordinator only.
    """

    address: str
    availability_zone: str
    digest: int
    servers: list[ServerRecord] = field(default_factory=list)
    heartbeats: Heartbeats = field(default_factory=dict)
    hosts: list[str] = field(default_factory=list)
    summary: Summary | None = None

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        summary = self.summary
        return [
            self.address,
            self.availability_zone,
            self.digest,
            [record.to_json() for record in self.servers],
            self.heartbeats,
            self.hosts,
            summary.to_json() if summary is not None else None,
        ]

    @classmethod
    def from_json(cls, value: list[Any]) -> "PushMessage":
        """Return the message described by a JSON array of another host.

        Raises
        ------
        ValueError
            If the array does not describe a push.
        """
        address, zone, digest, servers, heartbeats, hosts, summary = value
        return cls(
            require_string(address),
            require_string(zone),
            require_integer(digest),
            [ServerRecord.from_json(record) for record in servers],
            {
                i: (require_integer(start_ms), require_integer(sequence))
                for i, (start_ms, sequence) in require_mapping(heartbeats).items()
            },
            require_strings(hosts),
            Summary.from_json(summary) if summary is not None else None,
        )
