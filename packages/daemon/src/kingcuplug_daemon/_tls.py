"""TLS contexts, whose files can be reloaded while they are in use."""

import contextlib
import errno
import os
import ssl
from collections.abc import Iterator

from kingcuplug_common import SettingsUnreadable, TlsSettings

__all__ = ["check_identity", "client_context", "files_unusable", "reload_identity"]


# Without it, OpenSSL asks for the password of an encrypted key on the terminal.
_NO_PASSWORD = ""


def check_identity(tls: TlsSettings | None) -> None:
    """Check that the files of an identity can be used together.

    Raises
    ------
    SettingsUnreadable
        If a file cannot be read, or certificate and key do not belong together.
    """
    if tls is not None:
        _load_identity(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), tls)


def client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return a client context that presents and requires a certificate.

    Raises
    ------
    SettingsUnreadable
        If the files cannot be used.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Hosts are addressed by IP address, so host names are not checked; trust rests
    # on the private certificate authority.
    context.check_hostname = False
    _load_identity(context, tls)
    return context


def reload_identity(context: ssl.SSLContext | None, tls: TlsSettings | None) -> None:
    """Reload the files, for new connections.

    Authorities are added and never removed, so that hosts can be moved to a new one in
    turn with a bundle of the old and the new; a restart drops the old authority.

    Raises
    ------
    SettingsUnreadable
        If the files cannot be used; the context is then unchanged.
    """
    if context is None or tls is None:
        return
    # The files are read once: a context whose key does not fit its certificate, as
    # while both are being replaced, refuses all connections.
    try:
        certificate = tls.certificate.read_bytes()
        private_key = tls.private_key.read_bytes()
        for target in (ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), context):
            target.load_verify_locations(cafile=tls.authority)
            with _open_pipe(certificate) as first, _open_pipe(private_key) as second:
                target.load_cert_chain(first, second, _NO_PASSWORD)
    except OSError as error:
        raise files_unusable(tls, error) from error


@contextlib.contextmanager
def _open_pipe(content: bytes) -> Iterator[str]:
    """Yield a path from which `content` can be read once; no copy reaches a disk."""
    reader, writer = os.pipe()
    try:
        try:
            os.set_blocking(writer, False)
            if os.write(writer, content) < len(content):
                raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
        finally:
            os.close(writer)
        yield f"/dev/fd/{reader}"
    finally:
        os.close(reader)


def _load_identity(context: ssl.SSLContext, tls: TlsSettings) -> None:
    try:
        context.load_verify_locations(cafile=tls.authority)
        context.load_cert_chain(tls.certificate, tls.private_key, _NO_PASSWORD)
    except OSError as error:
        raise files_unusable(tls, error) from error


def files_unusable(tls: TlsSettings, error: OSError) -> SettingsUnreadable:
    """Return the error that names the files of an identity."""
    return SettingsUnreadable(
        f"TLS files {tls.certificate}, {tls.private_key} and {tls.authority} "
        f"cannot be used: {error}",
        "name PEM files of a certificate, its key and its authority",
    )
