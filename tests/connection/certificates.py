"""Certificate authorities and certificates for tests."""

from datetime import datetime
from datetime import timedelta
from datetime import UTC
from ipaddress import ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from laburnumswitch.connection.tls import TlsFiles
from laburnumswitch.connection.tls import ZONE_PREFIX

PEM = serialization.Encoding.PEM
DAY = timedelta(days=1)


class Authority:
    """Certificate authority that writes the certificates it issues to a folder."""

    def __init__(self, folder: Path, name: str = "authority") -> None:
        self.folder = folder
        self.path = folder / f"{name}.pem"
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        own = self._builder(self._name, self._key, datetime.now(UTC) + DAY)
        own = own.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        self.path.write_bytes(own.sign(self._key, hashes.SHA256()).public_bytes(PEM))

    def issue(self, name, zone=None, address="127.0.0.1", valid_for=DAY) -> TlsFiles:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        names = [x509.IPAddress(ip_address(address))]
        if zone is not None:
            names.append(x509.UniformResourceIdentifier(ZONE_PREFIX + zone))
        builder = self._builder(subject, key, datetime.now(UTC) + valid_for)
        builder = builder.add_extension(x509.SubjectAlternativeName(names), critical=False)
        certificate = self.folder / f"{name}.pem"
        certificate.write_bytes(builder.sign(self._key, hashes.SHA256()).public_bytes(PEM))
        key_file = self.folder / f"{name}.key"
        encryption = serialization.NoEncryption()
        private = key.private_bytes(PEM, serialization.PrivateFormat.PKCS8, encryption)
        key_file.write_bytes(private)
        return TlsFiles(str(certificate), str(key_file), str(self.path))

    def _builder(self, subject, key, until):
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(datetime.now(UTC) - 3 * DAY)
            .not_valid_after(until)
        )
