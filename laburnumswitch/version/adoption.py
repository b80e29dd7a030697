"""Adopts newer versions of the configuration from the store or from a peer."""

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
from laburnumswitch.version.publish import parse_pointer

POLL_INTERVAL_S = 0.5

FetchFromPeer = Callable[[int, str], "bytes | Failure"]


class ConfigurationHint(NamedTuple):
    """Version and digest of a configuration that a peer or the table advertises."""

    version: int
    digest: str


NO_HINT = ConfigurationHint(0, "")


def newest_peer_hint(heartbeats: Iterable[Heartbeat]) -> ConfigurationHint:
    """Return the highest version advertised by a live peer, or ``NO_HINT`` if there is none."""
    hints = [
        ConfigurationHint(heartbeat.configuration_version, heartbeat.configuration_digest)
        for heartbeat in heartbeats
    ]
    return max(hints, default=NO_HINT)


def adopt(current: Configuration, candidate: Configuration) -> Configuration:
    """Return the candidate if its version is higher, otherwise the current configuration."""
    return candidate if candidate.version > current.version else current


class AdoptedConfiguration:
    """The configuration that this process uses, and its document for peers that request it."""

    def __init__(self, timeline: Timeline, on_adopt: Callable[[], None] = lambda: None) -> None:
        """Start without a configuration.

        :param on_adopt: called after each adoption.
        """
        self.configuration = NO_CONFIGURATION
        self.document = b""
        self._on_adopt = on_adopt
        self._timeline = timeline
        self._last_refusal = (NO_HINT, "")

    @property
    def hint(self) -> ConfigurationHint:
        """Return the version and digest that heartbeats advertise to peers."""
        return ConfigurationHint(self.configuration.version, self.configuration.digest)

    def adopt_document(self, document: bytes, hint: ConfigurationHint, source: str) -> bool:
        """Adopt ``document`` if it matches ``hint`` and its version is higher.

        :param source: ``store`` or ``peer``, recorded in the timeline.
        :return: whether the document was adopted.
        """
        candidate = decode_document(document, hint.version, hint.digest)
        if isinstance(candidate, Failure):
            self.record_refusal(hint, source, candidate)
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

    def record_refusal(self, hint: ConfigurationHint, source: str, failure: Failure) -> None:
        """Record that a version was not adopted, once per sequence of identical failures."""
        if self._last_refusal == (hint, failure.tag):
            return
        self._last_refusal = (hint, failure.tag)
        self._timeline.record(
            "configuration_refused", str(hint.version), source=source, reason=failure.describe()
        )


def adopt_once(
    adopted: AdoptedConfiguration,
    table: Table,
    objects: ObjectStore,
    peer_hint: Callable[[], ConfigurationHint],
    fetch_from_peer: FetchFromPeer,
) -> None:
    """Adopt the version in the table, then the one advertised by a peer, if it is higher."""
    table_hint = _read_table_hint(adopted, table)
    _adopt_hinted(adopted, table_hint, objects, fetch_from_peer)
    _adopt_hinted(adopted, peer_hint(), objects, fetch_from_peer)


def run_adoption(
    adopted: AdoptedConfiguration,
    table: Table,
    objects: ObjectStore,
    peer_hint: Callable[[], ConfigurationHint],
    fetch_from_peer: FetchFromPeer,
    sleep: Callable[[float], object] = gevent_sleep,
) -> None:
    """Check for newer versions every ``POLL_INTERVAL_S`` until the greenlet is killed.

    :param peer_hint: returns the highest version advertised by a live peer, or ``NO_HINT``.
    :param fetch_from_peer: fetches the document of a version and digest from a peer that has it.
    """
    while True:
        adopt_once(adopted, table, objects, peer_hint, fetch_from_peer)
        sleep(POLL_INTERVAL_S)


def _read_table_hint(adopted: AdoptedConfiguration, table: Table) -> ConfigurationHint:
    rows = table.read((CONFIGURATION_KEY,))
    if isinstance(rows, Failure):
        return NO_HINT
    pointer = parse_pointer(rows[CONFIGURATION_KEY])
    if pointer is None:
        return NO_HINT
    if isinstance(pointer, Failure):
        adopted.record_refusal(NO_HINT, "store", pointer)
        return NO_HINT
    return ConfigurationHint(pointer["version"], pointer["digest"])


def _adopt_hinted(
    adopted: AdoptedConfiguration,
    hint: ConfigurationHint,
    objects: ObjectStore,
    fetch_from_peer: FetchFromPeer,
) -> None:
    if hint.version <= adopted.configuration.version:
        return
    document = objects.get(object_name(*hint))
    if not isinstance(document, Failure) and adopted.adopt_document(document, hint, "store"):
        return
    document = fetch_from_peer(*hint)
    if isinstance(document, Failure):
        adopted.record_refusal(hint, "peer", document)
        return
    adopted.adopt_document(document, hint, "peer")
