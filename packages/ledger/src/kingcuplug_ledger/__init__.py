"""The order ledger: claims, dispatches, outcomes and retention."""

__all__: list[str] = []
