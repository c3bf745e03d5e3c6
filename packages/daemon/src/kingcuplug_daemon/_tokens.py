"""Bearer tokens, read from files so that settings files hold no secret."""

import hmac
from pathlib import Path

from kingcuplug_common import RefusalReason, SettingsUnreadable, not_run_refusal
from starlette.requests import Request

__all__ = ["BearerTokens"]


class BearerTokens:
    """The accepted tokens of one interface.

    Parameters
    ----------
    path : Path or None
        File with one token per line, so that an old and a new token can be valid at
        the same time; ``None`` accepts any request.

    Raises
    ------
    SettingsUnreadable
        If the file cannot be read or holds no token.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._accepted_tokens: tuple[bytes, ...] | None = None
        self.reload()

    def reload(self) -> None:
        """Reload the file; on an error the former tokens stay accepted."""
        if self._path is not None:
            self._accepted_tokens = _read_tokens(self._path)

    def authorize(self, request: Request) -> None:
        """Check the bearer token of a request.

        Raises
        ------
        Refusal
            If tokens are configured and the request carries none of them.
        """
        if self._accepted_tokens is None:
            return
        header = request.headers.get("authorization", "").encode()
        matches = [
            hmac.compare_digest(header, b"Bearer " + token)
            for token in self._accepted_tokens
        ]
        if not any(matches):
            raise not_run_refusal(
                RefusalReason.UNAUTHENTICATED,
                "the Authorization header carries no valid bearer token",
                "pass a token of the host's token file",
            )


def _read_tokens(path: Path) -> tuple[bytes, ...]:
    try:
        tokens = tuple(line.strip() for line in path.read_bytes().splitlines())
    except OSError as error:
        raise SettingsUnreadable(
            f"token file {path} cannot be read: {error.strerror}",
            "check the path and its permissions",
        ) from error
    tokens = tuple(token for token in tokens if token)
    if not tokens:
        raise SettingsUnreadable(
            f"token file {path} is empty", "write one token per line into it"
        )
    return tokens
