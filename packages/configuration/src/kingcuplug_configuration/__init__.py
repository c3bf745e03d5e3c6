"""The configuration text: models, validation, deltas and history."""

__all__: list[str] = []
