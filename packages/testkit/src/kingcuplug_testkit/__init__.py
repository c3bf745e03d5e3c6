"""Test support: virtual-time event loop and fakes for network and disk."""

from kingcuplug_testkit._addresses import refusing_address
from kingcuplug_testkit._arrivals import most_in_window, poisson_count
from kingcuplug_testkit._disk import Failpoint, FakeDisk, FakeFileSystem, HostCrashed
from kingcuplug_testkit._faults import FAULTS, Fault
from kingcuplug_testkit._http_protocol import (
    RecordingExchange,
    RecordingTransport,
    encode_chunks,
)
from kingcuplug_testkit._invariants import InvariantChecker, InvariantViolated
from kingcuplug_testkit._log_group import Host, LogGroup, RecordingStateMachine
from kingcuplug_testkit._matrix import CellResult, MatrixCell, run_matrix_cell
from kingcuplug_testkit._network import FakeNetwork, LinkFaults
from kingcuplug_testkit._overload import (
    LoadPattern,
    OverloadResult,
    QueryKind,
    ideal_share,
    replay_overload,
)
from kingcuplug_testkit._processes import HostProcess, ProcessSet
from kingcuplug_testkit._query_harness import (
    IDEMPOTENCY_KEY,
    NOW_MS,
    QueryHarness,
    make_order,
    make_query,
    make_reply,
)
from kingcuplug_testkit._steps import PROTOCOL_STEPS, ProtocolStep
from kingcuplug_testkit._team_loads import FULL_QUERY, TEAM_LOADS, TEAM_NAMES
from kingcuplug_testkit._virtual_time import VirtualTimeLoop, run_virtual

__all__ = [
    "FAULTS",
    "FULL_QUERY",
    "IDEMPOTENCY_KEY",
    "NOW_MS",
    "PROTOCOL_STEPS",
    "TEAM_LOADS",
    "TEAM_NAMES",
    "CellResult",
    "Failpoint",
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
    "LoadPattern",
    "LogGroup",
    "MatrixCell",
    "OverloadResult",
    "ProcessSet",
    "ProtocolStep",
    "QueryHarness",
    "QueryKind",
    "RecordingExchange",
    "RecordingStateMachine",
    "RecordingTransport",
    "VirtualTimeLoop",
    "encode_chunks",
    "ideal_share",
    "make_order",
    "make_query",
    "make_reply",
    "most_in_window",
    "poisson_count",
    "refusing_address",
    "replay_overload",
    "run_matrix_cell",
    "run_virtual",
]
