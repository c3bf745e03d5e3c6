"""HTTP application for operators and the load balancer's health checks."""

from collections.abc import Awaitable, Callable
from typing import Any

from kingcuplug_common import (
    HostSettings,
    KingcuplugError,
    Metrics,
    Refusal,
    RefusalReason,
    not_run_refusal,
)
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kingcuplug_daemon._control_node import ControlNode
from kingcuplug_daemon._entry_node import EntryNode
from kingcuplug_daemon._http import (
    error_fields,
    json_response,
    read_json,
    status_code,
)
from kingcuplug_daemon._leader_client import LeaderClient
from kingcuplug_daemon._lifecycle import Lifecycle
from kingcuplug_daemon._peer_client import PeerError
from kingcuplug_daemon._receipt_keys import ReceiptKeys
from kingcuplug_daemon._tokens import BearerTokens

__all__ = ["OperatorApp"]

_READ_TIMEOUT_S = 2.0
_DEFAULT_WAIT_MS = 10_000
_MS_PER_S = 1_000
_CONFLICT = 409
_UNAVAILABLE = 503

OperatorHandler = Callable[[dict[str, Any]], Awaitable[Any]]


class OperatorApp:
    """Endpoints for operators; any host forwards their requests to the leader.

    Parameters
    ----------
    settings : HostSettings
        Settings of this host.
    leader_client : LeaderClient
        Sends commands and reads to the leader.
    control : ControlNode or None
        This host's control role.
    entry : EntryNode or None
        This host's entry role.
    receipt_keys : ReceiptKeys
        This host's receipt key.
    lifecycle : Lifecycle
        Readiness of this host.
    begin_drain : callable
        Begins a graceful shutdown.
    operator_tokens : BearerTokens
        Accepted tokens of operators.
    """

    def __init__(
        self,
        settings: HostSettings,
        leader_client: LeaderClient,
        control: ControlNode | None,
        entry: EntryNode | None,
        receipt_keys: ReceiptKeys,
        lifecycle: Lifecycle,
        metrics: Metrics,
        begin_drain: Callable[[], None],
        operator_tokens: BearerTokens,
    ) -> None:
        self._settings = settings
        self._leader_client = leader_client
        self._control = control
        self._entry = entry
        self._receipt_keys = receipt_keys
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._drain = begin_drain
        self._operator_tokens = operator_tokens

    def routes(self) -> list[Route]:
        """Return the routes of the callers' listener."""
        read_types = {
            "configuration": "configuration",
            "history": "history",
            "hosts": "hosts",
            "servers": "servers",
            "keys": "keys",
            "control/leader": "control_status",
        }
        routes = [
            Route("/healthz", self._handle_liveness, methods=["GET"]),
            Route("/readyz", self._handle_readiness, methods=["GET"]),
            self._post_route("configuration", self._apply_configuration),
            self._post_route("in-force", self._wait_in_force),
            self._post_route("orders/show", self._show_order),
            self._post_route("keys/rotate", self._rotate_key),
            self._post_route("drain", self._handle_drain),
            self._post_route("status", self._status),
            self._post_route("control/bootstrap", self._bootstrap),
            self._post_route("control/add", self._add_member),
            self._post_route("control/remove", self._remove_member),
            self._post_route("control/status", self._control_status),
        ]
        for path, read_type in read_types.items():
            routes.append(
                self._post_route(f"{path}/show", self._read_handler(read_type))
            )
        return routes

    def _post_route(self, path: str, handler: OperatorHandler) -> Route:
        async def endpoint(request: Request) -> Response:
            return await self._handle(request, handler)

        return Route(f"/v1/operator/{path}", endpoint, methods=["POST"])

    async def _handle(self, request: Request, handler: OperatorHandler) -> Response:
        try:
            self._operator_tokens.authorize(request)
            fields = await read_json(request, self._settings.body_limit_bytes)
            if not isinstance(fields, dict):
                raise not_run_refusal(
                    RefusalReason.INVALID_REQUEST,
                    f"the body is {type(fields).__name__}, not an object",
                    "send one JSON object",
                )
            return json_response(await handler(fields))
        except Refusal as refusal:
            return json_response(error_fields(refusal), status_code(refusal))
        except PeerError as error:
            return json_response(dict(error.fields), _CONFLICT)
        except KingcuplugError as error:
            return json_response(error_fields(error), _CONFLICT)
        except TimeoutError as error:
            return json_response(_outcome_unknown_fields(error), _UNAVAILABLE)

    # Health checks of the load balancer

    async def _handle_liveness(self, request: Request) -> Response:
        return json_response({"live": True, "host": self._settings.host})

    async def _handle_readiness(self, request: Request) -> Response:
        ready = self._is_ready()
        return json_response({"ready": ready}, 200 if ready else _UNAVAILABLE)

    def _is_ready(self) -> bool:
        if self._entry is None or self._lifecycle.draining:
            return False
        return self._entry.session.is_confirmed() and self._receipt_keys.published

    # Operator requests

    def _read_handler(self, read_type: str) -> OperatorHandler:
        async def read(fields: dict[str, Any]) -> dict[str, Any]:
            return await self._leader_client.read({"type": read_type})

        return read

    async def _apply_configuration(self, fields: dict[str, Any]) -> dict[str, Any]:
        command = {
            "type": "apply_configuration",
            "change_id": _text_field(fields, "change_id"),
            "base_revision": fields.get("base_revision"),
            "text": _text_field(fields, "text"),
            "author": _text_field(fields, "author"),
            "time_ms": 0,
            "delta": None,
        }
        return await self._leader_client.submit(command)

    async def _wait_in_force(self, fields: dict[str, Any]) -> dict[str, Any]:
        wait_ms = _number_field(fields, "wait_ms", _DEFAULT_WAIT_MS)
        read_request = {
            "type": "in_force",
            "revision": _number_field(fields, "revision"),
            "wait_ms": wait_ms,
        }
        timeout_s = wait_ms / _MS_PER_S + _READ_TIMEOUT_S
        return await self._leader_client.read(read_request, timeout_s)

    async def _show_order(self, fields: dict[str, Any]) -> dict[str, Any]:
        return await self._leader_client.read(
            {"type": "order", "key": _text_field(fields, "key")}
        )

    async def _rotate_key(self, fields: dict[str, Any]) -> dict[str, Any]:
        return {"key_id": await self._receipt_keys.rotate()}

    async def _handle_drain(self, fields: dict[str, Any]) -> dict[str, Any]:
        self._drain()
        return {"draining": True, "in_flight": self._lifecycle.in_flight}

    async def _status(self, fields: dict[str, Any]) -> dict[str, Any]:
        status: dict[str, Any] = {
            "host": self._settings.host,
            "availability_zone": self._settings.availability_zone,
            "roles": sorted(self._settings.roles),
            "ready": self._is_ready(),
            "draining": self._lifecycle.draining,
            "in_flight": self._lifecycle.in_flight,
            "counters": dict(sorted(self._metrics.counts.items())),
        }
        if self._entry is not None:
            session = self._entry.session
            status["revision"] = self._entry.configuration.current_revision()
            status["confirmed"] = session.is_confirmed()
            status["live_entry_hosts"] = session.live_entry_hosts
            status["condemned"] = len(self._entry.crash_guard.quarantined())
        if self._control is not None:
            status["control"] = self._control.status()
        return status

    async def _control_status(self, fields: dict[str, Any]) -> dict[str, Any]:
        return self._control_node().status()

    async def _bootstrap(self, fields: dict[str, Any]) -> dict[str, Any]:
        return await self._control_node().bootstrap()

    async def _add_member(self, fields: dict[str, Any]) -> dict[str, Any]:
        role = str(fields.get("role", "voter"))
        return await self._leader_client.change_members(
            {"add": _text_field(fields, "address"), "role": role}
        )

    async def _remove_member(self, fields: dict[str, Any]) -> dict[str, Any]:
        return await self._leader_client.change_members(
            {"remove": _text_field(fields, "member")}
        )

    def _control_node(self) -> ControlNode:
        if self._control is None:
            raise KingcuplugError(
                f"host {self._settings.host} has no control role",
                "ask a host whose settings list the role 'control'",
            )
        return self._control


def _text_field(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise not_run_refusal(
            RefusalReason.INVALID_REQUEST,
            f"the field {name!r} is {value!r}, not a text",
            f"send {name!r}",
        )
    return value


def _number_field(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    value = fields.get(name, default)
    if type(value) is not int or value < 0:
        raise not_run_refusal(
            RefusalReason.INVALID_REQUEST,
            f"the field {name!r} is {value!r}, not a number from 0",
            f"send {name!r}",
        )
    return value


def _outcome_unknown_fields(error: Exception) -> dict[str, Any]:
    return {
        "error": "OutcomeUnknown",
        "message": f"no answer came, the command may have been applied: {error}",
        "remedy": "send the same command again; it is applied at most once",
    }
