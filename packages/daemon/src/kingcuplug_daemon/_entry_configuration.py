"""The configuration in force at an entry host.

Each revision takes effect as one immutable view; a request keeps the view with which
it started.
"""

import random
from collections.abc import Callable
from typing import Any

from kingcuplug_common import KingcuplugError
from kingcuplug_configuration import (
    ConfigurationText,
    Delta,
    Service,
    apply_deltas,
    parse,
    render,
    text_digest,
)
from kingcuplug_query import RevisionView, ServiceRuntime
from kingcuplug_routing import Admission, Router, RoutingPolicy

__all__ = ["EntryConfiguration", "RoutingPolicyFactory"]

RoutingPolicyFactory = Callable[[Service], RoutingPolicy]
_NO_REVISION = -1


class EntryConfiguration:
    """Applies the revisions that the home control host sends.

    Parameters
    ----------
    services : tuple of str or None
        Routed services; ``None`` routes all of them.
    policy_factory : callable
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

    def current_revision(self) -> int:
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
            new_text = apply_deltas(
                self._text, [Delta.from_json(value) for value in deltas]
            )
        else:
            new_text = parse(text or "")
        actual = text_digest(render(new_text))
        if actual != digest:
            raise KingcuplugError(
                f"revision {revision} has digest {actual[:12]} here, not {digest[:12]}",
                "the whole text is fetched",
            )
        self._text = new_text
        self.retention_days = new_text.retention_days
        self.view = RevisionView(revision, self._runtimes(new_text))
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
        former = self.view.services.get(service.name)
        if former is not None and former.service == service:
            return former
        if former is not None and former.service.policy == service.policy:
            return ServiceRuntime(service, former.router, former.admission)
        # A changed policy starts with new statistics; requests in flight finish with
        # the router with which they started.
        router = Router(service.name, self._policy_factory(service), self._random)
        return ServiceRuntime(service, router, Admission(router))
