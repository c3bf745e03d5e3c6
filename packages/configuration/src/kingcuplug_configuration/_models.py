"""Immutable values of the configuration, and their JSON.

Every field is written out, including defaults, so that a text has the same meaning
on hosts whose software version has other defaults. The JSON of a service is cached:
at the target size a change affects a few of some 16,000 services, and rendering the
others again would take most of the time of a change.
"""

import dataclasses
import hashlib
from collections.abc import Mapping
from functools import cached_property
from types import MappingProxyType
from typing import Any, Literal

from kingcuplug_common import canonical

__all__ = [
    "ConfigurationText",
    "Policy",
    "Service",
    "render",
    "text_digest",
]

DEFAULT_RETENTION_DAYS = 90


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How queries and orders of one service are run.

    Attributes
    ----------
    coverage_weight : float
        0 to 1; 1 waits for complete answers, 0 omits stragglers.
    minimum_coverage : float
        Share of the shards, 0 to 1, below which a query is refused.
    deadline_ms : int
        Default and upper bound of a request's deadline.
    hedge_budget, retry_budget : float
        Hedged sub-requests and retries, as a share of all sub-requests.
    merge : str
        How replies of the shards are merged, ``collect`` or ``concat``.
    canary : str
        ``always`` sends a single sub-request first if the fingerprint of the
        request is unknown.
    urgent_reserve : float
        Share of the admission burst that only urgent requests may use; below 1.
    """

    coverage_weight: float = 0.5
    minimum_coverage: float = 0.5
    deadline_ms: int = 1_000
    hedge_budget: float = 0.05
    retry_budget: float = 0.1
    merge: Literal["collect", "concat"] = "collect"
    canary: Literal["always", "off"] = "always"
    urgent_reserve: float = 0.2

    def to_json(self) -> dict[str, Any]:
        """Return the fields as a JSON object."""
        return {name: getattr(self, name) for name in _POLICY_FIELDS}


_POLICY_FIELDS = tuple(field.name for field in dataclasses.fields(Policy))


@dataclasses.dataclass(frozen=True)
class Service:
    """One service and the services it depends on."""

    name: str
    depends_on: tuple[str, ...] = ()
    policy: Policy = Policy()

    def to_json(self) -> dict[str, Any]:
        """Return the fields except the name, which is the key in the text."""
        return {"depends_on": list(self.depends_on), "policy": self.policy.to_json()}

    @cached_property
    def json_member(self) -> str:
        """Canonical JSON of the name and the fields, as a member of an object."""
        return f'"{self.name}":{canonical(self.to_json()).decode()}'


@dataclasses.dataclass(frozen=True)
class ConfigurationText:
    """All services by name, and the retention of orders."""

    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    retention_days: int = DEFAULT_RETENTION_DAYS

    def __post_init__(self) -> None:
        ordered = dict(sorted(self.services.items()))
        object.__setattr__(self, "services", MappingProxyType(ordered))

    @cached_property
    def text(self) -> str:
        """Canonical JSON; cached, because rendering dominates the time of a patch."""
        members = ",".join(service.json_member for service in self.services.values())
        return f'{{"retention_days":{self.retention_days},"services":{{{members}}}}}'

    @cached_property
    def digest(self) -> str:
        """SHA-256 of the canonical JSON, as hex."""
        return text_digest(self.text)


def render(configuration: ConfigurationText) -> str:
    """Return the canonical JSON: sorted keys, no spaces, every field."""
    return configuration.text


def text_digest(text: str) -> str:
    """Return the SHA-256 of a text as hex, the same as ``sha256sum`` prints."""
    return hashlib.sha256(text.encode()).hexdigest()
