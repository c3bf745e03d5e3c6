"""Test support: virtual-time event loop and fakes for network and disk."""

from kingcuplug_testkit._disk import FakeDisk, FakeFileSystem, HostCrashed, Trap
from kingcuplug_testkit._faults import FAULTS, Fault
from kingcuplug_testkit._invariants import InvariantChecker, InvariantViolated
from kingcuplug_testkit._log_group import Host, LogGroup, RecordingStateMachine
from kingcuplug_testkit._matrix import CellResult, MatrixCell, run_cell
from kingcuplug_testkit._network import FakeNetwork, LinkFaults
from kingcuplug_testkit._processes import HostProcess, ProcessSet
from kingcuplug_testkit._query_harness import (
    KEY,
    NOW_MS,
    World,
    echo,
    order,
    query,
)
from kingcuplug_testkit._steps import STEPS, ProtocolStep
from kingcuplug_testkit._virtual_time import VirtualTimeLoop, run_virtual

__all__ = [
    "FAULTS",
    "KEY",
    "NOW_MS",
    "STEPS",
    "CellResult",
    "FakeDisk",
    "FakeFileSystem",
    "FakeNetwork",
    "Fault",
    "Host",
    "HostCrashed",
    "HostProcess",
    "InvariantChecker",
    "InvariantViolated",
    "LinkFaults",
    "LogGroup",
    "MatrixCell",
    "ProcessSet",
    "ProtocolStep",
    "RecordingStateMachine",
    "Trap",
    "VirtualTimeLoop",
    "World",
    "echo",
    "order",
    "query",
    "run_cell",
    "run_virtual",
]
