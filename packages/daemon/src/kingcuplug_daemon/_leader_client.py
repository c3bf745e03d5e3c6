"""Sending of commands and reads to the leader of the replicated log."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from kingcuplug_common import KingcuplugError

from kingcuplug_daemon._peer_client import NotSent, PeerClient, PeerError

__all__ = ["LeaderClient", "NoLeader"]

_ATTEMPT_TIMEOUT_S = 2.0
_CHANGE_TIMEOUT_S = 10.0
_ROUNDS = 2
# An election takes 300 to 600 ms; a shorter pause would only repeat the question.
_ROUND_PAUSE_S = 0.15


class NoLeader(KingcuplugError):
    """No control host leads; nothing was done."""


class LeaderClient:
    """Finds the leader and sends it commands and reads.

    Parameters
    ----------
    peers : PeerClient
        Calls other hosts.
    seeds : callable
        Peer addresses of the control hosts.
    """

    def __init__(self, peers: PeerClient, seeds: Callable[[], Sequence[str]]) -> None:
        self._peers = peers
        self._seeds = seeds
        self._leader: str | None = None

    async def submit(self, command: dict[str, Any]) -> dict[str, Any]:
        """Commit a command and return its result.

        Raises
        ------
        TimeoutError
            If the command may have been applied, or may yet be.
        NoLeader, PeerError
            If it certainly was not and will not be.
        """
        return await self._send("/peer/v1/submit", command, _ATTEMPT_TIMEOUT_S)

    async def read(
        self, request: dict[str, Any], timeout_s: float = _ATTEMPT_TIMEOUT_S
    ) -> dict[str, Any]:
        """Return the leader's answer to a question; errors are as for `submit`."""
        return await self._send("/peer/v1/read", request, timeout_s)

    async def change_members(self, change: dict[str, Any]) -> dict[str, Any]:
        """Change the members of the log's group; errors are as for `submit`."""
        return await self._send("/peer/v1/change", change, _CHANGE_TIMEOUT_S)

    async def _send(
        self, path: str, message: dict[str, Any], timeout_s: float
    ) -> dict[str, Any]:
        last = "no control host is configured"
        for round_number in range(_ROUNDS):
            if round_number:
                await asyncio.sleep(_ROUND_PAUSE_S)
            asked: set[str] = set()
            for address in self._candidates():
                reply, last = await self._send_following_leader(
                    address, path, message, timeout_s, asked
                )
                if reply is not None:
                    return reply
        raise NoLeader(
            f"no control host leads: {last}",
            "check `kingcuplug control status`; a majority of voters must run",
        )

    def _candidates(self) -> list[str]:
        known = [] if self._leader is None else [self._leader]
        return known + [seed for seed in self._seeds() if seed != self._leader]

    async def _send_following_leader(
        self,
        address: str,
        path: str,
        message: dict[str, Any],
        timeout_s: float,
        tried: set[str],
    ) -> tuple[dict[str, Any] | None, str]:
        """Ask one host, and the leader that it names, once each."""
        why = f"{address} was asked already"
        following: str | None = address
        while following is not None and following not in tried:
            tried.add(following)
            try:
                reply = await self._peers.post(following, path, message, timeout_s)
            except NotSent as error:
                return None, error.message
            except PeerError as error:
                if error.error_name != "NotLeader":
                    self._raise_refusal(error)
                why = f"{following} does not lead"
                following = error.fields.get("leader")
                continue
            except OSError as error:
                raise TimeoutError(f"{following} did not answer: {error}") from error
            self._leader = following
            return reply, ""
        return None, why

    def _raise_refusal(self, error: PeerError) -> None:
        if error.error_name == "LostLeadership":
            raise TimeoutError(error.message) from error
        raise error
