"""Publishing: one immutable document, then one conditional write of the configuration's row."""

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
from laburnumswitch.version.document import difference
from laburnumswitch.version.document import digest_of
from laburnumswitch.version.document import encode_document
from laburnumswitch.version.document import FORMAT
from laburnumswitch.version.document import object_name

CONFIGURATION_KEY = "configuration"
PREVIOUS_VERSIONS = 16


class VersionName(TypedDict):
    """What names one version of the configuration."""

    version: int
    digest: str


class ConfigurationRow(TypedDict):
    """Value of the row ``configuration``; ``previous`` has the last versions, newest first."""

    format: int
    version: int
    digest: str
    object: str
    previous: NotRequired[list[VersionName]]


class InForce(NamedTuple):
    """The configuration that the platform holds and the version of its row."""

    row: Row
    configuration: Configuration


class Published(NamedTuple):
    """The configuration is in the platform's table and every entry will adopt it."""

    configuration: Configuration
    changes: tuple[Change, ...]


class Unchanged(NamedTuple):
    """What was declared is in force already."""

    configuration: Configuration


ReadingFailure = Unavailable | RowMalformed | DocumentBroken
PublishFailure = ConfigurationChanged | OutcomeUnknown | ReadingFailure


def read_pointer(row: Row) -> ConfigurationRow | None | RowMalformed:
    """Return what the row ``configuration`` holds, ``None`` where it does not exist."""
    if row.version == ABSENT_VERSION:
        return None
    try:
        return convert(row.value, ConfigurationRow)
    except ValidationError as error:
        return RowMalformed(row.key, str(error))


def read_in_force(table: Table, objects: ObjectStore) -> InForce | ReadingFailure:
    """Return what the platform holds; ``NO_CONFIGURATION`` where nothing was published yet."""
    rows = table.read((CONFIGURATION_KEY,))
    if isinstance(rows, Throttled):
        return Unavailable(rows.describe())
    if isinstance(rows, Unavailable):
        return rows
    row = rows[CONFIGURATION_KEY]
    pointer = read_pointer(row)
    if pointer is None:
        return InForce(row, NO_CONFIGURATION)
    if isinstance(pointer, RowMalformed):
        return pointer
    configuration = _fetch(objects, pointer["version"], pointer["digest"])
    if isinstance(configuration, Failure):
        return configuration
    return InForce(row, configuration)


def read_previous(
    objects: ObjectStore, in_force: InForce, version: int
) -> Configuration | Unavailable | DocumentBroken:
    """Return an earlier version, of which the last ``PREVIOUS_VERSIONS`` are remembered."""
    if version == NO_CONFIGURATION.version:
        return NO_CONFIGURATION
    for name in _previous(in_force):
        if name["version"] == version:
            return _fetch(objects, version, name["digest"])
    return DocumentBroken(version, "this version is not remembered")


def describe_change(expected: Configuration, now: Configuration) -> ConfigurationChanged:
    """Return the failure that tells an operator what somebody else published meanwhile."""
    return ConfigurationChanged(expected.version, now.version, difference(expected, now))


def publish(
    table: Table,
    objects: ObjectStore,
    declared: Configuration,
    expected: InForce,
    sleep: Callable[[float], object] = gevent_sleep,
) -> Published | Unchanged | PublishFailure:
    """Put ``declared`` in force, provided that ``expected`` still is. Repeating it is safe.

    :param expected: what the operator's difference was computed against.
    """
    now = read_in_force(table, objects)
    if isinstance(now, Failure):
        return now
    if not difference(now.configuration, declared):
        return Unchanged(now.configuration)
    if now.row.version != expected.row.version:
        return describe_change(expected.configuration, now.configuration)
    return _commit(table, objects, declared, expected, sleep)


def _commit(
    table: Table,
    objects: ObjectStore,
    declared: Configuration,
    expected: InForce,
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
        format=FORMAT, version=version, digest=digest, object=name, previous=_previous(expected)
    )
    value: dict[str, Any] = {**(expected.row.value or {}), **pointer}
    outcome = write_row(table, CONFIGURATION_KEY, expected.row.version, value, sleep)
    if isinstance(outcome, Conflict):
        return _after_conflict(table, objects, declared, expected)
    if isinstance(outcome, Throttled):
        return Unavailable(outcome.describe())
    if isinstance(outcome, Failure):
        return outcome
    configuration = declared._replace(version=version, digest=digest)
    return Published(configuration, difference(expected.configuration, declared))


def _after_conflict(
    table: Table, objects: ObjectStore, declared: Configuration, expected: InForce
) -> Unchanged | PublishFailure:
    now = read_in_force(table, objects)
    if isinstance(now, Failure):
        return now
    if not difference(now.configuration, declared):
        return Unchanged(now.configuration)
    return describe_change(expected.configuration, now.configuration)


def _previous(in_force: InForce) -> list[VersionName]:
    """Return the names of the version in force and of those before it, newest first."""
    pointer = read_pointer(in_force.row)
    if pointer is None or isinstance(pointer, RowMalformed):
        return []
    newest = VersionName(version=pointer["version"], digest=pointer["digest"])
    return [newest, *pointer.get("previous", ())][:PREVIOUS_VERSIONS]


def _fetch(
    objects: ObjectStore, version: int, digest: str
) -> Configuration | Unavailable | DocumentBroken:
    content = objects.get(object_name(version, digest))
    if isinstance(content, NotFound):
        return DocumentBroken(version, f"{content.name} is missing")
    if isinstance(content, Unavailable):
        return content
    return decode_document(content, version, digest)
