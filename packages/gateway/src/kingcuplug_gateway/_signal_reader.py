"""What backend servers say of themselves in the headers of their answers."""

import asyncio
import re
from collections.abc import Callable, Container, Iterable

from kingcuplug_common import EventLog, Metrics
from kingcuplug_http import Response

from kingcuplug_gateway._header_names import HeaderNames
from kingcuplug_gateway._passed_signals import PassedSignal
from kingcuplug_gateway._servers import Server, ServerTable

__all__ = ["SignalReader", "parse_decimal"]

# The bound on the digits keeps a value that cannot be meant from being taken.
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_RETRY_AFTER = b"retry-after"
_UNAVAILABLE_STATUS = 503
_YES = 1.0
_MAX_LOGGED_BYTES = 40
_MS_PER_S = 1_000
# The delay of an answer that passes a pause on varies; so much longer is no new pause.
_PAUSE_TOLERANCE_S = 0.1


class SignalReader:
    """Reads the signals of servers, and logs their changes.

    An answer that a server may not have given itself can hold requests back, but ends
    no signal.

    Attributes
    ----------
    servers : ServerTable
        Where the signals are kept.
    """

    def __init__(
        self,
        servers: ServerTable,
        header_names: HeaderNames,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.servers = servers
        self._limit_header = header_names.server_limit.lower()
        self._leaving_header = header_names.server_leaving.lower()
        self._cold_header = header_names.cold_ms.lower()
        self._log = log
        self._metrics = metrics

    def record(self, server: Server, response: Response, is_authentic: bool) -> None:
        """Record what an answer of a server says.

        Parameters
        ----------
        is_authentic : bool
            Whether the server has certainly given the answer. Then one without a limit
            ends the limit of the server.
        """
        fields, signals = response.fields, server.signals
        if self._limit_header in fields or (is_authentic and signals.limit is not None):
            self._read(server, response, self._limit_header, self._set_limit)
        if self._leaving_header in fields and not signals.said_leaving:
            self._read(server, response, self._leaving_header, self._set_leaving)
        if response.status == _UNAVAILABLE_STATUS and _RETRY_AFTER in fields:
            self._read(server, response, _RETRY_AFTER, self._set_not_before)

    def record_health(self, server: Server, response: Response) -> None:
        """Record what the response to a health check of a server says."""
        if self._cold_header in response.fields:
            self._read(server, response, self._cold_header, self._set_cold)

    def record_passed_on(
        self, passed: Iterable[PassedSignal], services: Container[str]
    ) -> None:
        """Record what servers have told another host.

        Parameters
        ----------
        services : container of str
            Services that the other host was asked for; it says nothing of others.
        """
        now = asyncio.get_running_loop().time()
        for signal in passed:
            if signal.service not in services:
                continue
            server = self.servers.pool(signal.service).servers.get(signal.server_id)
            if server is None or server.signals.start_ms != signal.start_ms:
                continue
            if signal.leaving and self.servers.set_leaving(server, first_hand=False):
                self._write(server, "server_leaving", "state", "leaving")
            pause_s = signal.pause_ms / _MS_PER_S
            if now + pause_s > max(now, server.signals.not_before + _PAUSE_TOLERANCE_S):
                self.servers.pause_until(server, now + pause_s, first_hand=False)
                self._write(server, "server_paused", "pause_s", pause_s)

    def _read(
        self,
        server: Server,
        response: Response,
        header: bytes,
        apply: Callable[[Server, float | None], None],
    ) -> None:
        """Apply the value of a header, or ``None`` without it, unless malformed."""
        values = [value for n, value in response.headers if n.lower() == header]
        number = parse_decimal(values[0]) if len(values) == 1 else None
        if values and number is None:
            self._metrics.count("errors.server_signal_malformed")
            self._log.write(
                "server_signal_malformed",
                {
                    "server": server.info.id,
                    "header": header.decode("latin-1"),
                    "values": [v[:_MAX_LOGGED_BYTES].decode("latin-1") for v in values],
                },
            )
            return
        apply(server, number)

    def _set_limit(self, server: Server, limit_per_s: float | None) -> None:
        if self.servers.set_limit(server, limit_per_s):
            self._write(server, "server_limit", "requests_per_s", limit_per_s)

    def _set_leaving(self, server: Server, value: float | None) -> None:
        if value == _YES and self.servers.set_leaving(server):
            self._write(server, "server_leaving", "state", "leaving")

    def _set_not_before(self, server: Server, delay_s: float | None) -> None:
        if delay_s:
            now = asyncio.get_running_loop().time()
            if self.servers.pause_until(server, now + delay_s):
                self._write(server, "server_paused", "pause_s", delay_s)

    def _set_cold(self, server: Server, remaining_ms: float | None) -> None:
        if remaining_ms:
            now = asyncio.get_running_loop().time()
            self.servers.set_cold(server, now + remaining_ms / _MS_PER_S)

    def _write(self, server: Server, event: str, name: str, value: object) -> None:
        identity = {"server": server.info.id, "service": server.info.service}
        self._log.write(event, {**identity, name: value})


def parse_decimal(value: bytes) -> float | None:
    """Return the value of a plain decimal number, or ``None`` if it is none."""
    return float(value) if _DECIMAL.fullmatch(value) else None
