"""Detects from outside which configuration version each entry has in force.

The second version declares an additional host of a service. An entry that serves requests for this
host has the second version in force; one that answers 404 does not.
"""

from collections.abc import Callable
from time import monotonic

from gevent import Greenlet
from gevent import sleep
from gevent import spawn

from scripts.publication import PROBE_HOST
from scripts.publication import SECOND_PROBE_HOST
from standin.balancer import Entry
from standin.caller_connection import CallerAnswer
from standin.caller_connection import CallerConnectionPool
from standin.caller_connection import OutgoingRequest
from standin.records import ConfigurationSeen
from standin.records import Record

INTERVAL_S = 0.2
TIMEOUT_S = 2.0
STATUS_UNKNOWN_HOST = 404


class ConfigurationProbe:
    """Poller of the configuration version in force, with one greenlet per entry."""

    def __init__(self, record: Callable[[Record], None]) -> None:
        self._record = record
        self._task_by_vm: dict[str, Greenlet] = {}

    def watch(self, entries: list[Entry]) -> None:
        """Start polling entries that are not polled yet."""
        for entry in entries:
            if entry.vm_id not in self._task_by_vm:
                self._task_by_vm[entry.vm_id] = spawn(self._poll_forever, entry)

    def stop(self) -> None:
        """Stop polling."""
        for task in self._task_by_vm.values():
            task.kill()

    def _poll_forever(self, entry: Entry) -> None:
        connections = CallerConnectionPool(entry.caller_address)
        while True:
            version = detect_version(lambda host: _send_probe(connections, host))
            if version:
                self._record(ConfigurationSeen(monotonic(), entry.vm_id, version))
            sleep(INTERVAL_S)


def detect_version(send: Callable[[str], CallerAnswer]) -> int:
    """Return the version that an entry has in force, or 0 if its answers are inconclusive."""
    if send(SECOND_PROBE_HOST).outcome == "answered":
        return 2
    first = send(PROBE_HOST)
    second = send(SECOND_PROBE_HOST)
    if first.outcome == "answered" and second.status == STATUS_UNKNOWN_HOST:
        return 1
    return 0


def _send_probe(connections: CallerConnectionPool, host: str) -> CallerAnswer:
    return connections.send(OutgoingRequest("GET", host, "/probe", ()), TIMEOUT_S)
