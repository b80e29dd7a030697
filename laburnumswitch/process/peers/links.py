"""The certificates of an entry's links, and the warning where a link off loopback is plain."""

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


class Links(NamedTuple):
    """Certificates towards entries and operators, and towards callers; ``None`` where plain."""

    entries: Certificates | None = None
    callers: Certificates | None = None

    def admin_arguments(self, zone_of: ZoneLookup) -> dict[str, ServerTls]:
        """Return what the server of the admin port takes for TLS."""
        return {} if self.entries is None else {"ssl_context": ServerTls(self.entries, zone_of)}

    def peer_tls(self, zone_of: ZoneLookup) -> ClientTls | None:
        """Return what the clients of the peers take."""
        return None if self.entries is None else ClientTls(self.entries, zone_of)

    def caller_tls(self) -> ServerTls | None:
        """Return what the callers' port takes."""
        return None if self.callers is None else ServerTls(self.callers)


def open_links(settings: Settings) -> Links | FileProblem:
    """Open the files that the settings name, and warn of plain links off loopback."""
    entries = callers = None
    if settings.tls is not None:
        entries = load_certificates(TlsFiles(*settings.tls))
    if settings.caller_tls is not None:
        callers = load_certificates(TlsFiles(*settings.caller_tls))
    for opened in (entries, callers):
        if isinstance(opened, FileProblem):
            return opened
    if entries is None:
        _warn_if_not_loopback("admin_address", settings.admin_address)
    if callers is None:
        _warn_if_not_loopback("caller_address", settings.caller_address)
    return Links(entries, callers)


def _warn_if_not_loopback(field: str, address: str) -> None:
    host = address.rpartition(":")[0].removeprefix("[").removesuffix("]")
    if not ip_address(host).is_loopback:
        logging.warning("event=plain_link field=%s address=%s", field, address)
