"""Clients of the platform and the entries for commands, and the options with their addresses."""

from collections.abc import Callable
from collections.abc import Mapping
from getpass import getuser
from time import time
from typing import Any
from typing import NamedTuple

import click
from gevent import sleep as gevent_sleep

from laburnumswitch.command.output import fail
from laburnumswitch.connection.client import Client
from laburnumswitch.connection.tls import ClientTls
from laburnumswitch.connection.tls import load_certificates
from laburnumswitch.connection.tls import TlsFiles
from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.process.daemon.settings import Platform
from laburnumswitch.process.daemon.settings import read_settings
from laburnumswitch.process.peers.vms import VmList
from laburnumswitch.process.peers.vms import VmListClient
from laburnumswitch.process.rows.key_file import AUTHORIZATION_SCHEME
from laburnumswitch.process.rows.key_file import read_keys
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.rows.object_store import ObjectStoreClient
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import TableClient

ENVIRONMENT_PREFIX = "LABURNUMSWITCH"


def _open_table(address: str) -> Table:
    return TableClient(Client(address))


def _open_objects(address: str) -> ObjectStore:
    return ObjectStoreClient(Client(address))


def _open_vms(address: str) -> VmList:
    return VmListClient(Client(address))


def _open_entry(address: str, headers: Mapping[str, str], tls: ClientTls | None) -> Client:
    return Client(address, lambda: headers, tls)


class Access(NamedTuple):
    """Factories of clients, the clock and the sleep function of commands. Tests replace them."""

    open_table: Callable[[str], Table] = _open_table
    open_objects: Callable[[str], ObjectStore] = _open_objects
    open_vms: Callable[[str], VmList] = _open_vms
    open_entry: Callable[[str, Mapping[str, str], ClientTls | None], Client] = _open_entry
    sleep: Callable[[float], object] = gevent_sleep
    clock: Callable[[], float] = time


class Target(NamedTuple):
    """Addresses and credentials given to a command; ``platform`` is ``None`` if not given."""

    platform: Platform | None
    entries: tuple[str, ...]
    headers: Mapping[str, str]
    tls: ClientTls | None = None

    def require_platform(self) -> Platform:
        """Return the platform's addresses, or exit with a usage error if they were not given."""
        if self.platform is None:
            raise click.UsageError("needs --platform ADDRESS or --settings FILE")
        return self.platform

    def require_address(self) -> None:
        """Exit with a usage error if neither the platform nor an entry was given."""
        if self.platform is None and not self.entries:
            raise click.UsageError("needs --entry ADDRESS, --platform ADDRESS or --settings FILE")


def target_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that ``resolve_target`` takes."""
    for option in reversed(_TARGET_OPTIONS):
        command = option(command)
    return command


def json_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the ``--json`` flag."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")(command)


def resolve_target(
    platform: str | None,
    settings_file: str | None,
    entry_addresses: tuple[str, ...],
    key_file: str | None,
    certificate: str | None,
    key: str | None,
    authorities: str | None,
) -> Target:
    """Return the target: options take precedence, the settings file supplies the rest."""
    tls_files = (certificate, key, authorities)
    platform_addresses = Platform(platform, platform, platform) if platform else None
    if settings_file is not None:
        settings = read_settings(settings_file)
        if isinstance(settings, ProblemsFound):
            fail(settings)
        platform_addresses = platform_addresses or settings.platform
        key_file = key_file or settings.key_file
        if not any(tls_files) and settings.tls is not None:
            tls_files = settings.tls
        entry_addresses = entry_addresses or (settings.admin_address,)
    for address in entry_addresses + ((platform,) if platform else ()):
        _check_address(address)
    return Target(platform_addresses, entry_addresses, _headers(key_file), _open_tls(*tls_files))


def operator_name() -> str:
    """Return the user name that is recorded in the rows a command writes."""
    try:
        return getuser()
    except (KeyError, OSError):
        return "unknown"


def _headers(key_file: str | None) -> dict[str, str]:
    if key_file is None:
        return {}
    keys = read_keys(key_file)
    if isinstance(keys, FileProblem):
        fail(keys)
    return {"Authorization": AUTHORIZATION_SCHEME + keys[0]}


def _open_tls(
    certificate: str | None, key: str | None, authorities: str | None
) -> ClientTls | None:
    files = (certificate, key, authorities)
    if not any(files):
        return None
    if not all(files):
        raise click.UsageError("--certificate, --key and --authorities go together")
    certificates = load_certificates(TlsFiles(certificate, key, authorities))
    if isinstance(certificates, FileProblem):
        fail(certificates)
    return ClientTls(certificates)


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise click.UsageError(f"{address!r} is not an address such as 10.0.0.7:8300")


_TARGET_OPTIONS = (
    click.option(
        "--platform",
        metavar="ADDRESS",
        envvar=f"{ENVIRONMENT_PREFIX}_PLATFORM",
        help="Address that serves the platform's table, objects and VM list.",
    ),
    click.option(
        "--settings",
        "settings_file",
        metavar="FILE",
        envvar=f"{ENVIRONMENT_PREFIX}_SETTINGS",
        help="Settings file of an entry, for what the other options leave out.",
    ),
    click.option(
        "--entry",
        "entry_addresses",
        metavar="ADDRESS",
        multiple=True,
        envvar=f"{ENVIRONMENT_PREFIX}_ENTRIES",
        help="Admin address of an entry; may be given several times, each is tried in turn.",
    ),
    click.option(
        "--key-file",
        metavar="FILE",
        envvar=f"{ENVIRONMENT_PREFIX}_KEY_FILE",
        help="Shared keys; the first one is sent to entries.",
    ),
    click.option(
        "--certificate",
        metavar="FILE",
        envvar=f"{ENVIRONMENT_PREFIX}_CERTIFICATE",
        help="Certificate shown to entries (PEM); needs --key and --authorities.",
    ),
    click.option(
        "--key",
        metavar="FILE",
        envvar=f"{ENVIRONMENT_PREFIX}_KEY",
        help="Private key of the certificate (PEM).",
    ),
    click.option(
        "--authorities",
        metavar="FILE",
        envvar=f"{ENVIRONMENT_PREFIX}_AUTHORITIES",
        help="Authorities that an entry's certificate must come from (PEM).",
    ),
)
