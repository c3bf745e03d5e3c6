"""Commands that list, show and drain hosts, and list backend servers."""

import dataclasses
from collections.abc import Iterator
from typing import Any

from kingcuplug_cli._config_results import HostRow
from kingcuplug_cli._connection import OperatorClient
from kingcuplug_cli._results import ExitCode

__all__ = ["drain_host", "host_status", "list_hosts", "list_servers"]


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """Entry hosts with a running lease."""

    hosts: tuple[HostRow, ...]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield one line per host."""
        yield f"{len(self.hosts)} entry hosts with a running lease"
        for host in self.hosts:
            yield host.line()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRow:
    """One backend server of the directory."""

    server: str
    service: str
    address: str
    availability_zone: str
    incarnation: int
    sequence: int
    state: str
    snapshots: list[int]
    held_by: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerList:
    """Backend servers in the directory of the control host."""

    servers: tuple[ServerRow, ...]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield one line per server."""
        yield f"{len(self.servers)} backend servers"
        for row in self.servers:
            snapshots = ",".join(str(number) for number in row.snapshots)
            yield (
                f"  {row.service}  {row.server}  {row.address}  "
                f"{row.availability_zone}  {row.state}  snapshots {snapshots or '-'}"
            )


@dataclasses.dataclass(frozen=True, slots=True)
class DrainResult:
    """A host whose graceful shutdown has begun."""

    host: str
    in_flight: int
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the host and its number of requests in flight."""
        yield (
            f"host at {self.host} drains and then ends: {self.in_flight} requests "
            "in flight are finished first"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """State and counters of the target host."""

    fields: dict[str, Any]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield one line per field and counter."""
        for name, value in self.fields.items():
            if name not in ("counters", "control"):
                yield f"{name}: {value}"
        for name, value in self.fields["counters"].items():
            yield f"  {name}: {value}"


async def list_hosts(client: OperatorClient) -> HostList:
    """Return the entry hosts with a running lease."""
    fields = await client.call("hosts/show")
    return HostList(tuple(HostRow(**row) for row in fields["hosts"]))


async def list_servers(
    client: OperatorClient, service: str | None = None
) -> ServerList:
    """Return the backend servers, of one service or all."""
    fields = await client.call("servers/show")
    rows = (ServerRow(**row) for row in fields["servers"])
    return ServerList(tuple(r for r in rows if service is None or r.service == service))


async def drain_host(client: OperatorClient) -> DrainResult:
    """Begin the graceful shutdown of the target host."""
    fields = await client.call("drain", mutating=True)
    return DrainResult(client.host, fields["in_flight"])


async def host_status(client: OperatorClient) -> HostStatus:
    """Return state and counters of the target host."""
    return HostStatus(await client.call("status"))
