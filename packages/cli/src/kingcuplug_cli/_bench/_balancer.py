"""Stand-in of the platform's load balancer in front of the entry hosts."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterable

import aiohttp

__all__ = ["Balancer"]

_CHECK_PERIOD_S = 0.25
_CHECK_TIMEOUT_S = 1.0


class Balancer:
    """Round robin over the hosts whose last readiness check passed.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Sends the checks.

    Attributes
    ----------
    targets : dict
        Caller address of each host by name.
    ready : set of str
        Names of the hosts that get requests.
    """

    def __init__(self, http: aiohttp.ClientSession) -> None:
        self.targets: dict[str, str] = {}
        self.ready: set[str] = set()
        self._http = http
        self._turns = itertools.count()

    def pick(self, exclude: Iterable[str] = ()) -> tuple[str, str]:
        """Return name and address of the next ready host.

        Hosts in `exclude` are avoided while there is another one.
        """
        names = sorted(self.ready - set(exclude)) or sorted(self.targets)
        name = names[next(self._turns) % len(names)]
        return name, self.targets[name]

    async def run(self) -> None:
        """Check all hosts until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(_CHECK_PERIOD_S)

    async def check(self) -> None:
        """Ask every host once whether it is ready."""
        await asyncio.gather(*(self._check(name) for name in list(self.targets)))

    async def _check(self, name: str) -> None:
        passed = False
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with (
                asyncio.timeout(_CHECK_TIMEOUT_S),
                self._http.get(f"http://{self.targets[name]}/readyz") as response,
            ):
                passed = response.status == 200
        if passed:
            self.ready.add(name)
        else:
            self.ready.discard(name)
