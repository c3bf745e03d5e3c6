"""One host: listeners, fleet view, control replica, startup and shutdown."""

import asyncio
import contextlib
import gc
import math
import random as random_module
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial, wraps
from typing import TYPE_CHECKING, Any

from kingcuplug_common import (
    EventLog,
    Metrics,
    estimate_decoded_bytes,
    handle_signals,
    make_latest_wall_clock,
    require_string,
    require_strings,
    set_state_change_sink,
    supervise,
)
from kingcuplug_fleet import (
    CALL_ID_HEADER,
    FOUND_PATH,
    INTRODUCE_PATH,
    POLL_PATH,
    PUSH_PATH,
    REPORT_PATH,
    WITHOUT_DISK_REPLY,
    ControlHostPoller,
    CoreUnavailable,
    DirectoryFile,
    FleetView,
    Mesh,
    PeerClient,
    PeerFailed,
    PeerRefused,
    PeerUnreachable,
    Report,
    RouteRegister,
    RoutesFile,
    ServerRecord,
    ServerState,
    answer_poll,
    decode_body,
    encode_body,
    introduce_control_hosts,
)
from kingcuplug_gateway import (
    Gateway,
    GatewaySettings,
    HeaderNames,
    HostAddress,
    NotGathering,
    NotRelaying,
    RelayPeers,
    RouteTable,
    ServerInfo,
)
from kingcuplug_http import (
    HoldKind,
    Limits,
    Listener,
    Request,
    Response,
    error_response,
    process_budget,
    process_descriptors,
)

from kingcuplug_node._cold_server_log import ColdServerLog
from kingcuplug_node._control_part import make_diskless_seed, make_replica
from kingcuplug_node._errors import Elsewhere, RecordImplausible
from kingcuplug_node._evacuation_orders import EvacuationOrders
from kingcuplug_node._listening import Endpoint, listen_when_free, try_listen
from kingcuplug_node._memory_alarm import MemoryAlarm
from kingcuplug_node._metrics_address import metrics_response, serve_metrics_address
from kingcuplug_node._process_resources import (
    count_open_descriptors,
    peak_resident_bytes,
    resident_bytes,
)
from kingcuplug_node._reporting import apply_quotas, send_reports
from kingcuplug_node._settings import NodeSettings, SettingsUnusable

if TYPE_CHECKING:
    from kingcuplug_fleet import ControlReplica

__all__ = ["Host"]

_PEER_PREFIX = b"/peer/"
_GATHER_PATH = "/peer/v2/gather"
_RELAY_PATH = "/peer/v2/relay"
_HOSTS_PATH = "/peer/v2/hosts"
# A host that is cut off from its servers asks so many control hosts for other hosts,
# each of which names so many.
_MAX_ASKED_CONTROL_HOSTS = 4
_MAX_NAMED_HOSTS = 16
_LIST_HOSTS_TIMEOUT_S = 0.3
_MS_PER_S = 1_000
# A server is marked silent after this many heartbeat intervals without a heartbeat.
_SILENT_AFTER_INTERVALS = 3.5
_UPKEEP_INTERVAL_S = 0.25
# The answer margin covers late timers and the transmission of the response. The merge
# time is what a whole core needs to merge and write a query's response of 36 shards.
_ANSWER_MARGIN_MS = 4.0
_MERGE_CPU_MS = 4.0
# Of a query whose parts are gathered, a host merges the replies of two or three hosts.
_GATHERED_MERGE_CPU_MS = 1.0
_SETTINGS_POLL_INTERVAL_S = 1.0
_BYTES_PER_MB = 1_000_000
# The rest is for the program, its state, and copies of what connections hold.
_CONNECTIONS_MEMORY_RATIO = 0.25
_MEMORY_POLL_INTERVAL_S = 0.5
# Share of all descriptors that connections to the control port leave free; those of
# callers leave more.
_CONTROL_RESERVED_RATIO = 0.0625
# Clocks of hosts and servers differ by far less.
_MAX_START_AHEAD_MS = 86_400_000
# The load balancer sends new callers until two readiness checks, one second apart, have
# failed and it has removed the host; their requests must end within the grace period.
_MAX_DRAIN_S = 3.2
_DRAIN_GRACE_RATIO = 0.55
# Reserved at the end of the grace period to flush the log and exit.
_EXIT_MARGIN_S = 0.5
_DRAIN_POLL_INTERVAL_S = 0.02
_EXPIRY_FLUSH_S = 0.1  # Time to send the last responses before the connections close.
# A connection that was accepted, or answered, within this time may be about to bring a
# request; closing it would cut off that request.
_DRAIN_MIN_IDLE_S = 0.4
# A disk that takes longer to read the saved state does not keep the host from others.
_DATA_WAIT_S = 0.25
# A control host that answers within this time after the start knows newer routes than
# the file of this host may hold.
_SAVED_ROUTES_DELAY_S = 0.05
# How long the acknowledgement of a leaving server waits for the disk of this host. The
# server's client tries another host after one second.
_DEPARTURE_SAVE_TIMEOUT_S = 0.35
# Operators may send large documents, and hosts send complete server directories.
_CONTROL_HTTP_LIMITS = Limits(
    max_body_bytes=16_777_216, header_timeout_ms=5_000, idle_timeout_ms=20_000
)

