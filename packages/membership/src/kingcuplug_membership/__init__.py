"""Announcements, leases, directory and sessions."""

__all__: list[str] = []
