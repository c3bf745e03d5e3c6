"""Checks of the dependency graph for unknown names, duplicates and cycles."""

import difflib
from collections.abc import Callable, Iterator, Mapping, Sequence

from kingcuplug_configuration._faults import (
    ConfigurationFault,
    format_name,
    format_value,
    join_path,
)

__all__ = ["check_dependencies"]

# Finding a similar name takes up to 10 ms per 1,000 names, and every voter repeats
# the check while it applies a change.
_MAX_NAMES_FOR_SUGGESTIONS = 1_000
_MAX_SUGGESTIONS = 5


def check_dependencies(
    graph: Mapping[str, Sequence[str]],
) -> Iterator[ConfigurationFault]:
    """Yield every fault of a graph that maps each service to its dependencies."""
    suggest_remedy = _make_remedy_suggester(graph)
    for name, dependencies in graph.items():
        yield from _check_dependency_names(name, dependencies, graph, suggest_remedy)
    for cycle in _find_cycles(graph):
        yield ConfigurationFault(
            join_path(("services", cycle[0], "depends_on")),
            f"dependency cycle {' -> '.join(map(format_name, cycle))}",
            "remove one of these dependencies",
        )


def _check_dependency_names(
    name: str,
    dependencies: Sequence[str],
    graph: Mapping[str, Sequence[str]],
    suggest_remedy: Callable[[str], str],
) -> Iterator[ConfigurationFault]:
    seen: set[str] = set()
    for position, dependency in enumerate(dependencies):
        path = ("services", name, "depends_on", position)
        if dependency in seen:
            yield ConfigurationFault(
                join_path(path),
                f"duplicate name {format_value(dependency)}",
                "name each dependency once",
            )
        elif dependency not in graph:
            yield ConfigurationFault(
                join_path(path),
                f"unknown service {format_value(dependency)}",
                suggest_remedy(dependency),
            )
        seen.add(dependency)


def _make_remedy_suggester(graph: Mapping[str, Sequence[str]]) -> Callable[[str], str]:
    """Return a function that suggests a remedy for an unknown service name."""
    remaining = _MAX_SUGGESTIONS if len(graph) <= _MAX_NAMES_FOR_SUGGESTIONS else 0

    def suggest_remedy(name: str) -> str:
        nonlocal remaining
        remaining -= 1
        matches = (
            difflib.get_close_matches(name[:63], graph, n=1) if remaining >= 0 else []
        )
        if matches:
            return f"did you mean {format_value(matches[0])}?"
        return "add the service or remove the dependency"

    return suggest_remedy


def _find_cycles(graph: Mapping[str, Sequence[str]]) -> Iterator[list[str]]:
    """Yield one cycle for each back edge of a depth-first search.

    Without its back edges the graph is acyclic, so all the cycles that an operator
    has to break are reported at once. The search is iterative, because a chain of
    dependencies can be longer than the interpreter's recursion limit.
    """
    finished: set[str] = set()
    for root in graph:
        if root in finished:
            continue
        position_on_path = {root: 0}
        iterators = [iter(dict.fromkeys(graph[root]))]
        while iterators:
            name = next(iterators[-1], None)
            if name is None:
                iterators.pop()
                finished.add(position_on_path.popitem()[0])
            elif name in position_on_path:
                yield [*list(position_on_path)[position_on_path[name] :], name]
            elif name in graph and name not in finished:
                position_on_path[name] = len(position_on_path)
                iterators.append(iter(dict.fromkeys(graph[name])))
