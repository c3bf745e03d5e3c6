"""JSON encoding of dataclasses, tagged with their type."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

from kingcuplug_common import KingcuplugError, canonical
from pydantic import TypeAdapter, ValidationError

__all__ = ["Codec", "MessageInvalid"]

_Message = TypeVar("_Message")


class MessageInvalid(KingcuplugError):
    """A command or result is malformed."""


class Codec(Generic[_Message]):
    """Converts dataclasses to JSON objects and back.

    Parameters
    ----------
    message_types : Mapping
        Dataclasses by the value of the field ``type``.
    """

    def __init__(self, message_types: Mapping[str, type[_Message]]) -> None:
        self._type_tags = {
            message_type: tag for tag, message_type in message_types.items()
        }
        self._field_names = {
            message_type: tuple(
                field.name
                for field in dataclasses.fields(message_type)  # type: ignore[arg-type]
            )
            for message_type in message_types.values()
        }
        self._adapters_by_tag = {
            tag: TypeAdapter(message_type)
            for tag, message_type in message_types.items()
        }

    def encode(self, message: _Message) -> dict[str, Any]:
        """Return a message as a JSON object."""
        message_type = type(message)
        value = {
            name: _to_json_value(getattr(message, name))
            for name in self._field_names[message_type]
        }
        return {"type": self._type_tags[message_type], **value}

    def decode(self, value: Mapping[str, Any]) -> _Message:
        """Read a message; raise `MessageInvalid` if it is malformed."""
        tag = value.get("type") if isinstance(value, Mapping) else None
        adapter = self._adapters_by_tag.get(tag) if isinstance(tag, str) else None
        if adapter is None:
            raise MessageInvalid(
                f"{ascii(tag)[:60]} is not a message type",
                f"use one of {', '.join(self._adapters_by_tag)}",
            )
        try:
            canonical(value)
        except TypeError as error:
            # A lone surrogate in a stored field would fail in the state machine, on
            # every voter that applies the command.
            raise MessageInvalid(
                f"the {tag} cannot be encoded as JSON", "send valid Unicode text"
            ) from error
        try:
            return adapter.validate_python(value)
        except ValidationError as error:
            locations = ", ".join(
                ".".join(str(part) for part in detail["loc"])
                for detail in error.errors()
            )
            raise MessageInvalid(
                f"the {tag} is malformed at {locations[:200]}", "correct these fields"
            ) from error


def _to_json_value(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: _to_json_value(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, tuple):
        return [_to_json_value(item) for item in value]
    return value
