"""Totals of the demand for servers that have named a limit."""

from kingcuplug_fleet._demand_totals import DemandTotals
from kingcuplug_fleet._mesh_messages import Report, Summary
from kingcuplug_routing import SuspectRecord


def test_total_follows_the_reports_and_is_never_below_them():
    # Guards against totals that are too low: the hosts' shares would exceed 1.
    totals, reported = DemandTotals(0.0), []
    for step in range(400):
        now = 20.0 + step * 0.1
        count = 3 if step < 200 else 9
        totals.record({"s": count}, now)
        reported.append(count)
        published = totals.totals(now).get("s")
        if published is None:
            assert step < 25
            continue
        # Reports of the last half second may be missing, and the window is exact to a
        # tenth of its length.
        assert published >= sum(reported[-95:-5])
        assert published <= 1.4 * sum(reported[-111:]) + 1


def test_total_is_unknown_after_a_change_of_the_coordinator():
    # Guards against a total of the reports that only this coordinator has received.
    totals = DemandTotals(0.0)
    for step in range(99):
        totals.record({"s": 1}, step * 0.1)
        assert totals.totals(step * 0.1) == {}
    totals.record({"s": 1}, 10.1)
    assert totals.totals(11.0).keys() == {"s"}


def test_server_without_demand_is_forgotten():
    totals = DemandTotals(-100.0)
    totals.record({"s": 5}, 0.0)
    assert totals.totals(3.0) == {"s": 6}
    assert totals.totals(12.0) == {}


def test_messages_without_demand_keep_their_form():
    # Guards against hosts of an earlier version that cannot read a message while a new
    # version is rolled out.
    assert Report({}, 3).to_json() == [{}, 3]
    assert Summary([], {}, 2, 9, {}).to_json() == [[], {}, 2, 9, {}]
    report = Report({"s": (1, 1.0)}, 3, {"s": 4})
    summary = Summary([], {}, 2, 9, {"a:1": "z"}, {"s": 4})
    assert Report.from_json(report.to_json()) == report
    assert Summary.from_json(summary.to_json()) == summary
    assert Report.from_json([{}, 3]).demand == {}
    report.add(Report(demand={"s": 2, "t": 1}))
    assert report.demand == {"s": 6, "t": 1}


def test_messages_carry_suspects():
    # Guards against suspects that are lost between hosts, or mixed up with the demand.
    suspects = {"f1": SuspectRecord(10, frozenset(("e1", "e2")))}
    report = Report(suspects=suspects, answered=["f2"])
    summary = Summary([], {}, 2, 9, {}, {}, suspects)
    assert Report.from_json(report.to_json()) == report
    assert Summary.from_json(summary.to_json()) == summary
    report.add(Report(suspects={"f1": SuspectRecord(3, frozenset(("e3",)))}))
    assert report.suspects["f1"] == SuspectRecord(10, frozenset(("e1", "e2", "e3")))
    assert Summary.from_json([[], {}, 2, 9, {}, {"s": 1}]).suspects == {}


def test_new_coordinator_continues_the_totals_of_the_last_one():
    # Guards against totals that begin with nothing while hosts count all their demand.
    totals = DemandTotals(100.0, {"s": 200})
    assert 200 <= totals.totals(100.0)["s"] <= 225
    for step in range(1, 120):
        now = 100.0 + step * 0.1
        totals.record({"s": 2}, now)
        assert 190 <= totals.totals(now)["s"] <= 260
