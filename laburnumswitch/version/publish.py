"""Publishes a configuration: stores an immutable document, then updates its row conditionally."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from gevent import sleep as gevent_sleep
from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.change import Change
from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import NO_CONFIGURATION
from laburnumswitch.exceptions import ConfigurationChanged
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import DocumentBroken
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.rows.conditional import write_row
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Table
from laburnumswitch.version.document import decode_document
from laburnumswitch.version.document import diff_configurations
from laburnumswitch.version.document import digest_of
from laburnumswitch.version.document import DOCUMENT_FORMAT
from laburnumswitch.version.document import encode_document
from laburnumswitch.version.document import object_name

CONFIGURATION_KEY = "configuration"
MAX_PREVIOUS_VERSIONS = 16


class VersionRef(TypedDict):
    """Reference to one version of the configuration."""

    version: int
    digest: str


class ConfigurationRow(TypedDict):
    """Value of the row ``configuration``; ``previous`` lists earlier versions, newest first."""

    format: int
    version: int
    digest: str
    object: str
    previous: NotRequired[list[VersionRef]]


class CurrentConfiguration(NamedTuple):
    """The published configuration and the table row that names its version."""

    row: Row
    configuration: Configuration


class Published(NamedTuple):
    """The configuration was written to the table, and every entry will adopt it."""

    configuration: Configuration
    changes: tuple[Change, ...]


class Unchanged(NamedTuple):
    """The declarations equal the current configuration."""

    configuration: Configuration


ReadFailure = Unavailable | RowMalformed | DocumentBroken
PublishFailure = ConfigurationChanged | OutcomeUnknown | ReadFailure


def parse_configuration_row(row: Row) -> ConfigurationRow | None | RowMalformed:
    """Parse the row that names the current version; return ``None`` if it does not exist."""
    if row.version == ABSENT_VERSION:
        return None
    try:
        return convert(row.value, ConfigurationRow)
    except ValidationError as error:
        return RowMalformed(row.key, str(error))


def read_current(table: Table, objects: ObjectStore) -> CurrentConfiguration | ReadFailure:
    """Read the published configuration, ``NO_CONFIGURATION`` if there is none yet."""
    rows = table.read((CONFIGURATION_KEY,))
    if isinstance(rows, Throttled):
        return Unavailable(rows.describe())
    if isinstance(rows, Unavailable):
        return rows
    row = rows[CONFIGURATION_KEY]
    configuration_row = parse_configuration_row(row)
    if configuration_row is None:
        return CurrentConfiguration(row, NO_CONFIGURATION)
    if isinstance(configuration_row, RowMalformed):
        return configuration_row
    configuration = _fetch_configuration(
        objects, configuration_row["version"], configuration_row["digest"]
    )
    if isinstance(configuration, Failure):
        return configuration
    return CurrentConfiguration(row, configuration)


def read_previous(
    objects: ObjectStore, current: CurrentConfiguration, version: int
) -> Configuration | Unavailable | DocumentBroken:
    """Read an earlier version; the row lists the last ``MAX_PREVIOUS_VERSIONS``."""
    if version == NO_CONFIGURATION.version:
        return NO_CONFIGURATION
    for ref in _previous_versions(current):
        if ref["version"] == version:
            return _fetch_configuration(objects, version, ref["digest"])
    return DocumentBroken(
        version, "the version is not among those that the configuration row lists"
    )


def configuration_changed(expected: Configuration, current: Configuration) -> ConfigurationChanged:
    """Return the failure that describes a concurrent publication to the operator."""
    return ConfigurationChanged(
        expected.version, current.version, diff_configurations(expected, current)
    )


def publish(
    table: Table,
    objects: ObjectStore,
    declared: Configuration,
    expected: CurrentConfiguration,
    sleep: Callable[[float], object] = gevent_sleep,
) -> Published | Unchanged | PublishFailure:
    """Publish ``declared`` if ``expected`` is still current. Safe to retry.

    :param expected: the configuration against which the operator's changes were computed.
    """
    current = read_current(table, objects)
    if isinstance(current, Failure):
        return current
    if not diff_configurations(current.configuration, declared):
        return Unchanged(current.configuration)
    if current.row.version != expected.row.version:
        return configuration_changed(expected.configuration, current.configuration)
    return _commit(table, objects, declared, expected, sleep)


def _commit(
    table: Table,
    objects: ObjectStore,
    declared: Configuration,
    expected: CurrentConfiguration,
    sleep: Callable[[float], object],
) -> Published | Unchanged | PublishFailure:
    version = expected.configuration.version + 1
    document = encode_document(declared._replace(version=version))
    digest = digest_of(document)
    name = object_name(version, digest)
    stored = objects.put(name, document)
    if isinstance(stored, Failure):
        return stored
    pointer = ConfigurationRow(
        format=DOCUMENT_FORMAT,
        version=version,
        digest=digest,
        object=name,
        previous=_previous_versions(expected),
    )
    value: dict[str, Any] = {**(expected.row.value or {}), **pointer}
    outcome = write_row(table, CONFIGURATION_KEY, expected.row.version, value, sleep)
    if isinstance(outcome, Conflict):
        return _resolve_conflict(table, objects, declared, expected)
    if isinstance(outcome, Throttled):
        return Unavailable(outcome.describe())
    if isinstance(outcome, Failure):
        return outcome
    configuration = declared._replace(version=version, digest=digest)
    return Published(configuration, diff_configurations(expected.configuration, declared))


def _resolve_conflict(
    table: Table, objects: ObjectStore, declared: Configuration, expected: CurrentConfiguration
) -> Unchanged | PublishFailure:
    current = read_current(table, objects)
    if isinstance(current, Failure):
        return current
    if not diff_configurations(current.configuration, declared):
        return Unchanged(current.configuration)
    return configuration_changed(expected.configuration, current.configuration)


def _previous_versions(current: CurrentConfiguration) -> list[VersionRef]:
    """Return references to the current version and to earlier ones, newest first."""
    configuration_row = parse_configuration_row(current.row)
    if configuration_row is None or isinstance(configuration_row, RowMalformed):
        return []
    newest = VersionRef(version=configuration_row["version"], digest=configuration_row["digest"])
    return [newest, *configuration_row.get("previous", ())][:MAX_PREVIOUS_VERSIONS]


def _fetch_configuration(
    objects: ObjectStore, version: int, digest: str
) -> Configuration | Unavailable | DocumentBroken:
    content = objects.get(object_name(version, digest))
    if isinstance(content, NotFound):
        return DocumentBroken(version, f"{content.name} is missing from the object store")
    if isinstance(content, Unavailable):
        return content
    return decode_document(content, version, digest)
