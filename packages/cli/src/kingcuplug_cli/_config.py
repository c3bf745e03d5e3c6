"""Commands about the configuration."""

import asyncio
import getpass
from pathlib import Path
from typing import Any

from kingcuplug_common import digest
from kingcuplug_configuration import (
    ConfigurationFault,
    ConfigurationText,
    describe_changes,
    parse,
    render,
)

from kingcuplug_cli._config_results import (
    ApplyConflict,
    ApplyResult,
    CheckResult,
    CurrentConfiguration,
    DiffResult,
    HostRow,
    InForceStatus,
    RevisionHistory,
    RevisionRow,
    TextFault,
)
from kingcuplug_cli._connection import OperatorClient
from kingcuplug_cli._results import (
    CommandRefused,
    OutcomeUnknown,
    Unreachable,
    WrongUsage,
)

__all__ = ["apply", "check", "diff", "history", "show", "status"]

_MS_PER_S = 1_000
_RESEND_INTERVAL_S = 0.5
_LONG_POLL_S = 5.0
_LONG_POLL_MARGIN_S = 10.0


async def check(file: str) -> CheckResult:
    """Validate a configuration text locally and report all faults at once."""
    return _check_text(_read_text_file(file))


async def diff(client: OperatorClient, file: str) -> DiffResult:
    """Compare a configuration text with the one in force."""
    new_text = _parse_valid_text(_read_text_file(file))
    current = await show(client)
    changes = describe_changes(parse(current.text), new_text).splitlines()
    return DiffResult(current.number, bool(changes), tuple(changes))


async def show(client: OperatorClient, raw: bool = False) -> CurrentConfiguration:
    """Return the configuration in force."""
    fields = await client.call("configuration/show")
    return CurrentConfiguration(
        fields["number"],
        fields["digest"],
        fields["author"],
        fields["time_ms"],
        fields["text"],
        raw,
    )


async def history(client: OperatorClient) -> RevisionHistory:
    """Return the accepted revisions."""
    fields = await client.call("history/show")
    return RevisionHistory(tuple(RevisionRow(**row) for row in fields["revisions"]))


async def status(client: OperatorClient) -> InForceStatus:
    """Return whether the current revision is in force on all hosts."""
    current = await show(client)
    return await _request_in_force_status(client, current.number, 0.0)


async def apply(
    client: OperatorClient,
    file: str,
    base_revision: int | None = None,
    author: str | None = None,
    wait: bool = False,
    wait_s: float = 60.0,
    resend_s: float = 20.0,
) -> ApplyResult | ApplyConflict | CheckResult:
    """Replace the configuration if it is still at the base revision.

    Parameters
    ----------
    base_revision : int, optional
        Revision that the text was made from; by default the current one.
    author : str, optional
        Author recorded with the change; by default the user of this process.
    wait : bool
        Whether to wait until the revision is in force on all hosts.
    wait_s, resend_s : float
        Time limits, in seconds, of that wait and of resending after lost answers.
    """
    _require_numeric_options(base_revision, wait_s, resend_s)
    text = _read_text_file(file)
    checked = _check_text(text)
    if checked.faults:
        return checked
    if base_revision is None:
        current = await show(client)
        base_revision = current.number
        if current.text == render(parse(text)):
            applied = ApplyResult(base_revision, "", 0, unchanged=True)
            return (
                await _wait_until_in_force(client, applied, wait_s) if wait else applied
            )
    author = author or getpass.getuser()
    command = {
        # A resend has the same id, so the change is applied once. Applying the same
        # text again later has another base revision and therefore another id.
        "change_id": digest([author, base_revision, text]),
        "base_revision": base_revision,
        "text": text,
        "author": author,
    }
    answer, resends = await _send_change(client, command, resend_s)
    if answer["type"] == "conflict":
        return await _describe_conflict(client, base_revision, text, answer)
    if answer["type"] != "accepted":
        return CheckResult(0, _fault_rows(answer["faults"]))
    applied = ApplyResult(answer["revision"], str(command["change_id"]), resends)
    return await _wait_until_in_force(client, applied, wait_s) if wait else applied


