"""Checks that must hold in every run of a log group."""

from typing import Any

__all__ = ["InvariantViolated", "Invariants"]


class InvariantViolated(AssertionError):
    """A safety rule of the log was broken."""


class Invariants:
    """Watches messages, applied commands and answers to clients.

    Attributes
    ----------
    newest_acknowledged : int
        Greatest index that a client has been told.
    leaders : dict
        Leader of each term.

    A violation raises where it is seen and is kept for `check`, because the
    exception may end a task whose result nobody looks at.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.acknowledged: dict[int, Any] = {}
        self.newest_acknowledged = 0
        self.reads = 0
        self.leaders: dict[int, str] = {}
        self._sequence: dict[int, Any] = {}
        self._commands: dict[str, int] = {}

    def observe(self, source: str, destination: str, message: dict[str, Any]) -> None:
        """Check that each term has one leader."""
        if message["kind"] in ("append", "install"):
            header = message["header"]
            known = self.leaders.setdefault(header["term"], header["sender"])
            if known != header["sender"]:
                self._violated(
                    f"term {header['term']} has leaders {known} and {header['sender']}"
                )

    def applied(self, host: str, index: int, before: int, command: Any) -> None:
        """Check that all machines apply one sequence, each command once."""
        if index <= before:
            self._violated(f"{host} applied {index} after {before}")
        known = self._sequence.setdefault(index, command)
        if known != command:
            self._violated(f"{host} applied {command} at {index}, others {known}")
        first = self._commands.setdefault(str(command), index)
        if first != index:
            self._violated(f"{command} was applied at {first} and at {index}")

    def answered(self, index: int, command: Any) -> None:
        """Record that a client was told that its command is committed."""
        self.acknowledged[index] = command
        self.newest_acknowledged = max(self.newest_acknowledged, index)

    def read(self, host: str, floor: int, index: int) -> None:
        """Check that a read shows all that was acknowledged before it began."""
        self.reads += 1
        if index < floor:
            self._violated(f"{host} served a read at {index}, {floor} was acknowledged")

    def holds(self, host: str, values: list[Any]) -> None:
        """Check that a machine holds every acknowledged command."""
        held = set(map(str, values))
        for index, command in self.acknowledged.items():
            if str(command) not in held:
                self._violated(f"{host} lost acknowledged {command} of entry {index}")

    def check(self) -> None:
        """Raise if any violation was seen."""
        if self.violations:
            raise InvariantViolated("; ".join(self.violations))

    def _violated(self, text: str) -> None:
        self.violations.append(text)
        raise InvariantViolated(text)
