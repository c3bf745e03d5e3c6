"""Signed receipts of answers, refusals and orders.

A receipt lets a caller prove weeks later how its request was answered, without the
hosts storing every answer. Ed25519 signatures come from the ``cryptography`` library.
"""

import base64
import dataclasses
from collections.abc import Mapping
from typing import Any

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from kingcuplug_common._digests import canonical, digest
from kingcuplug_common._errors import KingcuplugError

__all__ = ["Receipt", "ReceiptInvalid", "Signer", "Verifier", "key_id"]

_KEY_ID_CHARACTERS = 16


class ReceiptInvalid(KingcuplugError):
    """A receipt that is malformed, unsigned or altered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Receipt:
    """How one request was answered, as signed by a host.

    Attributes
    ----------
    request_digest : str
        SHA-256 of the request's service, kind and body.
    answer_digest : str
        SHA-256 of the answer's value, or of the refusal's reason.
    outcome : str
        ``answered``, ``partial``, ``ordered``, ``not_run`` or
        ``outcome_unknown``.
    coverage : float or None
        Served share of the snapshot's shards, 0 to 1.
    time_ms : int
        Wall clock of the host, milliseconds since the epoch.
    """

    request_id: str
    request_digest: str
    answer_digest: str
    service: str
    outcome: str
    snapshot: int | None
    coverage: float | None
    revision: int
    host: str
    time_ms: int


def key_id(public_key: bytes) -> str:
    """Return the identifier of a raw Ed25519 public key."""
    return digest(public_key.hex())[:_KEY_ID_CHARACTERS]


class Signer:
    """Signs receipts with one Ed25519 key.

    Parameters
    ----------
    seed : bytes
        The private key, 32 bytes.
    """

    def __init__(self, seed: bytes) -> None:
        self._key = Ed25519PrivateKey.from_private_bytes(seed)
        self.public_key = self._key.public_key().public_bytes_raw()
        self.key_id = key_id(self.public_key)

    @classmethod
    def generate(cls) -> "Signer":
        """Return a signer with a new random key."""
        return cls(Ed25519PrivateKey.generate().private_bytes_raw())

    def sign(self, receipt: Receipt) -> dict[str, Any]:
        """Return the receipt as JSON value with ``key_id`` and ``signature``."""
        fields = dataclasses.asdict(receipt)
        fields["key_id"] = self.key_id
        signature = self._key.sign(canonical(fields))
        fields["signature"] = base64.b64encode(signature).decode()
        return fields


class Verifier:
    """Checks receipts against the public keys of all hosts.

    Parameters
    ----------
    public_keys : Mapping[str, bytes]
        Raw public keys by key identifier, retired ones included.
    """

    def __init__(self, public_keys: Mapping[str, bytes]) -> None:
        self._public_keys = dict(public_keys)

    def verify(self, signed: Mapping[str, Any]) -> Receipt:
        """Return the receipt if its signature is valid.

        Raises
        ------
        ReceiptInvalid
            If a field is missing, the key is unknown or the signature is wrong.
        """
        fields = dict(signed)
        try:
            signature = base64.b64decode(fields.pop("signature"), validate=True)
            receipt_key_id = fields["key_id"]
        except (KeyError, ValueError, TypeError) as error:
            raise ReceiptInvalid(
                f"receipt lacks a readable signature or key_id: {error}",
                "pass the receipt exactly as it came with the answer",
            ) from error
        public_key = self._public_keys.get(receipt_key_id)
        if public_key is None:
            raise ReceiptInvalid(
                f"receipt is signed by the unknown key {receipt_key_id!r}",
                "fetch the public keys with `kingcuplug keys list`",
            )
        try:
            Ed25519PublicKey.from_public_bytes(public_key).verify(
                signature, canonical(fields)
            )
            del fields["key_id"]
            return Receipt(**fields)
        except (InvalidSignature, TypeError) as error:
            raise ReceiptInvalid(
                "the receipt's signature does not match its fields",
                "treat the receipt as altered",
            ) from error
