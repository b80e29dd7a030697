"""Emulated platform and entry processes of one soak run."""

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
from soak.callers import PATH_PREFIX
from soak.entries import EntryProcess
from soak.entries import write_settings
from soak.proxy import Mode
from soak.proxy import Proxy
from standin.fleet.api import make_worker_handler
from standin.fleet.api import StoreApi
from standin.fleet.api import VmListApi
from standin.fleet.feed_table import FeedMemoryTable
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.worker import FleetWorker
from standin.server import bound_address
from standin.server import start_server

SERVICE = "shop"
HEARTBEAT_INTERVAL_S = 1.0
ZONES = ("a", "b", "c")
WORKERS_PER_RACK = 4


class EmulatedWorker:
    """A ``FleetWorker`` behind an HTTP server and a proxy."""

    def __init__(self, number: int, checker: InvariantChecker, random: Random) -> None:
        listing = WorkerListing(
            worker_id=f"w{number}",
            service=SERVICE,
            address="",
            availability_zone=ZONES[number % len(ZONES)],
            is_draining=False,
            cpu_millis=6000,
            memory_mb=8000,
            accelerators=0,
            # Two labels without values; the second one is the rack.
            labels=("kind", f"r{number // WORKERS_PER_RACK}"),
            rack=f"r{number // WORKERS_PER_RACK}",
            incarnation=int(time() * 1000),
            vm_id=f"vm-{number}",
        )
        self.fleet_worker = FleetWorker(listing, checker, monotonic, random)
        self._server = start_server("127.0.0.1:0", make_worker_handler(self.fleet_worker))
        self.proxy = Proxy(bound_address(self._server))
        self.sends_heartbeats = True

    def row(self, seq: int) -> Put:
        """Return the row with which the worker registers in the store."""
        listing = self.fleet_worker.listing
        value = {
            "service": listing.service,
            "address": self.proxy.address,
            "zone": listing.availability_zone,
            "state": "ready",
            "capacity": {"cpu": listing.cpu_millis, "memMb": listing.memory_mb, "gpu": 0},
            "labels": listing.labels,
            "born": listing.incarnation,
            "machine": listing.vm_id,
            "seq": seq,
        }
        return Put(f"servers/{listing.worker_id}", value)

    def stop(self) -> None:
        """Stop the proxy and the server."""
        self.proxy.stop()
        self._server.stop(0)


class Cluster:
    """Store, workers and entries of one soak run.

    The constructor takes the numbers of entries and workers.
    """

    def __init__(
        self, folder: Path, entries: int, workers: int, first_port: int, random: Random
    ) -> None:
        self.checker = InvariantChecker()
        self.table = FeedMemoryTable()
        self.store = StoreApi(self.table)
        self._store_server = start_server("127.0.0.1:0", self.store.handle)
        self.workers = [EmulatedWorker(number, self.checker, random) for number in range(workers)]
        self.vm_list = VmListApi([worker.fleet_worker for worker in self.workers])
        self._vm_list_server = start_server("127.0.0.1:0", self.vm_list.handle)
        self.entries: list[EntryProcess] = []
        for number in range(entries):
            proxy = Proxy(bound_address(self._store_server))
            zone = ZONES[number % len(ZONES)]
            addresses = (proxy.address, bound_address(self._vm_list_server))
            config = write_settings(folder, number, first_port, zone, *addresses)
            self.entries.append(EntryProcess(config, proxy))
        self._is_stopped = False

    def start(self) -> None:
        """Publish a configuration, start the worker heartbeats and start the entries."""
        self.publish(1)
        spawn(self._send_heartbeats)
        for entry in self.entries:
            entry.start()

    def publish(self, version: int) -> None:
        """Publish the configuration under the given version."""
        route = {
            "name": "jobs",
            "host": HOST,
            "pathPrefix": PATH_PREFIX,
            "service": SERVICE,
            "maxAttempts": 4,
            "timeoutMs": 3000,
        }
        value = {"version": version, "routes": [route], "services": [{"name": SERVICE}]}
        self.table.commit(Transaction((), (Put("op/config", value),)))

    def set_zone(self, zone: str, is_out: bool) -> None:
        """Take an availability zone out of service, or put it back."""
        key = f"op/evacuate/{zone}"
        transaction = Transaction((), (Put(key, {}),)) if is_out else Transaction((), (), (key,))
        self.table.commit(transaction)

    def end_faults(self) -> None:
        """End every fault and restart entries that do not run."""
        self.table.down = False
        self.table.lose_answers = self.table.delayed_commits = 0
        self.table.apply_delayed_commits()
        self.store.delay_s = 0.0
        self.vm_list.is_down = False
        for zone in ZONES:
            self.set_zone(zone, False)
        for worker in self.workers:
            worker.proxy.set_mode(Mode.PASS)
            if worker.fleet_worker.is_crashed:
                worker.fleet_worker.restart()
            worker.fleet_worker.drops_answers = worker.fleet_worker.drops_calls = (
                worker.fleet_worker.fails_runs
            ) = False
        for entry in self.entries:
            entry.store_proxy.set_mode(Mode.PASS)
            entry.start()

    def stop(self) -> None:
        """Kill the entries and close every proxy and server."""
        self._is_stopped = True
        for entry in self.entries:
            entry.kill()
            entry.store_proxy.stop()
        for worker in self.workers:
            worker.stop()
        self._store_server.stop(0)
        self._vm_list_server.stop(0)

    def _send_heartbeats(self) -> None:
        seq = 0
        while not self._is_stopped:
            seq += 1
            rows = tuple(
                worker.row(seq)
                for worker in self.workers
                if worker.sends_heartbeats and not worker.fleet_worker.is_crashed
            )
            if not self.table.down:
                self.table.commit(Transaction((), rows))
            sleep(HEARTBEAT_INTERVAL_S)
