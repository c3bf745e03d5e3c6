"""What backend servers say of themselves in the headers of their answers."""

import re

from kingcuplug_common import EventLog, Metrics
from kingcuplug_http import Response

from kingcuplug_gateway._header_names import HeaderNames
from kingcuplug_gateway._servers import Server, ServerTable

__all__ = ["ServerSignals", "parse_decimal"]

# The bound on the digits keeps a value that cannot be meant from being taken.
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class ServerSignals:
    """Reads the signals of servers, and logs their changes."""

    def __init__(
        self,
        servers: ServerTable,
        header_names: HeaderNames,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._servers = servers
        self._limit_header = header_names.server_limit.lower()
        self._log = log
        self._metrics = metrics

    def record(self, server: Server, response: Response) -> None:
        """Record what an answer of a server says.

        Parameters
        ----------
        response : Response
            An answer that this server has certainly given; one without a limit ends
            the limit of the server.
        """
        if self._limit_header in response.fields or server.limit is not None:
            self._record_limit(server, response)

    def _record_limit(self, server: Server, response: Response) -> None:
        values = [v for n, v in response.headers if n.lower() == self._limit_header]
        limit_per_s = None
        if values:
            limit_per_s = parse_decimal(values[0]) if len(values) == 1 else None
            if limit_per_s is None:
                self._report_malformed(server, values)
                return
        if self._servers.set_limit(server, limit_per_s):
            self._log.write(
                "server_limit",
                {
                    "server": server.info.id,
                    "service": server.info.service,
                    "requests_per_s": limit_per_s,
                },
            )

    def _report_malformed(self, server: Server, values: list[bytes]) -> None:
        self._metrics.count("errors.server_signal_malformed")
        self._log.write(
            "server_signal_malformed",
            {
                "server": server.info.id,
                "values": [value[:40].decode("latin-1") for value in values[:2]],
            },
        )


def parse_decimal(value: bytes) -> float | None:
    """Return the value of a plain decimal number, or ``None`` if it is none."""
    return float(value) if _DECIMAL.fullmatch(value) else None
