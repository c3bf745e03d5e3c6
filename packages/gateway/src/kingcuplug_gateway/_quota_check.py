"""The quota of a request's team: admission, refusal and its log."""

import asyncio
import random as random_module
from collections.abc import Callable

from kingcuplug_common import EventLog, Metrics
from kingcuplug_http import Response, error_response
from kingcuplug_routing import TeamQuotaGate

from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._teams import Team

__all__ = ["QuotaCheck"]

_MS_PER_S = 1_000
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503


class QuotaCheck:
    """Asks the gate of a host about requests, and reports refusals.

    Attributes
    ----------
    gate : TeamQuotaGate
        Decides on requests of teams with a quota.
    """

    def __init__(
        self, random: random_module.Random, log: EventLog, metrics: Metrics
    ) -> None:
        self.gate = TeamQuotaGate(random)
        self._log = log
        self._metrics = metrics

    def refuse(
        self, team: Team | None, route: Route, is_returning: Callable[[], bool]
    ) -> Response | None:
        """Count a request; return the refusal of one above its team's quota.

        Parameters
        ----------
        is_returning : callable
            Returns whether its caller has been refused before.
        """
        if team is None or team.quota is None or route.public:
            return None
        now = asyncio.get_running_loop().time()
        wait_s = self.gate.admit(team.name, team.quota, now, is_returning())
        if wait_s is None:
            return None
        self._metrics.count("quota.refused")
        self._log.write(
            "quota_refused",
            {
                "team": team.name,
                "ratio": self.gate.ratio(team.name, now),
                "retry_after_ms": round(wait_s * _MS_PER_S),
            },
        )
        return error_response(_TOO_MANY_REQUESTS, "quota", retry_after_s=wait_s)

    def review(self, team: Team | None, route: Route, response: Response) -> None:
        """Give back a request that was refused before any server ran it.

        Parameters
        ----------
        response : Response
            A response of this host, not one of a server.
        """
        if team is None or team.quota is None or route.public:
            return
        if response.status == _UNAVAILABLE:
            self.gate.give_back(team.name, asyncio.get_running_loop().time())
            self._metrics.count("quota.given_back")
