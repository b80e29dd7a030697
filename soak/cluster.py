"""Emulated platform and entry processes of one soak run."""

from functools import reduce
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

from gevent import sleep
from gevent import spawn

from laburnumswitch.exceptions import Failure
from laburnumswitch.platform.discovery import WORKERS_TABLE
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.leadership.term import decode_term
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from soak.callers import HOST
from soak.callers import PATH_PREFIX
from soak.callers import PUBLIC_PREFIX
from soak.entries import EntryProcess
from soak.entries import PORTS_PER_ENTRY
from soak.entries import write_settings
from soak.keys import ApiKeys
from soak.proxy import Mode
from soak.proxy import Proxy
from soak.routes import ChangingRoutes
from soak.workers import EmulatedWorker
from soak.workers import WorkerConfig
from soak.zones import ip_of
from soak.zones import STORED_IP
from soak.zones import ZoneLinks
from soak.zones import ZONES
from standin.fleet.api import StoreApi
from standin.fleet.api import VmListApi
from standin.fleet.down_times import find_down_times
from standin.fleet.down_times import find_late
from standin.fleet.feed_table import FeedMemoryTable
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.invariant_checker import Violation
from standin.fleet.registration import Registration
from standin.fleet.run_records import find_violations
from standin.fleet.run_records import RecordedRun
from standin.fleet.run_records import Span
from standin.server import bound_address
from standin.server import start_server

SERVICE = "shop"
# Pause between two searches for workers that send no heartbeat.
REMOVAL_INTERVAL_S = 0.2
# The list of VMs is behind them by up to this time, in seconds.
MAX_VM_LIST_DELAY_S = 1.9
VM_RECORD_INTERVAL_S = 0.05
# What every other entry's link to the store carries.
NARROW_BYTES_PER_S = 300_000
WORKERS_PER_RACK = 4
PORTS_PER_WORKER = 2
# Entries that other programs wrote to the list of workers: of a service that is not configured, of
# other types, without an address to call, nested deeply, and with numbers that are too large.
FOREIGN_ENTRY = {
    "service": "printing",
    "address": "127.0.0.1:9",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 4000, "memMb": 8000},
    "labels": ["printer", "p1"],
}
FOREIGN_ENTRIES = (
    FOREIGN_ENTRY,
    {**FOREIGN_ENTRY, "labels": 7},
    {**FOREIGN_ENTRY, "service": SERVICE, "address": "127.0.0.1"},
    {**FOREIGN_ENTRY, "service": SERVICE, "address": "127.0.0.1:70000"},
    {**FOREIGN_ENTRY, "service": SERVICE, "address": "printer.invalid:80"},
    {**FOREIGN_ENTRY, "service": SERVICE, "born": 2**64 - 1},
    {**FOREIGN_ENTRY, "labels": reduce(lambda nested, _: [nested], range(500), [])},
    [],
)


def _make_listing(number: int) -> WorkerListing:
    rack = f"r{number // WORKERS_PER_RACK}"
    return WorkerListing(
        worker_id=f"w{number}",
        service=SERVICE,
        address="",
        availability_zone=ZONES[number % len(ZONES)],
        is_draining=False,
        cpu_millis=6000,
        memory_mb=8000,
        accelerators=0,
        # Two labels without values; the second one is the rack.
        labels=("kind", rack),
        rack=rack,
        incarnation=0,
        vm_id=f"vm-{number}",
    )


