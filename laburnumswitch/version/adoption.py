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
from laburnumswitch.version.publish import parse_configuration_row

POLL_INTERVAL_S = 0.5

FetchFromPeer = Callable[[int, str], "bytes | Failure"]


class ConfigurationId(NamedTuple):
    """Version and digest that identify a configuration."""

    version: int
    digest: str


NO_CONFIGURATION_ID = ConfigurationId(0, "")


def newest_peer_configuration_id(heartbeats: Iterable[Heartbeat]) -> ConfigurationId:
    """Return the highest version advertised by a live peer, or ``NO_CONFIGURATION_ID``."""
    advertised = [
        ConfigurationId(heartbeat.configuration_version, heartbeat.configuration_digest)
        for heartbeat in heartbeats
    ]
    return max(advertised, default=NO_CONFIGURATION_ID)


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
        self._last_refusal = (NO_CONFIGURATION_ID, "")

    @property
    def configuration_id(self) -> ConfigurationId:
        """Return the version and digest that heartbeats advertise to peers."""
        return ConfigurationId(self.configuration.version, self.configuration.digest)

    def adopt_document(
        self, document: bytes, configuration_id: ConfigurationId, source: str
    ) -> bool:
        """Adopt ``document`` if it matches ``configuration_id`` and its version is higher.

        :param source: ``store`` or ``peer``, recorded in the timeline.
        :return: whether the document was adopted.
        """
        candidate = decode_document(document, configuration_id.version, configuration_id.digest)
        if isinstance(candidate, Failure):
            self.record_refusal(configuration_id, source, candidate)
            return False
        if adopt(self.configuration, candidate) is not candidate:
            return False
        self.configuration = candidate
        self.document = document
        self._timeline.record(
            "configuration_adopted",
            str(configuration_id.version),
            digest=configuration_id.digest,
            source=source,
        )
        self._on_adopt()
        return True

    def record_refusal(
        self, configuration_id: ConfigurationId, source: str, failure: Failure
    ) -> None:
        """Record that a version was not adopted, once for repeated failures of the same kind."""
        if self._last_refusal == (configuration_id, failure.tag):
            return
        self._last_refusal = (configuration_id, failure.tag)
        self._timeline.record(
            "configuration_refused",
            str(configuration_id.version),
            source=source,
            reason=failure.describe(),
        )


def adopt_once(
    adopted: AdoptedConfiguration,
    table: Table,
    objects: ObjectStore,
    peer_configuration_id: Callable[[], ConfigurationId],
    fetch_from_peer: FetchFromPeer,
) -> None:
    """Adopt the version in the table, then the one advertised by a peer, if it is higher."""
    table_configuration_id = _read_table_configuration_id(adopted, table)
    _adopt_advertised(adopted, table_configuration_id, objects, fetch_from_peer)
    _adopt_advertised(adopted, peer_configuration_id(), objects, fetch_from_peer)


def run_adoption(
    adopted: AdoptedConfiguration,
    table: Table,
    objects: ObjectStore,
    peer_configuration_id: Callable[[], ConfigurationId],
    fetch_from_peer: FetchFromPeer,
    sleep: Callable[[float], object] = gevent_sleep,
) -> None:
    """Check for newer versions every ``POLL_INTERVAL_S`` until the greenlet is killed.

    :param peer_configuration_id: returns the highest version advertised by a live peer, or
        ``NO_CONFIGURATION_ID``.
    :param fetch_from_peer: fetches the document of a version and digest from a peer that has it.
    """
    while True:
        adopt_once(adopted, table, objects, peer_configuration_id, fetch_from_peer)
        sleep(POLL_INTERVAL_S)


def _read_table_configuration_id(adopted: AdoptedConfiguration, table: Table) -> ConfigurationId:
    rows = table.read((CONFIGURATION_KEY,))
    if isinstance(rows, Failure):
        return NO_CONFIGURATION_ID
    configuration_row = parse_configuration_row(rows[CONFIGURATION_KEY])
    if configuration_row is None:
        return NO_CONFIGURATION_ID
    if isinstance(configuration_row, Failure):
        adopted.record_refusal(NO_CONFIGURATION_ID, "store", configuration_row)
        return NO_CONFIGURATION_ID
    return ConfigurationId(configuration_row["version"], configuration_row["digest"])


def _adopt_advertised(
    adopted: AdoptedConfiguration,
    configuration_id: ConfigurationId,
    objects: ObjectStore,
    fetch_from_peer: FetchFromPeer,
) -> None:
    if configuration_id.version <= adopted.configuration.version:
        return
    document = objects.get(object_name(*configuration_id))
    if not isinstance(document, Failure) and adopted.adopt_document(
        document, configuration_id, "store"
    ):
        return
    document = fetch_from_peer(*configuration_id)
    if isinstance(document, Failure):
        adopted.record_refusal(configuration_id, "peer", document)
        return
    adopted.adopt_document(document, configuration_id, "peer")
