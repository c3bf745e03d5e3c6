"""Checks of the dependency graph: unknown names, duplicates and cycles."""

import difflib
from collections.abc import Callable, Iterator, Mapping, Sequence

from kingcuplug_configuration._faults import (
    ConfigurationFault,
    join,
    label,
    shown,
)

__all__ = ["check_dependencies"]

# Finding a similar name takes up to 10 ms per 1,000 names, and the voters check
# every change while they apply it.
_SUGGESTION_NAMES = 1_000
_SUGGESTIONS = 5


def check_dependencies(
    graph: Mapping[str, Sequence[str]],
) -> Iterator[ConfigurationFault]:
    """Yield every fault of the graph of names to the names they depend on."""
    suggest = _suggestions(graph)
    for name, needed in graph.items():
        yield from _check_names(name, needed, graph, suggest)
    for cycle in _cycles(graph):
        yield ConfigurationFault(
            join(("services", cycle[0], "depends_on")),
            f"dependency cycle {' -> '.join(map(label, cycle))}",
            "remove one of these dependencies",
        )


def _check_names(
    name: str,
    needed: Sequence[str],
    graph: Mapping[str, Sequence[str]],
    suggest: Callable[[str], str],
) -> Iterator[ConfigurationFault]:
    seen: set[str] = set()
    for position, other in enumerate(needed):
        path = ("services", name, "depends_on", position)
        if other in seen:
            yield ConfigurationFault(
                join(path),
                f"duplicate name {shown(other)}",
                "name each dependency once",
            )
        elif other not in graph:
            yield ConfigurationFault(
                join(path), f"unknown service {shown(other)}", suggest(other)
            )
        seen.add(other)


def _suggestions(graph: Mapping[str, Sequence[str]]) -> Callable[[str], str]:
    """Return a closure that finds the remedy for an unknown name."""
    left = _SUGGESTIONS if len(graph) <= _SUGGESTION_NAMES else 0

    def suggest(name: str) -> str:
        nonlocal left
        left -= 1
        close = difflib.get_close_matches(name[:63], graph, n=1) if left >= 0 else []
        if close:
            return f"did you mean {shown(close[0])}?"
        return "add the service or remove the dependency"

    return suggest


def _cycles(graph: Mapping[str, Sequence[str]]) -> Iterator[list[str]]:
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
