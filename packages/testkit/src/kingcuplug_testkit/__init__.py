"""Test support: virtual-time event loop and fakes for network and disk."""

from kingcuplug_testkit._disk import Crashed, FakeDisk, FakeFileSystem, Trap
from kingcuplug_testkit._invariants import Invariants, InvariantViolated
from kingcuplug_testkit._log_group import Host, LogGroup, RecordingMachine
from kingcuplug_testkit._network import FakeNetwork, LinkFaults
from kingcuplug_testkit._processes import HostProcess, ProcessSet
from kingcuplug_testkit._query_world import (
    KEY,
    NOW_MS,
    World,
    echo,
    order,
    query,
)
from kingcuplug_testkit._virtual_time import VirtualTimeLoop, run_virtual

__all__ = [
    "KEY",
    "NOW_MS",
    "Crashed",
    "FakeDisk",
    "FakeFileSystem",
    "FakeNetwork",
    "Host",
    "HostProcess",
    "InvariantViolated",
    "Invariants",
    "LinkFaults",
    "LogGroup",
    "ProcessSet",
    "RecordingMachine",
    "Trap",
    "VirtualTimeLoop",
    "World",
    "echo",
    "order",
    "query",
    "run_virtual",
]
