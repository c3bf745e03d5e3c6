"""The configuration text: models, validation, deltas and history."""

from kingcuplug_configuration._commands import (
    Accepted,
    ApplyConfiguration,
    CommandInvalid,
    Conflict,
    Rejected,
    Result,
    result_from_json,
)
from kingcuplug_configuration._delta import (
    Delta,
    DigestMismatch,
    apply_deltas,
    compute_delta,
    describe_changes,
    merge_deltas,
    patch,
)
from kingcuplug_configuration._faults import ConfigurationFault
from kingcuplug_configuration._history import (
    Change,
    ConfigurationHistory,
    DumpInvalid,
    Revision,
)
from kingcuplug_configuration._models import (
    ConfigurationText,
    Policy,
    Service,
    render,
    text_digest,
)
from kingcuplug_configuration._parse import parse

__all__ = [
    "Accepted",
    "ApplyConfiguration",
    "Change",
    "CommandInvalid",
    "ConfigurationFault",
    "ConfigurationHistory",
    "ConfigurationText",
    "Conflict",
    "Delta",
    "DigestMismatch",
    "DumpInvalid",
    "Policy",
    "Rejected",
    "Result",
    "Revision",
    "Service",
    "apply_deltas",
    "compute_delta",
    "describe_changes",
    "merge_deltas",
    "parse",
    "patch",
    "render",
    "result_from_json",
    "text_digest",
]
