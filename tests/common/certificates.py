"""Creates certificates for tests."""

import datetime
import ipaddress
import pathlib

import attrs
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid

DAY = datetime.timedelta(days=1)


@attrs.define
class Authority:
    """A certificate authority that writes PEM files to a folder."""

    folder: pathlib.Path
    name: str
    key: ec.EllipticCurvePrivateKey = attrs.field(
        factory=lambda: ec.generate_private_key(ec.SECP256R1())
    )

    def __attrs_post_init__(self) -> None:
        certificate = self._sign(self.name, self.key, is_ca=True)
        self._write(f"{self.name}-ca.pem", certificate)

    @property
    def certificate(self) -> str:
        """The path of the authority's own certificate."""
        return str(self.folder / f"{self.name}-ca.pem")

    def issue(self, name: str) -> dict[str, str]:
        """Issue a certificate for 127.0.0.1; return paths as in settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        self._write(f"{name}.pem", self._sign(name, key, is_ca=False))
        (self.folder / f"{name}.key").write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return {
            "certificate": str(self.folder / f"{name}.pem"),
            "key": str(self.folder / f"{name}.key"),
        }

    def _write(self, file: str, certificate: x509.Certificate) -> None:
        data = certificate.public_bytes(serialization.Encoding.PEM)
        (self.folder / file).write_bytes(data)

    def _sign(
        self, subject: str, key: ec.EllipticCurvePrivateKey, is_ca: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        address = ipaddress.ip_address("127.0.0.1")
        return (
            x509.CertificateBuilder()
            .subject_name(make_name(subject))
            .issuer_name(make_name(self.name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(is_ca, None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(address)]),
                critical=False,
            )
            .sign(self.key, hashes.SHA256())
        )


def make_name(text: str) -> x509.Name:
    """Create a name that consists of a common name."""
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])
