"""Errors, digests, settings, telemetry and receipts shared by all packages.

Names whose modules import large libraries (validation, cryptography, tracing) are
imported on first use, so that a process loads only the libraries that it needs.
"""

from typing import TYPE_CHECKING

from kingcuplug_common._clock import boot_time, make_latest_wall_clock, wall_ms
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
from kingcuplug_common._json_size import estimate_decoded_bytes
from kingcuplug_common._json_types import (
    MAX_AMOUNT,
    require_amount,
    require_boolean,
    require_count,
    require_integer,
    require_mapping,
    require_number,
    require_string,
    require_strings,
)
from kingcuplug_common._lazy_import import import_on_first_use
from kingcuplug_common._metrics import Metrics, log_state_change, set_state_change_sink
from kingcuplug_common._signals import handle_signals
from kingcuplug_common._supervision import supervise
from kingcuplug_common._threads import run_to_completion

if TYPE_CHECKING:
    from kingcuplug_common._exposition import render_metrics
    from kingcuplug_common._folder_lock import FolderInUse, FolderLock
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
        SettingsUnreadable,
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
    from kingcuplug_common._standard_error import (
        StandardErrorHandler,
        open_standard_descriptors,
        write_error_line,
    )
    from kingcuplug_common._telemetry import (
        TraceFileExporter,
        log_to_file,
        open_tracer,
        propagator,
    )

__all__ = [
    "MAX_AMOUNT",
    "Condition",
    "EventLog",
    "FolderInUse",
    "FolderLock",
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
    "SettingsUnreadable",
    "Signer",
    "StandardErrorHandler",
    "TlsSettings",
    "TraceFileExporter",
    "Verifier",
    "boot_time",
    "canonical",
    "digest",
    "estimate_decoded_bytes",
    "handle_signals",
    "import_on_first_use",
    "key_id",
    "load_settings",
    "log_state_change",
    "log_to_file",
    "make_latest_wall_clock",
    "not_run_refusal",
    "open_standard_descriptors",
    "open_tracer",
    "propagator",
    "random_identifier",
    "render_metrics",
    "request_span",
    "require_amount",
    "require_boolean",
    "require_count",
    "require_integer",
    "require_mapping",
    "require_number",
    "require_string",
    "require_strings",
    "run_to_completion",
    "set_state_change_sink",
    "start_hop",
    "supervise",
    "traced_entry",
    "traceparent",
    "wall_ms",
    "write_error_line",
]

__getattr__ = import_on_first_use(
    __name__,
    {
        "_exposition": ("render_metrics",),
        "_folder_lock": ("FolderInUse", "FolderLock"),
        "_receipts": ("Receipt", "ReceiptInvalid", "Signer", "Verifier", "key_id"),
        "_settings": (
            "HostSettings",
            "SettingsInvalid",
            "SettingsUnreadable",
            "TlsSettings",
            "load_settings",
        ),
        "_spans": ("Hop", "traced_entry", "request_span", "start_hop", "traceparent"),
        "_standard_error": (
            "StandardErrorHandler",
            "open_standard_descriptors",
            "write_error_line",
        ),
        "_telemetry": ("TraceFileExporter", "log_to_file", "propagator", "open_tracer"),
    },
)
