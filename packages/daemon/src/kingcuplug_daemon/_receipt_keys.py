"""The Ed25519 key with which this host signs receipts."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from kingcuplug_common import (
    KingcuplugError,
    Receipt,
    Signer,
    log_state_change,
    write_error_line,
)

from kingcuplug_daemon._key_registry import PublishKey

__all__ = ["ReceiptKeys"]

_KEY_FILE = "receipt-key"
_SEED_BYTES = 32
_RETRY_S = 0.5

Submit = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class ReceiptKeys:
    """Signs with a key only after its public key is in the replicated log.

    A receipt proves nothing unless its public key can be looked up weeks later, so a
    host is not ready before its key is published.

    Parameters
    ----------
    host : str
        Name of this host.
    folder : Path or None
        Stores the key across restarts; if ``None``, every start generates a new key.
    submit : callable
        Commits a command to the replicated log.
    wall_ms : callable
        Wall clock in milliseconds since the epoch.
    """

    def __init__(
        self,
        host: str,
        folder: Path | None,
        submit: Submit,
        wall_ms: Callable[[], int],
    ) -> None:
        self._host = host
        self._path = None if folder is None else folder / _KEY_FILE
        self._submit = submit
        self._wall_ms = wall_ms
        self._signer: Signer | None = None
        self._lock = asyncio.Lock()

    @property
    def published(self) -> bool:
        """Whether the public key is published, so that receipts can be signed."""
        return self._signer is not None

    async def start(self) -> None:
        """Load or generate the key and publish it; retry until that succeeds.

        Standard error names the cause if the key cannot be loaded or stored.
        """
        signer = await self._load_or_generate_key()
        async with self._lock:
            while True:
                try:
                    await self._publish_key(signer)
                    return
                except (KingcuplugError, TimeoutError):
                    await asyncio.sleep(_RETRY_S)

    async def rotate(self) -> str:
        """Publish a new key, sign with it from now on and return its identifier.

        Raises
        ------
        KingcuplugError, TimeoutError
            If the new key could not be published; the current key stays in use.
        """
        async with self._lock:
            signer = self._generate_key()
            await self._publish_key(signer)
            log_state_change("receipt-key", "rotated", key_id=signer.key_id)
            return signer.key_id

    def sign(self, receipt: Receipt) -> dict[str, Any] | None:
        """Return the signed receipt; ``None`` before the key is published."""
        return None if self._signer is None else self._signer.sign(receipt)

    async def _load_or_generate_key(self) -> Signer:
        reported = ""
        while True:
            try:
                return self._load_key() or self._generate_key()
            except (KingcuplugError, OSError) as error:
                if str(error) != reported:
                    reported = str(error)
                    write_error_line(
                        f"receipt key is unavailable, so the host is not ready: {error}"
                    )
                    log_state_change("receipt-key", "unavailable", why=reported)
            await asyncio.sleep(_RETRY_S)

    async def _publish_key(self, signer: Signer) -> None:
        command = PublishKey(self._host, signer.public_key.hex(), self._wall_ms())
        await self._submit(command.to_json())
        self._signer = signer

    def _load_key(self) -> Signer | None:
        if self._path is None or not self._path.exists():
            return None
        seed = self._path.read_bytes()
        if len(seed) != _SEED_BYTES:
            raise KingcuplugError(
                f"{self._path} has {len(seed)} bytes, not {_SEED_BYTES}",
                "remove the file; a new key will be made and published",
            )
        return Signer(seed)

    def _generate_key(self) -> Signer:
        seed = os.urandom(_SEED_BYTES)
        if self._path is not None:
            _write_private(self._path, seed)
        return Signer(seed)


def _write_private(path: Path, content: bytes) -> None:
    temporary = path.with_suffix(".new")
    temporary.unlink(missing_ok=True)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    try:
        os.write(descriptor, content)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    temporary.rename(path)
    folder_descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder_descriptor)
    finally:
        os.close(folder_descriptor)
