"""Quotas of teams over all hosts, and one host's decisions by them.

Handles these load patterns: a team sends several times its usual requests, through all
hosts, each of which sees less than one of them a second; its load moves between hosts
within a second; hosts are cut off from control while their callers still reach them.
"""

import math
import random as random_module
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "QUOTA_WINDOW_S",
    "RecentMaximum",
    "TeamCounts",
    "TeamQuota",
    "TeamQuotaGate",
    "TeamRatios",
    "tolerance_requests",
]

# Bounds hold in any window of this length.
QUOTA_WINDOW_S = 5.0
# Requests admitted beyond the quota before any is refused, as a number and as a share
# of the quota in a window. A team that stays below its quota would otherwise be refused
# by chance. The bound on the sum is 20 requests and a share of 0.1 above the quota.
_TOLERANCE_REQUESTS = 3.0
_TOLERANCE_RATIO = 0.01
# Ratios are used for this time without contact. It covers the election of a leader.
# With 3 s, a team that grew hot as a third of the hosts were cut off broke the bound.
_RATIO_TTL_S = 2.0
# Allowed to all hosts together beyond the quota while they have no contact, so that
# small teams are not refused all requests. In a window it is a third of the 20 above.
_ISOLATED_RATE_PER_S = 0.5
_ISOLATED_BURST_REQUESTS = 4.0
# The next request of a share may be minutes away, but callers return to any host.
_MAX_ISOLATED_WAIT_S = 5.0
# Number of hosts assumed by a host that has not been told it.
_ASSUMED_HOSTS = 100
# A host that no longer takes part may be cut off, and admits its share, for this time.
_HOSTS_MEMORY_S = 600.0
# Range of factors for the time after which refused callers return.
_SPREAD = (1.0, 1.5)
_PRUNE_INTERVAL_S = 10.0

# Requests and admitted requests, by team.
TeamCounts = Mapping[str, tuple[int, int]]
# Share of the requests to admit, and seconds until there is room for others, by team.
TeamRatios = Mapping[str, tuple[float, float]]


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """Quota of a team, over all hosts.

    Attributes
    ----------
    rate_per_s : float
        Requests a second, above 0.
    burst_requests : float
        Requests that may be sent beyond the rate.
    """

    rate_per_s: float
    burst_requests: float

    @property
    def window_requests(self) -> float:
        """Requests that may be sent in a window."""
        return self.rate_per_s * QUOTA_WINDOW_S + self.burst_requests


def tolerance_requests(quota: TeamQuota) -> float:
    """Return the requests that are admitted beyond a quota before any is refused."""
    return _TOLERANCE_REQUESTS + _TOLERANCE_RATIO * quota.window_requests


class RecentMaximum:
    """The greatest number of hosts in recent minutes."""

    def __init__(self) -> None:
        self.value = 0
        self._seen_at = -math.inf

    def record(self, value: int, now: float) -> int:
        """Record a number and return the greatest recent one."""
        if value >= self.value or now > self._seen_at + _HOSTS_MEMORY_S:
            self.value, self._seen_at = value, now
        return self.value


class _Bucket:
    """Bounds a team at this host by the whole quota, also before control reacts."""

    __slots__ = ("at", "tokens")

    def __init__(self, quota: TeamQuota, now: float) -> None:
        self.tokens = quota.burst_requests + tolerance_requests(quota)
        self.at = now

    def refill(self, quota: TeamQuota, now: float) -> bool:
        """Add what the time since the last call allows; return whether it is full."""
        capacity = quota.burst_requests + tolerance_requests(quota)
        elapsed_s = max(0.0, now - self.at)
        self.tokens = min(capacity, self.tokens + elapsed_s * quota.rate_per_s)
        self.at = now
        return self.tokens >= capacity


class _EqualShare:
    """Meters a team at a host without contact by an equal share of its quota.

    Requests become available at an even pace from a random phase, because the share is
    mostly below one request. Unused ones expire beyond the share of the burst.
    """

    __slots__ = ("_at", "_burst", "_has_burst", "_issued", "_rate_per_s", "_used")

    def __init__(self, phase: float, has_burst: bool, now: float) -> None:
        self._issued = phase
        self._has_burst = has_burst
        self._used = 0
        self._at = now
        self._rate_per_s = self._burst = 0.0

    def take(self, quota: TeamQuota, hosts: int, now: float) -> float:
        """Take a request and return 0, or return the seconds until there is one."""
        self._issued += max(0.0, now - self._at) * self._rate_per_s
        self._at = now
        self._rate_per_s = (quota.rate_per_s + _ISOLATED_RATE_PER_S) / hosts
        self._burst = (quota.burst_requests + _ISOLATED_BURST_REQUESTS) / hosts
        if self._has_burst:
            self._issued += self._burst
            self._has_burst = False
        expired = int(max(0.0, self._issued - self._burst))
        first_unused = max(self._used, expired)
        if int(self._issued) > first_unused:
            self._used = first_unused + 1
            return 0.0
        return (first_unused + 1 - self._issued) / self._rate_per_s

    def add(self) -> None:
        """Return a request that was taken."""
        self._used = max(0, self._used - 1)


