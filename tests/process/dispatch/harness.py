"""Test harness: owners of the dispatch daemon over in-memory tables and workers, in real time."""

from random import Random
from time import monotonic
from time import time

from gevent import sleep
from gevent.event import Event

from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.daemon.deployment import Bounds
from laburnumswitch.process.daemon.deployment import Deployment
from laburnumswitch.process.dispatch.dispatcher import DispatchContext
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.dispatch.progress import SUBMISSIONS_TABLE
from laburnumswitch.process.dispatch.recorder import OWNER_LEASE_S
from laburnumswitch.process.dispatch.takeover import begin_dispatch
from laburnumswitch.process.dispatch.vm_list import VmRow
from laburnumswitch.process.dispatch.vm_list import VmState
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.leadership.predecessor import Predecessor
from laburnumswitch.process.leadership.succession import decode_succession
from laburnumswitch.process.leadership.succession import succeed
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import read_term
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.leadership.term import VersionedTerm
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import FeedMemoryTable
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.worker import FleetWorker

WAIT_LIMIT_S = 30.0
BOUNDS = Bounds(
    drain_s=2.0,
    grace_s=6.0,
    lease_s=6.0,
    stop_s=0.4,
    max_overrun_s=4.0,
    far_factor=3.0,
    restore_s=0.1,
    throttle_delay_s=0.1,
)
DEPLOYMENT = Deployment("vm-1", "a", "", "", "", "", "", 1.0, 300, BOUNDS)
QUEUE = Queue("orders", "orders.example", "/o/", "shop", max_attempts=2)


def make_listing(number, **changes):
    listing = WorkerListing(
        worker_id=f"w{number}",
        service="shop",
        address=f"10.0.0.{number}:80",
        availability_zone="a",
        is_draining=False,
        cpu_millis=4000,
        memory_mb=8000,
        accelerators=0,
        labels=("kind", "r1"),
        rack="r1",
        incarnation=1,
        vm_id=f"vm-w{number}",
    )
    return listing._replace(**changes)


def make_submission(job_id, *steps, **fields):
    steps = steps or (Step(2, cpu_millis=1000, memory_mb=100, estimate_ms=20),)
    return Submission(job_id, "orders", "spec", tuple(steps), time(), **fields)


def make_configuration(version, *queues, **limit_by_organisation):
    organisations = {
        name: Organisation(name, 1.0, limit) for name, limit in limit_by_organisation.items()
    }
    by_name = {queue.name: queue for queue in queues or (QUEUE,)}
    return QueueConfiguration(version, by_name, {"shop": True}, organisations_by_name=organisations)


def wait_until(condition, limit_s=WAIT_LIMIT_S):
    deadline_s = monotonic() + limit_s
    while not condition():
        if monotonic() > deadline_s:
            raise AssertionError("condition was not met within the time limit")
        sleep(0.005)


class DispatchHarness:
    """In-memory table, workers and operations with which owners can be started."""

    def __init__(self, workers=2, **listing_changes):
        self.table = FeedMemoryTable()
        self.checker = InvariantChecker()
        self.log = DecisionLog("vm-1", time, 100_000)
        self.operations = Operations(self.log)
        self.operations.apply(QueueConfiguration(1, {QUEUE.name: QUEUE}, {"shop": True}))
        self.worker_by_id = {}
        self.deployment = DEPLOYMENT
        self.boot_offset_s = 0.0
        self.list_vms = None
        self.make_link = lambda listing: self.worker_by_id[listing.worker_id]
        for number in range(1, workers + 1):
            self.add_worker(make_listing(number, **listing_changes))

    def add_worker(self, listing, others=()):
        worker = FleetWorker(listing, self.checker, monotonic, Random(listing.worker_id))
        self.worker_by_id[listing.worker_id] = worker
        self.list_worker(listing, *others)
        return worker

    def list_worker(self, *listings):
        rows = tuple(Put(f"servers/{listing.worker_id}", listing) for listing in listings)
        self.table.commit(Transaction((), rows))

    def vm_rows(self):
        """Return the platform's list of the workers' VMs."""
        return tuple(
            VmRow(
                worker.listing.vm_id,
                VmState.DOWN if worker.is_crashed else VmState.UP,
                "" if worker.is_crashed else worker_id,
            )
            for worker_id, worker in self.worker_by_id.items()
        )

    def submit(self, submission, owner=None):
        self.checker.record_submission(submission)
        put = Put(submission_key(submission.job_id), submission)
        self.table.commit(Transaction((Condition(put.key, 0),), (put,)))
        if owner is not None:
            owner.add_job(submission)

    def hold_loads(self, table=SUBMISSIONS_TABLE, limit_s=None):
        """Hold the loads of a table from now on, and return the event that lets them go on.

        :param limit_s: time after which each goes on anyway, in seconds; ``None`` for never.
        """
        may_load = Event()
        load = self.table.load

        def load_slowly(name):
            if name == table:
                may_load.wait(limit_s)
            return load(name)

        self.table.load = load_slowly
        return may_load

    def context(self):
        return DispatchContext(
            deployment=self.deployment,
            table=self.table,
            workers_table="servers",
            decode_worker=lambda key, value: WorkerListing(*value[:8], tuple(value[8]), *value[9:]),
            make_link=self.make_link,
            ask_advice=lambda *arguments: Unavailable("no advice here"),
            operations=self.operations,
            log=self.log,
            clock=monotonic,
            wall_clock=time,
            boot_clock=lambda: monotonic() + self.boot_offset_s,
            sleep=sleep,
            list_vms=self.list_vms,
        )

    def start_owner(self, vm_id="vm-1", predecessor=PredecessorState.ENDED):
        predecessor_term = read_term(self.table)
        term = Term(predecessor_term.term.epoch + 1, vm_id, f"{vm_id}-i", "10.0.0.9:1")
        stored = decode_succession(self.table.read((SUCCESSION_KEY,))[SUCCESSION_KEY])
        succession = succeed(stored, predecessor_term.term)
        outcome = self.table.commit(
            Transaction(
                (Condition(TERM_KEY, predecessor_term.version),),
                (Put(TERM_KEY, term), Put(SUCCESSION_KEY, succession)),
            )
        )
        context = self.context()
        held_term = VersionedTerm(term, outcome.version)
        window_s = float("-inf") if predecessor is PredecessorState.ENDED else OWNER_LEASE_S
        described = Predecessor(predecessor, context.clock() + window_s)
        return begin_dispatch(context, held_term, context.boot_clock(), described)
