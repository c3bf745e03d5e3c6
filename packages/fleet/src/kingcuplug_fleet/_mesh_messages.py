"""What control hosts push to each other."""

from dataclasses import dataclass, field
from typing import Any

from kingcuplug_fleet._records import ServerRecord

__all__ = ["Heard", "ShareMessage", "Summary"]

# Start time and sequence of the last statement of each server, by id.
Heard = dict[str, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class Summary:
    """What the leader has found from the reports of all control hosts.

    Attributes
    ----------
    silent : list of str
        Ids of servers whose statements have stopped.
    slow : dict
        Pace of the servers that all hosts together find slow, by id.
    hosts : int
        Number of live hosts.
    reachable : dict
        Availability zones of the control hosts that the leader hears, by address.
    """

    silent: list[str]
    slow: dict[str, float]
    hosts: int
    reachable: dict[str, str]


@dataclass(frozen=True, slots=True)
class ShareMessage:
    """One push from one control host to another.

    Attributes
    ----------
    address, availability_zone : str
        Of the sender.
    digest : int
        Of the sender's directory, with `servers` included.
    heard : dict
        Servers that have spoken to the sender since its last push.
    hosts : list of str
        Hosts that have asked the sender lately.
    summary : Summary or None
        From the leader only.
    """

    address: str
    availability_zone: str
    digest: int
    servers: list[ServerRecord] = field(default_factory=list)
    heard: Heard = field(default_factory=dict)
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
            self.heard,
            self.hosts,
            [summary.silent, summary.slow, summary.hosts, summary.reachable]
            if summary is not None
            else None,
        ]

    @classmethod
    def from_json(cls, value: list[Any]) -> "ShareMessage":
        """Return the message described by a JSON array of another host."""
        address, zone, digest, servers, heard, hosts, summary = value
        return cls(
            address,
            zone,
            digest,
            [ServerRecord.from_json(record) for record in servers],
            {i: (born_ms, sequence) for i, (born_ms, sequence) in heard.items()},
            hosts,
            Summary(*summary) if summary is not None else None,
        )
