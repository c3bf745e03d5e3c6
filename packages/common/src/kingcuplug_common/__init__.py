"""Errors, digests, settings, telemetry and receipts shared by all packages.

Names whose modules import large libraries (validation, cryptography, tracing) are
imported on first use, so that a process loads only the libraries that it needs.
"""

import importlib
from typing import TYPE_CHECKING, Any

from kingcuplug_common._clock import boot_time, wall_ms
from kingcuplug_common._condition import Signal
from kingcuplug_common._digests import canonical, digest, identifier
from kingcuplug_common._errors import (
    KingcuplugError,
    Refusal,
    RefusalKind,
    RefusalReason,
    not_run,
)
from kingcuplug_common._event_log import EventLog
from kingcuplug_common._metrics import Metrics, send_state_changes_to, state_change

if TYPE_CHECKING:
    from kingcuplug_common._exposition import exposition
    from kingcuplug_common._receipts import (
        Receipt,
        ReceiptInvalid,
        Signer,
        Verifier,
        key_id,
    )
    from kingcuplug_common._settings import (
        HostSettings,
        SettingsInvalid,
        TlsSettings,
        load_settings,
    )
    from kingcuplug_common._spans import (
        Hop,
        entering,
        request_span,
        start_hop,
        traceparent,
    )
    from kingcuplug_common._telemetry import (
        TraceFileExporter,
        log_to_file,
        propagator,
        tracer,
    )

__all__ = [
    "EventLog",
    "Hop",
    "HostSettings",
    "KingcuplugError",
    "Metrics",
    "Receipt",
    "ReceiptInvalid",
    "Refusal",
    "RefusalKind",
    "RefusalReason",
    "SettingsInvalid",
    "Signal",
    "Signer",
    "TlsSettings",
    "TraceFileExporter",
    "Verifier",
    "boot_time",
    "canonical",
    "digest",
    "entering",
    "exposition",
    "identifier",
    "key_id",
    "load_settings",
    "log_to_file",
    "not_run",
    "propagator",
    "request_span",
    "send_state_changes_to",
    "start_hop",
    "state_change",
    "traceparent",
    "tracer",
    "wall_ms",
]

_LAZY_NAMES = {
    "_exposition": ("exposition",),
    "_receipts": ("Receipt", "ReceiptInvalid", "Signer", "Verifier", "key_id"),
    "_settings": ("HostSettings", "SettingsInvalid", "TlsSettings", "load_settings"),
    "_spans": ("Hop", "entering", "request_span", "start_hop", "traceparent"),
    "_telemetry": ("TraceFileExporter", "log_to_file", "propagator", "tracer"),
}
_LAZY_MODULES = {
    name: module for module, names in _LAZY_NAMES.items() for name in names
}


def __getattr__(name: str) -> Any:
    """Import the module of a name at its first use."""
    module = _LAZY_MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value
