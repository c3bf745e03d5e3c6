"""Check that every host is in service."""

import asyncio

from kingcuplug_fleet import PeerFailed

from kingcuplug_soak._hosts import HostProcess
from kingcuplug_soak._http_client import send_request

__all__ = ["find_unserving_hosts"]

_RETRY_S = 0.1


async def find_unserving_hosts(hosts: list[HostProcess], timeout_s: float) -> list[str]:
    """Return a violation for each host that is not in service in time.

    A host is in service if it answers callers and its readiness check.
    """
    causes = await asyncio.gather(*(_find_cause(host, timeout_s) for host in hosts))
    return [
        f"{host.name} is not in service: {cause}; {_describe_process(host)}"
        for host, cause in zip(hosts, causes, strict=True)
        if cause
    ]


async def _find_cause(host: HostProcess, timeout_s: float) -> str:
    """Return why a host is not in service, empty if it is."""
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + timeout_s
    while cause := await _probe(host):
        if loop.time() > deadline_at:
            return cause
        await asyncio.sleep(_RETRY_S)
    return ""


async def _probe(host: HostProcess) -> str:
    try:
        # No route matches, so the host itself answers.
        await send_request(host.caller_address, "GET", "/")
        ready = await send_request(host.ready_address, "GET", "/v1/readiness")
    except PeerFailed as error:
        return str(error)
    return "" if ready.status == 200 else f"not ready, {ready.body.decode()!r}"


def _describe_process(host: HostProcess) -> str:
    if not host.is_running:
        return "no process runs"
    return f"last log lines {host.runs[-1].last_log_lines()}"
