"""TLS with mutual verification between entries and operators, rotated by changing files.

Both ends verify the other one's certificate. Its IP numbers are checked against the address of the
connection, and its availability zone, which it names as the URI ``laburnumswitch:zone:NAME``,
against the one that the platform lists for that address.
"""

from collections.abc import Callable
from collections.abc import Iterator
from ipaddress import ip_address
from ssl import CERT_NONE
from ssl import CERT_REQUIRED
from ssl import PROTOCOL_TLS_CLIENT
from ssl import PROTOCOL_TLS_SERVER
from ssl import SSLCertVerificationError
from ssl import SSLError
from ssl import TLSVersion
from time import monotonic
from typing import NamedTuple

from absl import logging
from gevent import socket
from gevent import Timeout
from gevent.ssl import SSLContext
from gevent.ssl import SSLSocket

from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.exceptions import InvalidValue
from laburnumswitch.yamlfile import file_stamp
from laburnumswitch.yamlfile import FileStamp
from laburnumswitch.yamlfile import read_file

CHECK_INTERVAL_S = 1.0
HANDSHAKE_LIMIT_S = 5.0
LINGER_LIMIT_S = 1.0
DISCARD_BLOCK_BYTES = 65_536
ZONE_PREFIX = "laburnumswitch:zone:"
STATUS_NOT_TRUSTED = 403
CERTIFICATE_ALERTS = (
    "ALERT_ACCESS_DENIED",
    "ALERT_BAD_CERTIFICATE",
    "ALERT_CERTIFICATE_EXPIRED",
    "ALERT_CERTIFICATE_REQUIRED",
    "ALERT_CERTIFICATE_REVOKED",
    "ALERT_CERTIFICATE_UNKNOWN",
    "ALERT_UNKNOWN_CA",
    "ALERT_UNSUPPORTED_CERTIFICATE",
)

ZoneOf = Callable[[str], str | None]


class TlsFiles(NamedTuple):
    """PEM files. Without authorities a server asks its clients for no certificate."""

    certificate: str
    key: str
    authorities: str | None = None


class Contexts(NamedTuple):
    """What one state of the files makes."""

    server: SSLContext
    client: SSLContext


class CertificateRefusedError(SSLError):
    """A verified certificate belongs to another address or zone; raised only inside a handshake."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HandshakeFailedError(OSError):
    """A client's handshake failed and its connection is closed; not a byte was served."""


def make_contexts(files: TlsFiles) -> Contexts | FileProblem:
    """Read the files, or return why they cannot be used."""
    for path in files:
        content = read_file(path) if path is not None else b""
        if isinstance(content, FileUnreadable):
            return content
    server = SSLContext(PROTOCOL_TLS_SERVER)
    client = SSLContext(PROTOCOL_TLS_CLIENT)
    server.verify_mode = CERT_NONE if files.authorities is None else CERT_REQUIRED
    # A resumed session would skip the checks of a new connection.
    server.num_tickets = 0
    for context in (server, client):
        context.minimum_version = TLSVersion.TLSv1_2
        try:
            # The library would ask the terminal for the password of a locked key.
            context.load_cert_chain(files.certificate, files.key, password="")
        except (OSError, ValueError) as error:
            reason = f"certificate and key {files.key} cannot be used: {error}"
            return InvalidValue(files.certificate, 0, 0, "", reason)
        if files.authorities is None:
            continue
        try:
            context.load_verify_locations(files.authorities)
        except (OSError, ValueError) as error:
            return InvalidValue(files.authorities, 0, 0, "", f"no authorities: {error}")
    return Contexts(server, client)


class Certificates:
    """The contexts of the files, made anew when one changed. Broken files leave the last good ones.

    Only new connections see new files: open ones keep the context that they began with.
    """

    def __init__(
        self, files: TlsFiles, contexts: Contexts, clock: Callable[[], float] = monotonic
    ) -> None:
        self.problem: FileProblem | None = None
        self._files = files
        self._contexts = contexts
        self._clock = clock
        self._stamps = _stamp_all(files)
        self._checked_s = clock()

    def contexts(self) -> Contexts:
        """Return what is in force now."""
        now_s = self._clock()
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return self._contexts
        self._checked_s = now_s
        stamps = _stamp_all(self._files)
        if stamps == self._stamps and self.problem is None:
            return self._contexts
        contexts = make_contexts(self._files)
        if isinstance(contexts, FileProblem):
            if self.problem is None:
                logging.warning("event=certificate_unusable reason=%s", contexts.describe())
            self.problem = contexts
            return self._contexts
        self.problem = None
        self._contexts = contexts
        self._stamps = stamps
        logging.info("event=certificate_loaded file=%s", self._files.certificate)
        return contexts


def open_certificates(
    files: TlsFiles, clock: Callable[[], float] = monotonic
) -> Certificates | FileProblem:
    """Return the certificates of the files, or why they cannot be used."""
    contexts = make_contexts(files)
    if isinstance(contexts, FileProblem):
        return contexts
    return Certificates(files, contexts, clock)


