"""Client for the leader of the replicated log."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from kingcuplug_common import KingcuplugError

from kingcuplug_daemon._peer_client import NotSent, PeerClient, PeerError

__all__ = ["LeaderClient", "NoLeader"]

_ATTEMPT_TIMEOUT_S = 2.0
_CHANGE_TIMEOUT_S = 10.0
_ROUNDS = 2
# An election takes 300 to 600 ms; a much shorter pause would only find the same
# hosts without a leader.
_ROUND_PAUSE_S = 0.15


class NoLeader(KingcuplugError):
    """No control host is the leader; nothing was done."""


class LeaderClient:
    """Finds the leader and sends it commands and read requests.

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
            If the command may have been applied, or may be applied later.
        NoLeader, PeerError
            If the command was not applied and will not be.
        """
        return await self._send("/peer/v1/submit", command, _ATTEMPT_TIMEOUT_S)

    async def read(
        self, request: dict[str, Any], timeout_s: float = _ATTEMPT_TIMEOUT_S
    ) -> dict[str, Any]:
        """Return the leader's reply to a read request; errors are as for `submit`."""
        return await self._send("/peer/v1/read", request, timeout_s)

    async def change_members(self, change: dict[str, Any]) -> dict[str, Any]:
        """Add or remove a member of the log's group; errors are as for `submit`."""
        return await self._send("/peer/v1/change", change, _CHANGE_TIMEOUT_S)

    async def _send(
        self, path: str, message: dict[str, Any], timeout_s: float
    ) -> dict[str, Any]:
        failure = "no control host is configured"
        for round_number in range(_ROUNDS):
            if round_number:
                await asyncio.sleep(_ROUND_PAUSE_S)
            tried: set[str] = set()
            for address in self._candidates():
                reply, failure = await self._send_following_leader(
                    address, path, message, timeout_s, tried
                )
                if reply is not None:
                    return reply
        raise NoLeader(
            f"no control host is the leader: {failure}",
            "check `kingcuplug control status`; a majority of voters must run",
        )

    def _candidates(self) -> list[str]:
        first = [] if self._leader is None else [self._leader]
        return first + [seed for seed in self._seeds() if seed != self._leader]

    async def _send_following_leader(
        self,
        address: str,
        path: str,
        message: dict[str, Any],
        timeout_s: float,
        tried: set[str],
    ) -> tuple[dict[str, Any] | None, str]:
        """Send to one host, then to the leader that it refers to, once each.

        Returns the reply, or ``None`` and the reason why there is none.
        """
        failure = f"{address} was tried already"
        target: str | None = address
        while target is not None and target not in tried:
            tried.add(target)
            try:
                reply = await self._peers.post(target, path, message, timeout_s)
            except NotSent as error:
                return None, error.message
            except PeerError as error:
                if error.error_name != "NotLeader":
                    self._raise_peer_error(error)
                failure = f"{target} is not the leader"
                target = error.fields.get("leader")
                continue
            except OSError as error:
                raise TimeoutError(f"{target} did not answer: {error}") from error
            self._leader = target
            return reply, ""
        return None, failure

    def _raise_peer_error(self, error: PeerError) -> None:
        if error.error_name == "LostLeadership":
            raise TimeoutError(error.message) from error
        raise error
