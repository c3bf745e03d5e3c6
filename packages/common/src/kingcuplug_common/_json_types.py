"""Type checks of values in messages between hosts.

A message of a faulty host, or of one with another version of the program, must be
rejected as a whole: a value of the wrong type would fail later, far from its source.
"""

import math
from typing import Any

__all__ = [
    "require_integer",
    "require_mapping",
    "require_number",
    "require_string",
    "require_strings",
]


def require_integer(value: Any, minimum: int = 0) -> int:
    """Return an integer of at least `minimum`.

    Raises
    ------
    ValueError
        If the value is anything else.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
        raise ValueError(f"{value!r} is not an integer of at least {minimum}")
    return value


def require_number(value: Any) -> float:
    """Return a finite number.

    Raises
    ------
    ValueError
        If the value is anything else.
    """
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not math.isfinite(value)
    ):
        raise ValueError(f"{value!r} is not a finite number")
    return value


def require_string(value: Any) -> str:
    """Return a string.

    Raises
    ------
    ValueError
        If the value is anything else.
    """
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def require_strings(value: Any) -> list[str]:
    """Return a list of strings.

    Raises
    ------
    ValueError
        If the value is anything else.
    """
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list")
    return [require_string(entry) for entry in value]


def require_mapping(value: Any) -> dict[str, Any]:
    """Return a JSON object.

    Raises
    ------
    ValueError
        If the value is anything else.
    """
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} is not an object")
    return value
