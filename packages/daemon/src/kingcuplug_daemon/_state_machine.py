"""The state machine to which the replicated log applies its commands.

It dispatches each command to the component that owns the state; the components are
independent of each other.
"""

from collections.abc import Callable
from typing import Any

from kingcuplug_common import KingcuplugError
from kingcuplug_configuration import ConfigurationHistory
from kingcuplug_ledger import OrderLedger, result_to_json

from kingcuplug_daemon._key_registry import KeyRegistry, PublishKey

__all__ = ["LEDGER_COMMANDS", "SystemStateMachine"]

LEDGER_COMMANDS = frozenset(("claim", "dispatch", "outcome", "release"))


class SystemStateMachine:
    """Configuration, order ledger and public keys as one state machine.

    Attributes
    ----------
    revision_callbacks : list of callable
        Called after a new configuration revision was applied or loaded.
    """

    def __init__(self) -> None:
        self.configuration = ConfigurationHistory()
        self.ledger = OrderLedger()
        self.keys = KeyRegistry()
        self.revision_callbacks: list[Callable[[], None]] = []

    def apply(self, index: int, command: Any) -> Any:
        """Apply one committed command and return its result as JSON value."""
        kind = command.get("type") if isinstance(command, dict) else None
        if kind in LEDGER_COMMANDS:
            return result_to_json(self.ledger.apply(command))
        if kind == "apply_configuration":
            return self._apply_configuration(command)
        if kind == "publish_key":
            key = self.keys.apply(PublishKey.from_json(command))
            return {"type": "published", "key_id": key.key_id}
        raise KingcuplugError(
            f"command {kind!r} in entry {index} is unknown",
            "run one version on all control hosts",
        )

    def dump(self) -> dict[str, Any]:
        """Return the whole state."""
        return {
            "configuration": self.configuration.dump(),
            "ledger": self.ledger.dump(),
            "keys": self.keys.dump(),
        }

    def load(self, state: dict[str, Any]) -> None:
        """Replace the whole state."""
        self.configuration.load(state["configuration"])
        self.ledger.load(state["ledger"])
        self.keys.load(state["keys"])
        self._notify_revision()

    def _apply_configuration(self, command: dict[str, Any]) -> dict[str, Any]:
        former_revision = self.configuration.current.number
        result = self.configuration.apply(command).to_json()
        if self.configuration.current.number != former_revision:
            self._notify_revision()
        return result

    def _notify_revision(self) -> None:
        for callback in self.revision_callbacks:
            callback()
