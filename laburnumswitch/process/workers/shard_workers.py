"""Workers of one owned shard, and the exchange of orders and reports with them."""

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
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.worker_api import NO_GRANT
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.process.workers.worker_state import lease_end_by_worker_clock
from laburnumswitch.process.workers.worker_state import WorkerState

RENEWAL_INTERVAL_S = 1.0
ADDRESS_CHECK_INTERVAL_S = 0.25
UNRESPONSIVE_AFTER_S = 2.5
# After this time without a successful commit, batch runs are checkpointed.
CHECKPOINT_AFTER_S = 4.0


class ShardWorkers:
    """State of a shard's workers and the orders sent to them.

    ``last_commit_sent_s`` is when the last successful commit on the head was sent.
    ``ending_tasks`` holds the tasks whose runs are ended by the batch being committed; none of
    them may be started until that is decided.
    """

    def __init__(
        self,
        context: SchedulerContext,
        shared: SharedRows,
        shard: int,
        epoch: int,
        ledger: Ledger,
        last_commit_sent_s: float,
    ) -> None:
        self.state_by_worker_id: dict[str, WorkerState] = {}
        self.wake_event_by_address: dict[str, Event] = {}
        self.shard_vms: tuple[Vm, ...] = ()
        self.last_commit_sent_s = last_commit_sent_s
        self.ending_tasks: set[LedgerTaskKey] = set()
        self.closed = False
        self.on_exchange: Callable[[WorkerState, bool], None] = _ignore_exchange
        self.on_vms_changed: Callable[[], None] = _ignore_vm_change
        self._context = context
        self._shared = shared
        self._shard = shard
        self._epoch = epoch
        self._ledger = ledger
        self._owned_since_s = context.clock()
        self._last_vms: tuple[Vm, ...] | None = None
        self._vm_by_id: dict[str, Vm] = {}
        self._addresses_to_renew: set[str] = set()

    def addresses(self) -> dict[str, list[str]]:
        """Return the ids of this shard's workers by address, from the latest list of VMs."""
        vms = self._context.vms()
        if vms is not self._last_vms:
            self._apply_vms(vms)
        by_address: dict[str, list[str]] = {}
        for vm in self.shard_vms:
            by_address.setdefault(vm.address, []).append(vm.vm_id)
        return by_address

    def exchange(self, address: str, include_idle: bool = True) -> None:
        """Send orders to the workers behind one address and apply their reports.

        :param include_idle: whether to include workers that have no new orders.
        """
        if self.closed:
            return
        by_worker = {}
        for worker_id in self.addresses().get(address, ()):
            state = self.state_by_worker_id[worker_id]
            if include_idle or state.has_new_orders:
                by_worker[worker_id] = self._build_orders(state)
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
                state.note_failed_exchange()
            else:
                state.apply_report(self._ledger, report, now_s)
            self.on_exchange(state, report is not None)

    def pop_renewal(self, address: str) -> bool:
        """Return whether leases at an address are due for renewal, and mark them as renewed."""
        is_due = address in self._addresses_to_renew
        self._addresses_to_renew.discard(address)
        return is_due

    def wake(self, worker_id: str) -> None:
        """Trigger an immediate exchange with a worker."""
        vm = self._vm_by_id.get(worker_id)
        if vm is not None and vm.address in self.wake_event_by_address:
            self.wake_event_by_address[vm.address].set()

    def add_address(self, address: str) -> None:
        """Register an address for exchanges, the first of which renews all leases."""
        self.wake_event_by_address[address] = Event()
        self._addresses_to_renew.add(address)

    def wake_all(self) -> None:
        """Trigger an immediate exchange with every address and renew all leases."""
        self._addresses_to_renew = set(self.wake_event_by_address)
        for wake_event in tuple(self.wake_event_by_address.values()):
            wake_event.set()

    def close(self) -> None:
        """Stop sending orders and processing reports."""
        self.closed = True
        self.wake_all()

    def must_drain(self, worker: LedgerWorker) -> bool:
        """Return whether all runs must be moved off a worker."""
        vm = self._vm_by_id.get(worker.worker_id)
        if vm is not None and vm.state != "live":
            return True
        return self._shared.zone_is_out_of_service(worker.availability_zone)

    def may_start(self, worker: LedgerWorker) -> bool:
        """Return whether runs may be placed on a worker."""
        vm = self._vm_by_id.get(worker.worker_id)
        if vm is None or vm.state != "live" or vm.capacity != worker.capacity:
            return False
        return self._shared.zone_accepts_runs(worker.availability_zone)

    def is_unresponsive(self, worker: LedgerWorker) -> bool:
        """Return whether a worker has not reported to this owner for ``UNRESPONSIVE_AFTER_S``."""
        state = self.state_by_worker_id.get(worker.worker_id)
        reported_s = self._owned_since_s
        if state is not None:
            reported_s = max(state.reported_s, reported_s)
        return self._context.clock() - reported_s > UNRESPONSIVE_AFTER_S

    def knows_running_replicas(self) -> bool:
        """Return whether every responsive worker with replicas has sent a full report."""
        for worker in self._ledger.worker_by_number.values():
            state = self.state_by_worker_id.get(worker.worker_id)
            if (state is None or state.needs_full_report) and not self.is_unresponsive(worker):
                keys = worker.runs
                if any(self._ledger.group_by_number[key.group].task_spec.service for key in keys):
                    return False
        return True

    def _build_orders(self, state: WorkerState) -> WorkerOrders:
        now_s = self._context.clock()
        may_grant_now = may_grant(self.last_commit_sent_s, now_s)
        lease_until = lease_end_by_worker_clock(state.reported_clock) if may_grant_now else NO_GRANT
        service_lease_until = lease_until
        if self._context.services_outlive_store:
            service_lease_until = lease_end_by_worker_clock(state.reported_clock)
        if not may_grant_now and now_s - self.last_commit_sent_s > CHECKPOINT_AFTER_S:
            self._checkpoint_batch_runs(state, now_s)
        vm = self._vm_by_id[state.worker_id]
        is_draining = vm.state != "live" or self._shared.zone_is_out_of_service(
            vm.availability_zone
        )
        blocked_starts = None if is_draining else self.ending_tasks
        return state.make_orders(
            self._ledger, lease_until, service_lease_until, blocked_starts, now_s
        )

    def _checkpoint_batch_runs(self, state: WorkerState, now_s: float) -> None:
        # Without the table, leases of batch runs are not renewed. The runs are checkpointed before
        # their leases lapse.
        worker = self._ledger.find_worker(state.worker_id)
        for key in worker.runs if worker else ():
            task_spec = self._ledger.group_by_number[key.group].task_spec
            if task_spec.checkpointable and not task_spec.service:
                state.request_stop(key, self._ledger.find_run(key).run, "checkpoint", now_s)

    def _apply_vms(self, vms: tuple[Vm, ...]) -> None:
        self._last_vms = vms
        self.shard_vms = tuple(
            vm
            for vm in vms
            if vm.role == "worker"
            and vm.state != "gone"
            and shard_of_rack(vm.rack, self._context.shard_count) == self._shard
        )
        self._vm_by_id = {vm.vm_id: vm for vm in self.shard_vms}
        for vm in self.shard_vms:
            state = self.state_by_worker_id.get(vm.vm_id)
            if state is None:
                self.state_by_worker_id[vm.vm_id] = self._new_state(vm)
            else:
                state.address = vm.address
        for worker_id in set(self.state_by_worker_id) - set(self._vm_by_id):
            del self.state_by_worker_id[worker_id]
        self.on_vms_changed()

    def _new_state(self, vm: Vm) -> WorkerState:
        worker = self._ledger.find_worker(vm.vm_id)
        boot = worker.boot if worker else ""
        state = WorkerState(vm.vm_id, vm.address, self._epoch, boot)
        state.mark_all_unconfirmed(self._ledger, may_be_in_flight=True)
        return state


