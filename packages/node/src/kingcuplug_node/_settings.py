"""Settings of a host that serves callers and the control API in one process."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from kingcuplug_common import KingcuplugError
from kingcuplug_routing import RetryBudgetSettings, ZoneRegions

__all__ = ["NodeSettings", "SettingsUnusable"]


class SettingsUnusable(KingcuplugError):
    """The settings cannot be read, lack a value, or hold an invalid one.

    Parameters
    ----------
    cause : str
        What is wrong with them.
    """

    def __init__(self, cause: str) -> None:
        super().__init__(
            f"the settings are unusable: {cause}", "write a complete settings file"
        )


@dataclass(frozen=True)
class NodeSettings:
    """Settings of one host.

    Attributes
    ----------
    caller_address, ready_address, control_address, metrics_address : str
        ``ip:port`` of the listeners. Backend servers, operators and the other
        hosts of the system use the control address.
    control_bind_address : str or None
        Address that the control listener binds to, if it differs from the address by
        which others reach it.
    seeds : tuple of str
        Control addresses by which a host finds the others and joins the replicated log.
    first_start : bool
        Whether the whole system starts for the first time, with empty disks.
    data_folder : Path or None
        Folder of the replicated log; a host without one keeps no state.
    heartbeat_interval_ms : int
        Interval at which backend servers send heartbeats.
    termination_grace_ms : int
        Time from SIGTERM to SIGKILL.
    serve_without_control : bool
        Whether a host without contact to control serves by the routes that it holds.
        If not, it refuses callers when its lease has expired, so that no host applies
        superseded routes.
    control_lease_ms : int
        How long after its last confirmed contact with control a host may serve if
        `serve_without_control` is false.
    processor_cores : float
        Share of processor cores that the host may use.
    tolerated_losses : int
        Number of control hosts that may lose their disks at the same time.
    tolerated_zones : int
        Number of availability zones whose control hosts may all lose their disks at
        the same time.
    zone_regions : mapping or None
        Region of each availability zone that exists; ``None`` if not stated.
    region : str
        Region of this host, empty if unknown.
    link_mbps : float
        Bandwidth of the host's link, infinite if nothing limits it.
    memory_mb : float
        Megabytes of memory that the process may use, infinite if nothing limits it.
    max_descriptors : float
        Number of descriptors that the process may open, if that is less than the
        kernel's limit.
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
    retry_budget: RetryBudgetSettings
    processor_cores: float = 1.0
    link_mbps: float = math.inf
    control_bind_address: str | None = None
    serve_without_control: bool = True
    control_lease_ms: int = 3_000
    tolerated_losses: int = 1
    memory_mb: float = math.inf
    max_descriptors: float = math.inf
    tolerated_zones: int = 0
    zone_regions: Mapping[str, str] | None = None
    region: str = ""

    @property
    def regions(self) -> ZoneRegions:
        """Regions of the zones, and of this host."""
        return ZoneRegions(self.zone_regions or {}, self.availability_zone, self.region)
