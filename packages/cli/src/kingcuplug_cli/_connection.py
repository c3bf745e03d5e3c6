"""Connection options and the HTTP client of the operators' interface."""

import asyncio
import os
import ssl
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp
import orjson
from kingcuplug_common import KingcuplugError
from pydantic import BaseModel, ConfigDict, ValidationError

from kingcuplug_cli._results import (
    CommandRefused,
    OutcomeUnknown,
    Unreachable,
    WrongUsage,
)

__all__ = ["SETTINGS_VARIABLE", "Connection", "OperatorClient", "load_connection"]

SETTINGS_VARIABLE = "KINGCUPLUG_CLIENT"
_DEFAULT_TIMEOUT_S = 15.0
_CONNECT_TIMEOUT_S = 3.0
# Errors of a host that is still starting or reaches no leader; it changed nothing.
_NOT_EXECUTED_ERRORS = frozenset(("Starting", "NoLeader", "NotLeader"))
# An election takes less than a second.
_ELECTION_TIMEOUT_S = 3.0
_ELECTION_PAUSE_S = 0.2


class _NotExecuted(KingcuplugError):
    """The host is starting, or knows no leader; nothing was changed."""


class Connection(BaseModel):
    """Connection options of the program.

    Attributes
    ----------
    host : str or None
        ``ip:port`` of the callers' listener of any host.
    token_file : Path or None
        File with the operators' bearer token.
    ca_file : Path or None
        Certificates of the authority; with it the connection uses TLS.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str | None = None
    token_file: Path | None = None
    ca_file: Path | None = None


def load_connection(
    options: Mapping[str, str | None], environment: Mapping[str, str] = os.environ
) -> Connection:
    """Return the options, with defaults from the file that the environment names.

    Raises
    ------
    WrongUsage
        If the file or an option cannot be used.
    """
    explicit_options = {
        name: value for name, value in options.items() if value is not None
    }
    path = environment.get(SETTINGS_VARIABLE)
    stored_options: Any = {}
    if path:
        try:
            stored_options = orjson.loads(Path(path).read_bytes())
        except (OSError, orjson.JSONDecodeError) as error:
            raise WrongUsage(
                f"client settings {path} cannot be read: {error}",
                f"correct the file or unset {SETTINGS_VARIABLE}",
            ) from error
    try:
        return Connection.model_validate({**stored_options, **explicit_options})
    except (ValidationError, TypeError) as error:
        raise WrongUsage(
            f"the connection options are invalid: {error}",
            "pass host, token_file and ca_file as strings",
        ) from error


class OperatorClient:
    """Calls the operators' interface of one host.

    Parameters
    ----------
    connection : Connection
        The host and the credentials.
    """

    def __init__(self, connection: Connection) -> None:
        if connection.host is None:
            raise WrongUsage(
                "no host is given",
                f"pass --host ip:port, or name a file in {SETTINGS_VARIABLE}",
            )
        self.host = connection.host
        self._headers = {
            "Content-Type": "application/json",
            **_authorization_header(connection),
        }
        self._ssl_context = _make_ssl_context(connection.ca_file)

    async def call(
        self,
        path: str,
        fields: dict[str, Any] | None = None,
        *,
        mutating: bool = False,
        timeout_s: float = _DEFAULT_TIMEOUT_S,
    ) -> dict[str, Any]:
        """Post to an operators' endpoint and return its answer.

        A call that was not executed for want of a leader is repeated while one may be
        elected.

        Parameters
        ----------
        mutating : bool
            Whether the call changes state; if its answer is lost, the outcome is
            unknown.

        Raises
        ------
        CommandRefused
            If the host refused the call.
        Unreachable
            If no host could execute the call; nothing was changed.
        OutcomeUnknown
            If the answer to a change was lost.
        """
        deadline = time.monotonic() + _ELECTION_TIMEOUT_S
        while True:
            try:
                return await self._call_once(path, fields or {}, mutating, timeout_s)
            except _NotExecuted as error:
                if time.monotonic() + _ELECTION_PAUSE_S > deadline:
                    raise Unreachable(error.message, error.remedy) from error
            await asyncio.sleep(_ELECTION_PAUSE_S)

    async def _call_once(
        self, path: str, fields: dict[str, Any], mutating: bool, timeout_s: float
    ) -> dict[str, Any]:
        try:
            status, body = await self._post(path, fields, timeout_s)
        except aiohttp.ClientConnectorError as error:
            raise Unreachable(
                f"cannot connect to host {self.host}: {error}",
                "check that the host runs, --host, and --ca-file if it serves TLS",
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise self._lost_answer_error(
                f"{type(error).__name__} {error}", mutating
            ) from error
        return self._parse_answer(status, body, mutating)

    async def _post(
        self, path: str, fields: dict[str, Any], timeout_s: float
    ) -> tuple[int, bytes]:
        scheme = "http" if self._ssl_context is None else "https"
        url = f"{scheme}://{self.host}/v1/operator/{path}"
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
        )
        connector = aiohttp.TCPConnector(
            ssl=True if self._ssl_context is None else self._ssl_context
        )
        async with (
            aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
            session.post(
                url, data=orjson.dumps(fields), headers=self._headers
            ) as response,
        ):
            return response.status, await response.read()

    def _parse_answer(self, status: int, body: bytes, mutating: bool) -> dict[str, Any]:
        try:
            answer = orjson.loads(body)
        except orjson.JSONDecodeError:
            answer = None
        if status == 404 and answer is None:
            raise Unreachable(
                f"host {self.host} does not serve operators at this address",
                "pass its caller_address, not its peer_address",
            )
        if not isinstance(answer, dict):
            raise self._lost_answer_error(
                f"HTTP status {status} without a JSON object", mutating
            )
        if status == 200:
            return answer
        kind = str(answer.get("error", status))
        message = str(answer.get("message", f"HTTP status {status}"))
        remedy = str(answer.get("remedy", "try again shortly"))
        if kind == "OutcomeUnknown":
            raise self._lost_answer_error(message, mutating)
        if kind in _NOT_EXECUTED_ERRORS:
            raise _NotExecuted(message, remedy)
        raise CommandRefused(message, remedy, kind, answer)

    def _lost_answer_error(
        self, cause: str, mutating: bool
    ) -> OutcomeUnknown | Unreachable:
        if mutating:
            return OutcomeUnknown(
                f"host {self.host} did not answer, so the change may have been made:"
                f" {cause}",
                "check the current state before you repeat the command",
            )
        return Unreachable(
            f"host {self.host} did not answer: {cause}",
            "try again, or use another host",
        )


def _authorization_header(connection: Connection) -> dict[str, str]:
    if connection.token_file is None:
        return {}
    try:
        token = connection.token_file.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise WrongUsage(
            f"token file {connection.token_file} cannot be read: {error}",
            "check the path and its permissions",
        ) from error
    if not token:
        raise WrongUsage(
            f"token file {connection.token_file} is empty", "write the token into it"
        )
    return {"Authorization": f"Bearer {token}"}


def _make_ssl_context(ca_file: Path | None) -> ssl.SSLContext | None:
    if ca_file is None:
        return None
    try:
        context = ssl.create_default_context(cafile=str(ca_file))
    except (OSError, ssl.SSLError) as error:
        raise WrongUsage(
            f"CA file {ca_file} cannot be used: {error}",
            "name a PEM file with the authority's certificate",
        ) from error
    # Hosts are addressed by IP address, so only the certificate chain is verified,
    # against the private authority.
    context.check_hostname = False
    return context
