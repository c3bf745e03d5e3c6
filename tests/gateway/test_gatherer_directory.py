"""Exclusion of gatherers that do not answer, and their return."""

import asyncio
import os

import pytest
from kingcuplug_common import EventLog, KingcuplugError
from kingcuplug_gateway._gather_client import GathererDirectory, probe_gatherers
from kingcuplug_testkit import run_virtual


class NoReply(KingcuplugError):
    """The gatherer did not reply."""


@pytest.fixture
def directory() -> GathererDirectory:
    directory = GathererDirectory(EventLog(os.open(os.devnull, os.O_WRONLY), "host"))
    directory.addresses_by_zone = {"x": ["a", "b"], "y": ["c"]}
    return directory


def test_silent_gatherer_costs_a_host_one_query(directory):
    """Guards against queries that find out again and again that a gatherer is silent.

    Each such query asks all its shards once more, which the retry budget of a host
    allows about once in ten seconds. The gatherer is frozen for 6 s.
    """

    async def run() -> int:
        loop = asyncio.get_running_loop()
        thawed_at = loop.time() + 6.0
        failed_queries = 0

        async def call_peer(address, value, timeout_s):
            if address == "a" and loop.time() < thawed_at:
                await asyncio.sleep(timeout_s)
                raise NoReply("no answer", "ask another one")
            return []

        while loop.time() < thawed_at + 3.0:
            available = directory.available()
            if "a" in available["x"] and loop.time() < thawed_at:
                failed_queries += 1
                directory.record_failure("a", loop.time(), "no answer")
            await probe_gatherers(call_peer, directory)
            await asyncio.sleep(0.25)
        assert directory.available()["x"] == ["a", "b"]
        return failed_queries

    assert run_virtual(run()) == 1


def test_gatherer_that_answers_probes_only_is_excluded_for_longer(directory):
    """Guards against a query a second that is lost to an overloaded gatherer."""

    async def run() -> int:
        loop = asyncio.get_running_loop()
        failed_queries = 0

        async def call_peer(address, value, timeout_s):
            return []

        for _ in range(120):
            if "a" in directory.available()["x"]:
                failed_queries += 1
                directory.record_failure("a", loop.time(), "no answer")
            await probe_gatherers(call_peer, directory)
            await asyncio.sleep(0.25)
        return failed_queries

    assert run_virtual(run()) <= 6


def test_reply_to_a_query_clears_the_failures(directory):
    """Guards against a long exclusion after failures that lie far back."""
    for now in (1.0, 10.0, 20.0):
        directory.record_failure("a", now, "no answer")
        directory.record_probe("a", now + 9.0, answered=True)
    directory.record_success("a")
    directory.record_failure("a", 40.0, "no answer")
    assert directory.due_probes(40.9) == []
    assert directory.due_probes(41.1) == ["a"]


def test_share_of_excluded_gatherers(directory):
    """Guards against a wrong part of the retry budget, also without any gatherer."""
    assert directory.excluded_ratio() == 0.0
    directory.record_failure("a", 1.0, "no answer")
    assert directory.excluded_ratio() == pytest.approx(1 / 3)
    directory.addresses_by_zone = {}
    assert directory.excluded_ratio() == 0.0
    assert directory.due_probes(9.0) == []
