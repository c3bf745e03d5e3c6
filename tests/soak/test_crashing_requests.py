"""A request that crashes each server that runs it, at real hosts."""

import asyncio
import contextlib
from dataclasses import dataclass
from pathlib import Path

import orjson
import pytest
from kingcuplug_fleet import PeerFailed
from kingcuplug_platform.formats import HEADER_NAMES
from kingcuplug_soak import SoakSettings
from kingcuplug_soak._fake_servers import CrashedAddress
from kingcuplug_soak._http_client import send_request
from kingcuplug_soak._run import SoakEnvironment, caller_traffic, soak_environment
from kingcuplug_soak._traffic import DEFAULT_ATTEMPTS

_REPEAT_INTERVAL_S = 0.5
_STABILITY_WINDOW_S = 5.0
_MAX_LATE_RETRIES = 3
_DURATION_S = 12.0
_SETTINGS = SoakSettings(seed=1, max_attempts=DEFAULT_ATTEMPTS)


@dataclass(frozen=True)
class Repetition:
    """A request that crashes each server that runs it, and comes again.

    Attributes
    ----------
    kind : str
        Route of the request: ``read`` or ``query``.
    query_string, cookie : str
        What differs between repeats; ``{}`` stands for the number of the repeat.
    address : CrashedAddress
        How the addresses of crashed servers behave.
    """

    kind: str
    query_string: str = ""
    cookie: str = ""
    address: CrashedAddress = CrashedAddress.REFUSES


async def _repeat_request(
    env: SoakEnvironment, repetition: Repetition, until: float
) -> None:
    """Send a request again and again, each time at any host."""
    loop = asyncio.get_running_loop()
    path = f"/{repetition.kind}/crash"
    env.backends.crashing_target = path
    env.backends.crashed_address = repetition.address
    number = 0
    while loop.time() < until:
        number += 1
        attempt_id = HEADER_NAMES.attempt_id.decode()
        headers = f"Host: soak.example\r\n{attempt_id}: crash-{number}\r\n"
        if repetition.cookie:
            headers += f"Cookie: {repetition.cookie.format(number)}\r\n"
        target = path + repetition.query_string.format(number)
        host = env.random.choice(env.cluster.hosts)
        with contextlib.suppress(PeerFailed):
            await send_request(host.caller_address, "GET", target, headers=headers)
        await asyncio.sleep(_REPEAT_INTERVAL_S)


async def _run(
    repetition: Repetition, folder: Path
) -> tuple[list[float], float, list[str]]:
    """Return the crash times, the share of other requests served, and violations."""
    async with soak_environment(_SETTINGS, folder) as env:
        async with caller_traffic(env):
            until = asyncio.get_running_loop().time() + _DURATION_S
            await _repeat_request(env, repetition, until)
        env.checker.order_ids.clear()
        served = env.checker.served_count / env.checker.attempt_count
    return env.backends.crashed_at, served, env.checker.violations


def _quarantined_ids(folder: Path) -> list[str]:
    """Return the ids of the requests that hosts refused as quarantined."""
    lines = [
        line for path in folder.glob("*.log") for line in path.read_bytes().splitlines()
    ]
    entries = [orjson.loads(line) for line in lines if b'"quarantined"' in line]
    return [entry["id"] for entry in entries if entry.get("reason") == "quarantined"]


def _check_sent_to_none(repetition: Repetition, folder: Path) -> None:
    crashed_at, served, violations = asyncio.run(_run(repetition, folder))
    late = [at for at in crashed_at if at > crashed_at[2] + _STABILITY_WINDOW_S]
    print(
        f"{len(crashed_at)} crashes, {len(late)} late, "
        f"{served:.3f} of other requests served"
    )
    assert len(late) <= _MAX_LATE_RETRIES
    assert violations == []
    refused_ids = _quarantined_ids(folder)
    assert refused_ids
    assert [i for i in refused_ids if not i.startswith("crash-")] == []


@pytest.mark.system
@pytest.mark.parametrize("kind", ["read", "query"])
def test_request_that_crashes_servers_is_soon_sent_to_none(kind, tmp_path):
    """Guards against sending a request on after three servers crashed under it."""
    _check_sent_to_none(Repetition(kind), tmp_path)


@pytest.mark.system
@pytest.mark.parametrize(
    "repetition",
    [
        pytest.param(Repetition("read", query_string="?page={}"), id="query-string"),
        pytest.param(Repetition("query", cookie="visit={}"), id="cookie"),
    ],
)
def test_crashing_request_is_known_by_path_caller_and_body(repetition, tmp_path):
    """Guards against an identity that differs each time such a request comes again."""
    _check_sent_to_none(repetition, tmp_path)


@pytest.mark.system
@pytest.mark.parametrize(
    "repetition",
    [
        pytest.param(Repetition("query", address=CrashedAddress.HANGS), id="hangs"),
        pytest.param(Repetition("read", address=CrashedAddress.MUTE), id="mute"),
    ],
)
def test_crash_is_recognised_if_the_address_does_not_reply(repetition, tmp_path):
    """Guards against counting only crashes after which connections are refused."""
    _check_sent_to_none(repetition, tmp_path)