ControlHandler = Callable[[Request], Awaitable[Response]]
BackgroundTask = Callable[[], Coroutine[Any, Any, None]]


class Host:
    """Serves callers, and the control API of backend servers, operators and hosts.

    Parameters
    ----------
    decode_routes : callable
        Decodes a committed route document into a route table.
    read_settings : callable
        Returns the current settings, or raises `SettingsUnusable`.

    Attributes
    ----------
    evacuation : EvacuationOrders
        Takes the orders of operators to evacuate availability zones.
    """

    def __init__(
        self,
        settings: NodeSettings,
        header_names: HeaderNames,
        decode_routes: Callable[[str], RouteTable],
        read_settings: Callable[[], NodeSettings],
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._decode_routes = decode_routes
        self._read_settings = read_settings
        self._log = log
        self._metrics = Metrics()
        self._peer_client = PeerClient()
        self._stop_requested = asyncio.Event()
        self._stopping = False
        self._data_guarded = asyncio.Event()
        self._data_opened = asyncio.Event()
        self._saved_routes: tuple[int, str] | None = None
        self._random = random_module.Random()
        self._latest_time_s = make_latest_wall_clock(lambda: time.time())
        silent_after_s = (
            settings.heartbeat_interval_ms * _SILENT_AFTER_INTERVALS / _MS_PER_S
        )
        self._fleet_view = FleetView(silent_after_s)
        self._route_register = RouteRegister(self._on_routes_changed)
        self._gateway = Gateway(
            GatewaySettings(
                settings.availability_zone,
                header_names,
                settings.retry_budget,
                answer_margin_ms=_ANSWER_MARGIN_MS
                + _MERGE_CPU_MS / settings.processor_cores,
                gathered_margin_ms=_ANSWER_MARGIN_MS
                + _GATHERED_MERGE_CPU_MS / settings.processor_cores,
                link_mbps=settings.link_mbps,
                regions=settings.regions,
            ),
            log,
            self._metrics,
            call_peer=self._call_gatherer,
            relay_peers=RelayPeers(self._call_relay, self._list_hosts),
        )
        self.evacuation = EvacuationOrders(
            self._require_replica, settings.zone_regions, self._gateway.servers, log
        )
        self._caller_listener = Listener(
            self._handle_caller_request, self._gateway.limits
        )
        if settings.memory_mb < math.inf:
            process_budget.max_bytes = int(
                settings.memory_mb * _BYTES_PER_MB * _CONNECTIONS_MEMORY_RATIO
            )
        process_descriptors.max_open = min(
            process_descriptors.max_open, settings.max_descriptors
        )
        self._control_listener: Listener | None = None
        self._started_at = asyncio.get_running_loop().time()
        self._replica = make_replica(
            settings,
            self._peer_client,
            self._route_register,
            self._fleet_view,
            log,
            self._metrics,
        )
        self._diskless_seed = make_diskless_seed(
            settings,
            self._peer_client,
            lambda: self._poller.control_host is not None,
            log,
        )
        self._directory_file: DirectoryFile | None = None
        self._routes_file: RoutesFile | None = None
        if settings.data_folder is not None:
            folder = settings.data_folder
            self._directory_file = DirectoryFile(folder, self._fleet_view, log)
            self._routes_file = RoutesFile(folder, self._route_register, log)
        self._mesh = Mesh(
            settings.host,
            self._fleet_view,
            self._peer_client,
            settings.control_address,
            settings.availability_zone,
            lambda: self._replica.leader() if self._replica is not None else None,
            log,
        )
        self._poller = ControlHostPoller(
            settings.host,
            self._fleet_view,
            self._peer_client,
            lambda: self._settings.seeds,
            self._is_connected_control_host,
            settings.control_address,
            settings.availability_zone,
            log,
        )
        self._fleet_view.quotas.on_ratios = partial(
            apply_quotas, self._gateway, self._fleet_view, self._poller
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""
        has_routes = self._gateway.table is not None and self._may_serve()
        return has_routes and self._gateway.can_serve and not self._stopping

    async def receive_heartbeat(self, record: ServerRecord) -> str:
        """Record a heartbeat of a backend server.

        Returns
        -------
        str
            The address for the server's next heartbeats: a control host in its
            availability zone if one is reachable, because traffic between
            availability zones is charged.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host keeps no state.
        RecordImplausible
            If the server's start is too far in the future. It would have the address
            of any other server for as long, as the one that started last.
        """
        now_ms = int(self._latest_time_s() * _MS_PER_S)
        if record.start_ms > now_ms + _MAX_START_AHEAD_MS:
            # If this host's clock is wrong, all servers are rejected.
            self._log.write(
                "server_implausible",
                {"server": record.id, "born_ms": record.start_ms, "clock_ms": now_ms},
            )
            raise RecordImplausible(record)
        self._require_replica()
        changed = self._fleet_view.merge_servers([record], direct=True)
        self._mesh.record_heartbeat(record)
        own_address = self._settings.control_address
        next_address = own_address
        if record.availability_zone != self._settings.availability_zone:
            same_zone_address = self._fleet_view.control_host_in_zone(
                record.availability_zone, record.id
            )
            next_address = same_zone_address or own_address
        if not changed:
            return next_address
        self._log.write(
            "server_learnt",
            {
                "server": record.id,
                "service": record.service,
                "state": record.state.value,
                "sequence": record.sequence,
                "born_ms": record.start_ms,
            },
        )
        if record.state is not ServerState.READY:
            await self._secure_departure(record)
        return next_address

    async def _secure_departure(self, record: ServerRecord) -> None:
        """Wait until a leaving server is known elsewhere and on this host's disk.

        Neither wait may keep the acknowledgement: a server that gets none leaves
        anyway.
        """
        waits: list[Coroutine[Any, Any, bool]] = [self._mesh.replicate(record)]
        if self._directory_file is not None:
            waits.append(self._directory_file.wait_saved(_DEPARTURE_SAVE_TIMEOUT_S))
        replicated, *saved = await asyncio.gather(*waits)
        if not replicated and not any(saved):
            self._log.write("departure_unsecured", {"server": record.id})

    async def deregister_server(self, server_id: str, start_ms: int | None) -> None:
        """Mark a backend server as stopped, so that it receives no more requests.

        A deregistration of an earlier start of the server is ignored.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host keeps no state.
        """
        self._require_replica()
        record = self._fleet_view.directory.find(server_id)
        if record is None or (start_ms is not None and start_ms < record.start_ms):
            return
        await self.receive_heartbeat(record.ended())

    async def submit_routes(self, version: int, document: str) -> None:
        """Commit a route document to the replicated log.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host keeps no state or the commit was not confirmed.
        """
        committed_version = await self._require_replica().submit(version, document)
        self._log.write(
            "routes_accepted",
            {"version": version, "held": committed_version},
            bypass_rate_limit=True,
        )

    async def read_routes(self) -> str:
        """Return the latest committed route document, empty if there is none.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host cannot confirm that its document is the latest one.
        """
        register = await self._require_replica().read()
        return register.document

    async def run(self, control_handler: ControlHandler) -> None:
        """Serve until SIGTERM, then drain requests in progress and stop.

        Parameters
        ----------
        control_handler : callable
            Handles calls of backend servers and operators.
        """
        handlers: dict[signal.Signals, Callable[[], None]] = {
            signal.SIGTERM: self._stop_requested.set,
            signal.SIGINT: self._stop_requested.set,
            signal.SIGHUP: self._reload_settings,
        }
        # Those that arrived during the start are pending.
        with handle_signals(handlers):
            await self._run(control_handler)

    async def _run(self, control_handler: ControlHandler) -> None:
        self._observe_errors()
        self._log.write("started", {"zone": self._settings.availability_zone}, True)
        endpoints = self._make_endpoints(control_handler)
        # Other hosts learn of this one only once it listens, if its addresses are free.
        waiting = [e for e in endpoints if await try_listen(e, self._log) is not None]
        gc.freeze()
        tasks = [asyncio.create_task(self._supervise(self._open_data))]
        if self._data_guarded.is_set():
            # Other hosts get to know the saved drains by the first messages.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._data_opened.wait(), _DATA_WAIT_S)
        starts: list[BackgroundTask] = [
            *(partial(listen_when_free, endpoint, self._log) for endpoint in waiting),
            *self._background_tasks(),
        ]
        tasks += [asyncio.create_task(self._supervise(start)) for start in starts]
        await self._stop_requested.wait()
        leaving = [] if self._replica is None else [self._replica.leave()]
        await asyncio.gather(self._drain(), *leaving)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The control address last: the next process uses the data folder once it is
        # free.
        for endpoint in reversed(endpoints):
            await endpoint.listener.stop()
        self._gateway.close()
        self._peer_client.close()
        self._log.write("stopped", {}, bypass_rate_limit=True)
        self._log.flush()

    def _make_endpoints(self, control_handler: ControlHandler) -> list[Endpoint]:
        """Return all listeners, that of the control API first."""
        settings = self._settings
        control_listener = Listener(
            self._make_control_handler(control_handler),
            lambda: _CONTROL_HTTP_LIMITS,
            reserved_ratio=_CONTROL_RESERVED_RATIO,
        )
        self._control_listener = control_listener
        readiness_listener = Listener(
            self._handle_readiness_probe,
            lambda: _CONTROL_HTTP_LIMITS,
            reserved_ratio=_CONTROL_RESERVED_RATIO,
        )
        metrics_listener = Listener(
            partial(serve_metrics_address, self._gateway, self._handle_metrics_request),
            lambda: _CONTROL_HTTP_LIMITS,
            reserved_ratio=_CONTROL_RESERVED_RATIO,
        )
        return [
            Endpoint(
                "control",
                control_listener,
                settings.control_bind_address or settings.control_address,
                self._data_guarded.set,
            ),
            Endpoint("readiness", readiness_listener, settings.ready_address),
            Endpoint("metrics", metrics_listener, settings.metrics_address),
            Endpoint("callers", self._caller_listener, settings.caller_address),
        ]

    async def _open_data(self) -> None:
        """Begin to use the data folder, which the control address guards.

        A process that still listens there, or stops, may write to the folder.
        """
        await self._data_guarded.wait()
        if self._directory_file is not None:
            await self._directory_file.load()
        if self._routes_file is not None:
            self._saved_routes = await self._routes_file.load()
        self._data_opened.set()

    def _background_tasks(self) -> list[BackgroundTask]:
        tasks: list[BackgroundTask] = [
            self._log.run,
            self._apply_changes,
            self._poller.run,
            self._watch_settings,
            self._prune_servers,
            self._probe_gatherers,
            self._send_reports,
            self._watch_memory,
        ]
        if self._directory_file is not None:
            tasks.append(self._once_data_is_open(self._directory_file.run))
        if self._routes_file is not None:
            tasks.append(self._once_data_is_open(self._use_saved_routes))
            tasks.append(self._once_data_is_open(self._routes_file.run))
        if self._diskless_seed is not None:
            tasks.append(self._diskless_seed.run)
        if self._replica is not None:
            tasks += [
                self._once_data_is_open(self._replica.run),
                self._mesh.run,
                partial(self._update_control_hosts, self._replica),
                partial(
                    introduce_control_hosts,
                    self._fleet_view,
                    self._peer_client,
                    lambda: self._settings.seeds,
                    self._is_connected_control_host,
                    self._settings.control_address,
                ),
            ]
        return tasks

    def _once_data_is_open(self, start: BackgroundTask) -> BackgroundTask:
        """Return a task that waits until this process may use the data folder."""

        @wraps(start)
        async def run() -> None:
            await self._data_opened.wait()
            await start()

        return run

    async def _supervise(self, start: BackgroundTask) -> None:
        """Run a background task, and start it again if it raises an exception.

        One unexpected error must not stop the process: the same message may reach all
        hosts.
        """
        await supervise(start, self._report_failure)

    def _report_failure(self, task: str, error: Exception) -> None:
        self._metrics.count("errors.task_failed")
        self._log.write("task_failed", {"task": task, "error": repr(error)})

    def _observe_errors(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)
        set_state_change_sink(
            lambda subject, state, fields: self._log.write(
                f"{subject}_changed", {"state": state, **fields}
            )
        )

    def _on_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get("exception")
        self._metrics.count("errors.unexpected")
        self._log.write(
            "unexpected_error", {"message": context["message"], "error": repr(error)}
        )

    def _may_serve(self) -> bool:
        """Return whether requests may be served by the routes that this host holds.

        A host without contact to control does so by setting, or until its lease ends.
        """
        if self._settings.serve_without_control or self._is_connected_control_host():
            return True
        since_contact_s = asyncio.get_running_loop().time() - self._poller.confirmed_at
        return since_contact_s * _MS_PER_S < self._settings.control_lease_ms

    async def _handle_caller_request(self, request: Request) -> Response:
        if not self._may_serve():
            self._metrics.count("requests.without_control")
            return error_response(503, "no contact with control", retry_after_s=1.0)
        return await self._gateway.handle(request)

    async def _use_saved_routes(self) -> None:
        """Serve by the routes on the disk unless newer ones are known soon."""
        await asyncio.sleep(_SAVED_ROUTES_DELAY_S)
        if self._saved_routes is None:
            return
        version, document = self._saved_routes
        is_newest = version > self._fleet_view.routes_version
        self._fleet_view.update_routes(version, document)
        self._log.write(
            "saved_routes_loaded",
            {"version": version, "used": is_newest},
            bypass_rate_limit=True,
        )

    def _on_routes_changed(self) -> None:
        if self._routes_file is not None:
            self._routes_file.on_register_changed()
        self._fleet_view.update_evacuation(self._route_register.evacuation)
        self._fleet_view.update_routes(
            self._route_register.version, self._route_register.document
        )

    def _is_connected_control_host(self) -> bool:
        """Return whether this host has a control replica whose state is current."""
        return self._replica is not None and self._replica.connected()

    def _require_replica(self) -> "ControlReplica":
        if self._replica is not None:
            return self._replica
        if self._poller.control_host is None:
            raise CoreUnavailable("no control host is known yet")
        raise Elsewhere(self._poller.control_host)

    def _make_control_handler(self, public_handler: ControlHandler) -> ControlHandler:
        async def handle(request: Request) -> Response:
            if request.target.startswith(_PEER_PREFIX):
                return await self._handle_peer_request(request)
            if estimate_decoded_bytes(request.body) > process_budget.max_bytes:
                return error_response(413, "the body would take too much memory")
            return await public_handler(request)

        return handle

    async def _call_gatherer(self, address: str, value: Any, timeout_s: float) -> Any:
        try:
            return await self._peer_client.call(address, _GATHER_PATH, value, timeout_s)
        except PeerRefused as error:
            raise NotGathering(str(error)) from error

    async def _call_relay(self, address: str, value: Any, timeout_s: float) -> Any:
        try:
            return await self._peer_client.call(address, _RELAY_PATH, value, timeout_s)
        except (PeerRefused, PeerUnreachable) as error:
            raise NotRelaying(str(error)) from error

    async def _list_hosts(self) -> list[HostAddress]:
        """Return other hosts that serve callers, as control hosts know them."""
        view, own_address = self._fleet_view, self._settings.control_address
        known = {address: view.zones.get(address, "") for address in view.control_hosts}
        asked = [a for a in known if a != own_address]
        if len(asked) > _MAX_ASKED_CONTROL_HOSTS:
            asked = self._random.sample(asked, _MAX_ASKED_CONTROL_HOSTS)
        for reply in await asyncio.gather(*map(self._ask_for_hosts, asked)):
            known.update(reply)
        known.update(view.local_host_addresses())
        known.pop(own_address, None)
        return [HostAddress(address, zone) for address, zone in known.items()]

    async def _ask_for_hosts(self, address: str) -> list[tuple[str, str]]:
        try:
            reply = await self._peer_client.call(
                address, _HOSTS_PATH, {}, _LIST_HOSTS_TIMEOUT_S
            )
            return [(require_string(a), require_string(z)) for a, z in reply]
        except (PeerFailed, TypeError, ValueError) as error:
            self._log.write("hosts_unknown", {"address": address, "error": repr(error)})
            return []

    def _name_hosts(self) -> list[tuple[str, str]]:
        """Return the hosts that poll this one, or some of them if there are many."""
        hosts = self._fleet_view.local_host_addresses()
        if len(hosts) > _MAX_NAMED_HOSTS:
            hosts = self._random.sample(hosts, _MAX_NAMED_HOSTS)
        return hosts

    async def _handle_peer_request(self, request: Request) -> Response:
        response = await self._answer_peer_request(request)
        call_id = request.header(CALL_ID_HEADER)
        if call_id is not None:
            response.headers.append((CALL_ID_HEADER, call_id))
        return response

    async def _answer_peer_request(self, request: Request) -> Response:
        path = request.target.decode("latin-1")
        try:
            encoding = request.header(b"content-encoding")
            value = decode_body(encoding, request.body)
            reply = await self._dispatch_peer_call(path, value)
        except (KeyError, TypeError, ValueError) as error:
            return error_response(400, f"malformed call: {error!r}")
        except (CoreUnavailable, NotGathering, NotRelaying, PeerFailed) as error:
            return error_response(503, str(error))
        return Response(200, *encode_body(reply))

    async def _dispatch_peer_call(self, path: str, value: Any) -> Any:
        if path == POLL_PATH:
            own_address = self._settings.control_address
            return await answer_poll(
                self._fleet_view, self._is_connected_control_host, own_address, value
            )
        if path == _GATHER_PATH:
            return await self._gateway.handle_gather(
                value, accept_new=not self._stopping
            )
        if path == _RELAY_PATH:
            return await self._gateway.handle_relay(
                value, accept_new=not self._stopping and self._may_serve()
            )
        if path == _HOSTS_PATH:
            return self._name_hosts()
        if path == INTRODUCE_PATH:
            self._poller.suggest_control_hosts(require_strings(value))
            return {}
        if path == REPORT_PATH:
            self._mesh.receive_report(Report.from_json(value))
            return {}
        if path == PUSH_PATH:
            return self._mesh.receive_push(value)
        control_part = self._replica or self._diskless_seed
        if control_part is not None:
            return await control_part.handle_call(path, value)
        if path == FOUND_PATH:
            return WITHOUT_DISK_REPLY
        raise CoreUnavailable("this host keeps no state")

    async def _handle_readiness_probe(self, request: Request) -> Response:
        if self.ready and self._caller_listener.is_listening:
            return Response(200, [], b"")
        return error_response(503, "stopping" if self._stopping else "no routes yet")

    async def _handle_metrics_request(self, request: Request) -> Response:
        fleet_view = self._fleet_view
        gauges = {
            "routes_version": fleet_view.routes_version,
            "servers_usable": len(fleet_view.directory.usable()),
            "servers_silent": len(fleet_view.silent_servers),
            **self.evacuation.gauges(),
            "servers_limited": len(self._gateway.servers.limited_servers()),
            "servers_cold": len(self._gateway.servers.cold_servers()),
            "requests_quarantined": self._gateway.quarantine.count_quarantined(
                asyncio.get_running_loop().time()
            ),
            "teams_held": fleet_view.quotas.held_count(),
            "hosts_live": fleet_view.host_count,
            "servers_unreachable": float(self._gateway.is_isolated),
            "callers_connected": len(self._caller_listener.connections),
            "control_connected": float(
                self._is_connected_control_host()
                or self._poller.control_host is not None
            ),
            "control_leads": float(
                self._replica is not None and self._replica.is_leader()
            ),
            "log_lines_dropped": self._log.dropped,
            **self._control_gauges(),
            **self._resource_gauges(),
        }
        return metrics_response(self._metrics, gauges)

    def _resource_gauges(self) -> dict[str, float]:
        """Return the gauges of what the process uses, without those not known."""
        gauges = {
            "resident_bytes": resident_bytes(),
            "resident_peak_bytes": peak_resident_bytes(),
            "memory_limit_bytes": self._settings.memory_mb * _BYTES_PER_MB,
            "descriptors_open": count_open_descriptors(),
            "descriptors_limit": process_descriptors.max_open,
            "connections_closed": process_descriptors.closed,
            "connections_refused": process_descriptors.refused,
            "memory_refusals": process_budget.refusals,
            "uptime_seconds": asyncio.get_running_loop().time() - self._started_at,
            **self._buffered_bytes(),
        }
        return {name: value for name, value in gauges.items() if value is not None}

    def _buffered_bytes(self) -> dict[str, int]:
        """Return what connections hold that waits to be processed, or to be taken."""
        listeners = [self._caller_listener]
        if self._control_listener is not None:
            listeners.append(self._control_listener)
        return {
            "buffered_request_bytes": sum(i.buffered_request_bytes for i in listeners),
            "buffered_response_bytes": sum(
                i.buffered_response_bytes for i in listeners
            ),
            "buffered_answer_bytes": process_budget.held_bytes(HoldKind.ANSWER),
            "buffered_serving_bytes": process_budget.held_bytes(HoldKind.SERVING),
        }

    async def _watch_memory(self) -> None:
        """Log when resident memory comes close to its limit, and when it has fallen."""
        limit_bytes = self._settings.memory_mb * _BYTES_PER_MB
        alarm = MemoryAlarm(limit_bytes)
        refusals, connections_closed = process_budget.refusals, 0
        while True:
            resident = resident_bytes()
            if resident is not None and alarm.update(resident):
                self._log_memory(f"memory_{alarm.level.value}", resident, limit_bytes)
                # The process may be killed before the next regular flush.
                self._log.flush()
            if process_budget.refusals != refusals:
                count = process_budget.refusals - refusals
                refusals += count
                self._log_memory("memory_refused", resident, limit_bytes, count=count)
            short = process_descriptors.closed + process_descriptors.refused
            if short != connections_closed:
                count, connections_closed = short - connections_closed, short
                self._log.write(
                    "descriptors_short",
                    {
                        "count": count,
                        "callers": len(self._caller_listener.connections),
                        "connections": len(process_descriptors.connections),
                    },
                )
            await asyncio.sleep(_MEMORY_POLL_INTERVAL_S)

    def _log_memory(
        self, event: str, resident: int | None, limit_bytes: float, **fields: int
    ) -> None:
        fields |= self._buffered_bytes()
        self._log.write(
            event,
            {
                "resident_bytes": resident,
                "limit_bytes": limit_bytes if limit_bytes < math.inf else None,
                "callers": len(self._caller_listener.connections),
                **fields,
            },
        )

    def _control_gauges(self) -> dict[str, float]:
        """Return the gauges of a host that takes part in control."""
        if self._replica is None:
            return {}
        gauges = {"control_state_age_seconds": self._replica.state_age_s()}
        health = self._replica.health()
        if health is not None:
            gauges["control_voters"] = health.voters
            gauges["control_voters_silent"] = len(health.silent)
            gauges["control_losses_borne"] = health.losses_borne
        return gauges

    async def _apply_changes(self) -> None:
        """Apply changes of suspects, routes, servers and hosts to the gateway.

        Suspects come first, and all without a pause: a host that can send requests
        must refuse those in quarantine.
        """
        fleet_view, quarantine = self._fleet_view, self._gateway.quarantine
        loop = asyncio.get_running_loop()
        applied_state: tuple[object, ...] = ()

        def has_changed() -> bool:
            return current_state() != applied_state

        def current_state() -> tuple[object, ...]:
            return (
                fleet_view.routes_version,
                fleet_view.evacuation.version,
                fleet_view.directory.version,
                frozenset(fleet_view.silent_servers),
                frozenset(fleet_view.slow_servers.items()),
                fleet_view.host_count,
                fleet_view.request_count,
                fleet_view.reachable_control_hosts,
                fleet_view.suspects,
            )

        while True:
            await fleet_view.changed.wait_for(has_changed)
            applied_state = current_state()
            quarantine.apply(fleet_view.suspects, loop.time())
            self._apply_routes()
            self._apply_servers()

    def _apply_routes(self) -> None:
        fleet_view, table = self._fleet_view, self._gateway.table
        if table is not None and fleet_view.routes_version <= table.version:
            return
        if fleet_view.routes_version == 0:
            return
        is_first = table is None
        try:
            new_table = self._decode_routes(fleet_view.routes_document)
        except ValueError as error:
            # Another version of the program may have accepted it. The routes in force
            # stay, and servers are still applied.
            self._metrics.count("errors.routes_undecodable")
            self._log.write(
                "routes_undecodable",
                {"version": fleet_view.routes_version, "error": repr(error)},
            )
            return
        self._gateway.install_routes(new_table)
        teams = new_table.teams
        fleet_view.quotas.set_quotas(teams.quotas() if teams is not None else {})
        self._log.write(
            "routes_in_force",
            {"version": fleet_view.routes_version, "first": is_first},
            bypass_rate_limit=True,
        )

    def _apply_servers(self) -> None:
        fleet_view = self._fleet_view
        self._gateway.servers.evacuated_zones = fleet_view.evacuation.zones
        servers = [
            ServerInfo(
                id=record.id,
                service=record.service,
                address=record.address,
                availability_zone=record.availability_zone,
                slots=record.slots,
                slow_start_ms=record.cold_ms,
                heartbeats_missing=record.id in fleet_view.silent_servers,
                start_ms=record.start_ms,
                cold_until=fleet_view.directory.cold_until(record.id),
                latency_factor=fleet_view.slow_servers.get(record.id, 1.0),
            )
            for record in fleet_view.directory.usable()
        ]
        # Control hosts gather partial results for hosts with little bandwidth.
        gatherers: dict[str, list[str]] = {}
        for address in fleet_view.reachable_control_hosts:
            zone = fleet_view.zones.get(address, "")
            gatherers.setdefault(zone, []).append(address)
        self._gateway.update_fleet(
            servers, fleet_view.host_count, fleet_view.request_count, gatherers
        )
        self.evacuation.record_in_force(fleet_view.evacuation)

    async def _update_control_hosts(self, replica: "ControlReplica") -> None:
        while True:
            if replica.connected():
                self._fleet_view.set_control_hosts(replica.members())
            await asyncio.sleep(_UPKEEP_INTERVAL_S)

    async def _send_reports(self) -> None:
        """Send what this host has counted and measured."""
        await send_reports(
            self._gateway,
            self._fleet_view,
            self._mesh,
            self._poller,
            self._is_connected_control_host,
            ColdServerLog(self._log),
        )

    async def _prune_servers(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_UPKEEP_INTERVAL_S)
            self._gateway.servers.prune(loop.time())
            self._peer_client.prune(loop.time())

    async def _probe_gatherers(self) -> None:
        while True:
            await asyncio.sleep(_UPKEEP_INTERVAL_S)
            await self._gateway.probe_gatherers()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(_SETTINGS_POLL_INTERVAL_S)
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Apply changed seeds; other settings take effect at the next start."""
        try:
            settings = self._read_settings()
        except SettingsUnusable as error:
            # The file may be in the middle of a replacement.
            self._log.write("settings_unreadable", {"error": str(error)})
            return
        if settings.seeds == self._settings.seeds:
            return
        self._settings = settings
        self._log.write(
            "settings_reloaded", {"seeds": settings.seeds}, bypass_rate_limit=True
        )

    async def _drain(self) -> None:
        """Finish requests in progress while the load balancer redirects callers."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        settings = self._settings
        self._stopping = True
        self._caller_listener.closing = True
        self._log.write(
            "stopping",
            {"busy": self._caller_listener.busy_connections},
            bypass_rate_limit=True,
        )
        if not self._caller_listener.is_listening:
            return
        grace_s = settings.termination_grace_ms / _MS_PER_S
        await asyncio.sleep(min(_MAX_DRAIN_S, grace_s * _DRAIN_GRACE_RATIO))
        self._caller_listener.stop_accepting()
        deadline_at = started_at + grace_s - _EXIT_MARGIN_S
        self._gateway.stops_at = deadline_at
        while loop.time() < deadline_at:
            self._caller_listener.close_idle(_DRAIN_MIN_IDLE_S)
            if not self._caller_listener.connections:
                break
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        if self._caller_listener.busy_connections:
            self._caller_listener.expire_requests(
                in_progress=error_response(504, "stopping"),
                waiting=error_response(503, "stopping", retry_after_s=0.0),
            )
            await asyncio.sleep(_EXPIRY_FLUSH_S)
        self._log.write(
            "drained",
            {"busy": self._caller_listener.busy_connections},
            bypass_rate_limit=True,
        )
        with contextlib.suppress(OSError):
            self._log.flush()
