"""Composition of a host that serves callers and the control API in one process."""

from kingcuplug_node._errors import Elsewhere, RecordImplausible, ZoneUnknown
from kingcuplug_node._host import Host
from kingcuplug_node._process import run_process
from kingcuplug_node._settings import NodeSettings, SettingsUnusable

__all__ = [
    "Elsewhere",
    "Host",
    "NodeSettings",
    "RecordImplausible",
    "SettingsUnusable",
    "ZoneUnknown",
    "run_process",
]
