"""The configuration in force at an entry host.

A revision is put in force as one immutable view; requests keep the view with which
they started.
"""

import random
from collections.abc import Callable
from typing import Any

from kingcuplug_common import KingcuplugError
from kingcuplug_configuration import (
    ConfigurationText,
    Delta,
    Service,
    parse,
    render,
    replay,
    text_digest,
)
from kingcuplug_query import RevisionView, ServiceRuntime
from kingcuplug_routing import Admission, Router, RoutingPolicy

__all__ = ["EntryConfiguration", "RoutingPolicyFactory"]

RoutingPolicyFactory = Callable[[Service], RoutingPolicy]
_NO_REVISION = -1


class EntryConfiguration:
    """Revisions as they come from the home control host.

    Parameters
    ----------
    services : tuple of str or None
        Routed services; ``None`` routes all of them.
    policy_of : callable
        Returns the routing policy of a service.
    random_source : random.Random
        Source of all random decisions of the routers.

    Attributes
    ----------
    view : RevisionView
        The revision in force.
    retention_days : int
        How long orders are kept.
    """

    def __init__(
        self,
        services: tuple[str, ...] | None,
        policy_factory: RoutingPolicyFactory,
        random_source: random.Random,
    ) -> None:
        self.view = RevisionView(_NO_REVISION, {})
        self.retention_days = 0
        self._routed_services = services
        self._policy_factory = policy_factory
        self._random = random_source
        self._text = ConfigurationText()
        self.on_change: Callable[[], None] = lambda: None

    def current(self) -> int:
        """Return the number of the revision in force; -1 for none."""
        return self.view.number

    def routed_services(self) -> tuple[str, ...]:
        """Return the names of the routed services."""
        if self._routed_services is not None:
            return self._routed_services
        return tuple(self._text.services)

    def apply(
        self, revision: int, deltas: list[Any] | None, text: str | None, digest: str
    ) -> None:
        """Put a revision in force.

        Raises
        ------
        KingcuplugError
            If the resulting text has another digest; nothing changes then.
        """
        if deltas is not None:
            new = replay(self._text, [Delta.from_json(value) for value in deltas])
        else:
            new = parse(text or "")
        found = text_digest(render(new))
        if found != digest:
            raise KingcuplugError(
                f"revision {revision} has digest {found[:12]} here, not {digest[:12]}",
                "the whole text is fetched",
            )
        self._text = new
        self.retention_days = new.retention_days
        self.view = RevisionView(revision, self._runtimes(new))
        self.on_change()

    def _runtimes(self, text: ConfigurationText) -> dict[str, ServiceRuntime]:
        routed = set(
            text.services if self._routed_services is None else self._routed_services
        )
        return {
            name: self._runtime(service)
            for name, service in text.services.items()
            if name in routed
        }

    def _runtime(self, service: Service) -> ServiceRuntime:
        known = self.view.services.get(service.name)
        if known is not None and known.service == service:
            return known
        if known is not None and known.service.policy == service.policy:
            return ServiceRuntime(service, known.router, known.admission)
        # A changed policy starts with new statistics; requests in flight end under
        # the router that they started with.
        router = Router(service.name, self._policy_factory(service), self._random)
        return ServiceRuntime(service, router, Admission(router))
