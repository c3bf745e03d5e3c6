"""Load patterns of several teams at ten hosts, for `replay_overload`.

With many more hosts, one rarely has two requests that wait, and the order of its queue
decides nothing (docs/design/admission.md).
"""

from dataclasses import replace

from kingcuplug_testkit._overload import LoadPattern, QueryKind

__all__ = ["FULL_QUERY", "TEAM_LOADS", "TEAM_NAMES"]

# Ten shards with 9 slots each run 450 full queries of 20 ms a second.
FULL_QUERY = QueryKind(1, 24.0, 0.02, 0.165, 1.48, 0.89, 1.0, name="full")
_URGENT = QueryKind(2, 60.0, 0.0067, 0.055, 0.58, 0.75, 1.0, name="urgent")
TEAM_NAMES = tuple(f"t{number}" for number in range(8))


def _each_team(kind: QueryKind, rate: float) -> tuple[QueryKind, ...]:
    return tuple(replace(kind, team=team, rate=rate) for team in TEAM_NAMES)


def _pattern(*kinds: QueryKind, burst: float) -> LoadPattern:
    return LoadPattern(10, kinds, burst=burst, burst_until_s=7.0, length_s=9.0)


_CALM = tuple(replace(kind, bursts=False) for kind in _each_team(FULL_QUERY, 24.0))
_THREEFOLD = _each_team(FULL_QUERY, 50.0)
_LONG_AND_SHORT = (
    QueryKind(1, 60.0, 0.06, 0.5, 1.48, 0.89, 1.0, "long", "long"),
    QueryKind(1, 240.0, 0.0067, 0.5, 1.48, 0.89, 1.0, "short", "short"),
)
TEAM_LOADS: dict[str, LoadPattern] = {
    "hot team": _pattern(*_CALM, replace(FULL_QUERY, team="hot"), burst=15.0),
    "overload": _pattern(*_THREEFOLD, burst=3.4),
    "immediate repeats": replace(_pattern(*_THREEFOLD, burst=3.4), abusers=0.4),
    "slow replicas": replace(
        _pattern(*_each_team(FULL_QUERY, 30.0), burst=2.0), slow_share=0.33
    ),
    "burst of the urgent rank": _pattern(
        *_each_team(FULL_QUERY, 37.5),
        replace(_URGENT, team="t0", bursts=False),
        burst=4.0,
    ),
    "burst of a lower rank": replace(
        _pattern(*_CALM, *_each_team(_URGENT, 15.0), burst=12.0), length_s=8.0
    ),
    "long and short": _pattern(*_LONG_AND_SHORT, burst=3.0),
}
