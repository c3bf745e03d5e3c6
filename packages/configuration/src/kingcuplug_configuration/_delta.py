"""Deltas between configurations, and their description for operators."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from kingcuplug_common import KingcuplugError

from kingcuplug_configuration._models import ConfigurationText, Service
from kingcuplug_configuration._parse import services_from_json

__all__ = [
    "Delta",
    "DigestMismatch",
    "apply_deltas",
    "compute_delta",
    "describe_changes",
    "merge_deltas",
    "patch",
]


class DigestMismatch(KingcuplugError):
    """A delta does not match the configuration that it is applied to."""


@dataclasses.dataclass(frozen=True)
class Delta:
    """Changes that turn one configuration into another.

    Attributes
    ----------
    changed : Mapping
        Added and changed services, by name.
    removed : tuple of str
        Names of removed services.
    retention_days : int or None
        New value, or None if it is unchanged.
    base_digest, digest : str
        Digests of the rendered text before and after.
    revision : int
        Revision that the delta produces; 0 if the delta is not part of a history.
    """

    changed: Mapping[str, Service]
    removed: tuple[str, ...]
    retention_days: int | None
    base_digest: str
    digest: str
    revision: int = 0

    def __len__(self) -> int:
        """Return the number of services that the delta adds, changes or removes."""
        return len(self.changed) + len(self.removed)

    def to_json(self) -> dict[str, Any]:
        """Return the delta as a JSON object."""
        return {
            "changed": {name: item.to_json() for name, item in self.changed.items()},
            "removed": list(self.removed),
            "retention_days": self.retention_days,
            "base_digest": self.base_digest,
            "digest": self.digest,
            "revision": self.revision,
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> "Delta":
        """Read a delta.

        Raises
        ------
        ExceptionGroup
            Of `ConfigurationFault`, if a service or the retention is invalid.
        KeyError, TypeError
            If a field is missing or has another type.
        """
        retention_days = value["retention_days"]
        retention_arguments = () if retention_days is None else (retention_days,)
        services = services_from_json(value["changed"], *retention_arguments)
        removed = tuple(value["removed"])
        digests = value["base_digest"], value["digest"]
        if not all(isinstance(text, str) for text in (*removed, *digests)):
            raise TypeError("names and digests must be strings")
        revision = value["revision"]
        if type(revision) is not int:
            raise TypeError("the revision must be an integer")
        return cls(services, removed, retention_days, *digests, revision)


def compute_delta(
    old: ConfigurationText, new: ConfigurationText, revision: int = 0
) -> Delta:
    """Return the delta that turns `old` into `new`."""
    changed = {
        name: service
        for name, service in new.services.items()
        if (before := old.services.get(name)) is not service and before != service
    }
    removed = tuple(name for name in old.services if name not in new.services)
    same_retention = new.retention_days == old.retention_days
    retention_days = None if same_retention else new.retention_days
    return Delta(changed, removed, retention_days, old.digest, new.digest, revision)


def patch(old: ConfigurationText, delta: Delta) -> ConfigurationText:
    """Apply a delta and verify the digest of the result.

    Raises
    ------
    DigestMismatch
        If the result has another digest, for example because `old` is not the base.
    """
    return apply_deltas(old, [delta])


def apply_deltas(old: ConfigurationText, deltas: Sequence[Delta]) -> ConfigurationText:
    """Apply successive deltas and verify the digest of the final result.

    Each delta's base digest is only compared with the digest of the delta before it:
    hashing the whole text for each of the hundreds of changes that a restarted host
    has missed would take longer than the 4 s in which a change must be in force. The
    base is not hashed either, because a wrong base changes the final digest.

    Raises
    ------
    DigestMismatch
        If the deltas are not consecutive or do not match `old`.
    """
    if not deltas:
        return old
    expected_digest = deltas[0].base_digest
    services, retention_days = dict(old.services), old.retention_days
    for delta in deltas:
        if delta.base_digest != expected_digest:
            raise _digest_mismatch(delta, expected_digest)
        for name in delta.removed:
            services.pop(name, None)
        services.update(delta.changed)
        retention_days = delta.retention_days or retention_days
        expected_digest = delta.digest
    new = ConfigurationText(services, retention_days)
    actual_digest = new.digest
    if actual_digest != expected_digest:
        raise _digest_mismatch(deltas[-1], actual_digest)
    return new


def merge_deltas(deltas: Sequence[Delta]) -> Delta:
    """Return one delta that is equivalent to the consecutive `deltas`."""
    changed: dict[str, Service] = {}
    removed: dict[str, None] = {}
    retention_days = None
    for delta in deltas:
        for name in delta.removed:
            changed.pop(name, None)
            removed[name] = None
        for name, service in delta.changed.items():
            removed.pop(name, None)
            changed[name] = service
        retention_days = delta.retention_days or retention_days
    first, last = deltas[0], deltas[-1]
    return Delta(
        changed,
        tuple(removed),
        retention_days,
        first.base_digest,
        last.digest,
        last.revision,
    )


def _digest_mismatch(delta: Delta, actual_digest: str) -> DigestMismatch:
    return DigestMismatch(
        f"the delta from {delta.base_digest[:12]} to {delta.digest[:12]}"
        f" (revision {delta.revision}) does not match digest {actual_digest[:12]}",
        "fetch the whole text",
    )


def describe_changes(old: ConfigurationText, new: ConfigurationText) -> str:
    """Return the changes as text for operators, one line per change.

    The text is empty if the configurations are equal.
    """
    return "\n".join(_change_lines(old, new))


def _change_lines(old: ConfigurationText, new: ConfigurationText) -> Iterator[str]:
    if old.retention_days != new.retention_days:
        yield f"retention_days: {old.retention_days} -> {new.retention_days}"
    for name in sorted({*old.services, *new.services}):
        before, after = old.services.get(name), new.services.get(name)
        if before is None and after is not None:
            yield f"+ service {name}"
            yield from _service_change_lines(Service(name), after)
        elif after is None:
            yield f"- service {name}"
        elif before is not None and before != after:
            yield f"~ service {name}"
            yield from _service_change_lines(before, after)


def _service_change_lines(before: Service, after: Service) -> Iterator[str]:
    for name in sorted({*before.depends_on} - {*after.depends_on}):
        yield f"    depends_on: - {name}"
    for name in sorted({*after.depends_on} - {*before.depends_on}):
        yield f"    depends_on: + {name}"
    dependencies_differ = before.depends_on != after.depends_on
    if dependencies_differ and sorted(before.depends_on) == sorted(after.depends_on):
        yield f"    depends_on: order is now {', '.join(after.depends_on)}"
    values_before = before.policy.to_json()
    for field, value in after.policy.to_json().items():
        if value != values_before[field]:
            yield f"    policy.{field}: {values_before[field]} -> {value}"
