"""Stand-in of the load balancer that spreads attempts over the ready entries."""

from collections.abc import Callable
from typing import NamedTuple

from gevent import sleep
from gevent import spawn

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import Response

POLL_INTERVAL_S = 0.25
POLL_TIMEOUT_S = 0.6
STATUS_OK = 200


class Entry(NamedTuple):
    """One entry, with its address for callers and that of its admin port."""

    vm_id: str
    caller_address: str
    admin_address: str


def is_ready(entry: Entry) -> bool:
    """Return whether an entry reports that it is ready."""
    client = Client(entry.admin_address)
    response = client.call("GET", "/readyz", b"", POLL_TIMEOUT_S)
    client.close()
    return isinstance(response, Response) and response.status == STATUS_OK


class Balancer:
    """The known entries, and those that were ready at the last poll."""

    def __init__(self, check: Callable[[Entry], bool] = is_ready) -> None:
        self._check = check
        self._entry_by_vm: dict[str, Entry] = {}
        self._ready: list[Entry] = []
        self._next_index = 0

    def set_entries(self, entries: list[Entry]) -> None:
        """Replace the known entries; new ones are used once a poll found them ready."""
        self._entry_by_vm = {entry.vm_id: entry for entry in entries}
        self._ready = [entry for entry in self._ready if entry.vm_id in self._entry_by_vm]

    def choose(self, avoid: str = "") -> Entry | None:
        """Return the next ready entry by round robin, if possible another one than ``avoid``."""
        ready = [entry for entry in self._ready if entry.vm_id != avoid] or self._ready
        if not ready:
            return None
        self._next_index += 1
        return ready[self._next_index % len(ready)]

    def poll_once(self) -> None:
        """Check the readiness of every entry once."""
        entries = list(self._entry_by_vm.values())
        checks = [spawn(self._check, entry) for entry in entries]
        readiness = [task.get() for task in checks]
        self._ready = [entry for entry, ready in zip(entries, readiness, strict=True) if ready]

    def run(self) -> None:
        """Poll the entries periodically, without end."""
        while True:
            self.poll_once()
            sleep(POLL_INTERVAL_S)
