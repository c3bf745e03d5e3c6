"""Command groups of the command line, one class per group."""

from kingcuplug_cli import _config, _control_commands
from kingcuplug_cli._invocation import Invocation, InvocationFactory, parse_as_strings
from kingcuplug_cli._order_receipt_commands import (
    list_keys,
    rotate_key,
    show_order,
    verify_receipt,
)
from kingcuplug_cli._trace import show_trace

__all__ = [
    "ConfigCommands",
    "ControlCommands",
    "KeyCommands",
    "OrderCommands",
    "ReceiptCommands",
    "TraceCommands",
]


class _CommandGroup:
    def __init__(self, invocations: InvocationFactory) -> None:
        self._invocations = invocations


class ConfigCommands(_CommandGroup):
    """The configuration text: check, diff, apply, show, history, status."""

    @parse_as_strings("file")
    def check(self, file: str) -> Invocation:
        """Validate a configuration text locally and list all faults."""
        return self._invocations.local_invocation(_config.check, file)

    @parse_as_strings("file")
    def diff(self, file: str) -> Invocation:
        """Show what a text would change."""
        return self._invocations.remote_invocation(_config.diff, file)

    @parse_as_strings("file", "author")
    def apply(
        self,
        file: str,
        *,
        base_revision: int | None = None,
        author: str | None = None,
        wait: bool = False,
        wait_s: float = 60.0,
        resend_s: float = 20.0,
    ) -> Invocation:
        """Replace the configuration if it is still at the base revision.

        Parameters
        ----------
        file : str
            The new text.
        base_revision : int, optional
            Revision that the text was made from; by default the current one.
        author : str, optional
            Author recorded with the change; by default the user of this process.
        wait : bool
            Wait until the revision is in force on all hosts, and list them.
        wait_s : float
            Time limit of that wait in seconds.
        resend_s : float
            Time limit for resending the change after lost answers, in seconds.
        """
        return self._invocations.remote_invocation(
            _config.apply, file, base_revision, author, wait, wait_s, resend_s
        )

    def show(self, *, raw: bool = False) -> Invocation:
        """Show the configuration in force; with --raw its text only."""
        return self._invocations.remote_invocation(_config.show, raw)

    def history(self) -> Invocation:
        """List the accepted revisions, the newest first."""
        return self._invocations.remote_invocation(_config.history)

    def status(self) -> Invocation:
        """Show whether the current revision is in force on all hosts."""
        return self._invocations.remote_invocation(_config.status)


class ControlCommands(_CommandGroup):
    """The control hosts: bootstrap, add, remove, status."""

    def bootstrap(self) -> Invocation:
        """Bootstrap a cluster on the target host."""
        return self._invocations.remote_invocation(_control_commands.bootstrap)

    @parse_as_strings("address", "role")
    def add(self, address: str, *, role: str = "voter") -> Invocation:
        """Add the control host at a peer address, as voter or observer."""
        return self._invocations.remote_invocation(_control_commands.add, address, role)

    @parse_as_strings("member")
    def remove(self, member: str) -> Invocation:
        """Remove a member by the id that `control status` prints."""
        return self._invocations.remote_invocation(_control_commands.remove, member)

    def status(self) -> Invocation:
        """Show the leader, the members and whether one voter can be lost safely."""
        return self._invocations.remote_invocation(_control_commands.status)


class KeyCommands(_CommandGroup):
    """The keys that sign receipts: list, rotate."""

    def list(self) -> Invocation:
        """List all public keys, retired ones included."""
        return self._invocations.remote_invocation(list_keys)

    def rotate(self) -> Invocation:
        """Create a new signing key on the target host."""
        return self._invocations.remote_invocation(rotate_key)


class OrderCommands(_CommandGroup):
    """The order ledger: show."""

    @parse_as_strings("key")
    def show(self, key: str) -> Invocation:
        """Show the state of an order in the ledger."""
        return self._invocations.remote_invocation(show_order, key)


class ReceiptCommands(_CommandGroup):
    """Receipts of answers and refusals: verify."""

    @parse_as_strings("file")
    def verify(self, file: str) -> Invocation:
        """Check a receipt, and the answer around it; - reads standard input."""
        return self._invocations.remote_invocation(verify_receipt, file)


class TraceCommands(_CommandGroup):
    """Traces of requests: show."""

    @parse_as_strings("file", "request_id")
    def show(self, file: str, request_id: str) -> Invocation:
        """Print the waterfall of one request from an entry host's trace file."""
        return self._invocations.local_invocation(show_trace, file, request_id)
