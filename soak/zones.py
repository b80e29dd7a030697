"""Links between the availability zones of one soak run, which can be cut.

Entries of a zone know every other process by an address of that zone, ``127.0.N.1`` with the
process's own port. A proxy listens there unless it is the process itself.
"""

from collections.abc import Callable
from functools import partial

from gevent import sleep
from gevent import spawn

from soak.entries import EntryProcess
from soak.proxy import Mode
from soak.proxy import Proxy
from soak.workers import EmulatedWorker
from standin.fleet.address_view import view_addresses
from standin.server import bound_address
from standin.server import Handler
from standin.server import start_server

ZONES = ("a", "b", "c")
STORED_IP = "127.0.0.1"
UPDATE_INTERVAL_S = 0.02


def ip_of(zone: str) -> str:
    """Return the address of all other processes for the entries of a zone, and their own."""
    return f"127.0.{1 + ZONES.index(zone)}.1"


class Link:
    """Way from the entries of one zone to a process in another, or to a worker of their own.

    :ivar refuses: whether connections are refused although the process is running.
    """

    def __init__(
        self, caller_zone: str, target_zone: str, proxy: Proxy, is_target_up: Callable[[], bool]
    ) -> None:
        self.caller_zone = caller_zone
        self.target_zone = target_zone
        self.proxy = proxy
        self.refuses = False
        self._is_target_up = is_target_up
        proxy.keep_bytes()
        self.update()

    def update(self) -> None:
        """Refuse connections or not, as the process itself would."""
        self.proxy.set_target_up(self._is_target_up() and not self.refuses)

    def cut(self, mode: Mode) -> None:
        """Cut the link; with ``Mode.RESET`` it refuses connections."""
        self.refuses = mode is Mode.RESET
        self.proxy.set_mode(mode)
        self.update()

    def heal(self) -> None:
        """Let the link carry everything again."""
        self.cut(Mode.PASS)


class ZoneLinks:
    """All links between the zones, and from the zones to the store."""

    def __init__(self) -> None:
        self.worker_links: list[Link] = []
        self.peer_links: list[Link] = []
        self._entries: list[tuple[str, EntryProcess]] = []
        self._servers = []
        self._cut_zones: set[str] = set()
        self._is_stopped = False

    def start_store(self, zone: str, handle: Handler) -> str:
        """Serve the store as a zone sees it, and return the address."""
        handle_call = view_addresses(handle, STORED_IP.encode(), ip_of(zone).encode())
        server = start_server(f"{STORED_IP}:0", handle_call)
        self._servers.append(server)
        return bound_address(server)

    def add_worker(self, worker: EmulatedWorker) -> None:
        """Make a worker known to the entries of all zones."""
        target_zone = worker.listing.availability_zone
        address = worker.listing.address
        for zone in ZONES:
            proxy = Proxy(address, _port_of(address), ip_of(zone))
            link = Link(zone, target_zone, proxy, lambda: not worker.is_crashed)
            self.worker_links.append(link)

    def add_entry(self, zone: str, entry: EntryProcess) -> None:
        """Make an entry known to those of the other zones."""
        entry.store_proxy.keep_bytes()
        self._entries.append((zone, entry))
        address = entry.config.peer_address
        for caller_zone in ZONES:
            if caller_zone == zone:
                continue
            proxy = Proxy(address, _port_of(address), ip_of(caller_zone))
            proxy.translate = _make_translation(ip_of(caller_zone), ip_of(zone))
            self.peer_links.append(Link(caller_zone, zone, proxy, entry.is_running))

    def start(self) -> None:
        """Watch from now on which processes are running."""
        spawn(self._update)

    def entries_of(self, zone: str) -> list[EntryProcess]:
        """Return the entries of a zone."""
        return [entry for each, entry in self._entries if each == zone]

    def cut(self, zone: str, mode: Mode) -> None:
        """Cut a zone off from the store and from the other zones.

        With ``Mode.RESET`` connections are refused.
        """
        self._cut_zones.add(zone)
        for link in self._links_across(zone):
            link.cut(mode)
        for entry in self.entries_of(zone):
            entry.store_proxy.set_mode(mode)

    def heal(self, zone: str) -> tuple[list[Callable[[], None]], list[Callable[[], None]]]:
        """Connect a zone again, by calls that each make one link whole.

        :return: those of its links to the store, and those of its links to other zones.
        """
        self._cut_zones.discard(zone)
        store_heals = [partial(self._heal_store, zone, entry) for entry in self.entries_of(zone)]
        return store_heals, [partial(self._heal_link, link) for link in self._links_across(zone)]

    def heal_all(self) -> None:
        """Connect all zones again."""
        self._cut_zones.clear()
        for link in self.worker_links + self.peer_links:
            link.heal()

    def stop(self) -> None:
        """Close every proxy and server."""
        self._is_stopped = True
        for link in self.worker_links + self.peer_links:
            link.proxy.stop()
        for server in self._servers:
            server.stop(0)

    def _links_across(self, zone: str) -> list[Link]:
        links = self.worker_links + self.peer_links
        return [link for link in links if (link.caller_zone == zone) != (link.target_zone == zone)]

    def _heal_link(self, link: Link) -> None:
        # A late link may belong to a zone that has been cut off again.
        if self._cut_zones.isdisjoint((link.caller_zone, link.target_zone)):
            link.heal()

    def _heal_store(self, zone: str, entry: EntryProcess) -> None:
        if zone not in self._cut_zones:
            entry.store_proxy.set_mode(Mode.PASS)

    def _update(self) -> None:
        while not self._is_stopped:
            for link in self.worker_links + self.peer_links:
                link.update()
            sleep(UPDATE_INTERVAL_S)


def _port_of(address: str) -> int:
    return int(address.rpartition(":")[2])


def _make_translation(caller_ip: str, target_ip: str) -> Callable[[bytes, bool], bytes]:
    """Return a function for messages between entries, which carry addresses.

    All addresses have the same length, so that of a message stays the same.
    """
    caller, target = caller_ip.encode(), target_ip.encode()

    def translate(block: bytes, is_answer: bool) -> bytes:
        return block.replace(target, caller) if is_answer else block.replace(caller, target)

    return translate
