"""HTTP application for operators and for the load balancer's checks."""

from collections.abc import Awaitable, Callable
from typing import Any

from kingcuplug_common import (
    HostSettings,
    KingcuplugError,
    Metrics,
    Refusal,
    RefusalReason,
    not_run,
)
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kingcuplug_daemon._control import ControlNode
from kingcuplug_daemon._entry import EntryNode
from kingcuplug_daemon._http import (
    error_fields,
    json_response,
    read_json,
    status_of,
)
from kingcuplug_daemon._keys import ReceiptKeys
from kingcuplug_daemon._lifecycle import Lifecycle
from kingcuplug_daemon._peers import PeerError
from kingcuplug_daemon._submission import Submitter
from kingcuplug_daemon._tokens import BearerTokens

__all__ = ["OperatorApp"]

_READ_TIMEOUT_S = 2.0
_DEFAULT_WAIT_MS = 10_000
_MILLISECONDS = 1_000
_CONFLICT = 409
_UNAVAILABLE = 503

Work = Callable[[dict[str, Any]], Awaitable[Any]]


class OperatorApp:
    """Endpoints for operators; any host answers, the leader decides.

    Parameters
    ----------
    settings : HostSettings
        Settings of this host.
    submitter : Submitter
        Sends commands and questions to the leader.
    control : ControlNode or None
        This host's control role.
    entry : EntryNode or None
        This host's entry role.
    keys : ReceiptKeys
        This host's receipt key.
    lifecycle : Lifecycle
        Readiness of this host.
    drain : callable
        Begins a graceful shutdown.
    operators : BearerTokens
        Tokens of operators.
    """

    def __init__(
        self,
        settings: HostSettings,
        submitter: Submitter,
        control: ControlNode | None,
        entry: EntryNode | None,
        keys: ReceiptKeys,
        lifecycle: Lifecycle,
        metrics: Metrics,
        drain: Callable[[], None],
        operators: BearerTokens,
    ) -> None:
        self._settings = settings
        self._submitter = submitter
        self._control = control
        self._entry = entry
        self._keys = keys
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._drain = drain
        self._operators = operators

    def routes(self) -> list[Route]:
        """Return the routes of the callers' listener."""
        reads = {
            "configuration": "configuration",
            "history": "history",
            "hosts": "hosts",
            "servers": "servers",
            "keys": "keys",
            "control/leader": "control_status",
        }
        routes = [
            Route("/healthz", self._health, methods=["GET"]),
            Route("/readyz", self._readiness, methods=["GET"]),
            self._post("configuration", self._apply),
            self._post("in-force", self._in_force),
            self._post("orders/show", self._show_order),
            self._post("keys/rotate", self._rotate),
            self._post("drain", self._begin_drain),
            self._post("status", self._status),
            self._post("control/bootstrap", self._bootstrap),
            self._post("control/add", self._add_member),
            self._post("control/remove", self._remove_member),
            self._post("control/status", self._control_status),
        ]
        for path, question in reads.items():
            routes.append(self._post(f"{path}/show", self._reader(question)))
        return routes

    def _post(self, path: str, work: Work) -> Route:
        async def endpoint(request: Request) -> Response:
            return await self._answer(request, work)

        return Route(f"/v1/operator/{path}", endpoint, methods=["POST"])

    async def _answer(self, request: Request, work: Work) -> Response:
        try:
            self._operators.authorize(request)
            fields = await read_json(request, self._settings.body_limit_bytes)
            if not isinstance(fields, dict):
                raise not_run(
                    RefusalReason.INVALID_REQUEST,
                    f"the body is {type(fields).__name__}, not an object",
                    "send one JSON object",
                )
            return json_response(await work(fields))
        except Refusal as refusal:
            return json_response(error_fields(refusal), status_of(refusal))
        except PeerError as error:
            return json_response(dict(error.fields), _CONFLICT)
        except KingcuplugError as error:
            return json_response(error_fields(error), _CONFLICT)
        except TimeoutError as error:
            return json_response(_unknown_fields(error), _UNAVAILABLE)

    # Checks of the load balancer

    async def _health(self, request: Request) -> Response:
        return json_response({"live": True, "host": self._settings.host})

    async def _readiness(self, request: Request) -> Response:
        ready = self._ready()
        return json_response({"ready": ready}, 200 if ready else _UNAVAILABLE)

    def _ready(self) -> bool:
        if self._entry is None or self._lifecycle.draining:
            return False
        return self._entry.session.is_confirmed() and self._keys.published

    # Work

    def _reader(self, question: str) -> Work:
        async def read(fields: dict[str, Any]) -> dict[str, Any]:
            return await self._submitter.read({"type": question})

        return read

    async def _apply(self, fields: dict[str, Any]) -> dict[str, Any]:
        command = {
            "type": "apply_configuration",
            "change_id": _text(fields, "change_id"),
            "base_revision": fields.get("base_revision"),
            "text": _text(fields, "text"),
            "author": _text(fields, "author"),
            "time_ms": 0,
            "delta": None,
        }
        return await self._submitter.submit(command)

    async def _in_force(self, fields: dict[str, Any]) -> dict[str, Any]:
        wait_ms = _number(fields, "wait_ms", _DEFAULT_WAIT_MS)
        question = {
            "type": "in_force",
            "revision": _number(fields, "revision"),
            "wait_ms": wait_ms,
        }
        timeout_s = wait_ms / _MILLISECONDS + _READ_TIMEOUT_S
        return await self._submitter.read(question, timeout_s)

    async def _show_order(self, fields: dict[str, Any]) -> dict[str, Any]:
        return await self._submitter.read(
            {"type": "order", "key": _text(fields, "key")}
        )

    async def _rotate(self, fields: dict[str, Any]) -> dict[str, Any]:
        return {"key_id": await self._keys.rotate()}

    async def _begin_drain(self, fields: dict[str, Any]) -> dict[str, Any]:
        self._drain()
        return {"draining": True, "in_flight": self._lifecycle.in_flight}

    async def _status(self, fields: dict[str, Any]) -> dict[str, Any]:
        status: dict[str, Any] = {
            "host": self._settings.host,
            "availability_zone": self._settings.availability_zone,
            "roles": sorted(self._settings.roles),
            "ready": self._ready(),
            "draining": self._lifecycle.draining,
            "in_flight": self._lifecycle.in_flight,
            "counters": dict(sorted(self._metrics.counts.items())),
        }
        if self._entry is not None:
            session = self._entry.session
            status["revision"] = self._entry.configuration.current()
            status["confirmed"] = session.is_confirmed()
            status["live_entry_hosts"] = session.live_entry_hosts
            status["condemned"] = len(self._entry.guard.condemned())
        if self._control is not None:
            status["control"] = self._control.status()
        return status

    async def _control_status(self, fields: dict[str, Any]) -> dict[str, Any]:
        return self._require_control().status()

    async def _bootstrap(self, fields: dict[str, Any]) -> dict[str, Any]:
        return await self._require_control().bootstrap()

    async def _add_member(self, fields: dict[str, Any]) -> dict[str, Any]:
        role = str(fields.get("role", "voter"))
        return await self._submitter.change(
            {"add": _text(fields, "address"), "role": role}
        )

    async def _remove_member(self, fields: dict[str, Any]) -> dict[str, Any]:
        return await self._submitter.change({"remove": _text(fields, "member")})

    def _require_control(self) -> ControlNode:
        if self._control is None:
            raise KingcuplugError(
                f"host {self._settings.host} has no control role",
                "ask a host whose settings list the role 'control'",
            )
        return self._control


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise not_run(
            RefusalReason.INVALID_REQUEST,
            f"the field {name!r} is {value!r}, not a text",
            f"send {name!r}",
        )
    return value


def _number(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    value = fields.get(name, default)
    if type(value) is not int or value < 0:
        raise not_run(
            RefusalReason.INVALID_REQUEST,
            f"the field {name!r} is {value!r}, not a number from 0",
            f"send {name!r}",
        )
    return value


def _unknown_fields(error: Exception) -> dict[str, Any]:
    return {
        "error": "OutcomeUnknown",
        "message": f"no answer came, the command may have been applied: {error}",
        "remedy": "send the same command again; it is applied at most once",
    }
