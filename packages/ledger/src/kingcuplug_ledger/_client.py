"""Client that sends commands to the ledger over an unreliable connection.

Resending a command is safe, because the ledger identifies it by its token. After a
submission has timed out, its result stays unknown until the ledger answers: an
error from another host for a resend says nothing about the earlier copy.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from kingcuplug_common import KingcuplugError, canonical, digest, random_identifier

from kingcuplug_ledger._commands import (
    Claim,
    Command,
    Dispatch,
    Lookup,
    Outcome,
    OutcomeKind,
    Release,
    command_to_json,
)
from kingcuplug_ledger._keys import parse_key
from kingcuplug_ledger._records import OrderRecord
from kingcuplug_ledger._results import (
    Attached,
    Claimed,
    DispatchRecorded,
    DispatchRefused,
    KeyExpired,
    KeyFromFuture,
    KeyReused,
    LookupResult,
    MalformedCommand,
    OutcomeRecorded,
    OutcomeRefused,
    Released,
    ReleaseRefused,
    Result,
    result_from_json,
)

__all__ = [
    "CommandRefused",
    "LedgerClient",
    "MustNotSend",
    "SubmissionUnknown",
    "Submit",
]

Submit = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]
IsHolderLost = Callable[[str, int], bool]

# Larger bodies are stored as a digest only, because all records together must fit
# into the memory of a control host (256 MB).
MAX_STORED_BODY_BYTES = 65_536
# The delay doubles with each resend, so four delays span the shortest election (300
# to 600 ms). The maximum bounds the load that many waiting hosts put on the ledger.
_INITIAL_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.5


class SubmissionUnknown(KingcuplugError):
    """No result arrived; the command may have been applied or may yet be."""


class MustNotSend(KingcuplugError):
    """The order must not be sent to a backend server.

    Attributes
    ----------
    refused : DispatchRefused or None
        The ledger's refusal; None if it is unknown whether the dispatch was
        recorded. In that case the record may be in state ``dispatched`` although
        the order is not sent.
    """

    def __init__(
        self, message: str, remedy: str, refused: DispatchRefused | None
    ) -> None:
        super().__init__(message, remedy)
        self.refused = refused


class CommandRefused(KingcuplugError):
    """The ledger rejected the command as malformed, or its result is unexpected."""


class LedgerClient:
    """Ledger client of one host.

    Parameters
    ----------
    submit : callable
        Sends the JSON of a command and returns the JSON of its result. It raises
        TimeoutError if the command may have been applied or may yet be, and a
        KingcuplugError if it certainly was not and will not be.
    host, host_incarnation
        Identify this host as the holder of the claims that it makes.
    wall_ms : callable
        Returns the wall clock in milliseconds since the epoch.
    """

    def __init__(
        self,
        submit: Submit,
        host: str,
        host_incarnation: int,
        wall_ms: Callable[[], int],
    ) -> None:
        self._submit = submit
        self._host = host
        self._host_incarnation = host_incarnation
        self._wall_ms = wall_ms

    async def claim(
        self,
        key: str,
        digest: str,
        service: str,
        *,
        revision: int,
        retention_ms: int,
        deadline: float,
        takeover: bool = False,
        token: str | None = None,
    ) -> Claimed | Attached | KeyReused | KeyExpired | KeyFromFuture:
        """Claim a key.

        `deadline` is a time of the running loop's clock, in seconds. A caller that
        passes its own `token` can release the claim even if its result is unknown.

        Raises
        ------
        KeyInvalid
            If `key` is not an idempotency key.
        SubmissionUnknown
            If no answer came before the deadline.
        """
        parse_key(key)
        command = Claim(
            key,
            digest,
            service,
            self._host,
            self._host_incarnation,
            token or random_identifier(),
            self._wall_ms(),
            revision,
            retention_ms,
            takeover,
        )
        result = await self._send_until_answered(command, deadline)
        if isinstance(
            result, Claimed | Attached | KeyReused | KeyExpired | KeyFromFuture
        ):
            return result
        raise _unexpected_result_error(result)

    async def record_dispatch(
        self, key: str, token: str, server: str, attempt_id: str, *, deadline: float
    ) -> DispatchRecorded:
        """Record that the order is about to be sent to a backend server.

        The order may be sent only if this method returns. `attempt_id` must be
        unique for every call. After `MustNotSend` without a refusal, `release`
        determines whether the dispatch was recorded.

        Raises
        ------
        MustNotSend
            If the ledger refused, or its result is unknown.
        """
        command = Dispatch(key, token, server, attempt_id, self._wall_ms())
        try:
            result = await self._send_until_answered(command, deadline)
        except SubmissionUnknown as error:
            raise MustNotSend(
                f"it is unknown whether the dispatch of {key} was recorded",
                "do not send; release the claim to find out",
                None,
            ) from error
        if isinstance(result, DispatchRefused):
            raise MustNotSend(
                f"the dispatch of {key} was refused: {result.reason}",
                "wait for the outcome of the order",
                result,
            )
        if isinstance(result, DispatchRecorded):
            return result
        raise _unexpected_result_error(result)

    async def record_outcome(
        self,
        key: str,
        token: str,
        kind: OutcomeKind,
        status: str,
        body: Any,
        *,
        deadline: float,
    ) -> OutcomeRecorded | OutcomeRefused:
        """Record the outcome of the order.

        A body over 64 KiB is stored as a digest only.

        Raises
        ------
        SubmissionUnknown
            If no answer came before the deadline.
        """
        body_digest = ""
        if len(canonical(body)) > MAX_STORED_BODY_BYTES:
            body_digest, body = digest(body), None
        command = Outcome(key, token, kind, status, body, self._wall_ms(), body_digest)
        result = await self._send_until_answered(command, deadline)
        if isinstance(result, OutcomeRecorded | OutcomeRefused):
            return result
        raise _unexpected_result_error(result)

    async def release(
        self, key: str, token: str, *, deadline: float
    ) -> Released | ReleaseRefused:
        """Release a claim.

        After `Released`, no dispatch with `token` has been or will be recorded.

        Raises
        ------
        SubmissionUnknown
            If no answer came before the deadline.
        """
        command = Release(key, token, self._wall_ms())
        result = await self._send_until_answered(command, deadline)
        if isinstance(result, Released | ReleaseRefused):
            return result
        raise _unexpected_result_error(result)

    async def lookup(self, key: str, *, deadline: float) -> OrderRecord | None:
        """Return the record of an order, or None if there is none.

        Raises
        ------
        SubmissionUnknown
            If no answer came before the deadline.
        """
        result = await self._send_until_answered(Lookup(key), deadline)
        if isinstance(result, LookupResult):
            return result.record
        raise _unexpected_result_error(result)

    async def wait_for_outcome(
        self,
        key: str,
        *,
        deadline: float,
        holder_lost: IsHolderLost = lambda host, incarnation: False,
    ) -> OrderRecord | None:
        """Wait for the outcome of an order that another host has claimed.

        Return the record as soon as it is finished or released or its holder is
        lost, or the last one that was read before the deadline; None if there is
        no record.

        Raises
        ------
        SubmissionUnknown
            If the record could not be read once before the deadline.
        """
        loop = asyncio.get_running_loop()
        backoff_s = _INITIAL_BACKOFF_S
        record = await self.lookup(key, deadline=deadline)
        while record is not None and record.state in ("claimed", "dispatched"):
            if holder_lost(record.host, record.host_incarnation):
                break
            if loop.time() + backoff_s >= deadline:
                break
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
            try:
                record = await self.lookup(key, deadline=deadline)
            except SubmissionUnknown:
                break
        return record

    async def _send_until_answered(self, command: Command, deadline: float) -> Result:
        """Resend the unchanged command until the ledger answers it."""
        message = command_to_json(command)
        loop = asyncio.get_running_loop()
        backoff_s = _INITIAL_BACKOFF_S
        may_be_applied = False
        while True:
            try:
                async with asyncio.timeout_at(deadline):
                    return result_from_json(await self._submit(message))
            except TimeoutError:
                may_be_applied = True
            except KingcuplugError:
                if not may_be_applied:
                    raise
            if loop.time() + backoff_s >= deadline:
                raise SubmissionUnknown(
                    f"the ledger did not answer {message['type']} of {command.key}",
                    "send the same key again, or look it up",
                )
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)


def _unexpected_result_error(result: Result) -> CommandRefused:
    if isinstance(result, MalformedCommand):
        return CommandRefused(result.message, result.remedy)
    name = type(result).__name__
    return CommandRefused(f"unexpected result {name}", "run one version on all hosts")
