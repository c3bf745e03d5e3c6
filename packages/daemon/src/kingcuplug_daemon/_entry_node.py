"""The entry role of a host: its session, routing and request execution."""

import asyncio
import random
from collections.abc import Sequence

from kingcuplug_common import HostSettings, Metrics, boot_time, wall_ms
from kingcuplug_configuration import Service
from kingcuplug_ledger import LedgerClient
from kingcuplug_membership import ConfigurationSink, MembershipSettings, SessionClient
from kingcuplug_query import (
    BackgroundTasks,
    HttpBackendClient,
    OrderExecutor,
    QueryExecutor,
)
from kingcuplug_routing import CrashGuard, RoutingPolicy
from opentelemetry.trace import Tracer

from kingcuplug_daemon._claim_holders import ClaimHolderTracker
from kingcuplug_daemon._crash_verdicts import CrashVerdictExchange
from kingcuplug_daemon._entry_configuration import (
    EntryConfiguration,
    RoutingPolicyFactory,
)
from kingcuplug_daemon._leader_client import LeaderClient
from kingcuplug_daemon._peer_client import PeerClient
from kingcuplug_daemon._router_updater import RouterUpdater
from kingcuplug_daemon._supervision import run_supervised
from kingcuplug_daemon._tls import client_context, reload_identity
from kingcuplug_daemon._tracing import traced_session, traced_submit

__all__ = ["EntryNode", "routing_policy_for"]

_SESSION_TIMEOUT_S = 2.0
_DRAIN_TIMEOUT_S = 30.0


def routing_policy_for(service: Service) -> RoutingPolicy:
    """Return the routing policy that a service's configuration sets."""
    return RoutingPolicy(
        hedge_budget=service.policy.hedge_budget,
        retry_budget=service.policy.retry_budget,
        urgent_reserve=service.policy.urgent_reserve,
    )


class EntryNode:
    """An entry host's state.

    Parameters
    ----------
    settings : HostSettings
        Settings of this host.
    caller_address : str
        Address to which backend servers send their lease renewals.
    incarnation : int
        Greater after each restart of this host.
    peers : PeerClient
        Calls control hosts.
    leader_client : LeaderClient
        Sends commands to the leader of the log.
    metrics : Metrics
        Counters.
    tracer : Tracer
        Creates a span per exchange of the session.
    policy_factory : callable
        Returns the routing policy of a service.
    """

    def __init__(
        self,
        settings: HostSettings,
        caller_address: str,
        incarnation: int,
        peers: PeerClient,
        leader_client: LeaderClient,
        seeds: Sequence[str],
        metrics: Metrics,
        tracer: Tracer,
        policy_factory: RoutingPolicyFactory = routing_policy_for,
        membership_settings: MembershipSettings | None = None,
    ) -> None:
        zone = settings.availability_zone
        self.background_tasks = BackgroundTasks()
        self.crash_guard = CrashGuard()
        self._backend_tls = settings.backend_tls
        self._backend_context = client_context(settings.backend_tls)
        self.backend_client = HttpBackendClient(self._backend_context)
        self.configuration = EntryConfiguration(
            settings.services, policy_factory, random.Random()
        )
        self.session = SessionClient(
            settings.host,
            incarnation,
            zone,
            caller_address,
            lambda: seeds,
            ConfigurationSink(
                self.configuration.current_revision,
                self.configuration.apply,
                self.configuration.routed_services,
            ),
            traced_session(
                peers.bind_path("/peer/v1/session", _SESSION_TIMEOUT_S), tracer
            ),
            boot_time,
            membership_settings,
        )
        self._router_updater = RouterUpdater(
            self.session,
            lambda: self.configuration.view,
            self.backend_client,
            self.crash_guard,
        )
        self.configuration.on_change = self._router_updater.update_all
        self._crash_verdicts = CrashVerdictExchange(self.session, self.crash_guard)
        self.queries = QueryExecutor(
            self.backend_client.send,
            self.backend_client.cancel,
            self.crash_guard,
            metrics,
            self.background_tasks,
            zone,
        )
        self.orders = OrderExecutor(
            LedgerClient(
                traced_submit(leader_client.submit), settings.host, incarnation, wall_ms
            ),
            self.backend_client.send,
            self.crash_guard,
            metrics,
            self.background_tasks,
            zone,
            ClaimHolderTracker(self.session, self.background_tasks).has_ended,
            self.backend_client.is_reachable,
        )
        self._background_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the session, the router updates and the exchange of crash verdicts."""
        self._background_task = asyncio.create_task(self._run_exchanges())

    def reload(self) -> None:
        """Reload the certificates for backend servers, for new connections."""
        reload_identity(self._backend_context, self._backend_tls)

    async def stop(self) -> None:
        """Wait for attempts in flight, then end the session."""
        await self.background_tasks.drain(_DRAIN_TIMEOUT_S)
        if self._background_task is not None:
            self._background_task.cancel()
            await asyncio.gather(self._background_task, return_exceptions=True)
        await self.backend_client.close()

    async def abort(self) -> None:
        """Stop without waiting for attempts in flight, as a crash does."""
        if self._background_task is not None:
            self._background_task.cancel()
            await asyncio.gather(self._background_task, return_exceptions=True)
        await self.background_tasks.drain(0)
        await self.backend_client.close()

    async def _run_exchanges(self) -> None:
        await run_supervised(
            self.session.run, self._router_updater.run, self._crash_verdicts.run
        )
