"""Decides when the memory of a process is worth a line in the log."""

from enum import Enum

__all__ = ["MemoryAlarm", "MemoryLevel"]

_HIGH_RATIO = 0.75
# Below the other ratio, so that memory that varies around it does not fill the log.
_NORMAL_RATIO = 0.65


class MemoryLevel(Enum):
    """Resident memory of a process compared with its limit."""

    NORMAL = "normal"
    HIGH = "high"


class MemoryAlarm:
    """Tells when resident memory comes close to its limit, and when it has fallen.

    Attributes
    ----------
    level : MemoryLevel
        Level as of the last update.
    """

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self.level = MemoryLevel.NORMAL

    def update(self, resident_bytes: int) -> bool:
        """Record the resident memory, and return whether the level has changed."""
        ratio = resident_bytes / self._limit_bytes
        level = self.level
        if ratio >= _HIGH_RATIO:
            level = MemoryLevel.HIGH
        elif ratio < _NORMAL_RATIO:
            level = MemoryLevel.NORMAL
        changed = level is not self.level
        self.level = level
        return changed
