"""Errors of the fleet package."""

from kingcuplug_common import KingcuplugError

__all__ = ["CoreUnavailable", "OrderSuperseded"]


class CoreUnavailable(KingcuplugError):
    """The control hosts cannot currently confirm a change or a read."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, "retry on this control host or on another one")


class OrderSuperseded(CoreUnavailable):
    """Another order for the same zone came after the state that an order refers to.

    Attributes
    ----------
    version : int
        Index in the log of the other order.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"the order at index {version} is newer")
        self.version = version
