"""Execution of queries and orders over many shards."""

__all__: list[str] = []
