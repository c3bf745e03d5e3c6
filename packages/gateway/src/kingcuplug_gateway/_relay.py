"""Has another host serve callers' requests while this one reaches no server."""

import asyncio
import random as random_module
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import (
    KingcuplugError,
    Metrics,
    require_integer,
    require_number,
    require_string,
)
from kingcuplug_http import Headers, Request, Response, is_final_status

from kingcuplug_gateway._passed_signals import (
    PassedSignal,
    decode_signals,
    encode_signals,
)
from kingcuplug_gateway._teams import KeyUnknown, Team, Teams, authenticate

__all__ = [
    "PROBE",
    "PROBE_REPLY",
    "HostAddress",
    "NotRelaying",
    "RelayClient",
    "RelayPeers",
    "RelayResult",
    "RelayedIdentity",
    "RelayedRequest",
    "decode_relayed_response",
    "encode_relayed_response",
    "identify_team",
]

_MS_PER_S = 1_000
# Asks whether a host serves requests for others. The reply is an array that names what
# the host takes with a request: signals, the version of the routes. Builds whose reply
# lacks one of them may reject messages with it.
PROBE = ["probe"]
_SIGNALS = "signals"
_ROUTES_VERSION = "routes_version"
PROBE_REPLY = [_SIGNALS, _ROUTES_VERSION]
_SERVE = "serve"
_SERVE_WITH_SIGNALS = "serve_with_signals"
# Older builds, which know no teams, reject it without running the request.
_SERVE_FOR_TEAM = "serve_for_team"
# A host that is not certain to reach servers tries some before it replies.
_PROBE_TIMEOUT_S = 0.35
_REFRESH_INTERVAL_S = 1.0
_MAX_HELPERS = 24
_MAX_REFUSALS = 4
# A helper in another availability zone is chosen if those in this zone have as many
# more requests in progress: traffic between zones is billed.
_REMOTE_COST = 2
# Raised by decoding a malformed reply.
_MALFORMED = (TypeError, ValueError)


