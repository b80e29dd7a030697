"""TLS certificates of an entry's connections; warns of plain text on addresses beyond loopback."""

from ipaddress import ip_address
from typing import NamedTuple

from absl import logging

from laburnumswitch.connection.tls import Certificates
from laburnumswitch.connection.tls import ClientTls
from laburnumswitch.connection.tls import load_certificates
from laburnumswitch.connection.tls import ServerTls
from laburnumswitch.connection.tls import TlsFiles
from laburnumswitch.connection.tls import ZoneLookup
from laburnumswitch.exceptions import FileProblem
from laburnumswitch.process.daemon.settings import Settings


class LinkCertificates(NamedTuple):
    """Certificates for peers and operators, and for callers; ``None`` for plain text."""

    entries: Certificates | None = None
    callers: Certificates | None = None

    def admin_server_arguments(self, zone_of: ZoneLookup) -> dict[str, ServerTls]:
        """Return the keyword arguments that enable TLS on the admin server."""
        return {} if self.entries is None else {"ssl_context": ServerTls(self.entries, zone_of)}

    def peer_client_tls(self, zone_of: ZoneLookup) -> ClientTls | None:
        """Return the TLS configuration of clients of peers."""
        return None if self.entries is None else ClientTls(self.entries, zone_of)

    def caller_server_tls(self) -> ServerTls | None:
        """Return the TLS configuration of the callers' port."""
        return None if self.callers is None else ServerTls(self.callers)


def open_link_certificates(settings: Settings) -> LinkCertificates | FileProblem:
    """Open the configured certificate files, and warn of plain text beyond loopback."""
    entries = callers = None
    if settings.tls is not None:
        entries = load_certificates(TlsFiles(*settings.tls))
    if settings.caller_tls is not None:
        callers = load_certificates(TlsFiles(*settings.caller_tls))
    for certificates in (entries, callers):
        if isinstance(certificates, FileProblem):
            return certificates
    if entries is None:
        _warn_if_not_loopback("admin_address", settings.admin_address)
    if callers is None:
        _warn_if_not_loopback("caller_address", settings.caller_address)
    return LinkCertificates(entries, callers)


def _warn_if_not_loopback(field: str, address: str) -> None:
    host = address.rpartition(":")[0].removeprefix("[").removesuffix("]")
    if not ip_address(host).is_loopback:
        logging.warning("event=plain_link field=%s address=%s", field, address)
