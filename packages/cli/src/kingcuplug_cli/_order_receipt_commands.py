"""Commands about orders, receipts and the keys that check them."""

import dataclasses
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
from kingcuplug_common import Receipt, ReceiptInvalid, Verifier, digest

from kingcuplug_cli._config_results import format_time
from kingcuplug_cli._connection import OperatorClient
from kingcuplug_cli._results import CommandRefused, ExitCode, WrongUsage

__all__ = ["list_keys", "rotate_key", "show_order", "verify_receipt"]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRecord:
    """State of an order in the ledger."""

    key: str
    state: str | None
    explanation: str
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the explanation."""
        yield from self.explanation.splitlines()


@dataclasses.dataclass(frozen=True, slots=True)
class VerifiedReceipt:
    """A receipt with a valid signature.

    Attributes
    ----------
    answer_checked : bool
        Whether the file held the complete answer, which then matches the receipt.
    """

    receipt: Receipt
    key_host: str
    answer_checked: bool
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the signer and the signed fields."""
        receipt = self.receipt
        yield f"valid: signed by {self.key_host}, {format_time(receipt.time_ms)}"
        yield f"  request {receipt.request_id} to {receipt.service}: {receipt.outcome}"
        if receipt.snapshot is not None:
            yield f"  snapshot {receipt.snapshot}, coverage {receipt.coverage}"
        yield f"  configuration revision {receipt.revision}"
        if self.answer_checked:
            yield "  the answer in the file is the one that was signed"
        else:
            yield "  the file holds no answer, so only the receipt was checked"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRow:
    """One public key."""

    key_id: str
    host: str
    public_key: str
    time_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyList:
    """All public keys, retired ones included, the oldest first."""

    keys: tuple[KeyRow, ...]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield one line per key."""
        for key in self.keys:
            yield f"{key.key_id}  {key.host}  since {format_time(key.time_ms)}"


@dataclasses.dataclass(frozen=True, slots=True)
class RotateResult:
    """The key with which a host signs from now on."""

    key_id: str
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the new key."""
        yield f"receipts are signed with key {self.key_id} from now on"


async def show_order(client: OperatorClient, key: str) -> OrderRecord:
    """Return the state of an order in the ledger."""
    fields = await client.call("orders/show", {"key": key})
    return OrderRecord(fields["key"], fields["state"], fields["explanation"])


async def list_keys(client: OperatorClient) -> KeyList:
    """Return all public keys."""
    fields = await client.call("keys/show")
    return KeyList(tuple(KeyRow(**row) for row in fields["keys"]))


async def rotate_key(client: OperatorClient) -> RotateResult:
    """Create a new signing key on the target host."""
    fields = await client.call("keys/rotate", mutating=True)
    return RotateResult(fields["key_id"])


async def verify_receipt(client: OperatorClient, file: str) -> VerifiedReceipt:
    """Check a receipt, and the answer around it if the file holds one.

    Parameters
    ----------
    file : str
        A receipt or a complete answer as JSON; ``-`` reads standard input.
    """
    content = _read_json_object(file)
    answer = content if isinstance(content.get("receipt"), dict) else None
    signed_receipt = content if answer is None else answer["receipt"]
    keys = (await list_keys(client)).keys
    verifier = Verifier({key.key_id: bytes.fromhex(key.public_key) for key in keys})
    try:
        receipt = verifier.verify(signed_receipt)
    except ReceiptInvalid as error:
        raise CommandRefused(error.message, error.remedy, "ReceiptInvalid") from error
    if answer is not None:
        _require_matching_answer(answer, receipt)
    hosts = {key.key_id: key.host for key in keys}
    return VerifiedReceipt(receipt, hosts[signed_receipt["key_id"]], answer is not None)


def _require_matching_answer(answer: dict[str, Any], receipt: Receipt) -> None:
    refusal = answer.get("refusal")
    if isinstance(refusal, dict):
        answer_digest = digest(refusal.get("reason"))
        answer_fields = {"outcome": refusal.get("kind")}
    else:
        answer_digest = digest(answer.get("value"))
        answer_fields = {n: answer.get(n) for n in ("snapshot", "coverage", "revision")}
    answer_fields["request_id"] = answer.get("request_id")
    differing = [
        n for n, value in answer_fields.items() if value != getattr(receipt, n)
    ]
    if answer_digest != receipt.answer_digest:
        differing.append("answer_digest")
    if differing:
        raise CommandRefused(
            f"the receipt is genuine but belongs to another answer: "
            f"{', '.join(sorted(differing))} differ",
            "treat the answer as altered",
            "ReceiptInvalid",
        )


def _read_json_object(file: str) -> dict[str, Any]:
    try:
        raw = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
        content = orjson.loads(raw)
    except (OSError, orjson.JSONDecodeError) as error:
        raise WrongUsage(
            f"file {file} cannot be read: {error}",
            "name a file with the receipt or the whole answer as JSON",
        ) from error
    if not isinstance(content, dict):
        raise WrongUsage(
            f"file {file} holds {type(content).__name__}, not an object",
            "name a file with the receipt or the whole answer as JSON",
        )
    return content
