"""Watches from outside which version of the configuration each entry has in force.

The second version declares one more host of a service. An entry that answers requests to it has
the version in force, and one that does not know the host has not.
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
from standin.caller_connection import CallerRequest
from standin.records import ConfigurationSeen
from standin.records import Record

INTERVAL_S = 0.2
TIMEOUT_S = 2.0
STATUS_UNKNOWN_HOST = 404


class Probe:
    """One task for each entry that asks it again and again."""

    def __init__(self, record: Callable[[Record], None]) -> None:
        self._record = record
        self._task_by_vm: dict[str, Greenlet] = {}

    def watch(self, entries: list[Entry]) -> None:
        """Watch further entries."""
        for entry in entries:
            if entry.vm_id not in self._task_by_vm:
                self._task_by_vm[entry.vm_id] = spawn(self._ask_for_ever, entry)

    def stop(self) -> None:
        """End all tasks."""
        for task in self._task_by_vm.values():
            task.kill()

    def _ask_for_ever(self, entry: Entry) -> None:
        connections = CallerConnectionPool(entry.caller_address)
        while True:
            version = version_seen(lambda host: _ask(connections, host))
            if version:
                self._record(ConfigurationSeen(monotonic(), entry.vm_id, version))
            sleep(INTERVAL_S)


def version_seen(ask: Callable[[str], CallerAnswer]) -> int:
    """Return the version that an entry shows, 0 where its answers do not tell."""
    if ask(SECOND_PROBE_HOST).outcome == "answered":
        return 2
    first = ask(PROBE_HOST)
    second = ask(SECOND_PROBE_HOST)
    if first.outcome == "answered" and second.status == STATUS_UNKNOWN_HOST:
        return 1
    return 0


def _ask(connections: CallerConnectionPool, host: str) -> CallerAnswer:
    return connections.send(CallerRequest("GET", host, "/probe", ()), TIMEOUT_S)
