"""Validation of configuration texts: all faults are reported at once."""

import json
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from kingcuplug_common import canonical
from kingcuplug_configuration import (
    ConfigurationFault,
    ConfigurationText,
    Policy,
    Service,
    parse,
    render,
)


def parse_faults(text: str) -> dict[str, str]:
    with pytest.raises(ExceptionGroup) as caught:
        parse(text)
    faults = caught.value.exceptions
    assert all(isinstance(fault, ConfigurationFault) for fault in faults)
    return {fault.path: str(fault) for fault in faults}  # type: ignore[attr-defined]


def policy_text(**fields: Any) -> str:
    return json.dumps({"services": {"counter": {"policy": fields}}})


def test_parse_reports_all_faults_at_once() -> None:
    # Guards against faults that are reported one at a time.
    text = """{"retention_days": "90d", "services": {
        "a": {"depends_on": ["b", "b", "x"],
              "policy": {"deadline_s": 2, "deadline_ms": 0.5, "hedge_budget": 5}},
        "b": {"depends_on": ["a"]}, "b": {"depends_on": ["a"], "surplus": 1},
        "Bad": {}}}"""
    assert parse_faults(text).keys() == {
        "retention_days",
        "services.Bad",
        "services.a.depends_on",
        "services.a.depends_on[1]",
        "services.a.depends_on[2]",
        "services.a.policy.deadline_ms",
        "services.a.policy.deadline_s",
        "services.a.policy.hedge_budget",
        "services.b",
        "services.b.surplus",
    }


def test_parse_reports_each_dependency_cycle() -> None:
    # Guards against a message that does not name the services of a cycle, and against
    # a second cycle that is reported only after the first is removed.
    services = {"a": ["b"], "b": ["c"], "c": ["a", "b"], "d": ["d"], "e": ["a"]}
    text = json.dumps({"services": {n: {"depends_on": d} for n, d in services.items()}})
    messages = " ".join(parse_faults(text).values())
    for cycle in ("a -> b -> c -> a", "d -> d"):
        assert cycle in messages
    with pytest.raises(ExceptionGroup) as caught:
        parse(text)
    assert len(caught.value.exceptions) == 3


def test_long_dependency_chain_is_not_checked_recursively() -> None:
    # Guards against a search that exceeds the interpreter's recursion limit.
    chain = {f"s{n}": {"depends_on": [f"s{n + 1}"]} for n in range(5_000)}
    text = json.dumps({"services": chain | {"s5000": {}}})
    assert len(parse(text).services) == 5_001


@pytest.mark.parametrize(
    ("fields", "remedy"),
    [
        ({"deadline_s": 2}, "whole milliseconds as deadline_ms"),
        ({"deadline": 2}, "whole milliseconds as deadline_ms"),
        ({"deadline_ms": "2s"}, "whole number of milliseconds"),
        ({"deadline_ms": "2000"}, "whole number of milliseconds"),
        ({"hedge_budget": "0.05"}, "not a possible share"),
        ({"hedge_budget": float("nan")}, "not a possible share"),
        ({"deadline_ms": True}, "whole number of milliseconds"),
        ({"deadline_ms": 4}, "impossible limit 4"),
        ({"deadline_ms": 600_001}, "impossible limit 600001"),
        ({"hedge_budget": 5}, "0.05 for 5%"),
        ({"hedge_budget_percent": 5}, "share between 0 and 1 as hedge_budget"),
        ({"minimum_coverage": -0.1}, "not a possible share"),
        ({"urgent_reserve": 1}, "not a possible share"),
        ({"coverage_weight": 0, "minimum_coverage": 1}, "impossible limit"),
        ({"merge": "zip"}, "'collect' or 'concat'"),
        ({"deadlin_ms": 5}, "unknown field 'deadlin_ms'"),
    ],
)
def test_wrong_units_and_limits_are_reported(
    fields: dict[str, Any], remedy: str
) -> None:
    # Guards against seconds accepted as milliseconds, percentages accepted as shares,
    # and limits that no request can meet.
    (message,) = parse_faults(policy_text(**fields)).values()
    assert remedy in message


@pytest.mark.parametrize("name", ["", "A", "a_b", "a b", "-a", "a\n", "ä", "a" * 64])
def test_invalid_service_names_are_reported(name: str) -> None:
    # Guards against names that cannot be used in paths, metrics and log lines.
    text = json.dumps({"services": {name: {}}})
    assert "wrong service name" in " ".join(parse_faults(text).values())


def test_similar_service_name_is_suggested() -> None:
    # Guards against a message that does not help to find a misspelt dependency.
    text = '{"services": {"counter": {}, "web": {"depends_on": ["conter"]}}}'
    assert "did you mean 'counter'?" in parse_faults(text)["services.web.depends_on[0]"]


_json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["services", "policy", "depends_on", "deadline_ms", "a", "retention"]
            )
            | st.text(max_size=4),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(_json_values.map(json.dumps) | st.text(max_size=40))
@example("[" * 100_000)
@example("9" * 5_000)
@example('{"services":{"a":{"policy":{"hedge_budget":' + "9" * 400 + "}}}}")
@example('{"\\ud800":1,"services":{"\\ud800":{"depends_on":["\\ud800"]}}}')
@example('{"services":{"a":{"policy":{"deadline_ms":1e999}}}}')
def test_fuzzed_text_raises_only_configuration_faults(text: str) -> None:
    # Guards against a text that crashes a control host with an untyped error.
    try:
        configuration = parse(text)
    except ExceptionGroup as group:
        assert group.exceptions
        for fault in group.exceptions:
            assert isinstance(fault, ConfigurationFault)
            str(fault).encode()
    else:
        assert parse(render(configuration)) == configuration


_shares = st.floats(0, 0.99)
_policies = st.builds(
    Policy,
    coverage_weight=st.floats(0.1, 1),
    minimum_coverage=_shares,
    deadline_ms=st.integers(5, 600_000),
    hedge_budget=_shares,
    retry_budget=_shares,
    merge=st.sampled_from(["collect", "concat"]),
    canary=st.sampled_from(["always", "off"]),
    urgent_reserve=_shares,
)


@st.composite
def configurations(draw: st.DrawFn) -> ConfigurationText:
    """Draw acyclic services, each of which depends only on earlier ones."""
    names = draw(
        st.lists(st.from_regex(r"[a-z0-9][a-z0-9-]{0,3}", fullmatch=True), unique=True)
    )
    services = {}
    for position, name in enumerate(names):
        dependencies = draw(
            st.sets(st.sampled_from(names[: position or 1]), max_size=3)
        )
        services[name] = Service(
            name, tuple(sorted(dependencies - {name})), draw(_policies)
        )
    return ConfigurationText(services, draw(st.integers(1, 730)))


@settings(derandomize=True, max_examples=50, deadline=None)
@given(configurations())
def test_render_is_canonical(configuration: ConfigurationText) -> None:
    # Guards against different digests of equal configurations on two hosts.
    text = render(configuration)
    assert parse(text) == configuration
    assert canonical(json.loads(text)).decode() == text