def no_zone(address: str) -> str | None:
    """Know the zone of no address: what operators' commands do, which have no list of VMs."""
    return None


class ClientTls:
    """The client's end. ``zone_of`` returns the zone listed for an address, where one is."""

    def __init__(self, certificates: Certificates, zone_of: ZoneOf = no_zone) -> None:
        self._certificates = certificates
        self._zone_of = zone_of

    def wrap_socket(self, sock: socket.socket, server_hostname: str) -> SSLSocket:
        """Shake hands over a connected socket; raises ``SSLError`` where the server is refused."""
        host = server_hostname.removeprefix("[").removesuffix("]")
        wrapped = self._certificates.contexts().client.wrap_socket(
            sock, server_hostname=host, do_handshake_on_connect=False
        )
        try:
            wrapped.do_handshake()
            _check_zone(wrapped, self._zone_of)
        except BaseException:
            wrapped.close()
            raise
        return wrapped


class ServerTls:
    """The server's end, which gevent's servers take in place of a context."""

    def __init__(self, certificates: Certificates, zone_of: ZoneOf = no_zone) -> None:
        self._certificates = certificates
        self._zone_of = zone_of

    def wrap_socket(self, sock: socket.socket, server_side: bool = True) -> SSLSocket:
        """Shake hands with a client; raises ``HandshakeFailedError`` where it is refused."""
        served_limit_s = sock.gettimeout()
        if served_limit_s is None:
            sock.settimeout(HANDSHAKE_LIMIT_S)
        context = self._certificates.contexts().server
        try:
            wrapped = context.wrap_socket(
                sock, server_side=server_side, do_handshake_on_connect=False
            )
        except OSError as error:
            raise HandshakeFailedError(str(error)) from error
        try:
            wrapped.do_handshake()
            _check_address(wrapped)
            _check_zone(wrapped, self._zone_of)
        except CertificateRefusedError as error:
            _dismiss(wrapped, _encode_refusal(error.reason))
            raise HandshakeFailedError(error.reason) from error
        except OSError as error:
            _dismiss(wrapped, b"")
            raise HandshakeFailedError(str(error)) from error
        except BaseException:
            wrapped.close()
            raise
        wrapped.settimeout(served_limit_s)
        return wrapped


def refusal_reason(error: SSLError, in_handshake: bool) -> str | None:
    """Return why one end refused the other, or ``None`` where the connection just broke.

    A server of TLS 1.3 refuses after the client's part of the handshake has ended, so its alert may
    meet the client at its first read.
    """
    if isinstance(error, SSLCertVerificationError):
        return error.verify_message
    reason = error.reason or ""
    if in_handshake and reason and "EOF" not in reason:
        return reason
    return reason if reason.endswith(CERTIFICATE_ALERTS) else None


def _stamp_all(files: TlsFiles) -> tuple[FileStamp | None, ...]:
    return tuple(file_stamp(path) for path in files if path is not None)


def _alternative_names(wrapped: SSLSocket, kind: str) -> Iterator[str]:
    certificate = wrapped.getpeercert() or {}
    for found, name in certificate.get("subjectAltName", ()):
        if found == kind:
            yield name


def _check_address(wrapped: SSLSocket) -> None:
    # The library checks the server's IP number; nothing checks the client's.
    numbers = [ip_address(name.strip()) for name in _alternative_names(wrapped, "IP Address")]
    host = wrapped.getpeername()[0]
    if numbers and ip_address(host) not in numbers:
        raise CertificateRefusedError(f"the certificate is not for {host}")


def _check_zone(wrapped: SSLSocket, zone_of: ZoneOf) -> None:
    host, port = wrapped.getpeername()[:2]
    address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    listed = zone_of(address)
    if listed is None:
        return
    for uri in _alternative_names(wrapped, "URI"):
        zone = uri.removeprefix(ZONE_PREFIX)
        if uri.startswith(ZONE_PREFIX) and zone != listed:
            raise CertificateRefusedError(f"the certificate is for zone {zone} and not {listed}")


def _encode_refusal(reason: str) -> bytes:
    body = reason.encode("utf-8", "replace")
    head = (
        f"HTTP/1.1 {STATUS_NOT_TRUSTED} Forbidden\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


def _dismiss(wrapped: SSLSocket, answer: bytes) -> None:
    """Close, but let the client read the answer or alert first.

    Closing with unread bytes would reset the connection and may take the answer with it.
    """
    try:
        with Timeout(LINGER_LIMIT_S, False):
            if answer:
                wrapped.sendall(answer)
            wrapped.shutdown(socket.SHUT_WR)
            while wrapped.recv(DISCARD_BLOCK_BYTES):
                pass
    except OSError:
        pass
    finally:
        wrapped.close()
