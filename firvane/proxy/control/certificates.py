"""TLS credentials: loaded from files, reloaded when they change, and generated for tests.

gRPC requests them at each handshake. An invalid change is logged once, and the last valid files stay in use;
reloads don't affect existing streams.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path
from typing import Any, NamedTuple

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from firvane.core.logs import QUIET, Log
from firvane.proxy.config.model import Tls
from firvane.proxy.control import ControlError

TEST_DAYS = 30
KEY_FILE_MODE = 0o600
EXPIRY_WARNING = timedelta(days=14)  # before a certificate expires


class TlsFileError(ControlError, ValueError):
    """The TLS files are invalid; the text is one line."""


class TlsFiles(NamedTuple):
    """The contents of valid TLS files in PEM, and the time at which the certificate expires."""

    key: bytes
    certificate: bytes
    authority: bytes
    expires_at: datetime


def load(tls: Tls, now: datetime) -> TlsFiles:
    """Read and validate the TLS files; raises `TlsFileError` if one is unreadable, invalid or expired."""
    contents = {}
    for name in ("key", "certificate", "authority"):
        path = getattr(tls, name)
        try:
            contents[name] = Path(path).read_bytes()
        except OSError as error:
            raise TlsFileError(f"control.tls.{name}: {path}: {error.strerror}") from None
    try:
        key = serialization.load_pem_private_key(contents["key"], None)
    except (ValueError, TypeError) as error:
        raise TlsFileError(f"control.tls.key: {tls.key}: no private key in PEM ({error})") from None
    try:
        chain = x509.load_pem_x509_certificates(contents["certificate"])
        authorities = x509.load_pem_x509_certificates(contents["authority"])
    except ValueError as error:
        raise TlsFileError(
            f"control.tls: no certificate in PEM in certificate or authority ({error})"
        ) from None
    key_format = serialization.PublicFormat.SubjectPublicKeyInfo
    encoding = serialization.Encoding.DER
    if chain[0].public_key().public_bytes(encoding, key_format) != key.public_key().public_bytes(
        encoding, key_format
    ):
        raise TlsFileError(f"control.tls.key: {tls.key} is not the key of {tls.certificate}")
    if chain[0].not_valid_after_utc <= now:
        end_date = f"{chain[0].not_valid_after_utc:%Y-%m-%d}"
        raise TlsFileError(f"control.tls.certificate: {tls.certificate} ended {end_date}")
    if all(certificate.not_valid_after_utc <= now for certificate in authorities):
        raise TlsFileError(f"control.tls.authority: every certificate in {tls.authority} has ended")
    return TlsFiles(
        contents["key"], contents["certificate"], contents["authority"], chain[0].not_valid_after_utc
    )


class TlsCredentials:
    """The TLS files of one service, as gRPC server credentials."""

    def __init__(self, tls: Tls, log: Log = QUIET) -> None:
        self.tls = tls
        self.log = log
        self._loaded_stamps = self._file_stamps()
        files = load(tls, datetime.now(UTC))  # a `TlsFileError` aborts the start
        self._config = self._configuration(files)
        self._warn_of_expiry(files.expires_at)

    def credentials(self) -> Any:
        """Return credentials that are reloaded at handshakes."""
        return grpc.dynamic_ssl_server_credentials(
            self._config, self._fetch, require_client_authentication=True
        )

    def _fetch(self) -> Any:
        """Return the new configuration or None; gRPC calls this at each handshake, on its own thread."""
        stamps = self._file_stamps()
        if stamps == self._loaded_stamps:
            return None
        self._loaded_stamps = stamps
        try:
            files = load(self.tls, datetime.now(UTC))
        except TlsFileError as error:
            self._log_invalid(error)
            return None
        self._config = self._configuration(files)
        self.log.info("tls_files_reloaded", ends=f"{files.expires_at:%Y-%m-%d}")
        self._warn_of_expiry(files.expires_at)
        return self._config

    def _log_invalid(self, error: TlsFileError) -> None:
        self.log.error("tls_files_invalid", why=str(error), text="the last valid files stay in use")

    def _file_stamps(self) -> tuple[tuple[int, int] | None, ...]:
        file_stamps: list[tuple[int, int] | None] = []
        for path in (self.tls.key, self.tls.certificate, self.tls.authority):
            try:
                info = Path(path).stat()
                file_stamps.append((info.st_mtime_ns, info.st_size))
            except OSError:
                file_stamps.append(None)
        return tuple(file_stamps)

    @staticmethod
    def _configuration(files: TlsFiles) -> Any:
        return grpc.ssl_server_certificate_configuration([(files.key, files.certificate)], files.authority)

    def _warn_of_expiry(self, expires_at: datetime) -> None:
        if expires_at - datetime.now(UTC) < EXPIRY_WARNING:
            self.log.warning("certificate_expires_soon", at=f"{expires_at:%Y-%m-%d %H:%M}")


# A certificate authority for tests and trial deployments


def _name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])


def _write(folder: Path, name: str, key: ec.EllipticCurvePrivateKey, certificate: x509.Certificate) -> None:
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    descriptor = os.open(folder / f"{name}.key", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, KEY_FILE_MODE)
    with os.fdopen(descriptor, "wb") as file:
        file.write(private)
    (folder / f"{name}.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))


def make_authority(folder: Path, name: str = "test authority", days: int = TEST_DAYS) -> None:
    """Write `authority.key` and `authority.pem` of a test authority to a folder."""
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
    """Write a certificate signed by the authority in the folder; `file` overrides the file name."""
    authority = x509.load_pem_x509_certificate((folder / "authority.pem").read_bytes())
    authority_key: Any = serialization.load_pem_private_key((folder / "authority.key").read_bytes(), None)
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.now(UTC)
    alternative_names: list[x509.GeneralName] = [x509.DNSName(name)]
    for host in hosts:
        try:
            alternative_names.append(x509.IPAddress(ip_address(host)))
        except ValueError:
            alternative_names.append(x509.DNSName(host))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(_name(name))
        .issuer_name(authority.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.SubjectAlternativeName(alternative_names), critical=False)
        .sign(authority_key, hashes.SHA256())
    )
    _write(folder, file or name, key, certificate)
