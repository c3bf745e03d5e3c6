"""Errors, digests, settings, telemetry and receipts shared by all packages.

Names whose modules import large libraries (validation, cryptography, tracing) are
imported on first use, so that a process loads only the libraries that it needs.
"""

import importlib
from typing import TYPE_CHECKING, Any

from kingcuplug_common._clock import boot_time, wall_ms
from kingcuplug_common._condition import Condition
from kingcuplug_common._digests import canonical, digest, random_identifier
from kingcuplug_common._errors import (
    KingcuplugError,
    Refusal,
    RefusalKind,
    RefusalReason,
    not_run_refusal,
)
from kingcuplug_common._event_log import EventLog
from kingcuplug_common._json_types import (
    require_integer,
    require_mapping,
    require_number,
    require_string,
    require_strings,
)
from kingcuplug_common._metrics import Metrics, log_state_change, set_state_change_sink

if TYPE_CHECKING:
    from kingcuplug_common._exposition import render_metrics
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
        request_span,
        start_hop,
        traced_entry,
        traceparent,
    )
    from kingcuplug_common._telemetry import (
        TraceFileExporter,
        log_to_file,
        open_tracer,
        propagator,
    )

__all__ = [
    "Condition",
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
    "Signer",
    "TlsSettings",
    "TraceFileExporter",
    "Verifier",
    "boot_time",
    "canonical",
    "digest",
    "key_id",
    "load_settings",
    "log_state_change",
    "log_to_file",
    "not_run_refusal",
    "open_tracer",
    "propagator",
    "random_identifier",
    "render_metrics",
    "request_span",
    "require_integer",
    "require_mapping",
    "require_number",
    "require_string",
    "require_strings",
    "set_state_change_sink",
    "start_hop",
    "traced_entry",
    "traceparent",
    "wall_ms",
]

_LAZY_NAMES = {
    "_exposition": ("render_metrics",),
    "_receipts": ("Receipt", "ReceiptInvalid", "Signer", "Verifier", "key_id"),
    "_settings": ("HostSettings", "SettingsInvalid", "TlsSettings", "load_settings"),
    "_spans": ("Hop", "traced_entry", "request_span", "start_hop", "traceparent"),
    "_telemetry": ("TraceFileExporter", "log_to_file", "propagator", "open_tracer"),
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
