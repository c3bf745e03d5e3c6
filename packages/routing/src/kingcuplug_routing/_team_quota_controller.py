"""The coordinator's admission ratios, which keep teams within quotas over all hosts.

Handles these load patterns: a team sends several times its usual requests through all
hosts, and no host sees the sum; a quota is lowered far below what a team sends; a part
of the hosts is cut off and admits by equal shares meanwhile; the coordinator changes
while a team is held at its quota.
"""

import math
from collections.abc import Mapping

from kingcuplug_routing._team_quota import (
    QUOTA_WINDOW_S,
    RecentMaximum,
    TeamCounts,
    TeamQuota,
    TeamRatios,
    tolerance_requests,
)

__all__ = ["TeamQuotaController"]

# Time constant of the estimate of a team's demand: two report intervals, so that the
# estimate follows a jump within a second.
_DEMAND_TIME_S = 0.6
# Shorter, as it only bridges the delay of reports and of publications.
_ADMITTED_TIME_S = 0.3
# From a request to the moment when a ratio that takes account of it is in force.
_CONTROL_DELAY_S = 0.45
# A team is held only if estimates exceed its quota by this many standard deviations:
# three requests of a small team that arrive together say little about its rate.
_CERTAINTY_DEVIATIONS = 2.0
# Share of the estimate after a whole burst at once, above which it is no burst.
_SURGE_RATIO = 0.8
# Part of the tolerance that is left when a team is first held. Reports of a burst that
# has ended arrive when the team is below its quota again.
_HELD_RATIO = 0.75
# Time in which the ratio uses up what is left, or makes up for what was too much. It
# exceeds the delay between a decision and its effect, so that ratios do not oscillate.
_CORRECTION_TIME_S = 1.0
# Each publication reaches all hosts. It is delayed in proportion to the teams in it, so
# that hundreds of them do not fill the links; less if a ratio has fallen much.
_PUBLISH_INTERVAL_S = 0.3
_TEAM_INTERVAL_S = 0.003
_URGENT_TEAM_INTERVAL_S = 0.002
_URGENT_RATIO = 0.7
# Smaller relative changes are not published; the bucket makes up for the difference.
_MIN_CHANGE_RATIO = 0.1
_MIN_WAIT_CHANGE_RATIO = 0.5
_MIN_RATIO = 0.01
# A lower ratio says more of what was too much than of the demand.
_MIN_INHERITED_RATIO = 0.1
# Share of the rate that refused callers find free when they return. Quotas are about
# 1.6 times what a team usually sends.
_RETURN_RATIO = 0.375
_MIN_WAIT_S, _MAX_WAIT_S = 0.3, 30.0
# What hosts that are cut off may admit beyond the quota; beyond it their share is set
# aside. The rest of the allowed 20 requests and share of 0.1 covers delays.
_UNRESERVED_REQUESTS = 6.0
_UNRESERVED_RATIO = 0.05
# Covers an election, and the reports that hosts could not send meanwhile.
_HANDOVER_S = 3.0
# Reports that arrive at a new coordinator in this time may be of a longer one than the
# report interval: they are charged, but say nothing of rates.
_SETTLING_S = 0.6
_PRUNE_INTERVAL_S = 10.0