class Cluster:
    """Store, workers and entries of one soak run.

    The constructor takes the numbers of entries and workers, whether entries know the list of VMs,
    and the links between the zones if these are to be cut.
    """

    def __init__(
        self,
        folder: Path,
        entries: int,
        workers: int,
        first_port: int,
        random: Random,
        has_vm_list: bool = True,
        links: ZoneLinks | None = None,
    ) -> None:
        self.links = links
        self.checker = InvariantChecker()
        self.table = FeedMemoryTable()
        self.store = StoreApi(self.table)
        self._store_server = start_server("127.0.0.1:0", self.store.handle)
        self.registration = Registration(self.table)
        self._registration_server = start_server("127.0.0.1:0", self.registration.handle)
        self.workers: list[EmulatedWorker] = []
        self._folder = folder
        self._first_worker_port = first_port + entries * PORTS_PER_ENTRY
        self._worker_random = random
        for _ in range(workers):
            self._append_worker()
        # Not drawn from ``random``, so that a seed keeps its faults.
        list_delay_s = Random(folder.name).uniform(0.0, MAX_VM_LIST_DELAY_S)
        self.vm_list = VmListApi(self.workers, delay_s=list_delay_s)
        self._vm_list_server = start_server("127.0.0.1:0", self.vm_list.handle)
        self.entries: list[EntryProcess] = []
        for number in range(entries):
            zone = ZONES[number % len(ZONES)]
            store_address = bound_address(self._store_server)
            if links:
                store_address = links.start_store(zone, self.store.handle)
            proxy = Proxy(store_address)
            if number % 2:
                proxy.answer_bytes_per_s = NARROW_BYTES_PER_S
            vm_list_address = bound_address(self._vm_list_server) if has_vm_list else ""
            config = write_settings(
                folder,
                number,
                first_port,
                zone,
                proxy.address,
                vm_list_address,
                ip_of(zone) if links else STORED_IP,
            )
            entry = EntryProcess(config, proxy)
            self.entries.append(entry)
            if links:
                links.add_entry(zone, entry)
        self.keys = ApiKeys(Random(f"{folder.name} keys"), self._publish)
        self.routes = ChangingRoutes(Random(f"{folder.name} routes"), SERVICE, self.keys.publish)
        self._version = 0
        self._completed_s_by_id: dict[str, float] = {}
        self.longest_down_s = 0.0
        self._is_stopped = False

    def _append_worker(self) -> EmulatedWorker:
        number = len(self.workers)
        port = self._first_worker_port + PORTS_PER_WORKER * number
        worker_config = WorkerConfig(
            _make_listing(number),
            port,
            f"127.0.0.1:{port + 1}",
            bound_address(self._registration_server),
            self._folder,
        )
        worker = EmulatedWorker(worker_config, self._worker_random)
        self.workers.append(worker)
        if self.links:
            self.links.add_worker(worker)
        return worker

    def add_worker(self) -> None:
        """Start another worker, with an id and a VM of its own."""
        self._append_worker().start()

    def remove_worker(self, worker: EmulatedWorker) -> None:
        """End a worker that has announced its departure."""
        worker.crash()
        self.registration.remove(f"{WORKERS_TABLE}/{worker.listing.worker_id}")

    def read_term(self) -> Term:
        """Return the stored term, also while the store does not answer."""
        versioned = decode_term(self.table.peek(TERM_KEY))
        return Term() if isinstance(versioned, Failure) else versioned.term

    def find_owner(self, term: Term) -> EntryProcess | None:
        """Return the entry that owns the term, or ``None`` if it has been given up."""
        return next((entry for entry in self.entries if entry.config.vm_id == term.owner), None)

    def start(self) -> None:
        """Publish a configuration, and start the workers and the entries."""
        self.keys.publish()
        rows = (Put(f"servers/p{number}", each) for number, each in enumerate(FOREIGN_ENTRIES))
        self.table.commit(Transaction((), tuple(rows)))
        for worker in self.workers:
            worker.start()
        spawn(self._remove_silent_workers)
        spawn(self._record_vms)
        if self.links:
            self.links.start()
        for entry in self.entries:
            entry.start()

    def _publish(self, tenants: list[dict[str, Any]]) -> bool:
        """Publish the next version of the configuration, and return whether it is stored."""
        route = {
            "name": "jobs",
            "host": HOST,
            "pathPrefix": PATH_PREFIX,
            "service": SERVICE,
            "maxAttempts": 4,
            "timeoutMs": 3000,
        }
        public = {**route, "name": "public", "pathPrefix": PUBLIC_PREFIX, "public": True}
        self._version += 1
        value = {
            "version": self._version,
            "routes": [route, public, *self.routes.encode()],
            "services": [{"name": SERVICE}],
            "tenants": tenants,
        }
        put = Put("op/config", value)
        return isinstance(self.table.commit_unharmed(Transaction((), (put,))), Committed)

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
        self.registration.cut_zones.clear()
        if self.links:
            self.links.heal_all()
        for worker in self.workers:
            if worker.is_leaving:
                continue
            worker.proxy.set_mode(Mode.PASS)
            worker.resume()
            worker.start()
            worker.set_switches(drops_answers=False, fails_runs=False, late_share=0.0)
        for entry in self.entries:
            entry.store_proxy.set_mode(Mode.PASS)
            entry.start()

    def stop(self) -> None:
        """Kill the entries and the workers and close every proxy and server."""
        self._is_stopped = True
        for entry in self.entries:
            entry.kill()
            entry.store_proxy.stop()
        for worker in self.workers:
            worker.stop()
        if self.links:
            self.links.stop()
        self._store_server.stop(0)
        self._registration_server.stop(0)
        self._vm_list_server.stop(0)

    def record_completed(self, job_id: str) -> None:
        """Record that a job was shown as completed just now."""
        self._completed_s_by_id.setdefault(job_id, monotonic())

    def check_runs(self) -> int:
        """Check what the workers have recorded, and return the number of starts."""
        runs = self._recorded_runs()
        self.checker.violations += find_violations(
            runs, self.checker.submission_by_id, self._completed_s_by_id
        )
        self.checker.violations += self.keys.violations + self.routes.violations
        self.checker.violations += [
            Violation(monotonic(), "soak", worker.listing.worker_id, f"ended by itself: {code}")
            for worker in self.workers
            for code in worker.own_exit_codes
        ]
        return len(runs)

    def count_down(self, job_ids: set[str]) -> int:
        """Return how many tasks of long-running jobs have run and do not run now."""
        now_s = monotonic()
        down_times = find_down_times(self._recorded_runs(), now_s)
        return sum(down.until_s == now_s and down.task.job_id in job_ids for down in down_times)

    def running_job_ids(self) -> set[str]:
        """Return the jobs of which any task runs now."""
        return {run.task.job_id for run in self._recorded_runs() if not run.outcome}

    def _recorded_runs(self) -> list[RecordedRun]:
        return [run for worker in self.workers for run in worker.recorded_runs()]

    def check_down_times(self, job_ids: set[str], troubles: list[Span]) -> None:
        """Check that the tasks of long-running jobs run again in time."""
        runs = self._recorded_runs()
        down_times = find_down_times(
            (run for run in runs if run.task.job_id in job_ids), monotonic()
        )
        self.longest_down_s = max((down.duration_s for down in down_times), default=0.0)
        worker_spans = [span for worker in self.workers for span in worker.recorded_spans()]
        self.checker.violations += find_late(
            down_times, runs, self.checker.submission_by_id, worker_spans, troubles
        )

    def _record_vms(self) -> None:
        while not self._is_stopped:
            self.vm_list.record(monotonic())
            sleep(VM_RECORD_INTERVAL_S)

    def _remove_silent_workers(self) -> None:
        while not self._is_stopped:
            self.registration.remove_silent()
            sleep(REMOVAL_INTERVAL_S)
