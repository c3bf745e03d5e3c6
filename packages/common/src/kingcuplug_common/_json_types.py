"""Type checks of values in messages between hosts.

A message of a faulty host, or of one with another version of the program, must be
rejected as a whole: a value of the wrong type would fail later, far from its source.
"""

import math
from typing import Any

__all__ = [
    "MAX_AMOUNT",
    "require_amount",
    "require_boolean",
    "require_count",
    "require_integer",
    "require_mapping",
    "require_number",
    "require_string",
    "require_strings",
]

# Greater integers are not the same for all readers of JSON. Sums of many values up to
# this one can be computed and encoded.
MAX_AMOUNT = 2**53 - 1


def require_boolean(value: Any) -> bool:
    """Return a boolean.

    Raises
    ------
    ValueError
        If the value is anything else.
    """
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not a boolean")
    return value


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


def require_count(value: Any) -> int:
    """Return an integer of at least 0 that can be added to others.

    Raises
    ------
    ValueError
        If the value is anything else, or too large.
    """
    count = require_integer(value)
    if count > MAX_AMOUNT:
        raise ValueError(f"{value!r} is above {MAX_AMOUNT}")
    return count


def require_amount(value: Any) -> float:
    """Return a number that can be added to others.

    Raises
    ------
    ValueError
        If the value is anything else, or too large.
    """
    amount = require_number(value)
    if abs(amount) > MAX_AMOUNT:
        raise ValueError(f"{value!r} is above {MAX_AMOUNT}")
    return amount


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
