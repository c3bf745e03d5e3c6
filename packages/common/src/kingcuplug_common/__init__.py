"""Errors, digests, settings, telemetry and receipts shared by all packages."""

from kingcuplug_common._digest import canonical, digest, identifier
from kingcuplug_common._errors import (
    KingcuplugError,
    Refusal,
    RefusalKind,
    RefusalReason,
    not_run,
)
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
    Metrics,
    TraceFile,
    log_to,
    propagator,
    state_change,
    tracer,
)

__all__ = [
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
    "TraceFile",
    "Verifier",
    "canonical",
    "digest",
    "entering",
    "identifier",
    "key_id",
    "load_settings",
    "log_to",
    "not_run",
    "propagator",
    "request_span",
    "start_hop",
    "state_change",
    "traceparent",
    "tracer",
]
