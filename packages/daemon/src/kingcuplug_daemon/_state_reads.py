"""Results of read requests about the replicated state.

The control node confirms the state with a quorum before it calls these functions.
"""

from collections.abc import Mapping
from typing import Any

from kingcuplug_membership import ServerEntry, SessionServer

from kingcuplug_daemon._state_machine import SystemStateMachine

__all__ = [
    "configuration_history",
    "current_configuration",
    "known_servers",
    "live_entry_hosts",
    "order_state",
    "public_keys",
]

_MAX_HISTORY_CHANGES = 1_000


def current_configuration(state_machine: SystemStateMachine) -> dict[str, Any]:
    """Return the revision in force."""
    return state_machine.configuration.current._asdict()


def configuration_history(state_machine: SystemStateMachine) -> dict[str, Any]:
    """Return the recorded changes, the newest first."""
    changes = state_machine.configuration.recent_changes(_MAX_HISTORY_CHANGES)
    return {"revisions": [change._asdict() for change in changes]}


def order_state(state_machine: SystemStateMachine, key: str) -> dict[str, Any]:
    """Return the ledger's state and explanation of an order."""
    record = state_machine.ledger.lookup(key)
    return {
        "key": key,
        "explanation": state_machine.ledger.explain(key),
        "state": None if record is None else record.state,
    }


def public_keys(state_machine: SystemStateMachine) -> dict[str, Any]:
    """Return the public keys for verifying receipts."""
    return state_machine.keys.dump()


def live_entry_hosts(sessions: SessionServer) -> dict[str, Any]:
    """Return the entry hosts with a valid lease."""
    return {
        "hosts": [
            {
                "host": status.host,
                "incarnation": status.incarnation,
                "availability_zone": status.availability_zone,
                "confirmed_revision": status.confirmed_revision,
                "control_host": status.control_host,
            }
            for status in sessions.hosts()
        ]
    }


def known_servers(sessions: SessionServer) -> dict[str, Any]:
    """Return all known backend servers."""
    directory = sessions.directory
    return {
        "servers": [
            _server_fields(entry)
            for service in directory.services()
            for entry in directory.servers(service)
        ]
    }


def _server_fields(entry: ServerEntry) -> Mapping[str, Any]:
    announcement = entry.announcement
    return {
        "server": announcement.server,
        "service": announcement.service,
        "address": announcement.address,
        "availability_zone": announcement.availability_zone,
        "incarnation": announcement.incarnation,
        "sequence": announcement.sequence,
        "state": announcement.state if entry.live else "gone",
        "snapshots": [holding.snapshot for holding in announcement.holdings],
        "held_by": list(entry.held),
    }
