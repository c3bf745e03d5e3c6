"""Models of scenario and policy files, and their loaders."""

from importlib import resources
from pathlib import Path
from typing import Any, Literal, TypeVar

from kingcuplug_common import KingcuplugError
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

__all__ = [
    "BenchFileInvalid",
    "Phase",
    "Policy",
    "RequestMix",
    "Scenario",
    "ScenarioEvent",
    "ServiceTimes",
    "Target",
    "load_policy",
    "load_scenario",
    "packaged_names",
]

EventAction = Literal[
    "bulk_burst",
    "cold_restart",
    "crash_request",
    "index_change",
    "lie_about_load",
    "lose_server",
    "lose_zone",
    "restart_hosts",
    "rolling_drain",
    "slow_server",
]


class BenchFileInvalid(KingcuplugError):
    """Raised when a scenario or policy file can't be read or is invalid."""


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceTimes(_StrictModel):
    """Service times of the simulated servers outside of events.

    Attributes
    ----------
    median_ms, spread : float
        Median and sigma of the lognormal distribution.
    straggle_share, straggle_factor : float
        Share of sub-requests that are stragglers, and the factor by which these take
        longer.
    """

    median_ms: float = Field(default=15.0, gt=0)
    spread: float = Field(default=0.2, ge=0)
    straggle_share: float = Field(default=0.003, ge=0, le=1)
    straggle_factor: float = Field(default=6.0, ge=1)


class RequestMix(_StrictModel):
    """Shares of the arrivals by kind; the other queries have normal priority."""

    urgent: float = Field(default=0.3, ge=0, le=1)
    bulk: float = Field(default=0.1, ge=0, le=1)
    orders: float = Field(default=0.03, ge=0, le=1)
    resent_orders: float = Field(default=0.3, ge=0, le=1)


class Phase(_StrictModel):
    """A part of a round with constant load, given as a share of the servers' slots."""

    name: str
    duration_s: float = Field(gt=0)
    load: float = Field(gt=0, le=3)


class ScenarioEvent(_StrictModel):
    """A fault or change during a round, at seconds from its start."""

    at_s: float = Field(ge=0)
    do: EventAction
    fields: dict[str, Any] = Field(default_factory=dict)


class Target(_StrictModel):
    """A bound on one metric of the configured policy.

    Attributes
    ----------
    figure : str
        Name of a metric in `PhaseMetrics.summary`.
    phase : str
        Phase that the metric is taken from.
    against : str or None
        Phase of the same policy whose value is the divisor.
    against_policy : str or None
        Policy whose value in the same phase is the divisor.
    deployments : tuple of str
        Deployments that the target applies to; empty for all.
    """

    figure: str
    phase: str
    against: str | None = None
    against_policy: str | None = None
    at_most: float | None = None
    at_least: float | None = None
    deployments: tuple[str, ...] = ()

    @model_validator(mode="after")
    def _require_one_bound(self) -> "Target":
        if (self.at_most is None) == (self.at_least is None):
            raise ValueError("give exactly one of at_most and at_least")
        return self


class Scenario(_StrictModel):
    """Load and events of one round, and the targets for its metrics."""

    name: str
    description: str
    phases: tuple[Phase, ...] = Field(min_length=1)
    events: tuple[ScenarioEvent, ...] = ()
    targets: tuple[Target, ...] = ()
    mix: RequestMix = RequestMix()
    times: ServiceTimes = ServiceTimes()
    configuration_period_s: float | None = Field(default=1.0, gt=0)

    @model_validator(mode="after")
    def _check_references(self) -> "Scenario":
        phase_names = {phase.name for phase in self.phases}
        for target in self.targets:
            for name in (target.phase, target.against):
                if name is not None and name not in phase_names:
                    raise ValueError(f"target refers to the unknown phase {name!r}")
        for event in self.events:
            if event.at_s >= self.duration_s:
                raise ValueError(f"event {event.do!r} is after the last phase")
        return self

    @property
    def duration_s(self) -> float:
        """Duration of one round."""
        return sum(phase.duration_s for phase in self.phases)


class Policy(_StrictModel):
    """A routing policy that takes part in a comparison.

    Attributes
    ----------
    base : str
        ``configured`` follows the services' configuration; ``baseline`` is the
        simplest policy of the routing package.
    routing : dict
        Fields of `RoutingPolicy` that replace those of the base.
    service : dict
        Fields that replace those of each service's policy in the configuration.
    """

    name: str
    base: Literal["configured", "baseline"]
    routing: dict[str, Any] = Field(default_factory=dict)
    service: dict[str, Any] = Field(default_factory=dict)


_ModelT = TypeVar("_ModelT", Scenario, Policy)


def packaged_names(folder: str) -> list[str]:
    """Return the names of the packaged files of ``scenarios`` or ``policies``."""
    files = resources.files("kingcuplug_cli").joinpath(folder).iterdir()
    return sorted(
        file.name.removesuffix(".json") for file in files if file.name.endswith(".json")
    )


def load_scenario(name: str) -> Scenario:
    """Read a packaged scenario by name, or a file by path."""
    return _load_model("scenarios", name, Scenario)


def load_policy(name: str) -> Policy:
    """Read a packaged policy by name, or a file by path."""
    return _load_model("policies", name, Policy)


def _load_model(folder: str, name: str, model: type[_ModelT]) -> _ModelT:
    try:
        if name.endswith(".json"):
            text = Path(name).read_text()
        else:
            file = resources.files("kingcuplug_cli").joinpath(folder, f"{name}.json")
            text = file.read_text()
        return model.model_validate_json(text)
    except OSError as error:
        raise BenchFileInvalid(
            f"{name!r} cannot be read: {error.strerror}",
            "name a path ending in .json or one of "
            f"{', '.join(packaged_names(folder))}",
        ) from error
    except ValidationError as error:
        raise BenchFileInvalid(
            f"{name!r} has {error.error_count()} errors: {error}",
            "correct the listed fields",
        ) from error
