"""Test support: virtual-time event loop and fakes for network and disk."""

from kingcuplug_testkit._disk import Crashed, FakeDisk, FakeFileSystem, Trap
from kingcuplug_testkit._faults import FAULTS, Fault
from kingcuplug_testkit._invariants import Invariants, InvariantViolated
from kingcuplug_testkit._log_group import Host, LogGroup, RecordingMachine
from kingcuplug_testkit._matrix import Cell, CellResult, run_cell
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
from kingcuplug_testkit._steps import STEPS, Step
from kingcuplug_testkit._virtual_time import VirtualTimeLoop, run_virtual

__all__ = [
    "FAULTS",
    "KEY",
    "NOW_MS",
    "STEPS",
    "Cell",
    "CellResult",
    "Crashed",
    "FakeDisk",
    "FakeFileSystem",
    "FakeNetwork",
    "Fault",
    "Host",
    "HostProcess",
    "InvariantViolated",
    "Invariants",
    "LinkFaults",
    "LogGroup",
    "ProcessSet",
    "RecordingMachine",
    "Step",
    "Trap",
    "VirtualTimeLoop",
    "World",
    "echo",
    "order",
    "query",
    "run_cell",
    "run_virtual",
]
