"""The policies of one shard together: what starts where, what is relieved and given away."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.handover import Handover
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.ledger import Group
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Run
from laburnumswitch.process.ledger.ledger import Worker
from laburnumswitch.process.ledger.progress import ProgressWriter
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import How
from laburnumswitch.process.ledger.records import LateFinished
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.records import WorkerGone
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.placement import choose_room
from laburnumswitch.process.placing.placement import Room
from laburnumswitch.process.placing.placement import RoomIndex
from laburnumswitch.process.placing.plan import Choose
from laburnumswitch.process.placing.plan import NOWHERE
from laburnumswitch.process.placing.plan import plan_starts
from laburnumswitch.process.placing.plan import Queue
from laburnumswitch.process.placing.quarantine import Quarantine
from laburnumswitch.process.placing.quota import batch_use
from laburnumswitch.process.placing.quota import QuotaBook
from laburnumswitch.process.placing.relief import Neighbour
from laburnumswitch.process.placing.relief import Relief
from laburnumswitch.process.placing.rooms import make_room
from laburnumswitch.process.placing.usage_history import Learned
from laburnumswitch.process.placing.usage_history import UsageHistory
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.shard_workers import ShardWorkers
from laburnumswitch.process.workers.task_spec import TaskKey
from laburnumswitch.process.workers.worker_state import NEVER_S
from laburnumswitch.process.workers.worker_state import WorkerState

RETRY_FIRST_S = 1.0
RETRY_MAX_S = 60.0
RESERVE_AFTER_S = 30.0


class Policies(NamedTuple):
    """What varies between the policies in force and the baselines to measure them against."""

    choose: Choose = choose_room
    make_relief: Callable[[Interference, float], Relief] = Relief
    make_quarantine: Callable[[], Quarantine] = Quarantine


IN_FORCE = Policies()


class ShardPolicy:
    """Decisions of one shard's owner. All of it is lost with the owner, and learned again."""

    def __init__(
        self,
        context: SchedulerContext,
        learned: Learned,
        head: Head,
        ledger: Ledger,
        workers: ShardWorkers,
        policies: Policies = IN_FORCE,
    ) -> None:
        now_s = context.clock()
        self.index = RoomIndex()
        self.quarantine = policies.make_quarantine()
        self.handover = Handover(context, head.shard, head.epoch)
        self._context = context
        self._learned = learned
        self._shard = head.shard
        self._ledger = ledger
        self._workers = workers
        self._choose = policies.choose
        self._relief = policies.make_relief(learned.interference, now_s)
        self._progress = ProgressWriter(head.shard)
        self._changed: set[int] = set()
        self._started_s_by_key: dict[TaskKey, float] = {}
        self._not_before_by_key: dict[TaskKey, float] = {}
        self._avoid_by_key: dict[TaskKey, frozenset[str]] = {}
        self._waiting_since_by_group: dict[int, float] = {}
        self._noted_by_key: dict[TaskKey, int] = {}
        self._usage = UsageHistory(context, learned, ledger)
        self._expiry_s = float("inf")
        self._reserved: tuple[str, int] = ("", -1)
        workers.on_exchange = self.worker_changed
        workers.on_vms_changed = self.all_changed
        self.all_changed()

    def all_changed(self) -> None:
        """Look at every worker anew before the next plan, such as after a zone changed."""
        self._changed.update(self._ledger.worker_by_number)
        self._changed.update(self.index.room_by_number)

    def worker_changed(self, state: WorkerState, answered: bool) -> None:
        """Take in that an exchange with a worker ended."""
        worker = self._ledger.find_worker(state.worker_id)
        if worker is None:
            return
        self._changed.add(worker.number)
        if answered and state.has_new_usage:
            state.has_new_usage = False
            self._usage.take(worker, state)
            self._relieve(worker, state)

    def run_ended(self, key: TaskKey, worker_id: str, how: How) -> How:
        """Learn from the end of a run, once, and return how the ledger counts it."""
        group = self._ledger.group_by_number[key.group]
        run = group.running[key.index]
        now_s = self._context.clock()
        if how == How.FINISHED:
            if self._note_once(key, run.run):
                self.quarantine.note_finished(worker_id, group.work.name)
                started_s = self._started_s_by_key.get(key)
                if started_s is not None and not group.work.service:
                    self._learned.profiles.observe_run(group.work, now_s - started_s)
            return how
        if how not in (How.FAILED, How.REFUSED):
            return how
        blamed = self.quarantine.is_quarantined(worker_id, now_s)
        if self._note_once(key, run.run):
            blamed = self.quarantine.note_failed(worker_id, group.work.name, now_s)
            self._expiry_s = self.quarantine.next_expiry_s(now_s)
            failures = run.failures + 1
            delay_s = min(RETRY_MAX_S, RETRY_FIRST_S * 2 ** min(failures - 1, 10))
            self._not_before_by_key[key] = now_s + delay_s * (0.5 + self._context.random.random())
            self._avoid_by_key[key] = self._avoid_by_key.get(key, NOWHERE) | {worker_id}
        return How.STOPPED if blamed else how

    def records_applied(
        self, records: tuple[Record, ...], ended_by_key: Mapping[TaskKey, Run]
    ) -> None:
        """Take in what was committed.

        :param ended_by_key: numbers of the workers on which the batch ended runs.
        """
        now_s = self._context.clock()
        for record in records:
            if isinstance(record, Started):
                self._note_started(record, now_s)
            elif isinstance(record, Ended):
                self._note_ended(record, ended_by_key)
            elif isinstance(record, LateFinished):
                self._note_late(record)
            elif isinstance(record, WorkerSeen | WorkerGone):
                self.all_changed()

    def batch_failed(self) -> None:
        """Take back what was planned for a batch that had no effect."""
        self.all_changed()

    def plan(self, batch: BatchBuilder, now_s: float) -> None:
        """Add starts, hand-overs and progress to a batch."""
        if now_s >= self._expiry_s:
            self._expiry_s = self.quarantine.next_expiry_s(now_s)
            self.all_changed()
        self._refresh_rooms(now_s)
        waiting = self._note_waiting(now_s)
        if waiting:
            self._plan_starts(batch, now_s)
        self._progress.gather(batch, self._ledger, now_s)

    def _plan_starts(self, batch: BatchBuilder, now_s: float) -> None:
        context = self._context
        hints = [hint for hint in context.shard_hints().values() if hint.shard != self._shard]
        quota = QuotaBook(
            context.configuration().teams, batch_use(self._ledger), hints, context.shard_count
        )
        queue = Queue(
            self.index,
            quota,
            self._learned.profiles,
            self._learned.interference,
            context.random,
            self._not_before_by_key,
            self._avoid_by_key,
            self._waiting_since_by_group,
            self._reserved[0],
            self._choose,
        )
        plan = plan_starts(batch, self._ledger, queue, now_s)
        stuck = [self._ledger.group_by_number[number] for number in plan.without_room]
        self.handover.gather(batch, stuck, hints, now_s)
        self._reserve(stuck, now_s)

    def _note_waiting(self, now_s: float) -> bool:
        since_by_group = {
            group.number: self._waiting_since_by_group.get(group.number, now_s)
            for group in self._ledger.group_by_number.values()
            if group.fresh or group.again
        }
        self._waiting_since_by_group = since_by_group
        return bool(since_by_group)

    def _reserve(self, stuck: list[Group], now_s: float) -> None:
        # The batch group that has waited longest gets a worker kept free, so that smaller work
        # cannot starve it for ever.
        job_id, number = self._reserved
        if any(group.work.job_id == job_id for group in stuck):
            return
        self._reserved = ("", -1)
        self._changed.add(number)
        old = [
            group
            for group in stuck
            if not group.work.service
            and now_s - self._waiting_since_by_group.get(group.number, now_s) > RESERVE_AFTER_S
        ]
        if not old:
            return
        group = min(old, key=lambda group: self._waiting_since_by_group[group.number])
        able = [
            room
            for room in self.index.room_by_number.values()
            if group.work.size.fits(room.capacity) and not room.services
        ]
        if able:
            room = max(able, key=lambda room: room.free.cpu_millis)
            self._reserved = (group.work.job_id, room.number)
            self._changed.add(room.number)

    def _refresh_rooms(self, now_s: float) -> None:
        for number in self._changed:
            worker = self._ledger.worker_by_number.get(number)
            room = self._make_room(worker, now_s) if worker else None
            if room is None:
                self.index.remove(number)
            else:
                self.index.put(room)
        self._changed.clear()

    def _make_room(self, worker: Worker, now_s: float) -> Room | None:
        state = self._workers.state_by_worker_id.get(worker.worker_id)
        if state is None or state.boot != worker.boot or state.reported_s == NEVER_S:
            return None
        if state.orphaned_runs or self._workers.is_unresponsive(worker):
            return None
        if not self._workers.may_start(worker):
            return None
        if self.quarantine.is_quarantined(worker.worker_id, now_s):
            return None
        if self.quarantine.is_on_probation(worker.worker_id) and worker.runs:
            return None
        room = make_room(worker, self._ledger, state, self._learned.profiles)
        if room is not None:
            room.paused_classes = self._relief.paused_classes(worker.worker_id, now_s)
            job_id, number = self._reserved
            room.reserved_for = job_id if number == worker.number else ""
            room.single = self.quarantine.is_on_probation(worker.worker_id)
        return room

    def _relieve(self, worker: Worker, state: WorkerState) -> None:
        now_s = self._context.clock()
        neighbours = []
        for key in worker.runs:
            group = self._ledger.group_by_number[key.group]
            usage = state.usage_by_key.get(key)
            neighbours.append(
                Neighbour(
                    key,
                    group.work.name,
                    bool(group.work.service),
                    group.work.standing,
                    group.work.checkpointable,
                    group.work.size.cpu_millis / max(1, worker.capacity.cpu_millis),
                    usage.slowdown if usage else 1.0,
                    self._started_s_by_key.get(key, 0.0),
                )
            )
        orders = self._relief.relieve(worker.worker_id, neighbours, now_s)
        for key, percent in orders.percent_by_key.items():
            if percent != 100 or key in state.throttle_percent_by_key:
                state.throttle_percent_by_key[key] = percent
        for key in orders.evictions:
            run = self._ledger.find_run(key)
            state.request_stop(key, run.run, "checkpoint", now_s)
            self._context.timeline.record(
                "eviction",
                self._ledger.group_by_number[key.group].task_id(key.index),
                run=run.run,
                worker=worker.worker_id,
                zone=worker.availability_zone,
                reason="relief",
            )

    def longest_urgent_wait_s(self) -> float:
        """Return how long the urgent group that waits longest has had no start, in seconds."""
        now_s = self._context.clock()
        waits = [
            now_s - since_s
            for number, since_s in self._waiting_since_by_group.items()
            if (group := self._ledger.group_by_number.get(number)) is not None
            and (group.work.urgent or group.work.service)
            and group.count_pending()
        ]
        return max(waits, default=0.0)

    def _note_once(self, key: TaskKey, run: int) -> bool:
        if self._noted_by_key.get(key) == run:
            return False
        self._noted_by_key[key] = run
        return True

    def _note_started(self, record: Started, now_s: float) -> None:
        self._changed.add(record.worker)
        worker = self._ledger.worker_by_number[record.worker]
        group = self._ledger.group_by_number[record.group]
        state = self._workers.state_by_worker_id.get(worker.worker_id)
        # A group waits since its last start, so that one with many tasks does not look starved.
        self._waiting_since_by_group[record.group] = now_s
        for index in record.indexes:
            key = TaskKey(record.group, index)
            self._started_s_by_key[key] = now_s
            self._not_before_by_key.pop(key, None)
            if state is not None:
                state.queue_start(key, group.running[index].run)
                self._workers.wake(worker.worker_id)
            self._context.timeline.record(
                "run_started",
                group.task_id(index),
                run=group.running[index].run,
                worker=worker.worker_id,
                zone=worker.availability_zone,
                shard=self._shard,
            )

    def _note_late(self, record: LateFinished) -> None:
        key = TaskKey(record.group, record.index)
        self._avoid_by_key.pop(key, None)
        self._not_before_by_key.pop(key, None)
        self._context.timeline.record(
            "run_ended",
            self._ledger.group_by_number[record.group].task_id(record.index),
            run=record.run,
            how="finished_late",
            worker="",
            zone="",
            shard=self._shard,
        )

    def _note_ended(self, record: Ended, ended_by_key: Mapping[TaskKey, Run]) -> None:
        group = self._ledger.group_by_number[record.group]
        for index in record.indexes:
            key = TaskKey(record.group, index)
            self._started_s_by_key.pop(key, None)
            self._noted_by_key.pop(key, None)
            if index not in group.again:
                self._avoid_by_key.pop(key, None)
                self._not_before_by_key.pop(key, None)
            self._changed.add(ended_by_key[key].worker)
            worker = self._ledger.worker_by_number.get(ended_by_key[key].worker)
            state = worker and self._workers.state_by_worker_id.get(worker.worker_id)
            if state:
                state.forget_run(key)
            self._context.timeline.record(
                "run_ended",
                group.task_id(index),
                run=ended_by_key[key].run,
                how=How(record.how).name.lower(),
                worker=worker.worker_id if worker else "",
                zone=worker.availability_zone if worker else "",
                shard=self._shard,
            )
