"""A replica must honour the votes and acknowledgements that it has sent."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from kingcuplug_log import CorruptLog, LogSettings
from kingcuplug_testkit import Host, LogGroup, run_virtual

_VOTE_REFUSAL_S = LogSettings().election_timeout


@asynccontextmanager
async def _surviving_follower() -> AsyncIterator[Host]:
    """Yield a follower of a group of three whose other hosts have just crashed."""
    group = LogGroup("votes")
    await group.start("a", "b", "c")
    await group.propose({"number": 1})
    follower, *_ = group.followers()
    for host in group.running_hosts():
        if host is not follower:
            host.disk.crash()
    yield follower
    await group.stop()


def _vote_request(
    host: Host, sender: str, term: int, to: str | None = None
) -> dict[str, Any]:
    header = {
        "cluster": "test",
        "sender": sender,
        "to": to or host.member.id,
        "term": term,
    }
    return {"kind": "vote", "header": header, "last_index": 99, "last_term": 99}


async def _send(host: Host, message: dict[str, Any]) -> dict[str, Any]:
    assert host.replica is not None
    return await host.replica.handle(message)


def test_vote_survives_crash() -> None:
    # Guards against two leaders in one term after a voter loses its vote in a crash.
    async def main() -> None:
        async with _surviving_follower() as host:
            await asyncio.sleep(_VOTE_REFUSAL_S)
            assert (await _send(host, _vote_request(host, "x/1", 50)))["granted"]
            host.disk.crash()
            await host.start()
            await asyncio.sleep(_VOTE_REFUSAL_S)
            assert not (await _send(host, _vote_request(host, "y/1", 50)))["granted"]
            assert (await _send(host, _vote_request(host, "x/1", 50)))["granted"]

    run_virtual(main())


@pytest.mark.parametrize("restart", [False, True])
def test_no_vote_within_election_timeout_of_leader_contact(restart: bool) -> None:
    # Guards against granting a vote during the leader's lease, also after a restart.
    async def main() -> None:
        async with _surviving_follower() as host:
            if restart:
                host.disk.crash()
                await host.start()
            await asyncio.sleep(_VOTE_REFUSAL_S * 0.8)
            message = _vote_request(host, "x/1", 50)
            assert not (await _send(host, message))["granted"]
            assert not (await _send(host, message | {"kind": "pre_vote"}))["granted"]
            await asyncio.sleep(_VOTE_REFUSAL_S * 0.2)
            assert (await _send(host, message | {"kind": "pre_vote"}))["granted"]
            assert (await _send(host, message))["granted"]

    run_virtual(main())


def test_empty_disk_does_not_vote() -> None:
    # Guards against a quorum that includes a host that lost its acknowledged entries.
    async def main() -> None:
        async with _surviving_follower() as host:
            former_id = host.member.id
            host.disk.wipe()
            await host.start()
            await asyncio.sleep(_VOTE_REFUSAL_S)
            reply = await _send(host, _vote_request(host, "x/1", 50, to=former_id))
            assert reply == {
                "kind": "rejected",
                "reason": "wrong_identity",
                "member": host.member.id,
            }
            assert not (await _send(host, _vote_request(host, "x/1", 50)))["granted"]

    run_virtual(main())


def test_candidate_with_older_log_gets_no_vote() -> None:
    # Guards against electing a leader that lacks committed entries.
    async def main() -> None:
        async with _surviving_follower() as host:
            await asyncio.sleep(_VOTE_REFUSAL_S)
            message = _vote_request(host, "x/1", 50) | {"last_term": 1}
            assert not (await _send(host, message))["granted"]

    run_virtual(main())


def test_other_cluster_is_rejected() -> None:
    # Guards against mixing the entries of two clusters because of a wrong address.
    async def main() -> None:
        async with _surviving_follower() as host:
            message = _vote_request(host, "x/1", 50)
            message["header"]["cluster"] = "other"
            assert (await _send(host, message))["reason"] == "wrong_cluster"
            assert (await _send(host, {"kind": "vote"}))["reason"] == "malformed"

    run_virtual(main())


def test_older_state_file_does_not_give_a_second_vote() -> None:
    # Guards against two leaders in the term of a leader for whom this host has voted.
    async def main() -> None:
        group = LogGroup("older state")
        await group.start("a", "b", "c")
        host, *_ = group.followers()
        older_state = host.disk.files["state"].durable
        leader = group.leader()
        assert leader is not None
        leader.disk.crash()
        leader = await group.wait_for_leader()
        await leader.start()
        await group.propose({"number": 1})
        await group.wait_until_converged()
        term = group.replica(leader.name).status().term
        host = leader if group.replica(host.name).leading else host
        for other in group.running_hosts():
            other.disk.crash()
        host.disk.files["state"].durable = older_state
        host.disk.files["state"].current = bytearray(older_state)
        await host.start()
        await asyncio.sleep(_VOTE_REFUSAL_S)
        message = _vote_request(host, "x/1", term)
        assert not (await _send(host, message))["granted"]
        await group.stop()

    run_virtual(main())


def test_host_whose_committed_entries_were_cut_off_does_not_start() -> None:
    # Guards against electing a leader that lacks entries which this host acknowledged.
    async def main() -> None:
        group = LogGroup("shortened log")
        await group.start("a", "b", "c")
        host, *_ = group.followers()
        sizes = [len(host.disk.files["log"].durable)]
        for number in range(3):
            await group.propose({"number": number})
            await group.wait_until_converged()
            sizes.append(len(host.disk.files["log"].durable))
        leader = group.leader()
        assert leader is not None
        leader.disk.crash()
        await group.wait_for_leader()
        host.disk.crash()
        file = host.disk.files["log"]
        file.durable = file.durable[: sizes[1]]
        file.current = bytearray(file.durable)
        with pytest.raises(CorruptLog):
            await host.start()
        await group.stop()

    run_virtual(main())
