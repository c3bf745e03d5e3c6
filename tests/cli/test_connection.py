"""Calls of the operators' interface while the control group elects a leader."""

import asyncio
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from kingcuplug_cli import _connection
from kingcuplug_cli._connection import Connection, OperatorClient
from kingcuplug_cli._results import CommandRefused, Unreachable

_NO_LEADER = {"error": "NoLeader", "message": "no leader", "remedy": "wait"}


async def _call(refusal: dict[str, Any], refusals: int) -> tuple[Any, int]:
    """Return a call's answer or error, and how often the host was asked."""
    asked = 0

    async def answer(request: web.Request) -> web.Response:
        nonlocal asked
        asked += 1
        if asked <= refusals:
            return web.json_response(refusal, status=503)
        return web.json_response({"done": True})

    application = web.Application()
    application.router.add_post("/v1/operator/apply", answer)
    async with TestServer(application) as server:
        client = OperatorClient(Connection(host=f"{server.host}:{server.port}"))
        try:
            return await client.call("apply", mutating=True), asked
        except (CommandRefused, Unreachable) as error:
            return error, asked


def test_command_outlasts_an_election() -> None:
    """Guards against a command that fails because the leader was just replaced."""
    assert asyncio.run(_call(_NO_LEADER, refusals=3)) == ({"done": True}, 4)


def test_command_without_a_leader_fails_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a command that waits for a group without a majority."""
    monkeypatch.setattr(_connection, "_ELECTION_TIMEOUT_S", 0.5)
    error, asked = asyncio.run(_call(_NO_LEADER, refusals=100))
    assert (type(error), error.message, error.remedy) == (
        Unreachable,
        "no leader",
        "wait",
    )
    assert asked > 1


def test_refused_command_is_not_repeated() -> None:
    """Guards against a change that is made twice."""
    refusal = _NO_LEADER | {"error": "LostLeadership"}
    error, asked = asyncio.run(_call(refusal, refusals=1))
    assert (type(error), asked) == (CommandRefused, 1)
