"""Interfaces of membership to the log and the configuration.

They are closures that the daemon supplies, so that membership imports neither.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

__all__ = ["ConfigurationSink", "ConfigurationSource", "LeaderSource", "PeerCall"]

PeerCall = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]
"""Send a message to a peer address and return the reply.

Raises OSError or TimeoutError.
"""


@dataclass(frozen=True, slots=True)
class ConfigurationSource:
    """The configuration that a control host has applied from the log.

    Attributes
    ----------
    revision : callable
        Number of the current revision.
    deltas_since : callable
        JSON values that lead from a revision to the current one, or None if that
        is too far behind.
    text, digest : callable
        Current text and its digest.
    """

    revision: Callable[[], int]
    deltas_since: Callable[[int], list[Any] | None]
    text: Callable[[], str]
    digest: Callable[[], str]


@dataclass(frozen=True, slots=True)
class ConfigurationSink:
    """The configuration in force at an entry host.

    Attributes
    ----------
    current : callable
        Number of the revision in force; -1 for none.
    apply : callable
        ``apply(revision, deltas, text, digest)`` puts a revision in force, from
        the deltas or, if they are None, from the text. It raises, and changes
        nothing, if the digest of the result differs.
    services : callable
        Names of the routed services.
    """

    current: Callable[[], int]
    apply: Callable[[int, list[Any] | None, str | None, str], None]
    services: Callable[[], tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class LeaderSource:
    """State of the leader as known to a control host's replica of the log.

    Attributes
    ----------
    leading_until : callable
        End of this host's own lease as leader on the loop's clock; in the past if
        it does not lead, or has not applied an entry of its own term.
    leader : callable
        Peer address of the leader; None if unknown.
    term : callable
        Current term.
    commit_index, applied_index : callable
        Positions in the log.
    """

    leading_until: Callable[[], float]
    leader: Callable[[], str | None]
    term: Callable[[], int]
    commit_index: Callable[[], int]
    applied_index: Callable[[], int]
