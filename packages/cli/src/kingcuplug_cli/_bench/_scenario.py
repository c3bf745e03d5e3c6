"""Scenarios, policies and targets, read from validated JSON files."""

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
    """A scenario or policy file that cannot be used."""


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceTimes(_StrictModel):
    """Service times of the stand-ins, without any event.

    Attributes
    ----------
    median_ms, spread : float
        Median and sigma of the lognormal distribution.
    straggle_share, straggle_factor : float
        Share of sub-requests that take so many times as long.
    """

    median_ms: float = Field(default=15.0, gt=0)
    spread: float = Field(default=0.2, ge=0)
    straggle_share: float = Field(default=0.003, ge=0, le=1)
    straggle_factor: float = Field(default=6.0, ge=1)


class RequestMix(_StrictModel):
    """Shares of the arrivals; the rest of the queries is normal."""

    urgent: float = Field(default=0.3, ge=0, le=1)
    bulk: float = Field(default=0.1, ge=0, le=1)
    orders: float = Field(default=0.03, ge=0, le=1)
    resent_orders: float = Field(default=0.3, ge=0, le=1)


class Phase(_StrictModel):
    """A stretch of one round; `load` is the share of the slots that it needs."""

    name: str
    duration_s: float = Field(gt=0)
    load: float = Field(gt=0, le=3)


class ScenarioEvent(_StrictModel):
    """Something that happens during a round, at seconds from its start."""

    at_s: float = Field(ge=0)
    do: EventAction
    fields: dict[str, Any] = Field(default_factory=dict)


class Target(_StrictModel):
    """A bound on one figure of one policy.

    Attributes
    ----------
    figure : str
        Name of a figure of `kingcuplug_cli._bench._phase_metrics`.
    phase : str
        Phase that is measured.
    against : str or None
        Phase of the same policy that the figure is divided by.
    against_policy : str or None
        Policy whose figure in the same phase it is divided by.
    deployments : tuple of str
        Deployments that it holds for; empty for all.
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
    """What happens in one round, and what is expected of it."""

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
        known = {phase.name for phase in self.phases}
        for target in self.targets:
            for name in (target.phase, target.against):
                if name is not None and name not in known:
                    raise ValueError(f"target names the unknown phase {name!r}")
        for event in self.events:
            if event.at_s >= self.duration_s:
                raise ValueError(f"event {event.do!r} is after the last phase")
        return self

    @property
    def duration_s(self) -> float:
        """Length of one round."""
        return sum(phase.duration_s for phase in self.phases)


class Policy(_StrictModel):
    """One side of a comparison.

    Attributes
    ----------
    base : str
        ``configured`` follows the services' configuration; ``baseline`` is the
        plainest policy of the routing package.
    routing : dict
        Fields of `RoutingPolicy` that differ from the base.
    service : dict
        Fields of every configured service's policy that differ from the text.
    """

    name: str
    base: Literal["configured", "baseline"]
    routing: dict[str, Any] = Field(default_factory=dict)
    service: dict[str, Any] = Field(default_factory=dict)


_Read = TypeVar("_Read", Scenario, Policy)


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


def _load_model(folder: str, name: str, model: type[_Read]) -> _Read:
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
            f"{name!r} has {error.error_count()} faults: {error}",
            "correct the named fields",
        ) from error
