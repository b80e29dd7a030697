"""The workers of one owned shard: who they are, and the exchanges with them."""

from collections.abc import Callable

from gevent import spawn
from gevent.event import Event

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.ledger.ownership import shard_of_rack
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.lease import may_grant
from laburnumswitch.process.workers.work import TaskKey
from laburnumswitch.process.workers.worker_state import lease_end
from laburnumswitch.process.workers.worker_state import WorkerState
from laburnumswitch.process.workers.workers import NO_GRANT
from laburnumswitch.process.workers.workers import WorkerOrders

RENEW_EVERY_S = 1.0
LINK_EVERY_S = 0.25
SILENT_S = 2.5
SAVE_AFTER_S = 4.0


class ShardWorkers:
    """Reports of the workers, and what they may be granted.

    ``committed_sent_s`` is when the last commit on the head that succeeded was sent. ``ending``
    holds the runs that a batch under way ends; none of them may be started meanwhile.
    """

    def __init__(
        self,
        context: SchedulerContext,
        shared: SharedRows,
        shard: int,
        epoch: int,
        ledger: Ledger,
        committed_sent_s: float,
    ) -> None:
        self.state_by_worker_id: dict[str, WorkerState] = {}
        self.due_by_address: dict[str, Event] = {}
        self.own_vms: tuple[Vm, ...] = ()
        self.committed_sent_s = committed_sent_s
        self.ending: set[TaskKey] = set()
        self.closed = False
        self.on_exchange: Callable[[WorkerState, bool], None] = _ignore
        self.on_new_vms: Callable[[], None] = _nothing
        self._context = context
        self._shared = shared
        self._shard = shard
        self._epoch = epoch
        self._ledger = ledger
        self._owned_since_s = context.clock()
        self._vms: tuple[Vm, ...] | None = None
        self._vm_by_id: dict[str, Vm] = {}
        self._renewal_due: set[str] = set()

    def addresses(self) -> dict[str, list[str]]:
        """Return the ids of this shard's workers by address, from the newest list of VMs."""
        vms = self._context.vms()
        if vms is not self._vms:
            self._take_vms(vms)
        by_address: dict[str, list[str]] = {}
        for vm in self.own_vms:
            by_address.setdefault(vm.address, []).append(vm.vm_id)
        return by_address

    def exchange(self, address: str, everyone: bool = True) -> None:
        """Send orders to the workers behind one address and take their reports.

        :param everyone: whether to include workers for which nothing is new.
        """
        if self.closed:
            return
        by_worker = {}
        for worker_id in self.addresses().get(address, ()):
            state = self.state_by_worker_id[worker_id]
            if everyone or state.has_news:
                by_worker[worker_id] = self._orders(state)
        if not by_worker:
            return
        reports = self._context.workers.exchange(address, by_worker)
        if self.closed:
            return
        now_s = self._context.clock()
        for worker_id in by_worker:
            state = self.state_by_worker_id.get(worker_id)
            report = None if isinstance(reports, Failure) else reports.get(worker_id)
            if state is None:
                continue
            if report is None:
                state.fail_exchange()
            else:
                state.take_report(self._ledger, report, now_s)
            self.on_exchange(state, report is not None)

    def take_renewal(self, address: str) -> bool:
        """Return whether a renewal is due to an address, and count it as done."""
        is_due = address in self._renewal_due
        self._renewal_due.discard(address)
        return is_due

    def wake(self, worker_id: str) -> None:
        """Have orders for a worker sent at once."""
        vm = self._vm_by_id.get(worker_id)
        if vm is not None and vm.address in self.due_by_address:
            self.due_by_address[vm.address].set()

    def add_address(self, address: str) -> None:
        """Begin exchanges with an address."""
        self.due_by_address[address] = Event()
        self._renewal_due.add(address)

    def wake_all(self) -> None:
        """Have an exchange with every address at once."""
        self._renewal_due = set(self.due_by_address)
        for due in tuple(self.due_by_address.values()):
            due.set()

    def close(self) -> None:
        """Send and take in nothing more."""
        self.closed = True
        self.wake_all()

    def must_leave(self, worker: LedgerWorker) -> bool:
        """Return whether all work is to move off a worker."""
        vm = self._vm_by_id.get(worker.worker_id)
        if vm is not None and vm.state != "live":
            return True
        return self._shared.zone_is_out(worker.availability_zone)

    def may_start(self, worker: LedgerWorker) -> bool:
        """Return whether starts on a worker may be planned."""
        vm = self._vm_by_id.get(worker.worker_id)
        if vm is None or vm.state != "live" or vm.capacity != worker.capacity:
            return False
        return self._shared.zone_is_in(worker.availability_zone)

    def is_silent(self, worker: LedgerWorker) -> bool:
        """Return whether a worker has not answered this owner for a while."""
        state = self.state_by_worker_id.get(worker.worker_id)
        reported_s = self._owned_since_s
        if state is not None:
            reported_s = max(state.reported_s, reported_s)
        return self._context.clock() - reported_s > SILENT_S

    def has_heard_services(self) -> bool:
        """Return whether every worker with replicas has told what it runs, or is silent."""
        for worker in self._ledger.worker_by_number.values():
            state = self.state_by_worker_id.get(worker.worker_id)
            if (state is None or state.needs_full) and not self.is_silent(worker):
                keys = worker.runs
                if any(self._ledger.group_by_number[key.group].work.service for key in keys):
                    return False
        return True

    def _orders(self, state: WorkerState) -> WorkerOrders:
        now_s = self._context.clock()
        granting = may_grant(self.committed_sent_s, now_s)
        until = lease_end(state.clock) if granting else NO_GRANT
        service_until = until
        if self._context.services_outlive_store:
            service_until = lease_end(state.clock)
        if not granting and now_s - self.committed_sent_s > SAVE_AFTER_S:
            self._save_batch(state, now_s)
        vm = self._vm_by_id[state.worker_id]
        leaves = vm.state != "live" or self._shared.zone_is_out(vm.availability_zone)
        ending = None if leaves else self.ending
        return state.make_orders(self._ledger, until, service_until, ending, now_s)

    def _save_batch(self, state: WorkerState, now_s: float) -> None:
        # Without the table the leases of batch runs lapse soon: save what can be saved.
        worker = self._ledger.find_worker(state.worker_id)
        for key in worker.runs if worker else ():
            work = self._ledger.group_by_number[key.group].work
            if work.checkpointable and not work.service:
                state.want_stop(key, self._ledger.find_run(key).run, "checkpoint", now_s)

    def _take_vms(self, vms: tuple[Vm, ...]) -> None:
        self._vms = vms
        self.own_vms = tuple(
            vm
            for vm in vms
            if vm.role == "worker"
            and vm.state != "gone"
            and shard_of_rack(vm.rack, self._context.shard_count) == self._shard
        )
        self._vm_by_id = {vm.vm_id: vm for vm in self.own_vms}
        for vm in self.own_vms:
            state = self.state_by_worker_id.get(vm.vm_id)
            if state is None:
                self.state_by_worker_id[vm.vm_id] = self._new_state(vm)
            else:
                state.address = vm.address
        for worker_id in set(self.state_by_worker_id) - set(self._vm_by_id):
            del self.state_by_worker_id[worker_id]
        self.on_new_vms()

    def _new_state(self, vm: Vm) -> WorkerState:
        worker = self._ledger.find_worker(vm.vm_id)
        boot = worker.boot if worker else ""
        state = WorkerState(vm.vm_id, vm.address, self._epoch, boot)
        state.expect_runs(self._ledger, may_be_sent=True)
        return state


def run_links(workers: ShardWorkers, sleep: Callable[[float], None]) -> None:
    """Keep one task for each address of workers, and have it exchange on time.

    This does not wait for the table, so leases are renewed while a commit takes long.
    """
    elapsed_s = 0.0
    while not workers.closed:
        for address in set(workers.addresses()) - set(workers.due_by_address):
            workers.add_address(address)
            spawn(run_link, workers, address)
        sleep(LINK_EVERY_S)
        elapsed_s += LINK_EVERY_S
        if elapsed_s >= RENEW_EVERY_S:
            elapsed_s = 0.0
            workers.wake_all()


def run_link(workers: ShardWorkers, address: str) -> None:
    """Exchange orders and reports with one address of workers whenever that is due."""
    due = workers.due_by_address[address]
    try:
        while not workers.closed and address in workers.addresses():
            due.clear()
            workers.exchange(address, workers.take_renewal(address))
            due.wait()
    finally:
        del workers.due_by_address[address]


def _ignore(state: WorkerState, answered: bool) -> None:
    """Do nothing after an exchange."""


def _nothing() -> None:
    """Do nothing after a change of the list."""
