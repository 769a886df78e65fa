"""Keys and certificates: read from files, read anew when they change, and made for rehearsals.

gRPC asks for them at each handshake. What has become of no use is said once, and the last that was of use
stays in force: streams that stand are not touched by either.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from firvane.core.logs import QUIET, Log
from firvane.proxy.config.model import Tls

TEST_DAYS = 30
SOON = timedelta(days=14)  # to its end, from when a certificate is warned of


class Useless(ValueError):  # noqa: N818 - the files', not the program's
    """Why the files cannot be used, in one line."""


def load(tls: Tls, now: datetime) -> tuple[bytes, bytes, bytes, datetime]:
    """Key, certificate and authority in the files, and when the certificate ends; raises `Useless`."""
    read = {}
    for name in ("key", "certificate", "authority"):
        path = getattr(tls, name)
        try:
            read[name] = Path(path).read_bytes()
        except OSError as error:
            raise Useless(f"control.tls.{name}: {path}: {error.strerror}") from None
    try:
        key = serialization.load_pem_private_key(read["key"], None)
    except (ValueError, TypeError) as error:
        raise Useless(f"control.tls.key: {tls.key}: no private key in PEM ({error})") from None
    try:
        chain = x509.load_pem_x509_certificates(read["certificate"])
        authorities = x509.load_pem_x509_certificates(read["authority"])
    except ValueError as error:
        raise Useless(f"control.tls: no certificate in PEM in certificate or authority ({error})") from None
    form = serialization.PublicFormat.SubjectPublicKeyInfo
    der = serialization.Encoding.DER
    if chain[0].public_key().public_bytes(der, form) != key.public_key().public_bytes(der, form):
        raise Useless(f"control.tls.key: {tls.key} is not the key of {tls.certificate}")
    if chain[0].not_valid_after_utc <= now:
        ended = f"{chain[0].not_valid_after_utc:%Y-%m-%d}"
        raise Useless(f"control.tls.certificate: {tls.certificate} ended {ended}")
    if all(one.not_valid_after_utc <= now for one in authorities):
        raise Useless(f"control.tls.authority: every certificate in {tls.authority} has ended")
    return read["key"], read["certificate"], read["authority"], chain[0].not_valid_after_utc


class Keys:
    """The files of one service, as gRPC wants them."""

    def __init__(self, tls: Tls, log: Log = QUIET) -> None:
        self.tls, self.log = tls, log
        self._stamp = self._stamps()
        *parts, ends = load(tls, datetime.now(UTC))  # `Useless` at the start is the end of it
        self._config = self._configuration(*parts)
        self._warn(ends)

    def credentials(self) -> Any:
        return grpc.dynamic_ssl_server_credentials(
            self._config, self._fetch, require_client_authentication=True
        )

    def _fetch(self) -> Any:
        """Called by gRPC at a handshake, on a thread of its own: what is new, or None."""
        stamp = self._stamps()
        if stamp == self._stamp:
            return None
        self._stamp = stamp
        try:
            *parts, ends = load(self.tls, datetime.now(UTC))
        except Useless as error:
            self.log.error("keys_useless", why=str(error), text="those of before stay in force")
            return None
        self._config = self._configuration(*parts)
        self.log.info("keys_reread", ends=f"{ends:%Y-%m-%d}")
        self._warn(ends)
        return self._config

    def _stamps(self) -> tuple[tuple[int, int] | None, ...]:
        found: list[tuple[int, int] | None] = []
        for path in (self.tls.key, self.tls.certificate, self.tls.authority):
            try:
                info = os.stat(path)
                found.append((info.st_mtime_ns, info.st_size))
            except OSError:
                found.append(None)
        return tuple(found)

    @staticmethod
    def _configuration(key: bytes, certificate: bytes, authority: bytes) -> Any:
        return grpc.ssl_server_certificate_configuration([(key, certificate)], authority)

    def _warn(self, ends: datetime) -> None:
        if ends - datetime.now(UTC) < SOON:
            self.log.warning("certificate_ends", at=f"{ends:%Y-%m-%d %H:%M}")


# For rehearsals and tests: no authority of anybody's own


def _name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])


def _write(folder: Path, name: str, key: ec.EllipticCurvePrivateKey, certificate: x509.Certificate) -> None:
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    with open(os.open(folder / f"{name}.key", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(private)
    (folder / f"{name}.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))


def make_authority(folder: Path, name: str = "test authority", days: int = TEST_DAYS) -> None:
    """`authority.key` and `authority.pem` in a folder."""
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(_name(name))
        .issuer_name(_name(name))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(minutes=5))
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    _write(folder, "authority", key, certificate)


def make_certificate(
    folder: Path, name: str, hosts: Sequence[str] = (), days: float = TEST_DAYS, file: str = ""
) -> None:
    """A certificate signed by the authority in the same folder; `file`: its files' name, else its own."""
    root = x509.load_pem_x509_certificate((folder / "authority.pem").read_bytes())
    signer: Any = serialization.load_pem_private_key((folder / "authority.key").read_bytes(), None)
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.now(UTC)
    others: list[x509.GeneralName] = [x509.DNSName(name)]
    for host in hosts:
        try:
            others.append(x509.IPAddress(ip_address(host)))
        except ValueError:
            others.append(x509.DNSName(host))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(_name(name))
        .issuer_name(root.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.SubjectAlternativeName(others), critical=False)
        .sign(signer, hashes.SHA256())
    )
    _write(folder, file or name, key, certificate)