async def _send_change(
    client: OperatorClient, command: dict[str, Any], resend_limit_s: float
) -> tuple[dict[str, Any], int]:
    """Send a change until its outcome is known or `resend_limit_s` has passed."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + resend_limit_s
    last_unknown: OutcomeUnknown | None = None
    resends = 0
    while True:
        try:
            answer = await client.call("configuration", command, mutating=True)
            return answer, resends
        except OutcomeUnknown as error:
            last_unknown = error
        except Unreachable:
            # This attempt was not executed, but an earlier one may still be applied.
            if last_unknown is None:
                raise
        except CommandRefused as error:
            if error.kind != "Rejected":
                raise
            return {"type": "rejected", "faults": error.fields["faults"]}, resends
        if loop.time() >= deadline:
            raise OutcomeUnknown(
                last_unknown.message,
                "send the same text again with the same --author and "
                f"--base-revision {command['base_revision']}; it is applied at most "
                "once",
            )
        await asyncio.sleep(_RESEND_INTERVAL_S)
        resends += 1


async def _wait_until_in_force(
    client: OperatorClient, applied: ApplyResult, wait_s: float
) -> ApplyResult:
    """Return the result when the revision is in force or `wait_s` has passed."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while True:
        remaining_s = deadline - loop.time()
        try:
            in_force_status = await _request_in_force_status(
                client, applied.revision, max(min(remaining_s, _LONG_POLL_S), 0.0)
            )
        except Unreachable:
            # An election can interrupt the wait; the change is already accepted.
            in_force_status = InForceStatus(applied.revision, False, (), ())
            await asyncio.sleep(min(_RESEND_INTERVAL_S, max(remaining_s, 0.0)))
        if in_force_status.in_force or remaining_s <= 0:
            return ApplyResult(
                applied.revision,
                applied.change_id,
                applied.resends,
                applied.unchanged,
                in_force_status,
            )


async def _request_in_force_status(
    client: OperatorClient, revision: int, wait_s: float
) -> InForceStatus:
    fields = await client.call(
        "in-force",
        {"revision": revision, "wait_ms": int(wait_s * _MS_PER_S)},
        timeout_s=wait_s + _LONG_POLL_MARGIN_S,
    )
    return InForceStatus(
        revision,
        fields["in_force"],
        tuple(fields["waiting_for"]),
        tuple(HostRow(**row) for row in fields["hosts"]),
    )


async def _describe_conflict(
    client: OperatorClient, base_revision: int, text: str, answer: dict[str, Any]
) -> ApplyConflict:
    current = await show(client)
    difference = describe_changes(parse(current.text), parse(text)).splitlines()
    return ApplyConflict(
        base_revision,
        answer["current_revision"],
        answer["winner_author"],
        answer["winner_time_ms"],
        _changed_since_base(answer["difference"]),
        tuple(difference),
    )


def _require_numeric_options(base_revision: Any, *times_s: Any) -> None:
    if base_revision is not None and type(base_revision) is not int:
        raise WrongUsage(
            f"base revision {base_revision!r} is not a number",
            "pass the number that `kingcuplug config show` prints",
        )
    for time_s in times_s:
        if type(time_s) not in (int, float):
            raise WrongUsage(f"time {time_s!r} is not a number", "pass seconds")


def _changed_since_base(difference: dict[str, Any] | None) -> tuple[str, ...] | None:
    if difference is None:
        return None
    changes = [f"~ service {name}" for name in sorted(difference["changed"])]
    changes += [f"- service {name}" for name in sorted(difference["removed"])]
    if difference["retention_days"] is not None:
        changes.append(f"retention_days: {difference['retention_days']}")
    return tuple(changes)


def _check_text(text: str) -> CheckResult:
    try:
        return CheckResult(len(parse(text).services))
    except ExceptionGroup as group:
        faults = [f for f in group.exceptions if isinstance(f, ConfigurationFault)]
        return CheckResult(0, _fault_rows([fault.to_json() for fault in faults]))


def _parse_valid_text(text: str) -> ConfigurationText:
    try:
        return parse(text)
    except ExceptionGroup as group:
        raise WrongUsage(
            f"the text has {len(group.exceptions)} faults",
            "list them with `kingcuplug config check`",
        ) from group


def _fault_rows(faults: list[dict[str, str]]) -> tuple[TextFault, ...]:
    return tuple(TextFault(**fault) for fault in faults)


def _read_text_file(file: str) -> str:
    try:
        return Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise WrongUsage(
            f"file {file} cannot be read: {error}", "check the path and its encoding"
        ) from error
