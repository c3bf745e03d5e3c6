"""Safety checks for every run of a log group."""

from typing import Any

__all__ = ["InvariantChecker", "InvariantViolated"]


class InvariantViolated(AssertionError):
    """A safety property of the log was violated."""


class InvariantChecker:
    """Checks messages, applied commands and replies to clients.

    Attributes
    ----------
    newest_acknowledged_index : int
        Greatest log index that a client has been told is committed.
    leader_by_term : dict
        Leader of each term.

    A violation raises where it is detected and is also kept for
    `raise_if_violated`, because the exception may end a task whose result is never
    retrieved.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.acknowledged: dict[int, Any] = {}
        self.newest_acknowledged_index = 0
        self.checked_reads = 0
        self.leader_by_term: dict[int, str] = {}
        self._command_by_index: dict[int, Any] = {}
        self._index_by_command: dict[str, int] = {}

    def check_message(
        self, source: str, destination: str, message: dict[str, Any]
    ) -> None:
        """Check that each term has at most one leader."""
        if message["kind"] in ("append", "install"):
            header = message["header"]
            known = self.leader_by_term.setdefault(header["term"], header["sender"])
            if known != header["sender"]:
                self._report_violation(
                    f"term {header['term']} has leaders {known} and {header['sender']}"
                )

    def check_applied(
        self, host: str, index: int, previous_index: int, command: Any
    ) -> None:
        """Check that all hosts apply the same sequence, and each command once."""
        if index <= previous_index:
            self._report_violation(f"{host} applied {index} after {previous_index}")
        known = self._command_by_index.setdefault(index, command)
        if known != command:
            self._report_violation(
                f"{host} applied {command} at {index}, others {known}"
            )
        first = self._index_by_command.setdefault(str(command), index)
        if first != index:
            self._report_violation(f"{command} was applied at {first} and at {index}")

    def record_acknowledged(self, index: int, command: Any) -> None:
        """Record that a client was told that its command is committed."""
        self.acknowledged[index] = command
        self.newest_acknowledged_index = max(self.newest_acknowledged_index, index)

    def check_read(self, host: str, min_index: int, index: int) -> None:
        """Check that a read returns all that was acknowledged before it began."""
        self.checked_reads += 1
        if index < min_index:
            self._report_violation(
                f"{host} served a read at {index}, {min_index} was acknowledged"
            )

    def check_acknowledged_kept(self, host: str, values: list[Any]) -> None:
        """Check that a state machine contains every acknowledged command."""
        contained = set(map(str, values))
        for index, command in self.acknowledged.items():
            if str(command) not in contained:
                self._report_violation(
                    f"{host} lost acknowledged {command} of entry {index}"
                )

    def raise_if_violated(self) -> None:
        """Raise `InvariantViolated` if any check failed."""
        if self.violations:
            raise InvariantViolated("; ".join(self.violations))

    def _report_violation(self, text: str) -> None:
        self.violations.append(text)
        raise InvariantViolated(text)
