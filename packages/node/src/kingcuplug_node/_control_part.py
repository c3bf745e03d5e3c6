"""The part of a host in control: a replica, a seed without a disk, or none.

The parts are imported on first use, because other hosts do not need them to start.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from kingcuplug_common import EventLog, Metrics
from kingcuplug_fleet import FleetView, PeerClient, RouteRegister

from kingcuplug_node._settings import NodeSettings

if TYPE_CHECKING:
    from kingcuplug_fleet import ControlReplica, DisklessSeed

__all__ = ["make_diskless_seed", "make_replica"]


def make_replica(
    settings: NodeSettings,
    client: PeerClient,
    register: RouteRegister,
    view: FleetView,
    log: EventLog,
    metrics: Metrics,
) -> "ControlReplica | None":
    """Return the replica of a host with a disk."""
    if settings.data_folder is None:
        return None
    from kingcuplug_fleet import ControlReplica, ControlReplicaSettings

    return ControlReplica(
        ControlReplicaSettings(
            settings.host,
            settings.control_address,
            settings.data_folder,
            settings.seeds,
            settings.first_start,
            settings.tolerated_losses,
            settings.tolerated_zones,
            settings.availability_zone,
        ),
        client,
        register,
        lambda: set(view.control_hosts),
        log,
        metrics,
    )


def make_diskless_seed(
    settings: NodeSettings,
    client: PeerClient,
    has_leader: Callable[[], bool],
    log: EventLog,
) -> "DisklessSeed | None":
    """Return the part of a seed without a disk in the founding of the group.

    Parameters
    ----------
    has_leader : callable
        Return whether a control host with a leader has been found.
    """
    is_seed = settings.control_address in settings.seeds
    if settings.data_folder is not None or not is_seed:
        return None
    from kingcuplug_fleet import DisklessSeed, DiskTolerance

    return DisklessSeed(
        settings.control_address,
        settings.seeds,
        settings.first_start,
        DiskTolerance(settings.tolerated_losses, settings.tolerated_zones),
        client,
        has_leader,
        log,
    )
