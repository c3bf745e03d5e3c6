"""The newest route document and the evacuated zones, as the log's state machine."""

from collections.abc import Callable
from typing import Any

from kingcuplug_common import require_integer, require_mapping, require_string

from kingcuplug_fleet._errors import OrderSuperseded
from kingcuplug_fleet._evacuation import (
    Evacuation,
    EvacuationOrder,
    decode_evacuation_command,
)

__all__ = ["RouteRegister", "require_command"]


class RouteRegister:
    """State machine of the route document with the highest version, and of orders.

    Of several documents with the same version, the first one is kept. Of orders to
    evacuate a zone, the last one in the log decides.

    Parameters
    ----------
    on_change : callable
        Called without arguments after the state was replaced.

    Attributes
    ----------
    version : int
        Version of the document held; 0 without one.
    document : str
        The text as the operator sent it.
    evacuation : Evacuation
        The evacuated zones.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self.version = 0
        self.document = ""
        self.evacuation = Evacuation()
        # Index of the last order by zone, of the orders since the state was loaded.
        self._order_indexes: dict[str, int] = {}
        self._loaded_order_index = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing was ever acknowledged."""
        return self.version == 0 and self.evacuation.version == 0

    def apply(self, index: int, command: Any) -> Any:
        """Store a document if its version is higher, or execute an order.

        Returns
        -------
        int
            The version held of what the command concerns.

        Raises
        ------
        LookupError, ValueError
            If the command is malformed. It is checked here, too, since the log may
            hold one that was proposed by an older version of the program.
        """
        order = decode_evacuation_command(command)
        if order is not None:
            self._order_indexes[order[0]] = index
            evacuation = self.evacuation.with_order(index, *order)
            self._replace(self.version, self.document, evacuation)
            return evacuation.version
        version, document = _decode_document_command(command)
        if version > self.version:
            self._replace(version, document, self.evacuation)
        return self.version

    def check_order(self, order: EvacuationOrder) -> bool:
        """Return whether an order must be executed; otherwise its result holds already.

        Raises
        ------
        OrderSuperseded
            If another order for the zone has come after the order's base, and
            demands something else.
        """
        last_index = self._order_indexes.get(order.zone, self._loaded_order_index)
        if order.base is None or order.base >= last_index:
            return True
        if (order.zone in self.evacuation.zones) is not order.evacuated:
            raise OrderSuperseded(last_index)
        return False

    def dump(self) -> dict[str, Any]:
        """Return the whole state, in the form of earlier builds before any order."""
        state: dict[str, Any] = {"version": self.version, "document": self.document}
        if self.evacuation.version:
            state["evacuation"] = self.evacuation.to_json()
        return state

    def load(self, state: dict[str, Any]) -> None:
        """Replace the whole state."""
        evacuation = Evacuation.from_json(state.get("evacuation", []))
        self._order_indexes.clear()
        self._loaded_order_index = evacuation.version
        self._replace(state["version"], state["document"], evacuation)

    def _replace(self, version: int, document: str, evacuation: Evacuation) -> None:
        self.version, self.document = version, document
        self.evacuation = evacuation
        self._on_change()


def require_command(value: Any) -> None:
    """Check a command before it is proposed.

    Raises
    ------
    LookupError, ValueError
        If the value is malformed.
    """
    if decode_evacuation_command(value) is None:
        _decode_document_command(value)


def _decode_document_command(value: Any) -> tuple[int, str]:
    fields = require_mapping(value)
    return require_integer(fields["version"]), require_string(fields["document"])
