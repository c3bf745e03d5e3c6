"""Errors of the fleet package."""

from kingcuplug_common import KingcuplugError

__all__ = ["CoreUnavailable"]


class CoreUnavailable(KingcuplugError):
    """The control hosts cannot currently confirm a change or a read."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, "retry on this control host or on another one")
