"""Checks of the dependency graph: unknown names, duplicates and cycles."""

import difflib
from collections.abc import Callable, Iterator, Mapping, Sequence

from kingcuplug_configuration._faults import (
    ConfigurationFault,
    format_name,
    format_value,
    join_path,
)

__all__ = ["check_dependencies"]

# Finding a similar name takes up to 10 ms per 1,000 names, and the voters check
# every change while they apply it.
_MAX_NAMES_FOR_SUGGESTIONS = 1_000
_MAX_SUGGESTIONS = 5


def check_dependencies(
    graph: Mapping[str, Sequence[str]],
) -> Iterator[ConfigurationFault]:
    """Yield every fault of the graph of names to the names they depend on."""
    suggest = _make_remedy_suggester(graph)
    for name, needed in graph.items():
        yield from _check_dependency_names(name, needed, graph, suggest)
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
    for position, other in enumerate(dependencies):
        path = ("services", name, "depends_on", position)
        if other in seen:
            yield ConfigurationFault(
                join_path(path),
                f"duplicate name {format_value(other)}",
                "name each dependency once",
            )
        elif other not in graph:
            yield ConfigurationFault(
                join_path(path),
                f"unknown service {format_value(other)}",
                suggest_remedy(other),
            )
        seen.add(other)


def _make_remedy_suggester(graph: Mapping[str, Sequence[str]]) -> Callable[[str], str]:
    """Return a closure that finds the remedy for an unknown name."""
    left = _MAX_SUGGESTIONS if len(graph) <= _MAX_NAMES_FOR_SUGGESTIONS else 0

    def suggest(name: str) -> str:
        nonlocal left
        left -= 1
        close = difflib.get_close_matches(name[:63], graph, n=1) if left >= 0 else []
        if close:
            return f"did you mean {format_value(close[0])}?"
        return "add the service or remove the dependency"

    return suggest


def _find_cycles(graph: Mapping[str, Sequence[str]]) -> Iterator[list[str]]:
    """Yield one cycle for each edge that closes one in a depth-first search.

    Without these edges the graph has no cycle, so an operator who removes one
    dependency of each printed cycle is not sent back a second time. The search
    keeps its own stack, because a chain of dependencies can be longer than the
    interpreter's recursion limit.
    """
    done: set[str] = set()
    for root in graph:
        if root in done:
            continue
        path = {root: 0}
        pending = [iter(dict.fromkeys(graph[root]))]
        while pending:
            name = next(pending[-1], None)
            if name is None:
                pending.pop()
                done.add(path.popitem()[0])
            elif name in path:
                yield [*list(path)[path[name] :], name]
            elif name in graph and name not in done:
                path[name] = len(path)
                pending.append(iter(dict.fromkeys(graph[name])))
