"""Signals of servers that one host passes on to another with an answer."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import require_integer, require_number, require_string

__all__ = ["PassedSignal", "decode_signals", "encode_signals"]

# Bound the size of an answer; few servers hold requests back at a time.
_MAX_SIGNALS = 64
_MAX_ID_CHARS = 256
# As long as the longest time that a server can name in a header.
_MAX_PAUSE_MS = 1e12


@dataclass(frozen=True, slots=True)
class PassedSignal:
    """What one incarnation of a server has told the host that passes it on.

    Attributes
    ----------
    start_ms : int
        Start of the incarnation.
    pause_ms : float
        Remaining time for which the server wants no requests; 0 if none.
    """

    service: str
    server_id: str
    start_ms: int
    leaving: bool
    pause_ms: float


def encode_signals(signals: Iterable[PassedSignal]) -> list[Any]:
    """Return a JSON array; beyond its bound, the shortest pauses are left out."""
    sendable = [s for s in signals if len(s.service + s.server_id) <= _MAX_ID_CHARS]
    sendable.sort(key=lambda s: (not s.leaving, -s.pause_ms))
    return [
        [s.service, s.server_id, s.start_ms, int(s.leaving), round(s.pause_ms, 1)]
        for s in sendable[:_MAX_SIGNALS]
    ]


def decode_signals(value: Any) -> tuple[PassedSignal, ...]:
    """Return the valid entries of a JSON value; others are left out."""
    if not isinstance(value, list):
        return ()
    decoded = (_decode_signal(entry) for entry in value[:_MAX_SIGNALS])
    return tuple(signal for signal in decoded if signal is not None)


def _decode_signal(entry: Any) -> PassedSignal | None:
    if not isinstance(entry, list):
        return None
    try:
        service, server_id, start_ms, leaving, pause_ms, *_ = entry
        signal = PassedSignal(
            require_string(service),
            require_string(server_id),
            require_integer(start_ms),
            require_integer(leaving) == 1,
            require_number(pause_ms),
        )
    except (TypeError, ValueError, OverflowError):
        return None
    is_valid = leaving in (0, 1) and 0 <= signal.pause_ms <= _MAX_PAUSE_MS
    return signal if is_valid else None
