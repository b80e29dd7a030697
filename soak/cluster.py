"""The emulated platform and the entries of one soak, with everything that can go wrong."""

from pathlib import Path
from random import Random
from time import monotonic
from time import time

from gevent import sleep
from gevent import spawn

from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from soak.callers import HOST
from soak.callers import PREFIX
from soak.entries import Entry
from soak.entries import place_entry
from soak.proxy import Mode
from soak.proxy import Proxy
from standin.fleet.api import make_worker_handler
from standin.fleet.api import StoreApi
from standin.fleet.feed_table import FeedMemoryTable
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.worker import FleetWorker
from standin.server import bound_address
from standin.server import start_server

SERVICE = "shop"
HEARTBEAT_S = 1.0
ZONES = ("a", "b", "c")
WORKERS_PER_RACK = 4


class EmulatedWorker:
    """A worker with its server and proxy."""

    def __init__(self, number: int, judge: InvariantChecker, random: Random) -> None:
        entry = WorkerListing(
            worker_id=f"w{number}",
            service=SERVICE,
            address="",
            availability_zone=ZONES[number % len(ZONES)],
            is_draining=False,
            cpu_millis=6000,
            memory_mb=8000,
            accelerators=0,
            labels=("kind", f"r{number // WORKERS_PER_RACK}"),
            rack=f"r{number // WORKERS_PER_RACK}",
            incarnation=int(time() * 1000),
        )
        self.state = FleetWorker(entry, judge, monotonic, random)
        self._server = start_server("127.0.0.1:0", make_worker_handler(self.state))
        self.proxy = Proxy(bound_address(self._server))
        self.beats = True

    def row(self, seq: int) -> Put:
        """Return the row that the worker writes about itself."""
        entry = self.state.listing
        value = {
            "service": entry.service,
            "address": self.proxy.address,
            "zone": entry.availability_zone,
            "state": "ready",
            "capacity": {"cpu": entry.cpu_millis, "memMb": entry.memory_mb, "gpu": 0},
            "labels": entry.labels,
            "born": entry.incarnation,
            "seq": seq,
        }
        return Put(f"servers/{entry.worker_id}", value)

    def stop(self) -> None:
        """Close the ports."""
        self.proxy.stop()
        self._server.stop(0)


class Cluster:
    """Store, workers and entries."""

    def __init__(
        self, folder: Path, entries: int, workers: int, first_port: int, random: Random
    ) -> None:
        self.judge = InvariantChecker()
        self.table = FeedMemoryTable()
        self.store = StoreApi(self.table)
        self._server = start_server("127.0.0.1:0", self.store.handle)
        self.workers = [EmulatedWorker(number, self.judge, random) for number in range(workers)]
        self.entries: list[Entry] = []
        for number in range(entries):
            proxy = Proxy(bound_address(self._server))
            zone = ZONES[number % len(ZONES)]
            place = place_entry(folder, number, first_port, zone, proxy.address)
            self.entries.append(Entry(place, proxy))
        self._is_stopped = False

    def start(self) -> None:
        """Publish a configuration, let the workers report, and start the entries."""
        self.publish(1)
        spawn(self._beat)
        for entry in self.entries:
            entry.start()

    def publish(self, version: int) -> None:
        """Write one version of the configuration."""
        route = {
            "name": "jobs",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "maxAttempts": 4,
            "timeoutMs": 3000,
        }
        value = {"version": version, "routes": [route], "services": [{"name": SERVICE}]}
        self.table.commit(Transaction((), (Put("op/config", value),)))

    def set_zone(self, zone: str, is_out: bool) -> None:
        """Take an availability zone out, or back in."""
        key = f"op/evacuate/{zone}"
        change = Transaction((), (Put(key, {}),)) if is_out else Transaction((), (), (key,))
        self.table.commit(change)

    def heal(self) -> None:
        """End every fault."""
        self.table.down = False
        self.table.lose_answers = self.table.delayed_commits = 0
        self.table.apply_delayed_commits()
        self.store.delay_s = 0.0
        for zone in ZONES:
            self.set_zone(zone, False)
        for worker in self.workers:
            worker.proxy.set_mode(Mode.PASS)
            worker.state.drops_answers = worker.state.drops_calls = worker.state.fails_runs = False
        for entry in self.entries:
            entry.store.set_mode(Mode.PASS)
            entry.start()

    def stop(self) -> None:
        """End every process and port that was started here."""
        self._is_stopped = True
        for entry in self.entries:
            entry.end()
            entry.store.stop()
        for worker in self.workers:
            worker.stop()
        self._server.stop(0)

    def _beat(self) -> None:
        seq = 0
        while not self._is_stopped:
            seq += 1
            rows = tuple(worker.row(seq) for worker in self.workers if worker.beats)
            if not self.table.down:
                self.table.commit(Transaction((), rows))
            sleep(HEARTBEAT_S)
