"""Receipts must reveal any later change of their fields."""

import dataclasses

import pytest
from kingcuplug_common import Receipt, ReceiptInvalid, Signer, Verifier

_SEED = bytes(range(32))


@pytest.fixture
def receipt() -> Receipt:
    return Receipt(
        request_id="r1",
        request_digest="a",
        answer_digest="b",
        service="counter-1",
        outcome="answered",
        snapshot=7,
        coverage=1.0,
        revision=3,
        host="entry-1",
        time_ms=1_700_000_000_000,
    )


@pytest.fixture
def signer() -> Signer:
    return Signer(_SEED)


def test_accepts_unaltered_receipt(receipt: Receipt, signer: Signer) -> None:
    # Guards against a signature that cannot be checked after a JSON round trip.
    verifier = Verifier({signer.key_id: signer.public_key})
    assert verifier.verify(signer.sign(receipt)) == receipt


@pytest.mark.parametrize("field", [f.name for f in dataclasses.fields(Receipt)])
def test_rejects_altered_field(receipt: Receipt, signer: Signer, field: str) -> None:
    # Guards against a field that the signature does not cover.
    signed = signer.sign(receipt)
    signed[field] = "altered"
    with pytest.raises(ReceiptInvalid):
        Verifier({signer.key_id: signer.public_key}).verify(signed)


def test_rejects_unknown_key(receipt: Receipt, signer: Signer) -> None:
    # Guards against accepting a receipt signed by a key that no host published.
    with pytest.raises(ReceiptInvalid, match="unknown key"):
        Verifier({}).verify(signer.sign(receipt))


def test_rejects_missing_signature(receipt: Receipt, signer: Signer) -> None:
    # Guards against a traceback instead of a typed error on a truncated receipt.
    signed = signer.sign(receipt)
    del signed["signature"]
    with pytest.raises(ReceiptInvalid, match="readable signature"):
        Verifier({}).verify(signed)
