"""Parser of configuration texts that reports all faults at once."""

import json
import re
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from kingcuplug_configuration._faults import (
    ConfigurationFault,
    fault_from_pydantic_error,
    format_value,
    join_path,
)
from kingcuplug_configuration._graph import check_dependencies
from kingcuplug_configuration._models import (
    DEFAULT_RETENTION_DAYS,
    ConfigurationText,
    Policy,
    Service,
)

__all__ = ["parse", "services_from_json"]

# A text of 16,000 services, the target size, is about 4 MB long.
MAX_TEXT_CHARACTERS = 16_777_216
# A shorter deadline does not suffice for a round trip to another availability zone and
# the backend server's work; smaller values are usually given in seconds by mistake.
_MIN_DEADLINE_MS = 5
_MAX_DEADLINE_MS = 600_000
_MAX_RETENTION_DAYS = 730
_SERVICE_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

_Share = Annotated[float, Field(ge=0, le=1)]
_STRICT_MODEL = ConfigDict(extra="forbid", strict=True)


class _PolicyModel(BaseModel):
    model_config = _STRICT_MODEL

    coverage_weight: _Share = Policy().coverage_weight
    minimum_coverage: _Share = Policy().minimum_coverage
    deadline_ms: int = Field(
        default=Policy().deadline_ms, ge=_MIN_DEADLINE_MS, le=_MAX_DEADLINE_MS
    )
    hedge_budget: _Share = Policy().hedge_budget
    retry_budget: _Share = Policy().retry_budget
    merge: Literal["collect", "concat"] = Policy().merge
    canary: Literal["always", "off"] = Policy().canary
    urgent_reserve: float = Field(default=Policy().urgent_reserve, ge=0, lt=1)


_DEFAULT_POLICY = _PolicyModel()


class _ServiceModel(BaseModel):
    model_config = _STRICT_MODEL

    # A factory, because pydantic copies a mutable default for each instance.
    depends_on: list[str] = Field(default_factory=list)
    policy: _PolicyModel = Field(default_factory=lambda: _DEFAULT_POLICY)


class _TextModel(BaseModel):
    model_config = _STRICT_MODEL

    services: dict[str, _ServiceModel]
    retention_days: int = Field(
        default=DEFAULT_RETENTION_DAYS, ge=1, le=_MAX_RETENTION_DAYS
    )


_FIELD_NAMES_BY_LEVEL = {
    "text": tuple(_TextModel.model_fields),
    "service": tuple(_ServiceModel.model_fields),
    "policy": tuple(_PolicyModel.model_fields),
}


