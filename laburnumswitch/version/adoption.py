"""Adoption: an entry takes higher versions of the configuration, from the store or from a peer."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from gevent import sleep as gevent_sleep

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import NO_CONFIGURATION
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.rows.table import Table
from laburnumswitch.version.document import decode_document
from laburnumswitch.version.document import object_name
from laburnumswitch.version.publish import CONFIGURATION_KEY
from laburnumswitch.version.publish import read_pointer

POLL_INTERVAL_S = 0.5

FetchFromPeer = Callable[[int, str], "bytes | Failure"]


class ConfigurationHint(NamedTuple):
    """A version that a peer holds, or that the platform's row names."""

    version: int
    digest: str


NO_HINT = ConfigurationHint(0, "")


def newest_hint(heartbeats: Iterable[Heartbeat]) -> ConfigurationHint:
    """Return the highest version that a live peer has told, ``NO_HINT`` where none has."""
    hints = [
        ConfigurationHint(heartbeat.configuration_version, heartbeat.configuration_digest)
        for heartbeat in heartbeats
    ]
    return max(hints, default=NO_HINT)


def adopt(current: Configuration, candidate: Configuration) -> Configuration:
    """Return whichever is to be in force: the candidate only where its version is higher."""
    return candidate if candidate.version > current.version else current


class Adopted:
    """The configuration in force in this process, and the document that peers may ask for."""

    def __init__(self, timeline: Timeline, on_adopt: Callable[[], None] = lambda: None) -> None:
        """Hold no configuration yet.

        :param on_adopt: called after each adoption.
        """
        self.configuration = NO_CONFIGURATION
        self.document = b""
        self._on_adopt = on_adopt
        self._timeline = timeline
        self._refused = (NO_HINT, "")

    @property
    def hint(self) -> ConfigurationHint:
        """Return what heartbeats tell the peers."""
        return ConfigurationHint(self.configuration.version, self.configuration.digest)

    def offer(self, document: bytes, hint: ConfigurationHint, source: str) -> bool:
        """Adopt ``document`` if it is what ``hint`` names and its version is higher.

        :param source: ``store`` or ``peer``, for the time line.
        :return: whether it is in force now.
        """
        candidate = decode_document(document, hint.version, hint.digest)
        if isinstance(candidate, Failure):
            self.refuse(hint, source, candidate)
            return False
        if adopt(self.configuration, candidate) is not candidate:
            return False
        self.configuration = candidate
        self.document = document
        self._timeline.record(
            "configuration_adopted", str(hint.version), digest=hint.digest, source=source
        )
        self._on_adopt()
        return True

    def refuse(self, hint: ConfigurationHint, source: str, failure: Failure) -> None:
        """Record that a version could not be taken, once for a row of equal failures."""
        if self._refused == (hint, failure.tag):
            return
        self._refused = (hint, failure.tag)
        self._timeline.record(
            "configuration_refused", str(hint.version), source=source, reason=failure.describe()
        )


def adopt_once(
    adopted: Adopted,
    table: Table,
    objects: ObjectStore,
    newest_hint: Callable[[], ConfigurationHint],
    fetch_from_peer: FetchFromPeer,
) -> None:
    """Take the highest version that the platform's row or a peer's hint names, if any is higher."""
    named = _read_hint(adopted, table)
    _take(adopted, named, objects, fetch_from_peer)
    _take(adopted, newest_hint(), objects, fetch_from_peer)


def run_adoption(
    adopted: Adopted,
    table: Table,
    objects: ObjectStore,
    newest_hint: Callable[[], ConfigurationHint],
    fetch_from_peer: FetchFromPeer,
    sleep: Callable[[float], object] = gevent_sleep,
) -> None:
    """Adopt until killed, looking every ``POLL_INTERVAL_S``.

    :param newest_hint: the highest version that a live peer has told, ``NO_HINT`` where none has.
    :param fetch_from_peer: asks a peer that has it for the document of a version and digest.
    """
    while True:
        adopt_once(adopted, table, objects, newest_hint, fetch_from_peer)
        sleep(POLL_INTERVAL_S)


def _read_hint(adopted: Adopted, table: Table) -> ConfigurationHint:
    rows = table.read((CONFIGURATION_KEY,))
    if isinstance(rows, Failure):
        return NO_HINT
    pointer = read_pointer(rows[CONFIGURATION_KEY])
    if pointer is None:
        return NO_HINT
    if isinstance(pointer, Failure):
        adopted.refuse(NO_HINT, "store", pointer)
        return NO_HINT
    return ConfigurationHint(pointer["version"], pointer["digest"])


def _take(
    adopted: Adopted,
    hint: ConfigurationHint,
    objects: ObjectStore,
    fetch_from_peer: FetchFromPeer,
) -> None:
    if hint.version <= adopted.configuration.version:
        return
    document = objects.get(object_name(*hint))
    if not isinstance(document, Failure) and adopted.offer(document, hint, "store"):
        return
    document = fetch_from_peer(*hint)
    if isinstance(document, Failure):
        adopted.refuse(hint, "peer", document)
        return
    adopted.offer(document, hint, "peer")
