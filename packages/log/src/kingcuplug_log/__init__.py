"""The replicated log: storage, elections, leases and replication."""

__all__: list[str] = []
