"""Reports of a host to control, and what it applies before each of them."""

import asyncio
from collections.abc import Callable

from kingcuplug_fleet import ControlHostPoller, FleetView, Mesh, Report
from kingcuplug_gateway import Gateway

from kingcuplug_node._cold_server_log import ColdServerLog

__all__ = ["apply_quotas", "send_reports"]

# Until a report reaches all hosts, each of them sends queries to a server that has
# become slow, and admits requests of a team that has just exceeded its quota.
_REPORT_INTERVAL_S = 0.3


async def send_reports(
    gateway: Gateway,
    view: FleetView,
    mesh: Mesh,
    poller: ControlHostPoller,
    is_connected_control_host: Callable[[], bool],
    cold_log: ColdServerLog,
) -> None:
    """Send what the gateway has counted and measured, until cancelled."""
    loop, servers, quotas = asyncio.get_running_loop(), gateway.servers, gateway.quotas
    quarantine = gateway.quarantine
    while True:
        await asyncio.sleep(_REPORT_INTERVAL_S)
        now = loop.time()
        servers.share_limits(view.demand, now)
        cold_log.record(servers.cold_servers(), now)
        quarantine.apply(view.suspects, now)
        apply_quotas(gateway, view, poller)
        report = Report(
            servers.pop_samples(),
            servers.pop_request_count(),
            servers.pop_demand(),
            *quarantine.pop_report(now),
            quotas.pop_counts(now),
        )
        if is_connected_control_host():
            mesh.receive_report(report)
        elif not await poller.report(report):
            servers.restore_demand(report.demand)
            quarantine.restore_report(report.suspects, report.answered, now)
            quotas.restore_counts(report.quotas)


def apply_quotas(gateway: Gateway, view: FleetView, poller: ControlHostPoller) -> None:
    """Give the gate the ratios, and when they were last known to be the newest."""
    contact_at = max(view.quotas.known_at, poller.confirmed_at)
    gateway.quotas.set_fleet(view.quotas.ratios, view.host_count, contact_at)
