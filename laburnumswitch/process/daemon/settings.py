"""Settings of one entry: a YAML file that is read once, at start."""

from ipaddress import ip_address
from typing import Annotated
from typing import Literal
from typing import NamedTuple

from msgspec import Meta

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
MAX_PORT = 65_535

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
        description="an IP number and a port such as 10.0.0.7:8300",
    ),
]
FilePath = Annotated[str, Meta(min_length=1, max_length=4_000)]


class Platform(NamedTuple):
    """Where the platform's services are."""

    table: Annotated[Address, Meta(description="transactional table")]
    objects: Annotated[Address, Meta(description="object store")]
    vms: Annotated[Address, Meta(description="list of VMs")]


class Limits(NamedTuple):
    """Limits and delays of the request path and of the daemon."""

    head_bytes: Annotated[
        int, Meta(ge=1_024, le=1_048_576, description="largest head of a request")
    ] = 32_768
    body_bytes: Annotated[
        int, Meta(ge=0, le=1_073_741_824, description="largest body of a request")
    ] = 10_485_760
    connections: Annotated[
        int, Meta(ge=1, le=100_000, description="callers' connections at a time")
    ] = 4_096
    queue: Annotated[
        int, Meta(ge=0, le=100_000, description="requests that wait for an upstream")
    ] = 512
    head_timeout: Annotated[
        Seconds, Meta(description="time in which a caller must send a head")
    ] = Seconds(10.0)
    idle_timeout: Annotated[
        Seconds, Meta(description="idle time after which a caller's connection is closed")
    ] = Seconds(60.0)
    connect_timeout: Annotated[Seconds, Meta(description="limit of connecting to an upstream")] = (
        Seconds(1.0)
    )
    platform_timeout: Annotated[Seconds, Meta(description="limit of one call of the platform")] = (
        Seconds(2.0)
    )
    ready_delay: Annotated[
        Seconds, Meta(description="not ready for so long before a graceful stop closes the port")
    ] = Seconds(5.0)
    drain_limit: Annotated[
        Seconds, Meta(description="longest wait of a graceful stop for requests in flight")
    ] = Seconds(60.0)


class Tls(NamedTuple):
    """Files of the certificate, its key and the authorities that are trusted."""

    certificate: Annotated[FilePath, Meta(description="PEM file of the certificate chain")]
    key: Annotated[FilePath, Meta(description="PEM file of the private key")]
    authorities: Annotated[FilePath, Meta(description="PEM file of the trusted authorities")]


class CallerTls(NamedTuple):
    """Files of the certificate that callers are shown; they need none themselves."""

    certificate: Annotated[FilePath, Meta(description="PEM file of the certificate chain")]
    key: Annotated[FilePath, Meta(description="PEM file of the private key")]


class Settings(NamedTuple):
    """Settings of one entry."""

    vm_id: Annotated[Identifier, Meta(description="name of this VM in the platform's list")]
    availability_zone: Annotated[Identifier, Meta(description="availability zone of this VM")]
    caller_address: Annotated[Address, Meta(description="where callers' requests are taken")]
    admin_address: Annotated[
        Address, Meta(description="where peers, operators and metrics are served")
    ]
    platform: Annotated[Platform, Meta(description="where the platform's services are")]
    key_file: Annotated[
        FilePath, Meta(description="shared keys, one a line; the first is sent, all are accepted")
    ]
    shard_count: Annotated[
        int, Meta(ge=1, le=MAX_SHARDS, description="shards, where this entry creates the layout")
    ] = 8
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"], Meta(description="least level that is logged")
    ] = "info"
    limits: Annotated[Limits, Meta(description="limits and delays")] = Limits()
    tls: Annotated[
        Tls | None, Meta(description="certificates towards entries and operators; plain without it")
    ] = None
    caller_tls: Annotated[
        CallerTls | None, Meta(description="certificate towards callers; plain without it")
    ] = None


def read_settings(path: str) -> Settings | ProblemsFound:
    """Read and check a settings file."""
    content = read_file(path)
    if isinstance(content, FileUnreadable):
        return ProblemsFound((content,))
    return parse_settings(path, content)


def parse_settings(path: str, content: bytes) -> Settings | ProblemsFound:
    """Check the bytes of a settings file.

    :param path: name of the file for the problems; nothing is opened here.
    """
    parsed = parse_yaml(path, content)
    if not parsed.documents:
        missing = MissingField(path, 1, 1, "vm_id")
        return ProblemsFound(parsed.problems or (missing,))
    document = parsed.documents[0]
    problems: list[FileProblem] = list(parsed.problems)
    if len(parsed.documents) > 1:
        problems.append(invalid_value(parsed.documents[1], (), "settings are one document"))
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
        invalid_value(document, path, "expected an IP number and a port from 1 to 65535")
        for path, address in addresses.items()
        if not _is_address(address)
    ]
    if settings.caller_address == settings.admin_address:
        reason = "the admin port must not be the callers' port"
        problems.append(invalid_value(document, ("admin_address",), reason))
    return problems


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    if not 1 <= int(port) <= MAX_PORT:
        return False
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True