class NotRelaying(KingcuplugError):
    """The host serves no requests for other hosts, permanently or for now."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, "ask another host")


@dataclass(frozen=True, slots=True)
class HostAddress:
    """Control address and availability zone of a host."""

    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class RelayPeers:
    """Access to the other hosts.

    Attributes
    ----------
    call : callable
        Calls a host with its address, a JSON value and a time limit in seconds. Raises
        `NotRelaying` if that host refuses, and another `KingcuplugError` if it does not
        reply.
    list_hosts : callable
        Returns hosts that may be able to serve requests.
    """

    call: Callable[[str, Any, float], Awaitable[Any]]
    list_hosts: Callable[[], Awaitable[list[HostAddress]]]


@dataclass(frozen=True, slots=True)
class RelayedIdentity:
    """Whose request a host has admitted, and by which routes.

    Attributes
    ----------
    team : str
        Name of the caller's team; empty without one.
    routes_version : int
        Version of the route table by which the request was admitted.
    required : bool
        Whether the routes have teams or the request homes, so that only a host that
        takes the identity may serve it. Otherwise only the version is sent.
    """

    team: str
    routes_version: int
    required: bool = True


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A caller's request on its way to the host that serves it.

    Attributes
    ----------
    elapsed_ms : float
        Time since the request was received.
    max_attempts : int
        Number of servers, of each shard, to which it may still be sent.
    signals : tuple of PassedSignal or None
        What servers have told the host that sends it, which takes signals in the
        response, too; ``None`` if one of the hosts takes none.
    identity : RelayedIdentity or None
        ``None`` if an older build relays it or serves it.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    first_on_connection: bool
    elapsed_ms: float
    max_attempts: int
    signals: tuple[PassedSignal, ...] | None = None
    identity: RelayedIdentity | None = None

    def to_request(self, now: float) -> Request:
        """Return the request as if this host had received it from the caller."""
        return Request(
            self.method,
            self.target,
            self.headers,
            self.body,
            keep_alive=True,
            received_at=now - self.elapsed_ms / _MS_PER_S,
            first_on_connection=self.first_on_connection,
            fields=_first_values(self.headers),
        )

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        kind: list[Any] = [_SERVE]
        if self.signals is not None:
            kind = [_SERVE_WITH_SIGNALS, encode_signals(self.signals)]
        version = []
        if self.identity is not None and self.identity.required:
            identity = [self.identity.team, self.identity.routes_version]
            kind = [_SERVE_FOR_TEAM, identity, encode_signals(self.signals or ())]
        elif self.identity is not None:
            version = [self.identity.routes_version]
        return [
            *kind,
            self.method.decode("latin-1"),
            self.target.decode("latin-1"),
            _encode_headers(self.headers),
            b64encode(self.body).decode(),
            int(self.first_on_connection),
            round(self.elapsed_ms, 1),
            self.max_attempts,
            *version,
        ]

    @classmethod
    def from_json(cls, value: list[Any]) -> "RelayedRequest":
        """Return the request described by a JSON array.

        Raises
        ------
        TypeError, ValueError
            If the array does not describe a request.
        """
        kind, *fields = value
        signals = identity = None
        if kind == _SERVE_FOR_TEAM:
            (team, routes_version), told, *fields = fields
            identity = RelayedIdentity(
                require_string(team), require_integer(routes_version)
            )
            signals = decode_signals(told)
        elif kind == _SERVE_WITH_SIGNALS:
            signals = decode_signals(fields.pop(0) if fields else None)
        elif kind != _SERVE:
            raise ValueError(f"unknown kind of relay message {kind!r}")
        method, target, headers, body, *counts = fields
        first_on_connection, elapsed_ms, max_attempts, *version = counts
        if version:
            (routes_version,) = version
            identity = RelayedIdentity("", require_integer(routes_version), False)
        return cls(
            require_string(method).encode("latin-1"),
            require_string(target).encode("latin-1"),
            _decode_headers(headers),
            b64decode(require_string(body)),
            bool(require_integer(first_on_connection)),
            max(0.0, require_number(elapsed_ms)),
            require_integer(max_attempts, minimum=1),
            signals,
            identity,
        )


def encode_relayed_response(
    response: Response, signals: Iterable[PassedSignal] | None = None
) -> list[Any]:
    """Return a response as a JSON array, with signals for a host that takes them."""
    fields = [
        response.status,
        _encode_headers(response.headers),
        b64encode(response.body).decode(),
    ]
    if signals is not None:
        fields.append(encode_signals(signals))
    return fields


def decode_relayed_response(
    value: list[Any],
) -> tuple[Response, tuple[PassedSignal, ...]]:
    """Return the response described by a JSON array, and the signals with it.

    Raises
    ------
    TypeError, ValueError
        If the array does not describe a response.
    """
    status, headers, body, *later = value
    decoded = _decode_headers(headers)
    if not is_final_status(require_integer(status)):
        raise ValueError(f"status {status} is that of no answer")
    response = Response(
        status,
        decoded,
        b64decode(require_string(body)),
        _first_values(decoded),
    )
    return response, decode_signals(later[0]) if later else ()


def _first_values(headers: Headers) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        fields.setdefault(name.lower(), value)
    return fields


def _encode_headers(headers: Headers) -> list[list[str]]:
    return [[n.decode("latin-1"), v.decode("latin-1")] for n, v in headers]


def _decode_headers(value: Any) -> Headers:
    return [
        (require_string(n).encode("latin-1"), require_string(v).encode("latin-1"))
        for n, v in value
    ]


@dataclass(frozen=True, slots=True)
class RelayResult:
    """Result of relaying one request.

    Attributes
    ----------
    response : Response or None
        ``None`` if no host could be found that serves it.
    helper : str
        Address of the host that it was last sent to.
    may_have_run : bool
        Whether a host that did not reply may have sent it to a server.
    signals : tuple of PassedSignal
        What servers have told the host that served it.
    """

    response: Response | None
    helper: str = ""
    may_have_run: bool = False
    signals: tuple[PassedSignal, ...] = ()


@dataclass(slots=True)
class _Helper:
    host: HostAddress
    in_progress: int = 0
    takes_signals: bool = False
    takes_routes_version: bool = False


class RelayClient:
    """Hosts that serve requests for this one, and the requests in progress there.

    Parameters
    ----------
    peers : RelayPeers
        Access to the other hosts.
    availability_zone : str
        Availability zone of this host.
    """

    def __init__(
        self,
        peers: RelayPeers,
        availability_zone: str,
        random: random_module.Random,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._zone = availability_zone
        self._random = random
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._helpers: dict[str, _Helper] = {}
        self._refreshing: asyncio.Task[None] | None = None
        self._first_refresh = asyncio.Event()

    @property
    def has_helper(self) -> bool:
        """Whether a host is known that serves requests for this one."""
        return bool(self._helpers)

    def start(self) -> None:
        """Look for helpers again and again until `stop` is called."""
        if self._refreshing is None:
            self._refreshing = asyncio.ensure_future(self._refresh_until_stopped())

    def stop(self) -> None:
        """Look for no more helpers; requests in progress continue."""
        if self._refreshing is not None:
            self._refreshing.cancel()
            self._refreshing = None
        self._helpers.clear()
        self._first_refresh.clear()

    async def send(
        self,
        request: Request,
        max_attempts: int,
        until: float,
        signals_to_pass_on: Callable[[], tuple[PassedSignal, ...]],
        identity: RelayedIdentity | None = None,
        may_hold_body: Callable[[str], bool] = lambda zone: True,
    ) -> RelayResult:
        """Have another host serve a request.

        It is sent on to a further host only after a refusal: one that does not reply
        may have used up the attempts that the route allows.

        Parameters
        ----------
        max_attempts : int
            Number of servers to which the other host may send it.
        until : float
            Event loop time until which a reply is awaited.
        signals_to_pass_on : callable
            Returns what servers have told this host.
        identity : RelayedIdentity or None
            Whose request it is, and by which routes. A host with older routes does not
            serve it.
        may_hold_body : callable
            Returns whether a host in a zone may get the request.
        """
        await self._wait_for_helpers(until)
        for _ in range(_MAX_REFUSALS):
            helper = self._choose_helper(may_hold_body)
            timeout_s = until - self._loop.time()
            if helper is None or timeout_s <= 0:
                break
            address = helper.host.address
            try:
                response, told = await self._send_to(
                    helper,
                    request,
                    max_attempts,
                    timeout_s,
                    signals_to_pass_on,
                    identity,
                )
            except NotRelaying:
                self._helpers.pop(address, None)
            except (KingcuplugError, *_MALFORMED):
                self._helpers.pop(address, None)
                return RelayResult(None, address, may_have_run=True)
            else:
                self._metrics.count("requests_relayed")
                return RelayResult(response, address, signals=told)
        return RelayResult(None)

    async def _send_to(
        self,
        helper: _Helper,
        request: Request,
        max_attempts: int,
        timeout_s: float,
        signals_to_pass_on: Callable[[], tuple[PassedSignal, ...]],
        identity: RelayedIdentity | None,
    ) -> tuple[Response, tuple[PassedSignal, ...]]:
        elapsed_s = self._loop.time() - request.received_at
        takes_identity = helper.takes_routes_version
        if identity is not None and not identity.required and not takes_identity:
            identity = None
        message = RelayedRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            request.first_on_connection,
            elapsed_s * _MS_PER_S,
            max_attempts,
            signals_to_pass_on() if helper.takes_signals else None,
            identity,
        )
        helper.in_progress += 1
        try:
            value = await self._peers.call(
                helper.host.address, message.to_json(), timeout_s
            )
        finally:
            helper.in_progress -= 1
        return decode_relayed_response(value)

    def _choose_helper(self, may_hold_body: Callable[[str], bool]) -> _Helper | None:
        def cost(helper: _Helper) -> float:
            is_remote = helper.host.availability_zone != self._zone
            return helper.in_progress + _REMOTE_COST * is_remote + self._random.random()

        helpers = [
            helper
            for helper in self._helpers.values()
            if may_hold_body(helper.host.availability_zone)
        ]
        return min(helpers, key=cost, default=None)

    async def _wait_for_helpers(self, until: float) -> None:
        """Wait for the first search for helpers, but not beyond a time."""
        if not self._first_refresh.is_set():
            try:
                async with asyncio.timeout_at(until):
                    await self._first_refresh.wait()
            except TimeoutError:
                return

    async def _refresh_until_stopped(self) -> None:
        while True:
            await self._refresh()
            self._first_refresh.set()
            await asyncio.sleep(_REFRESH_INTERVAL_S)

    async def _refresh(self) -> None:
        hosts = await self._peers.list_hosts()
        if len(hosts) > _MAX_HELPERS:
            hosts = self._random.sample(hosts, _MAX_HELPERS)
        answered = await asyncio.gather(*(self._probe(host) for host in hosts))
        previous, self._helpers = self._helpers, {}
        for host, reply in zip(hosts, answered, strict=True):
            if reply is not None:
                helper = previous.get(host.address, _Helper(host))
                helper.takes_signals = _SIGNALS in reply
                helper.takes_routes_version = _ROUTES_VERSION in reply
                self._helpers[host.address] = helper

    async def _probe(self, host: HostAddress) -> list[Any] | None:
        """Return the reply of a host that serves requests; otherwise ``None``."""
        try:
            reply = await self._peers.call(host.address, PROBE, _PROBE_TIMEOUT_S)
        except KingcuplugError:
            return None
        return reply if isinstance(reply, list) else []


def identify_team(
    request: Request,
    teams: Teams,
    key_scheme: bytes,
    required: bool,
    relayed: RelayedRequest | None,
) -> Team | None:
    """Return the team of a caller's request, or of one that another host has relayed.

    Raises
    ------
    KeyUnknown
        If a known key is required and the request has none.
    """
    identity = relayed.identity if relayed is not None else None
    if identity is None or not identity.required:
        return authenticate(request, teams, key_scheme, required)
    team = teams.by_name(identity.team)
    if team is None and required:
        # Removed since the other host admitted the request.
        raise KeyUnknown
    return team
