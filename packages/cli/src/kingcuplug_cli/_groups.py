"""The groups of commands, as the command line names them."""

from kingcuplug_cli import _config, _control_commands
from kingcuplug_cli._invocation import Invocation, Program, plain_texts
from kingcuplug_cli._records import (
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


class _Group:
    def __init__(self, program: Program) -> None:
        self._program = program


class ConfigCommands(_Group):
    """The configuration text: check, diff, apply, show, history, status."""

    @plain_texts("file")
    def check(self, file: str) -> Invocation:
        """Validate a text without a host; list every fault."""
        return self._program.local(_config.check, file)

    @plain_texts("file")
    def diff(self, file: str) -> Invocation:
        """Show what a text would change."""
        return self._program.remote(_config.diff, file)

    @plain_texts("file", "author")
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
            Revision that the text was made from; by default the present one.
        author : str, optional
            Who makes the change; by default the user of this process.
        wait : bool
            Wait until the revision is in force everywhere and list the hosts.
        wait_s : float
            Longest such wait in seconds.
        resend_s : float
            For how long to send the change again after lost answers, in seconds.
        """
        return self._program.remote(
            _config.apply, file, base_revision, author, wait, wait_s, resend_s
        )

    def show(self, *, raw: bool = False) -> Invocation:
        """Show the configuration in force; with --raw its text only."""
        return self._program.remote(_config.show, raw)

    def history(self) -> Invocation:
        """List the accepted revisions, the newest first."""
        return self._program.remote(_config.history)

    def status(self) -> Invocation:
        """Show whether the present revision is in force everywhere."""
        return self._program.remote(_config.status)


class ControlCommands(_Group):
    """The control hosts: bootstrap, add, remove, status."""

    def bootstrap(self) -> Invocation:
        """Begin a cluster on the asked host."""
        return self._program.remote(_control_commands.bootstrap)

    @plain_texts("address", "role")
    def add(self, address: str, *, role: str = "voter") -> Invocation:
        """Add the control host at a peer address, as voter or observer."""
        return self._program.remote(_control_commands.add, address, role)

    @plain_texts("member")
    def remove(self, member: str) -> Invocation:
        """Remove a member by the id that `control status` prints."""
        return self._program.remote(_control_commands.remove, member)

    def status(self) -> Invocation:
        """Show leader and members, and whether one voter may be lost."""
        return self._program.remote(_control_commands.status)


class KeyCommands(_Group):
    """The keys that sign receipts: list, rotate."""

    def list(self) -> Invocation:
        """List all public keys, retired ones included."""
        return self._program.remote(list_keys)

    def rotate(self) -> Invocation:
        """Let the asked host sign with a new key."""
        return self._program.remote(rotate_key)


class OrderCommands(_Group):
    """The order ledger: show."""

    @plain_texts("key")
    def show(self, key: str) -> Invocation:
        """Show what the ledger knows of an order."""
        return self._program.remote(show_order, key)


class ReceiptCommands(_Group):
    """Receipts of answers and refusals: verify."""

    @plain_texts("file")
    def verify(self, file: str) -> Invocation:
        """Check a receipt, and the answer around it; - reads standard input."""
        return self._program.remote(verify_receipt, file)


class TraceCommands(_Group):
    """Traces of requests: show."""

    @plain_texts("file", "request_id")
    def show(self, file: str, request_id: str) -> Invocation:
        """Print the waterfall of one request from an entry host's trace file."""
        return self._program.local(show_trace, file, request_id)
