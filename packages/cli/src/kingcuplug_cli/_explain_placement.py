"""Where a host would send a request now, and why, asked at its metrics address."""

import dataclasses
from collections.abc import Iterator
from typing import Any

import aiohttp
import orjson

from kingcuplug_cli._results import CommandRefused, ExitCode, Unreachable, WrongUsage

__all__ = ["explain_placement"]

_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Report of one host."""

    address: str
    report: dict[str, Any]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the report as a table."""
        report = self.report
        hosts, version = report["hosts"], report["routes_version"]
        yield (
            f"{report['method']} {report['host']}{report['path']} "
            f"team {report['team'] or '-'} at {self.address}: "
            f"routes version {version}, {hosts} hosts"
            + (", cut off from all servers" if report["isolated"] else "")
        )
        if report["refusal"]:
            yield f"refused: {report['refusal']}"
        if "route" not in report:
            return
        yield (
            f"route {report['route']}  rank {report['rank']} of the "
            f"{report['rank_of']}  target {report['target_ms']} ms  "
            f"timeout {report['timeout_ms']} ms  "
            f"{report['max_attempts']} attempts  {report['shard_count']} shards"
        )
        admission = report.get("admission")
        if admission is not None:
            yield (
                f"admission: {admission['decision']}  limit {admission['limit']}  "
                f"in flight {admission['in_flight']}  waiting {admission['waiting']}  "
                f"expected wait {admission['expected_wait_ms']} ms"
            )
        for zone, addresses in report.get("gatherers", {}).items():
            yield f"gatherers in {zone}: {' '.join(addresses)}"
        for service in report.get("services", ()):
            yield from _service_lines(service)


def _service_lines(service: dict[str, Any]) -> Iterator[str]:
    yield (
        f"{service['service']}: {service['server_count']} servers, "
        f"typical {service['typical_ms']} ms"
    )
    for row in service["servers"]:
        reason = row["excluded"] or "-"
        if row["excluded"] and row["until_ms"] is not None:
            reason += f" for {row['until_ms']} ms"
        yield (
            f"  {row['server']:<20} {row['zone']:<12} score {row['score_ms']:>8} ms  "
            f"open {row['open']:>2}/{row['slots']}  excluded {reason}  "
            f"penalties {','.join(row['penalties']) or '-'}"
        )


async def explain_placement(
    address: str, host: str, path: str, method: str, team: str, shards: int
) -> Placement:
    """Ask a host where it would send a request; nothing is sent to servers.

    Parameters
    ----------
    address : str
        Metrics address of the host, ``ip:port``.
    shards : int
        Number of a query's shards whose servers are shown.
    """
    query = {
        "host": host,
        "path": path,
        "method": method,
        "team": team,
        "shards": str(shards),
    }
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}/explain", params=query) as response,
        ):
            body, status = await response.read(), response.status
    except aiohttp.InvalidURL as error:
        raise WrongUsage(
            f"{address} is no address", "give the metrics address as ip:port"
        ) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise Unreachable(
            f"{address} did not answer: {error!r}",
            "give the metrics address of a running host",
        ) from error
    if status != 200:
        raise CommandRefused(
            f"{address} answered {status}: {body.decode(errors='replace')}",
            "correct the arguments, or ask a host of this version",
        )
    try:
        report = orjson.loads(body)
        return Placement(address, {**report})
    except (orjson.JSONDecodeError, TypeError) as error:
        # Hosts of earlier versions answer every path with their metrics.
        raise CommandRefused(
            f"{address} answered with no report", "ask a host of this version"
        ) from error