def run_worker_exchanges(workers: ShardWorkers, sleep: Callable[[float], None]) -> None:
    """Run one greenlet per worker address, and wake all of them to renew leases.

    This never waits for the table, so leases are renewed during slow commits.
    """
    elapsed_s = 0.0
    while not workers.closed:
        for address in set(workers.addresses()) - set(workers.wake_event_by_address):
            workers.add_address(address)
            spawn(exchange_with_address, workers, address)
        sleep(ADDRESS_CHECK_INTERVAL_S)
        elapsed_s += ADDRESS_CHECK_INTERVAL_S
        if elapsed_s >= RENEWAL_INTERVAL_S:
            elapsed_s = 0.0
            workers.wake_all()


def exchange_with_address(workers: ShardWorkers, address: str) -> None:
    """Exchange orders and reports with the workers behind one address until it is removed."""
    wake_event = workers.wake_event_by_address[address]
    try:
        while not workers.closed and address in workers.addresses():
            wake_event.clear()
            workers.exchange(address, workers.pop_renewal(address))
            wake_event.wait()
    finally:
        del workers.wake_event_by_address[address]


def _ignore_exchange(state: WorkerState, answered: bool) -> None:
    """Do nothing after an exchange, where no policy is attached."""


def _ignore_vm_change() -> None:
    """Do nothing after a change of the VM list, where no policy is attached."""
