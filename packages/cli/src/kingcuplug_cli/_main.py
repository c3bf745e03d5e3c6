"""The `kingcuplug` program."""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

import fire

from kingcuplug_cli._bench import Bench
from kingcuplug_cli._command_groups import (
    ConfigCommands,
    ControlCommands,
    KeyCommands,
    OrderCommands,
    ReceiptCommands,
    TraceCommands,
)
from kingcuplug_cli._demo import run_demo
from kingcuplug_cli._explain import explain
from kingcuplug_cli._explain_placement import explain_placement
from kingcuplug_cli._host_commands import (
    drain_host,
    host_status,
    list_hosts,
    list_servers,
)
from kingcuplug_cli._invocation import (
    Invocation,
    InvocationFactory,
    add_switch_values,
    parse_as_strings,
)
from kingcuplug_cli._soak import Soak

__all__ = ["main"]


class Commands:
    """Operators' commands of kingcuplug.

    Exit codes: 0 done, 1 refused or conflict, 2 wrong usage or settings, 3 outcome
    unknown, 4 not reachable.

    Parameters
    ----------
    host : str, optional
        ip:port of the callers' listener of any host.
    token_file : str, optional
        File with the operators' bearer token.
    ca_file : str, optional
        Certificate of the authority; the connection then uses TLS.
    json : bool
        Print results and errors as JSON.
    """

    def __init__(
        self,
        host: str | None = None,
        token_file: str | None = None,
        ca_file: str | None = None,
        json: bool = False,
    ) -> None:
        options = {"host": host, "token_file": token_file, "ca_file": ca_file}
        self._invocations = InvocationFactory(options, json)
        self.config = ConfigCommands(self._invocations)
        self.control = ControlCommands(self._invocations)
        self.keys = KeyCommands(self._invocations)
        self.orders = OrderCommands(self._invocations)
        self.receipt = ReceiptCommands(self._invocations)
        self.trace = TraceCommands(self._invocations)

    bench = Bench
    soak = Soak

    def demo(self, example: str = "examples/kavango") -> None:
        """Run queries and orders on a local deployment and print the answers."""
        asyncio.run(run_demo(Path(example)))

    def drain(self) -> Invocation:
        """Shut the target host down gracefully."""
        return self._invocations.remote_invocation(drain_host)

    @parse_as_strings("request_id")
    def explain(self, request_id: str, *files: str) -> Invocation:
        """Show the timeline of one request from the hosts' log files."""
        return self._invocations.local_invocation(explain, request_id, files)

    @parse_as_strings("address", "host_name", "path", "method", "team")
    def explain_placement(
        self,
        address: str,
        host_name: str,
        path: str = "/",
        method: str = "GET",
        team: str = "",
        shards: int = 3,
    ) -> Invocation:
        """Show where a host would send a request now, asked at its metrics address."""
        return self._invocations.local_invocation(
            explain_placement, address, host_name, path, method, team, shards
        )

    def hosts(self) -> Invocation:
        """List the entry hosts with a running lease."""
        return self._invocations.remote_invocation(list_hosts)

    @parse_as_strings("service")
    def servers(self, service: str | None = None) -> Invocation:
        """List the backend servers, of one service or all."""
        return self._invocations.remote_invocation(list_servers, service)

    def status(self) -> Invocation:
        """Show state and counters of the target host."""
        return self._invocations.remote_invocation(host_status)


parse_as_strings("host", "token_file", "ca_file")(Commands.__init__)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the program and exit with the code of its result."""
    command_line = list(sys.argv[1:] if arguments is None else arguments)
    if command_line in (["--help"], ["-h"]):
        command_line = []  # fire then lists the commands, not only the options.
    # An invocation runs only after all arguments are parsed. Otherwise a change
    # would be made before fire reports a misspelt option.
    result = fire.Fire(
        Commands,
        command=add_switch_values(command_line),
        name="kingcuplug",
        serialize=lambda value: None if isinstance(value, Invocation) else value,
    )
    if isinstance(result, Invocation):
        sys.exit(result._run())
