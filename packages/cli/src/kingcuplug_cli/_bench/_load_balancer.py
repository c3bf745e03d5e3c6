"""Simulated platform load balancer in front of the entry hosts."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterable

import aiohttp

__all__ = ["LoadBalancer"]

_READINESS_CHECK_PERIOD_S = 0.25
_READINESS_CHECK_TIMEOUT_S = 1.0


class LoadBalancer:
    """Choose among the hosts whose last readiness check passed, round robin.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Client that sends the readiness checks.

    Attributes
    ----------
    addresses : dict
        Caller address of each host by name.
    ready_hosts : set of str
        Names of the hosts that receive requests.
    """

    def __init__(self, http: aiohttp.ClientSession) -> None:
        self.addresses: dict[str, str] = {}
        self.ready_hosts: set[str] = set()
        self._http = http
        self._next_index = itertools.count()

    def next_host(self, excluded: Iterable[str] = ()) -> tuple[str, str]:
        """Return the name and address of the next ready host.

        A host in `excluded` is only returned if no other host is ready. If no host
        is ready, all of them take part, in the same order.
        """
        names = sorted(self.ready_hosts - set(excluded)) or sorted(self.addresses)
        name = names[next(self._next_index) % len(names)]
        return name, self.addresses[name]

    async def run_readiness_checks(self) -> None:
        """Check the readiness of all hosts periodically until cancelled."""
        while True:
            await self.check_all_hosts()
            await asyncio.sleep(_READINESS_CHECK_PERIOD_S)

    async def check_all_hosts(self) -> None:
        """Send one readiness check to every host."""
        await asyncio.gather(*(self._check_host(name) for name in list(self.addresses)))

    async def _check_host(self, name: str) -> None:
        passed = False
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with (
                asyncio.timeout(_READINESS_CHECK_TIMEOUT_S),
                self._http.get(f"http://{self.addresses[name]}/readyz") as response,
            ):
                passed = response.status == 200
        if passed:
            self.ready_hosts.add(name)
        else:
            self.ready_hosts.discard(name)