class TeamQuotaGate:
    """Decides at one host which requests of teams with a quota are admitted.

    Parameters
    ----------
    random : Random
        Source of the random choices.
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._ratios: TeamRatios = {}
        self._hosts = RecentMaximum()
        self._contact_at = -math.inf
        self._counts: dict[str, list[int]] = {}
        self._buckets: dict[str, tuple[_Bucket, TeamQuota]] = {}
        self._shares: dict[str, _EqualShare] = {}
        self._pruned_at = -math.inf

    def set_fleet(self, ratios: TeamRatios, hosts: int, contact_at: float) -> None:
        """Set what the coordinator has published.

        Parameters
        ----------
        hosts : int
            Number of live hosts, 0 if unknown.
        contact_at : float
            When the ratios were last known to be the newest.
        """
        self._ratios = ratios
        self._contact_at = contact_at
        if hosts > 0:
            self._hosts.record(hosts, contact_at)

    def has_contact(self, now: float) -> bool:
        """Return whether the published ratios are new enough to be used."""
        return now <= self._contact_at + _RATIO_TTL_S

    def ratio(self, team: str, now: float) -> float | None:
        """Return the published ratio of a team, ``None`` without contact."""
        if not self.has_contact(now):
            return None
        return self._ratios.get(team, (1.0, 0.0))[0]

    def admit(
        self, team: str, quota: TeamQuota, now: float, returning: bool = False
    ) -> float | None:
        """Decide on a request.

        Parameters
        ----------
        returning : bool
            Whether its caller has been refused before, so that most answers would be
            late. What a held team may send is kept for requests that can be in time.

        Returns
        -------
        float or None
            ``None`` if it is admitted, otherwise the seconds after which there is
            likely to be room for it.
        """
        if self.has_contact(now):
            wait_s = self._admit_by_ratio(team, quota, now, returning)
        else:
            share = self._shares.get(team)
            if share is None:
                # A team that was held has used its burst, and one at a host that has
                # just started may have.
                is_held = self._ratios.get(team, (1.0, 0.0))[0] < 1.0
                has_burst = self._contact_at > -math.inf and not is_held
                share = _EqualShare(self._random.random(), has_burst, now)
                self._shares[team] = share
            wait_s = share.take(quota, self._hosts.value or _ASSUMED_HOSTS, now)
            wait_s = min(wait_s, _MAX_ISOLATED_WAIT_S)
        if wait_s <= 0:
            return None
        return wait_s * self._random.uniform(*_SPREAD)

    def _admit_by_ratio(
        self, team: str, quota: TeamQuota, now: float, returning: bool
    ) -> float:
        """Admit and count a request and return 0, or return the seconds until room."""
        counts = self._counts.setdefault(team, [0, 0])
        # The ratio is that of new requests.
        counts[0] += not returning
        entry = self._buckets.get(team)
        bucket = entry[0] if entry is not None else _Bucket(quota, now)
        self._buckets[team] = (bucket, quota)
        bucket.refill(quota, now)
        if self._shares:
            # The next loss of contact starts anew, without a burst if it was used.
            self._shares.pop(team, None)
        ratio, wait_s = self._ratios.get(team, (1.0, 0.0))
        if returning:
            # Refused callers are most of a team's that may send less than half.
            ratio = max(0.0, 2 * ratio - 1)
        if ratio < 1.0 and self._random.random() >= ratio:
            return max(wait_s, 1 / quota.rate_per_s)
        if bucket.tokens < 1.0:
            return (1.0 - bucket.tokens) / quota.rate_per_s
        bucket.tokens -= 1.0
        counts[1] += 1
        return 0.0

    def give_back(self, team: str, now: float) -> None:
        """Take back an admitted request that was not sent to any server."""
        if not self.has_contact(now):
            if team in self._shares:
                self._shares[team].add()
            return
        self._counts.setdefault(team, [0, 0])[1] -= 1
        if team in self._buckets:
            self._buckets[team][0].tokens += 1.0

    def pop_counts(self, now: float) -> dict[str, tuple[int, int]]:
        """Return the counts since the previous call of teams with requests.

        Without contact nothing is counted: the coordinator sets the share of a host
        that is cut off aside, and late counts would be charged against later requests.
        """
        self._prune(now)
        counts, self._counts = self._counts, {}
        if not self.has_contact(now):
            return {}
        # What was given back after its report is subtracted from the next counts.
        self._counts = {t: [0, a] for t, (_, a) in counts.items() if a < 0}
        return {t: (n, max(0, a)) for t, (n, a) in counts.items() if n > 0 or a > 0}

    def restore_counts(self, counts: TeamCounts) -> None:
        """Add counts that could not be reported to the next `pop_counts`."""
        for team, (requested, admitted) in counts.items():
            pending = self._counts.setdefault(team, [0, 0])
            pending[0] += requested
            pending[1] += admitted

    def _prune(self, now: float) -> None:
        """Drop the state of teams that have not sent requests for some time."""
        if now < self._pruned_at + _PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        self._buckets = {
            team: (bucket, quota)
            for team, (bucket, quota) in self._buckets.items()
            if not bucket.refill(quota, now)
        }
        if self.has_contact(now):
            self._shares.clear()
