"""The HTTP server of the callers' port over TLS."""

from datetime import datetime
from datetime import timedelta
from datetime import UTC
from ipaddress import IPv4Address
from pathlib import Path
from shutil import rmtree
from ssl import PROTOCOL_TLS_CLIENT
from ssl import PROTOCOL_TLS_SERVER
from tempfile import mkdtemp

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from gevent import socket
from gevent.ssl import SSLContext
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.connection.caller_server import CallerResponse
from laburnumswitch.connection.caller_server import CallerServer
from laburnumswitch.connection.request_reader import CallerLimits

RAW = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def write_certificate(folder: Path) -> Path:
    """Write a key and its self-signed certificate into one file."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "entry")])
    now = datetime.now(UTC)
    address = x509.IPAddress(IPv4Address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    encoding = serialization.Encoding.PEM
    private = key.private_bytes(
        encoding, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    path = folder / "entry.pem"
    path.write_bytes(private + certificate.public_bytes(encoding))
    return path


class TestCallersPortOverTls(TestCase):
    def setUp(self):
        super().setUp()
        folder = Path(mkdtemp())
        self.addCleanup(rmtree, folder)
        self.certificate = write_certificate(folder)
        context = SSLContext(PROTOCOL_TLS_SERVER)
        context.load_cert_chain(self.certificate)
        limits = CallerLimits(head_s=0.1, idle_s=0.3)
        self.server = CallerServer(
            ("127.0.0.1", 0),
            lambda request: CallerResponse(200, (), b"x" * 300_000, 300_000),
            limits,
            context,
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.server.server_port), timeout=10)

    def test_requests_are_answered_and_idle_connections_closed(self):
        context = SSLContext(PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(self.certificate)
        with context.wrap_socket(self.connect(), server_hostname="127.0.0.1") as sock:
            for _ in range(2):
                sock.sendall(RAW)
                received = b""
                while received.count(b"x") < 300_000:
                    received += sock.recv(65_536)
                self.assertThat(received[:40], Contains(b"200 OK"))
            self.assertThat(sock.recv(1), Equals(b""))

    def test_stalled_handshake_times_out(self):
        with self.connect() as sock:
            sock.sendall(b"\x16\x03\x01")
            self.assertThat(sock.recv(100), Equals(b""))