class _JsonObject(dict[str, Any]):
    """JSON object that records which of its keys occur more than once."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.duplicate_keys: list[str] = []
        if len(self) < len(pairs):
            counts = Counter(name for name, _ in pairs)
            self.duplicate_keys = [name for name, count in counts.items() if count > 1]


def parse(text: str) -> ConfigurationText:
    """Read and validate a text.

    Raises
    ------
    ExceptionGroup
        Of `ConfigurationFault`, with all faults of the text.
    """
    raw = _load_json(text)
    faults = list(_find_duplicate_keys(raw, ()))
    model = _validate(raw, faults)
    faults += _check_names_and_dependencies(raw)
    if model is not None:
        faults += _check_coverage_limits(model.services)
    _raise_if_faults(faults)
    assert model is not None
    return ConfigurationText(_build_services(model.services), model.retention_days)


def services_from_json(
    value: Any, retention_days: Any = DEFAULT_RETENTION_DAYS
) -> dict[str, Service]:
    """Read services by name, as in the text's field ``services``.

    `retention_days` is checked along with them.

    Raises
    ------
    ExceptionGroup
        Of `ConfigurationFault`.
    """
    faults: list[ConfigurationFault] = []
    model = _validate({"services": value, "retention_days": retention_days}, faults)
    if model is not None:
        faults += _check_coverage_limits(model.services)
        faults += _check_service_names(model.services)
    _raise_if_faults(faults)
    assert model is not None
    return _build_services(model.services)


def _raise_if_faults(faults: list[ConfigurationFault]) -> None:
    if faults:
        raise ExceptionGroup(f"the configuration has {len(faults)} faults", faults)


def _load_json(text: str) -> Any:
    if len(text) > MAX_TEXT_CHARACTERS:
        _raise_text_fault(
            f"the text has {len(text)} characters", "use at most 16777216"
        )
    try:
        return json.loads(text, object_pairs_hook=_JsonObject)
    except RecursionError:
        _raise_text_fault(
            "the text is nested too deeply", "use the four levels of the format"
        )
    except ValueError as error:
        _raise_text_fault(f"the text is not JSON: {error}", "correct the JSON")


def _raise_text_fault(message: str, remedy: str) -> None:
    _raise_if_faults([ConfigurationFault("text", message, remedy)])


def _find_duplicate_keys(
    value: Any, path: tuple[Any, ...]
) -> Iterator[ConfigurationFault]:
    if isinstance(value, _JsonObject):
        for name in value.duplicate_keys:
            yield ConfigurationFault(
                join_path((*path, name)),
                f"duplicate name {format_value(name)}",
                "keep one of them",
            )
        items: Any = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return
    for key, item in items:
        if isinstance(item, dict | list):
            yield from _find_duplicate_keys(item, (*path, key))


def _validate(raw: Any, faults: list[ConfigurationFault]) -> _TextModel | None:
    try:
        return _TextModel.model_validate(raw)
    except ValidationError as error:
        faults += [
            fault_from_pydantic_error(item, _FIELD_NAMES_BY_LEVEL)
            for item in error.errors(include_url=False)
        ]
        return None


def _check_names_and_dependencies(raw: Any) -> list[ConfigurationFault]:
    """Check names and dependencies even if other fields have faults."""
    services = raw.get("services") if isinstance(raw, dict) else None
    if not isinstance(services, dict):
        return []
    graph = {name: _dependency_names(service) for name, service in services.items()}
    return [*_check_service_names(graph), *check_dependencies(graph)]


def _dependency_names(service: Any) -> list[str]:
    dependencies = service.get("depends_on", []) if isinstance(service, dict) else []
    if not isinstance(dependencies, list):
        return []
    return [name for name in dependencies if isinstance(name, str)]


def _check_service_names(names: Mapping[str, Any]) -> list[ConfigurationFault]:
    return [
        ConfigurationFault(
            join_path(("services", name)),
            f"wrong service name {format_value(name)}",
            "use 1 to 63 lower-case letters, digits and hyphens, no hyphen first",
        )
        for name in names
        if not _SERVICE_NAME.fullmatch(name)
    ]


def _check_coverage_limits(
    services: Mapping[str, _ServiceModel],
) -> list[ConfigurationFault]:
    """Find limits that are valid on their own but contradict each other."""
    return [
        ConfigurationFault(
            join_path(("services", name, "policy", "minimum_coverage")),
            "impossible limit: coverage_weight 0 cuts the tail, but"
            " minimum_coverage 1 refuses every answer that was cut",
            "raise coverage_weight or lower minimum_coverage",
        )
        for name, service in services.items()
        if service.policy.coverage_weight == 0 and service.policy.minimum_coverage == 1
    ]


def _build_services(models: Mapping[str, _ServiceModel]) -> dict[str, Service]:
    # Most services have one of a few policies; sharing equal objects saves memory.
    default = Policy()
    shared = {default: default}
    services = {}
    for name, model in models.items():
        policy = default
        if model.policy is not _DEFAULT_POLICY:
            policy = Policy(**model.policy.__dict__)
            policy = shared.setdefault(policy, policy)
        services[name] = Service(name, tuple(model.depends_on), policy)
    return services
