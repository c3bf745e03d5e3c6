"""JSON of dataclasses, tagged with their type."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

from kingcuplug_common import KingcuplugError
from pydantic import TypeAdapter, ValidationError

__all__ = ["Codec", "MessageInvalid"]

_Message = TypeVar("_Message")


class MessageInvalid(KingcuplugError):
    """A command or a result that is malformed."""


class Codec(Generic[_Message]):
    """Converts dataclasses to JSON objects and back.

    Parameters
    ----------
    kinds : Mapping
        Dataclasses by the value of the field ``type``.
    """

    def __init__(self, kinds: Mapping[str, type[_Message]]) -> None:
        self._names = {kind: name for name, kind in kinds.items()}
        self._fields = {
            kind: tuple(field.name for field in dataclasses.fields(kind))  # type: ignore[arg-type]
            for kind in kinds.values()
        }
        self._adapters = {name: TypeAdapter(kind) for name, kind in kinds.items()}

    def encode(self, message: _Message) -> dict[str, Any]:
        """Return a message as a JSON object."""
        kind = type(message)
        value = {name: _plain(getattr(message, name)) for name in self._fields[kind]}
        return {"type": self._names[kind], **value}

    def decode(self, value: Mapping[str, Any]) -> _Message:
        """Read a message; raise `MessageInvalid` if it is malformed."""
        name = value.get("type") if isinstance(value, Mapping) else None
        adapter = self._adapters.get(name) if isinstance(name, str) else None
        if adapter is None:
            raise MessageInvalid(
                f"{ascii(name)[:60]} is no type of message",
                f"use one of {', '.join(self._adapters)}",
            )
        try:
            return adapter.validate_python(value)
        except ValidationError as error:
            places = ", ".join(
                ".".join(str(part) for part in fault["loc"]) for fault in error.errors()
            )
            raise MessageInvalid(
                f"the {name} is malformed in {places[:200]}", "correct these fields"
            ) from error


def _plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: _plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return value
