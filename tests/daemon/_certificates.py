"""Certificates of temporary certificate authorities."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from kingcuplug_common import TlsSettings

_DAY = datetime.timedelta(days=1)


class CertificateAuthority:
    """Signs certificates for 127.0.0.1.

    Parameters
    ----------
    folder : Path
        Where all files are written.
    name : str
        Common name and prefix of all file names.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._identity_count = 0
        certificate = self._sign_certificate(name, self._key.public_key(), None)
        self.file = folder / f"{name}.pem"
        self.file.write_bytes(certificate)

    def issue_identity(self, trusted: Path | None = None) -> TlsSettings:
        """Return a new identity that trusts `trusted`, by default this authority."""
        self._identity_count += 1
        stem = f"{self._name}-{self._identity_count}"
        return self.renew_identity(
            TlsSettings(
                certificate=self._folder / f"{stem}.crt",
                private_key=self._folder / f"{stem}.key",
                authority=trusted or self.file,
            )
        )

    def renew_identity(self, tls: TlsSettings) -> TlsSettings:
        """Replace the key and certificate files of an identity by new ones."""
        key = ec.generate_private_key(ec.SECP256R1())
        tls.private_key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        tls.certificate.write_bytes(
            self._sign_certificate(
                "host", key.public_key(), ipaddress.ip_address("127.0.0.1")
            )
        )
        return tls

    def _sign_certificate(
        self,
        name: str,
        key: ec.EllipticCurvePublicKey,
        address: ipaddress.IPv4Address | ipaddress.IPv6Address | None,
    ) -> bytes:
        now = datetime.datetime.now(datetime.UTC)
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, self._name)])
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _DAY)
            .not_valid_after(now + _DAY)
            .add_extension(x509.BasicConstraints(address is None, None), critical=True)
        )
        if address is not None:
            alternative_names = x509.SubjectAlternativeName([x509.IPAddress(address)])
            builder = builder.add_extension(alternative_names, critical=False)
        certificate = builder.sign(self._key, hashes.SHA256())
        return certificate.public_bytes(serialization.Encoding.PEM)


def encrypt_key(key: bytes) -> bytes:
    """Return a private key encrypted with a password."""
    return serialization.load_pem_private_key(key, None).private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.BestAvailableEncryption(b"password"),
    )
