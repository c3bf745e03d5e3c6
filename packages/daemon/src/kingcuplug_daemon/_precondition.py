"""Errors of a start that succeeds once another process or an operator has acted."""

from kingcuplug_common import KingcuplugError

__all__ = ["PreconditionUnmet"]


class PreconditionUnmet(KingcuplugError):
    """Something that a host needs to start is missing for now; try again."""