class _Team:
    """Token bucket and demand of one team."""

    __slots__ = ("admitted_per_s", "at", "backlog", "demand_per_s", "tokens")

    def __init__(self, tokens: float, now: float, demand_per_s: float = 0.0) -> None:
        self.tokens = tokens
        self.demand_per_s = demand_per_s
        self.admitted_per_s = 0.0
        self.backlog = 0.0
        self.at = now

    def advance(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Refill the bucket, and let backlog and the estimates of rates decay."""
        elapsed_s = now - self.at
        if elapsed_s <= 0:
            return
        returned = elapsed_s * rate_per_s * _RETURN_RATIO
        self.backlog = max(0.0, self.backlog - returned)
        if self.tokens < capacity:
            self.tokens = min(capacity, self.tokens + elapsed_s * rate_per_s)
        self.demand_per_s *= math.exp(-elapsed_s / _DEMAND_TIME_S)
        self.admitted_per_s *= math.exp(-elapsed_s / _ADMITTED_TIME_S)
        self.at = now


class TeamQuotaController:
    """Keeps a token bucket for each team, and publishes ratios of those near empty.

    Parameters
    ----------
    now : float
        Since when reports arrive.
    inherited : mapping
        Ratios that the previous coordinator published last.
    inherited_at : float or None
        When they were last known to be in force; ``None`` at the first coordinator.
    """

    def __init__(
        self,
        now: float,
        inherited: TeamRatios | None = None,
        inherited_at: float | None = None,
    ) -> None:
        self._started_at = now
        self._is_successor = inherited_at is not None
        since = inherited_at if inherited_at is not None else now
        self._since = max(since, now - _HANDOVER_S)
        self._inherited = dict(inherited or {})
        self._quotas: Mapping[str, TeamQuota] = {}
        self._hosts = RecentMaximum()
        self._missing_ratio = 0.0
        self._known_limits: dict[TeamQuota, tuple[float, float]] = {}
        self._teams: dict[str, _Team] = {}
        self._near: set[str] = set()
        self._published: dict[str, tuple[float, float]] = dict(self._inherited)
        self._published_at = -math.inf
        self._pruned_at = now

    def set_quotas(self, quotas: Mapping[str, TeamQuota]) -> None:
        """Set the quotas of all teams that have one."""
        previous, self._quotas = self._quotas, dict(quotas)
        self._known_limits.clear()
        for name, quota in previous.items():
            if name in self._teams and quotas.get(name) != quota:
                # The next publication judges the team by its new quota.
                self._near.add(name)
        for name in self._inherited:
            if name in quotas and name not in self._teams:
                self._teams[name] = self._inherited_team(name)
                self._near.add(name)

    def set_hosts(self, hosts: int, now: float) -> None:
        """Set the number of live hosts; those missing may be cut off and admit."""
        if hosts <= 0:
            return
        missing_ratio = 1 - hosts / self._hosts.record(hosts, now)
        if missing_ratio != self._missing_ratio:
            # Buckets hold no more than they could while hosts were missing.
            for name, team in self._teams.items():
                if name in self._quotas:
                    rate_per_s, capacity = self._limits(self._quotas[name])
                    team.advance(rate_per_s, capacity, now)
                    team.tokens = min(team.tokens, capacity)
            self._missing_ratio = missing_ratio
            self._known_limits.clear()

    def record(self, counts: TeamCounts, now: float) -> None:
        """Add the counts of a report."""
        is_settling = self._is_successor and now < self._started_at + _SETTLING_S
        for name, (requested, admitted) in counts.items():
            quota = self._quotas.get(name)
            if quota is None:
                continue
            rate_per_s, capacity = self._limits(quota)
            team = self._teams.get(name)
            if team is None:
                team = self._teams[name] = self._new_team(quota, capacity, now)
            team.advance(rate_per_s, capacity, now)
            team.tokens -= admitted
            most = rate_per_s * _RETURN_RATIO * _MAX_WAIT_S
            team.backlog = min(most, team.backlog + max(0, requested - admitted))
            if not is_settling or name in self._inherited:
                team.demand_per_s += requested / _DEMAND_TIME_S
                team.admitted_per_s += admitted / _ADMITTED_TIME_S
            if team.tokens < capacity / 2:
                self._near.add(name)

    def ratios(self, now: float) -> TeamRatios:
        """Return the ratios in force, which change a few times a second at most."""
        published = {}
        is_urgent = False
        for name in sorted(self._near):
            entry = self._decide(name, now)
            if entry is None:
                self._near.discard(name)
            else:
                published[name] = entry
                last_ratio, _ = self._published.get(name, (1.0, 0.0))
                is_urgent |= entry[0] < last_ratio * _URGENT_RATIO
        interval_s = max(_PUBLISH_INTERVAL_S, len(published) * _TEAM_INTERVAL_S)
        if is_urgent:
            interval_s = len(published) * _URGENT_TEAM_INTERVAL_S
        is_due = now >= self._published_at + interval_s
        if is_due and published != self._published:
            self._published, self._published_at = published, now
        self._prune(now)
        return self._published

    def _limits(self, quota: TeamQuota) -> tuple[float, float]:
        """Return rate and capacity without the shares of hosts that are cut off."""
        limits = self._known_limits.get(quota)
        if limits is None:
            limits = self._known_limits[quota] = self._compute_limits(quota)
        return limits

    def _compute_limits(self, quota: TeamQuota) -> tuple[float, float]:
        unreserved = _UNRESERVED_RATIO + _UNRESERVED_REQUESTS / quota.window_requests
        part = 1 - max(0.0, self._missing_ratio - unreserved)
        return (
            quota.rate_per_s * part,
            quota.burst_requests * part + tolerance_requests(quota),
        )

    def _new_team(self, quota: TeamQuota, capacity: float, now: float) -> _Team:
        """Return the state of a team of which nothing is known yet."""
        if not self._is_successor or now > self._started_at + QUOTA_WINDOW_S:
            return _Team(capacity, now)
        # The last coordinator would have published it below one half. What became
        # available since is not cut off, because late reports are charged against it.
        gained = quota.rate_per_s * (now - self._since)
        return _Team(capacity / 2 + gained, now)

    def _inherited_team(self, name: str) -> _Team:
        quota, (ratio, _) = self._quotas[name], self._inherited[name]
        _, capacity = self._limits(quota)
        if ratio >= 1.0:
            # It had less than half, and at least the tolerance if below its quota.
            return _Team(min(capacity / 2, tolerance_requests(quota)), self._started_at)
        demand_per_s = quota.rate_per_s / max(ratio, _MIN_INHERITED_RATIO)
        tokens = 0.0 if ratio > 0 else -quota.rate_per_s * _CORRECTION_TIME_S
        return _Team(tokens, self._started_at, demand_per_s)

    def _decide(self, name: str, now: float) -> tuple[float, float] | None:
        """Return ratio and waiting time of a team, ``None`` if it is not near."""
        quota, team = self._quotas.get(name), self._teams.get(name)
        if quota is None or team is None:
            return None
        rate_per_s, capacity = self._limits(quota)
        team.advance(rate_per_s, capacity, now)
        team.tokens = min(team.tokens, capacity)
        # What was too much is forgotten after one window, also when the quota has been
        # lowered: no window contains it any more.
        team.tokens = max(team.tokens, -rate_per_s * QUOTA_WINDOW_S)
        # One that is held stays so while it sends more than allowed: after a moment
        # with few admitted requests, all would be admitted at once.
        is_held = self._published.get(name, (1.0, 0.0))[0] < 1.0
        if not is_held and team.tokens >= _HELD_RATIO * tolerance_requests(quota):
            return (1.0, 0.0) if team.tokens < capacity / 2 else None
        demand_per_s, admitted_per_s = team.demand_per_s, team.admitted_per_s
        if not is_held and team.tokens > 0:
            demand_per_s = _certain_rate(demand_per_s, _DEMAND_TIME_S)
            admitted_per_s = _certain_rate(admitted_per_s, _ADMITTED_TIME_S)
            most = max(quota.burst_requests, quota.rate_per_s) / _ADMITTED_TIME_S
            if admitted_per_s < most * _SURGE_RATIO:
                # It may be a burst that has ended, which the slower estimate shows.
                admitted_per_s = min(admitted_per_s, demand_per_s)
        # What is left when a new ratio is in force, if nothing changes until then.
        surplus_per_s = max(0.0, admitted_per_s - rate_per_s)
        left = team.tokens - surplus_per_s * _CONTROL_DELAY_S
        allowed_per_s = max(0.0, rate_per_s + left / _CORRECTION_TIME_S)
        if demand_per_s <= allowed_per_s:
            return (1.0, 0.0)
        ratio = allowed_per_s / team.demand_per_s
        wait_s = max(0.0, -left) / rate_per_s
        wait_s += (1.0 + team.backlog) / (rate_per_s * _RETURN_RATIO)
        return self._damped(
            name,
            round(ratio, 3) if ratio >= _MIN_RATIO else 0.0,
            round(min(max(wait_s, _MIN_WAIT_S), _MAX_WAIT_S), 1),
        )

    def _damped(self, name: str, ratio: float, wait_s: float) -> tuple[float, float]:
        """Return what was published last if it is almost the same."""
        last_ratio, last_wait_s = self._published.get(name, (1.0, 0.0))
        if (
            0.0 < last_ratio < 1.0
            and abs(ratio - last_ratio) <= _MIN_CHANGE_RATIO * last_ratio
        ):
            ratio = last_ratio
        elif last_ratio != ratio:
            return ratio, wait_s
        if abs(wait_s - last_wait_s) <= _MIN_WAIT_CHANGE_RATIO * last_wait_s:
            wait_s = last_wait_s
        return ratio, wait_s

    def _prune(self, now: float) -> None:
        """Drop the state of teams that have their whole burst again.

        While hosts are missing their buckets hold less, which must not be forgotten.
        """
        if now < self._pruned_at + _PRUNE_INTERVAL_S or self._missing_ratio > 0:
            return
        self._pruned_at = now
        kept = {}
        for name, team in self._teams.items():
            quota = self._quotas.get(name)
            if quota is None:
                continue
            rate_per_s, capacity = self._limits(quota)
            team.advance(rate_per_s, capacity, now)
            if team.tokens < capacity:
                kept[name] = team
        self._teams = kept


def _certain_rate(rate_per_s: float, time_constant_s: float) -> float:
    """Return a rate that the actual one exceeds, by an estimate from a few requests."""
    variance = rate_per_s / (2 * time_constant_s)
    return max(0.0, rate_per_s - _CERTAINTY_DEVIATIONS * math.sqrt(variance))
