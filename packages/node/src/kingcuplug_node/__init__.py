"""Composition of a host that serves callers and the control API in one process."""

from kingcuplug_node._host import Elsewhere, Host, RecordImplausible
from kingcuplug_node._process import run_process
from kingcuplug_node._settings import NodeSettings, SettingsUnusable

__all__ = [
    "Elsewhere",
    "Host",
    "NodeSettings",
    "RecordImplausible",
    "SettingsUnusable",
    "run_process",
]
