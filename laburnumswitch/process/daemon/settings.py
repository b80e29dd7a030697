"""Settings of the entry daemon (``entry.py``): a YAML file that is read once, at start.

The dispatch daemon reads the platform's settings instead (``platform/settings.py``).
"""

from ipaddress import ip_address
from typing import Annotated
from typing import Literal
from typing import NamedTuple

from msgspec import Meta

from laburnumswitch.connection.address import parse_address
from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.exceptions import InvalidValue
from laburnumswitch.exceptions import MissingField
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.units import Seconds
from laburnumswitch.yamlfields import decode_fields
from laburnumswitch.yamlfields import invalid_value
from laburnumswitch.yamlfile import parse_yaml
from laburnumswitch.yamlfile import Path
from laburnumswitch.yamlfile import read_file
from laburnumswitch.yamlfile import YamlDocument

MAX_SHARDS = 4_096

Identifier = Annotated[
    str,
    Meta(
        pattern=r"\A[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?\Z",
        description="at most 63 letters, digits and inner dots, hyphens and underscores",
    ),
]
Address = Annotated[
    str,
    Meta(
        pattern=r"\A[0-9A-Fa-f.:\[\]]{2,45}:[0-9]{1,5}\Z",
        description="an IP address and a port, such as 10.0.0.7:8300",
    ),
]
FilePath = Annotated[str, Meta(min_length=1, max_length=4_000)]


class Platform(NamedTuple):
    """Addresses of the platform's services."""

    table: Annotated[Address, Meta(description="address of the transactional table")]
    objects: Annotated[Address, Meta(description="address of the object store")]
    vms: Annotated[Address, Meta(description="address of the list of VMs")]


class Limits(NamedTuple):
    """Limits and delays of the request path and of the daemon.

    ``ready_delay`` is how long a stopping entry reports that it is not ready before it closes the
    callers' port. The operators' pages refer to this class by name.
    """

    head_bytes: Annotated[
        int, Meta(ge=1_024, le=1_048_576, description="largest request head, in bytes")
    ] = 32_768
    body_bytes: Annotated[
        int, Meta(ge=0, le=1_073_741_824, description="largest request body, in bytes")
    ] = 10_485_760
    connections: Annotated[
        int, Meta(ge=1, le=100_000, description="callers' concurrent connections")
    ] = 4_096
    queue: Annotated[
        int, Meta(ge=0, le=100_000, description="requests that may wait for an upstream")
    ] = 512
    head_timeout: Annotated[
        Seconds, Meta(description="time in which a caller must send a request head")
    ] = Seconds(10.0)
    idle_timeout: Annotated[
        Seconds, Meta(description="idle time after which a caller's connection is closed")
    ] = Seconds(60.0)
    connect_timeout: Annotated[
        Seconds, Meta(description="time limit of connecting to an upstream")
    ] = Seconds(1.0)
    platform_timeout: Annotated[
        Seconds, Meta(description="time limit of one call to the platform")
    ] = Seconds(2.0)
    ready_delay: Annotated[
        Seconds,
        Meta(description="not-ready time before a graceful stop closes the port"),
    ] = Seconds(5.0)
    drain_limit: Annotated[
        Seconds, Meta(description="longest wait of a graceful stop for requests in flight")
    ] = Seconds(60.0)


class Tls(NamedTuple):
    """Files of the certificate, its private key and the trusted authorities."""

    certificate: Annotated[FilePath, Meta(description="PEM file of the certificate chain")]
    key: Annotated[FilePath, Meta(description="PEM file of the private key")]
    authorities: Annotated[FilePath, Meta(description="PEM file of the trusted authorities")]


class CallerTls(NamedTuple):
    """Files of the certificate presented to callers, who need none themselves."""

    certificate: Annotated[FilePath, Meta(description="PEM file of the certificate chain")]
    key: Annotated[FilePath, Meta(description="PEM file of the private key")]


class Settings(NamedTuple):
    """Settings of one entry.

    ``key_file`` holds the bearer tokens of peers and operators. ``shard_count`` is stored by the
    first entry that starts, and ignored afterwards.
    """

    vm_id: Annotated[Identifier, Meta(description="name of this VM in the platform's list")]
    availability_zone: Annotated[Identifier, Meta(description="availability zone of this VM")]
    caller_address: Annotated[
        Address, Meta(description="address where callers' requests are accepted")
    ]
    admin_address: Annotated[
        Address, Meta(description="address where peers, operators and metrics are served")
    ]
    platform: Annotated[Platform, Meta(description="addresses of the platform's services")]
    key_file: Annotated[
        FilePath, Meta(description="shared keys, one per line; the first is sent, all are accepted")
    ]
    shard_count: Annotated[
        int,
        Meta(ge=1, le=MAX_SHARDS, description="number of shards if this entry creates the layout"),
    ] = 8
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="lowest level that is logged"),
    ] = "info"
    limits: Annotated[Limits, Meta(description="limits and delays")] = Limits()
    tls: Annotated[
        Tls | None,
        Meta(description="certificates for entries and operators; unencrypted without it"),
    ] = None
    caller_tls: Annotated[
        CallerTls | None, Meta(description="certificate for callers; unencrypted without it")
    ] = None


def read_settings(path: str) -> Settings | ProblemsFound:
    """Read and validate a settings file."""
    content = read_file(path)
    if isinstance(content, FileUnreadable):
        return ProblemsFound((content,))
    return parse_settings(path, content)


def parse_settings(path: str, content: bytes) -> Settings | ProblemsFound:
    """Validate the content of a settings file.

    :param path: file name for the reported problems; the file is not opened.
    """
    parsed = parse_yaml(path, content)
    if not parsed.documents:
        missing = MissingField(path, 1, 1, "vm_id")
        return ProblemsFound(parsed.problems or (missing,))
    document = parsed.documents[0]
    problems: list[FileProblem] = list(parsed.problems)
    if len(parsed.documents) > 1:
        problems.append(invalid_value(parsed.documents[1], (), "expected a single YAML document"))
    settings = decode_fields(document, Settings)
    if isinstance(settings, ProblemsFound):
        problems.extend(settings.problems)
    else:
        problems.extend(_address_problems(document, settings))
    return ProblemsFound(tuple(problems)) if problems else settings


def _address_problems(document: YamlDocument, settings: Settings) -> list[InvalidValue]:
    addresses: dict[Path, str] = {
        ("caller_address",): settings.caller_address,
        ("admin_address",): settings.admin_address,
        **{("platform", name): address for name, address in settings.platform._asdict().items()},
    }
    problems = [
        invalid_value(document, path, "expected an IP address and a port from 1 to 65535")
        for path, address in addresses.items()
        if not _is_valid_address(address)
    ]
    if settings.caller_address == settings.admin_address:
        reason = "the admin address must differ from the callers' address"
        problems.append(invalid_value(document, ("admin_address",), reason))
    return problems


def _is_valid_address(address: str) -> bool:
    parsed = parse_address(address)
    if parsed is None:
        return False
    try:
        ip_address(parsed.host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True
