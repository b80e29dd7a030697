"""The balancer's stand-in: spreads attempts over the entries that say they are ready."""

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
    """Addresses of one entry: for callers, and of its admin port."""

    vm_id: str
    caller_address: str
    admin_address: str


def is_ready(entry: Entry) -> bool:
    """Ask an entry whether it is ready."""
    client = Client(entry.admin_address)
    response = client.call("GET", "/readyz", b"", POLL_TIMEOUT_S)
    client.close()
    return isinstance(response, Response) and response.status == STATUS_OK


class Balancer:
    """The known entries, and which of them were ready when last asked."""

    def __init__(self, check: Callable[[Entry], bool] = is_ready) -> None:
        self._check = check
        self._by_vm: dict[str, Entry] = {}
        self._ready: list[Entry] = []
        self._turn = 0

    def set_entries(self, entries: list[Entry]) -> None:
        """Replace the known entries; new ones are used once they were seen ready."""
        self._by_vm = {entry.vm_id: entry for entry in entries}
        self._ready = [entry for entry in self._ready if entry.vm_id in self._by_vm]

    def choose(self, avoid: str = "") -> Entry | None:
        """Return the next ready entry in turn, another than ``avoid`` where there is one."""
        ready = [entry for entry in self._ready if entry.vm_id != avoid] or self._ready
        if not ready:
            return None
        self._turn += 1
        return ready[self._turn % len(ready)]

    def poll_once(self) -> None:
        """Ask every entry once."""
        entries = list(self._by_vm.values())
        tasks = [spawn(self._check, entry) for entry in entries]
        answers = [task.get() for task in tasks]
        self._ready = [entry for entry, ready in zip(entries, answers, strict=True) if ready]

    def run(self) -> None:
        """Poll for ever."""
        while True:
            self.poll_once()
            sleep(POLL_INTERVAL_S)
