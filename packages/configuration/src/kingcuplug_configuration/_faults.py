"""Validation faults of a configuration text, as messages for its author."""

import re
from collections.abc import Mapping
from typing import Any

from kingcuplug_common import KingcuplugError

__all__ = [
    "ConfigurationFault",
    "fault_from_pydantic_error",
    "format_name",
    "format_value",
    "join_path",
]

_MAX_VALUE_CHARACTERS = 60
_UNQUOTED_NAME = re.compile(r"[A-Za-z0-9_-]{1,63}")
_UNITS_BY_FIELD = {"deadline_ms": "milliseconds", "retention_days": "days"}
_FIELDS_BY_NAME_WITHOUT_UNIT = {
    name.rpartition("_")[0]: name for name in _UNITS_BY_FIELD
}
_SHARE_FIELDS = {
    "coverage_weight",
    "minimum_coverage",
    "hedge_budget",
    "retry_budget",
    "urgent_reserve",
}
_SHARE_FIELD_WITH_UNIT = re.compile(r"(\w+?)_(percent|pct|share|ratio|ms|count)")
_REMEDIES_BY_ERROR_TYPE = {
    "model_type": "write a JSON object",
    "dict_type": "write a JSON object",
    "list_type": "write a JSON list",
    "string_type": "write a JSON string",
}


class ConfigurationFault(KingcuplugError):
    """One validation fault of a configuration text.

    Parameters
    ----------
    path : str
        Path of the faulty field, such as ``services.counter.policy.deadline_ms``.
    message : str
        Description of the fault, with the offending value.
    remedy : str
        How to correct the text.
    """

    def __init__(self, path: str, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.path = path

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.remedy}"

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, ConfigurationFault):
            return NotImplemented
        return self.to_json() == other.to_json()

    def __hash__(self) -> int:
        return hash((self.path, self.message, self.remedy))

    def to_json(self) -> dict[str, str]:
        """Return path, message and remedy as a JSON object."""
        return {"path": self.path, "message": self.message, "remedy": self.remedy}


def join_path(segments: tuple[Any, ...]) -> str:
    """Return the path of a field; keys with special characters are quoted."""
    path = ""
    for segment in segments:
        if isinstance(segment, int):
            path += f"[{segment}]"
            continue
        path += ("." if path else "") + format_name(segment)
    return path or "text"


def format_name(name: str) -> str:
    """Return a name, quoted if it has special characters or is too long."""
    return name if _UNQUOTED_NAME.fullmatch(name) else format_value(name)


def format_value(value: Any) -> str:
    """Return `value` for a message, in ASCII and truncated to 60 characters."""
    if isinstance(value, dict | list):
        return "an object" if isinstance(value, dict) else "a list"
    if isinstance(value, int) and abs(value) >= 10**_MAX_VALUE_CHARACTERS:
        return "a number of more than 60 digits"
    text = ascii(value)
    if len(text) > _MAX_VALUE_CHARACTERS:
        return f"{text[:_MAX_VALUE_CHARACTERS]}..."
    return text


def fault_from_pydantic_error(
    error: Mapping[str, Any], field_names_by_level: Mapping[str, tuple[str, ...]]
) -> ConfigurationFault:
    """Convert a validation error of pydantic to a fault.

    Parameters
    ----------
    error : Mapping
        Item of ``ValidationError.errors()``.
    field_names_by_level : Mapping
        Valid field names by the level ``text``, ``service`` or ``policy``.
    """
    segments: tuple[Any, ...] = error["loc"]
    path = join_path(segments)
    name = str(segments[-1]) if segments else "text"
    if error["type"] == "extra_forbidden":
        return _unknown_field_fault(path, name, field_names_by_level[_level(segments)])
    if error["type"] == "missing":
        return ConfigurationFault(path, "the field is missing", "add it")
    return _invalid_value_fault(path, name, error)


def _level(segments: tuple[Any, ...]) -> str:
    return {1: "text", 3: "service", 4: "policy"}[len(segments)]


def _unknown_field_fault(
    path: str, name: str, known_fields: tuple[str, ...]
) -> ConfigurationFault:
    name_without_unit = (
        name if name in _FIELDS_BY_NAME_WITHOUT_UNIT else name.rpartition("_")[0]
    )
    field = _FIELDS_BY_NAME_WITHOUT_UNIT.get(name_without_unit)
    if field in known_fields and field is not None:
        return ConfigurationFault(
            path,
            f"wrong unit in the field name {format_value(name)}",
            f"give whole {_UNITS_BY_FIELD[field]} as {field}",
        )
    share_match = _SHARE_FIELD_WITH_UNIT.fullmatch(name)
    if (
        share_match
        and share_match[1] in known_fields
        and share_match[1] in _SHARE_FIELDS
    ):
        return ConfigurationFault(
            path,
            f"wrong unit in the field name {format_value(name)}",
            f"give a share between 0 and 1 as {share_match[1]}",
        )
    return ConfigurationFault(
        path,
        f"unknown field {format_value(name)}",
        f"remove it; the fields here are {', '.join(known_fields)}",
    )


def _invalid_value_fault(
    path: str, name: str, error: Mapping[str, Any]
) -> ConfigurationFault:
    value = error["input"]
    if name in _UNITS_BY_FIELD and not _is_integer(value):
        return ConfigurationFault(
            path,
            f"wrong unit or type: {format_value(value)}",
            f"give a whole number of {_UNITS_BY_FIELD[name]}, without a unit",
        )
    if name in _SHARE_FIELDS:
        return ConfigurationFault(
            path,
            f"{format_value(value)} is not a possible share: {error['msg']}",
            "give a number between 0 and 1, for example 0.05 for 5%",
        )
    if name in _UNITS_BY_FIELD:
        return ConfigurationFault(
            path,
            f"impossible limit {format_value(value)}",
            f"{error['msg']}, in {_UNITS_BY_FIELD[name]}",
        )
    remedy = _REMEDIES_BY_ERROR_TYPE.get(error["type"], error["msg"])
    return ConfigurationFault(path, f"wrong value {format_value(value)}", remedy)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
