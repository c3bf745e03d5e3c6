"""Teams of callers, found by the key that a request carries."""

import dataclasses
import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from kingcuplug_http import Request, Response, error_response
from kingcuplug_routing import AllowedRegions, TeamQuota

__all__ = [
    "KeyUnknown",
    "Team",
    "Teams",
    "authenticate",
    "identified_request",
    "key_digest",
    "unauthorized_response",
]

_AUTHORIZATION = b"authorization"


class KeyUnknown(Exception):
    """A request carries no key, a malformed one, or one that no team holds."""


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is stored and looked up.

    The time that a look-up takes says nothing about the stored keys, because a caller
    cannot choose digests.
    """
    return hashlib.sha256(key).digest()


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers.

    Attributes
    ----------
    key_digests : frozenset of bytes
        Digests of its keys, see `key_digest`.
    priority : int or None
        Takes precedence over the priority of the route; ``None`` for that of the route.
    quota : TeamQuota or None
        ``None`` if its requests are not limited.
    allowed_regions : AllowedRegions
        Regions of the servers that its requests may be sent to, ``None`` for all.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    quota: TeamQuota | None = None
    allowed_regions: AllowedRegions = None


@dataclass(frozen=True)
class Teams:
    """All teams of a route table.

    Raises
    ------
    ValueError
        If two teams share a key or a name.
    """

    teams: tuple[Team, ...]
    _by_digest: dict[bytes, Team] = field(init=False, repr=False)
    _by_name: dict[str, Team] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_digest: dict[bytes, Team] = {}
        for team in self.teams:
            for digest in team.key_digests:
                other = by_digest.setdefault(digest, team)
                if other is not team:
                    raise ValueError(f"{other.name!r} and {team.name!r} share a key")
        by_name = {team.name: team for team in self.teams}
        if len(by_name) < len(self.teams):
            raise ValueError("two teams have the same name")
        object.__setattr__(self, "_by_digest", by_digest)
        object.__setattr__(self, "_by_name", by_name)

    def find(self, key: bytes) -> Team | None:
        """Return the team that holds a key."""
        return self._by_digest.get(key_digest(key))

    def by_name(self, name: str) -> Team | None:
        """Return the team with a name."""
        return self._by_name.get(name)

    def quotas(self) -> Mapping[str, TeamQuota]:
        """Return the quotas of the teams that have one, by name."""
        return {t.name: t.quota for t in self.teams if t.quota is not None}


def authenticate(
    request: Request, teams: Teams, scheme: bytes, required: bool
) -> Team | None:
    """Return the team whose key a request carries.

    Parameters
    ----------
    scheme : bytes
        Authentication scheme, which callers may write in any case.
    required : bool
        Whether a key is required. Where it is not, a request without a known key
        belongs to no team.

    Raises
    ------
    KeyUnknown
        If a key is required and the request does not carry exactly one known key.
    """
    values = [v for name, v in request.headers if name.lower() == _AUTHORIZATION]
    team = _find_team(values, teams, scheme)
    if team is None and required:
        raise KeyUnknown
    return team


def _find_team(values: Sequence[bytes], teams: Teams, scheme: bytes) -> Team | None:
    """Return the team of the only value; several may name different teams."""
    if len(values) != 1:
        return None
    given_scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if given_scheme.lower() != scheme.lower() or not key:
        return None
    return teams.find(key)


def identified_request(
    request: Request, team: Team | None, team_header: bytes
) -> Request:
    """Return the request without the caller's key, and with the name of its team.

    A header that names a team is the caller's own claim and is replaced.
    """
    removed = (_AUTHORIZATION, team_header.lower())
    headers = [(n, v) for n, v in request.headers if n.lower() not in removed]
    fields = {n: v for n, v in request.fields.items() if n not in removed}
    if team is not None:
        name = team.name.encode()
        headers.append((team_header, name))
        fields[team_header.lower()] = name
    return dataclasses.replace(request, headers=headers, fields=fields)


def unauthorized_response(scheme: bytes) -> Response:
    """Return the response to a request without a known key."""
    response = error_response(401, "a known key is required")
    response.headers.append((b"WWW-Authenticate", scheme))
    return response
