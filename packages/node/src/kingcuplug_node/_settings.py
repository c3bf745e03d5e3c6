"""Settings of a host that serves callers and control at once."""

import math
from dataclasses import dataclass
from pathlib import Path

from kingcuplug_routing import AllowanceSettings

__all__ = ["NodeSettings"]


@dataclass(frozen=True)
class NodeSettings:
    """Settings of one host.

    Attributes
    ----------
    caller_address, ready_address, control_address, metrics_address : str
        ``ip:port`` of the listeners. Backend servers, operators and the other
        hosts of the system use the control address.
    control_bind_address : str or None
        Where the control listener listens if others reach it by another address.
    seeds : tuple of str
        Control addresses of hosts that may know the others.
    first_start : bool
        Whether the whole system starts for the first time, with empty disks.
    data_folder : Path or None
        Where the replicated log lives; a host without one keeps no state.
    heartbeat_ms : int
        Interval at which backend servers announce themselves.
    grace_ms : int
        From SIGTERM to SIGKILL.
    serve_without_control : bool
        Whether a host that is cut off from control serves by what it holds. If not,
        it refuses callers once its lease is over, so that no superseded routes are
        in force anywhere.
    control_lease_ms : int
        How long after its last confirmed word from control a host may serve in the
        second case.
    processor_cores : float
        Share of processor cores that the host may use.
    link_mbps : float
        Bandwidth of the host's link, infinite if nothing limits it.
    """

    host: str
    availability_zone: str
    caller_address: str
    ready_address: str
    control_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    first_start: bool
    data_folder: Path | None
    heartbeat_interval_ms: int
    termination_grace_ms: int
    retry_budget: AllowanceSettings
    processor_cores: float = 1.0
    link_mbps: float = math.inf
    control_bind_address: str | None = None
    serve_without_control: bool = True
    control_lease_ms: int = 3_000
