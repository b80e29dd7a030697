"""Combined policies of one shard: placement, relief, quarantine, reservation and handover.

Relief throttles or evicts batch runs that slow down services on the same worker.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.handover import Handover
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.ledger.ledger import Run
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.ledger.progress import ProgressWriter
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import LateFinished
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.ledger.records import RecordedOutcome
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.records import WorkerGone
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.placing.candidates import make_candidate
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.placement import CandidateIndex
from laburnumswitch.process.placing.placement import CandidateWorker
from laburnumswitch.process.placing.placement import choose_worker
from laburnumswitch.process.placing.plan import NO_WORKERS
from laburnumswitch.process.placing.plan import plan_starts
from laburnumswitch.process.placing.plan import PlanInputs
from laburnumswitch.process.placing.plan import WorkerChooser
from laburnumswitch.process.placing.quarantine import Quarantine
from laburnumswitch.process.placing.quota import batch_usage_by_team
from laburnumswitch.process.placing.quota import QuotaUsage
from laburnumswitch.process.placing.relief import ColocatedRun
from laburnumswitch.process.placing.relief import Relief
from laburnumswitch.process.placing.usage_history import LearnedModels
from laburnumswitch.process.placing.usage_history import UsageHistory
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.shard_workers import ShardWorkers
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.worker_state import NEVER_S
from laburnumswitch.process.workers.worker_state import WorkerState

RETRY_BASE_DELAY_S = 1.0
RETRY_MAX_DELAY_S = 60.0
# A worker is reserved for a batch group if none of its tasks has started for this long.
RESERVE_AFTER_S = 30.0


class PolicySet(NamedTuple):
    """The replaceable policies, so that the defaults can be compared with baselines."""

    worker_chooser: WorkerChooser = choose_worker
    make_relief: Callable[[Interference, float], Relief] = Relief
    make_quarantine: Callable[[], Quarantine] = Quarantine


DEFAULT_POLICIES = PolicySet()


class ShardPolicy:
    """Scheduling decisions of one shard's owner.

    The state is kept in memory only. A new owner starts without it.
    """

    def __init__(
        self,
        context: SchedulerContext,
        learned: LearnedModels,
        head: Head,
        ledger: Ledger,
        workers: ShardWorkers,
        policies: PolicySet = DEFAULT_POLICIES,
    ) -> None:
        now_s = context.clock()
        self.index = CandidateIndex()
        self.quarantine = policies.make_quarantine()
        self.handover = Handover(context, head.shard, head.epoch)
        self._context = context
        self._learned = learned
        self._shard = head.shard
        self._ledger = ledger
        self._workers = workers
        self._worker_chooser = policies.worker_chooser
        self._relief = policies.make_relief(learned.interference, now_s)
        self._progress = ProgressWriter(head.shard)
        self._changed_workers: set[int] = set()
        self._started_s_by_key: dict[LedgerTaskKey, float] = {}
        self._not_before_by_key: dict[LedgerTaskKey, float] = {}
        self._avoid_by_key: dict[LedgerTaskKey, frozenset[str]] = {}
        self._waiting_since_by_group: dict[int, float] = {}
        self._counted_run_by_key: dict[LedgerTaskKey, int] = {}
        self._usage = UsageHistory(context, learned, ledger)
        self._quarantine_expiry_s = float("inf")
        # Id of the job and number of the worker that is reserved for it; -1 if there is none.
        self._reservation: tuple[str, int] = ("", -1)
        workers.on_exchange = self.handle_exchange
        workers.on_vms_changed = self.mark_all_changed
        self.mark_all_changed()

    def mark_all_changed(self) -> None:
        """Have every candidate rebuilt before the next plan, for example after a zone change."""
        self._changed_workers.update(self._ledger.worker_by_number)
        self._changed_workers.update(self.index.candidate_by_number)

    def handle_exchange(self, state: WorkerState, answered: bool) -> None:
        """Update the state of a worker after an exchange with it."""
        worker = self._ledger.find_worker(state.worker_id)
        if worker is None:
            return
        self._changed_workers.add(worker.number)
        if answered and state.has_new_usage:
            state.has_new_usage = False
            self._usage.learn(worker, state)
            self._relieve_services(worker, state)

    def decide_outcome(
        self, key: LedgerTaskKey, worker_id: str, outcome: RecordedOutcome
    ) -> RecordedOutcome:
        """Learn from the end of a run, once per run, and return the outcome to record.

        A failure is recorded as ``STOPPED`` if the worker is to blame, so that it does not use up
        the task's retries.
        """
        group = self._ledger.group_by_number[key.group]
        run = group.running[key.index]
        now_s = self._context.clock()
        if outcome == RecordedOutcome.FINISHED:
            if self._is_first_call_for_run(key, run.run):
                self.quarantine.record_finish(worker_id, group.task_spec.name)
                started_s = self._started_s_by_key.get(key)
                if started_s is not None and not group.task_spec.service:
                    self._learned.profiles.observe_run(group.task_spec, now_s - started_s)
            return outcome
        if outcome not in (RecordedOutcome.FAILED, RecordedOutcome.REFUSED):
            return outcome
        is_worker_blamed = self.quarantine.is_quarantined(worker_id, now_s)
        if self._is_first_call_for_run(key, run.run):
            is_worker_blamed = self.quarantine.record_failure(
                worker_id, group.task_spec.name, now_s
            )
            self._quarantine_expiry_s = self.quarantine.next_expiry_s(now_s)
            failures = run.failures + 1
            delay_s = min(RETRY_MAX_DELAY_S, RETRY_BASE_DELAY_S * 2 ** min(failures - 1, 10))
            self._not_before_by_key[key] = now_s + delay_s * (0.5 + self._context.random.random())
            self._avoid_by_key[key] = self._avoid_by_key.get(key, NO_WORKERS) | {worker_id}
        return RecordedOutcome.STOPPED if is_worker_blamed else outcome

    def records_applied(
        self, records: tuple[Record, ...], ended_by_key: Mapping[LedgerTaskKey, Run]
    ) -> None:
        """Update the state after a batch was committed.

        :param ended_by_key: the runs that the batch ended.
        """
        now_s = self._context.clock()
        for record in records:
            if isinstance(record, Started):
                self._apply_started(record, now_s)
            elif isinstance(record, Ended):
                self._apply_ended(record, ended_by_key)
            elif isinstance(record, LateFinished):
                self._apply_late_finish(record)
            elif isinstance(record, WorkerSeen | WorkerGone):
                self.mark_all_changed()

    def batch_failed(self) -> None:
        """Have every candidate rebuilt, because the planned starts had no effect."""
        self.mark_all_changed()

    def plan(self, batch: BatchBuilder, now_s: float) -> None:
        """Add starts, handovers and progress rows to a batch."""
        if now_s >= self._quarantine_expiry_s:
            self._quarantine_expiry_s = self.quarantine.next_expiry_s(now_s)
            self.mark_all_changed()
        self._refresh_candidates(now_s)
        has_pending = self._update_waiting_since(now_s)
        if has_pending:
            self._plan_starts(batch, now_s)
        self._progress.add_counts(batch, self._ledger, now_s)

    def _plan_starts(self, batch: BatchBuilder, now_s: float) -> None:
        context = self._context
        hints = [hint for hint in context.shard_hints().values() if hint.shard != self._shard]
        quota = QuotaUsage(
            context.configuration().teams,
            batch_usage_by_team(self._ledger),
            hints,
            context.shard_count,
        )
        inputs = PlanInputs(
            self.index,
            quota,
            self._learned.profiles,
            self._learned.interference,
            context.random,
            self._not_before_by_key,
            self._avoid_by_key,
            self._waiting_since_by_group,
            self._reservation[0],
            self._worker_chooser,
        )
        plan = plan_starts(batch, self._ledger, inputs, now_s)
        unplaced = [self._ledger.group_by_number[number] for number in plan.unplaced_groups]
        self.handover.add_handovers(batch, unplaced, hints, now_s)
        self._update_reservation(unplaced, now_s)

    def _update_waiting_since(self, now_s: float) -> bool:
        since_by_group = {
            group.number: self._waiting_since_by_group.get(group.number, now_s)
            for group in self._ledger.group_by_number.values()
            if group.unstarted_ranges or group.requeued_by_index
        }
        self._waiting_since_by_group = since_by_group
        return bool(since_by_group)

    def _update_reservation(self, unplaced: list[TaskGroup], now_s: float) -> None:
        # One worker is reserved for the batch group that has waited longest, so that smaller tasks
        # cannot starve it.
        job_id, number = self._reservation
        if any(group.task_spec.job_id == job_id for group in unplaced):
            return
        self._reservation = ("", -1)
        self._changed_workers.add(number)
        overdue = [
            group
            for group in unplaced
            if not group.task_spec.service
            and now_s - self._waiting_since_by_group.get(group.number, now_s) > RESERVE_AFTER_S
        ]
        if not overdue:
            return
        group = min(overdue, key=lambda group: self._waiting_since_by_group[group.number])
        eligible = [
            candidate
            for candidate in self.index.candidate_by_number.values()
            if group.task_spec.size.fits(candidate.capacity) and not candidate.replicas_by_service
        ]
        if eligible:
            candidate = max(eligible, key=lambda each: each.free.cpu_millis)
            self._reservation = (group.task_spec.job_id, candidate.number)
            self._changed_workers.add(candidate.number)

    def _refresh_candidates(self, now_s: float) -> None:
        for number in self._changed_workers:
            worker = self._ledger.worker_by_number.get(number)
            candidate = self._make_candidate(worker, now_s) if worker else None
            if candidate is None:
                self.index.remove(number)
            else:
                self.index.put(candidate)
        self._changed_workers.clear()

    def _make_candidate(self, worker: LedgerWorker, now_s: float) -> CandidateWorker | None:
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
        candidate = make_candidate(worker, self._ledger, state, self._learned.profiles)
        if candidate is not None:
            candidate.paused_classes = self._relief.paused_classes(worker.worker_id, now_s)
            job_id, number = self._reservation
            candidate.reserved_for = job_id if number == worker.number else ""
            candidate.single_task = self.quarantine.is_on_probation(worker.worker_id)
        return candidate

    def _relieve_services(self, worker: LedgerWorker, state: WorkerState) -> None:
        now_s = self._context.clock()
        runs = []
        for key in worker.runs:
            group = self._ledger.group_by_number[key.group]
            usage = state.usage_by_key.get(key)
            runs.append(
                ColocatedRun(
                    key,
                    group.task_spec.name,
                    bool(group.task_spec.service),
                    group.task_spec.standing,
                    group.task_spec.checkpointable,
                    group.task_spec.size.cpu_millis / max(1, worker.capacity.cpu_millis),
                    usage.slowdown if usage else 1.0,
                    self._started_s_by_key.get(key, 0.0),
                )
            )
        orders = self._relief.relieve(worker.worker_id, runs, now_s)
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
        """Return the longest time that an urgent group or service has waited for a start."""
        now_s = self._context.clock()
        waits = [
            now_s - since_s
            for number, since_s in self._waiting_since_by_group.items()
            if (group := self._ledger.group_by_number.get(number)) is not None
            and (group.task_spec.urgent or group.task_spec.service)
            and group.count_pending()
        ]
        return max(waits, default=0.0)

    def _is_first_call_for_run(self, key: LedgerTaskKey, run: int) -> bool:
        # ``decide_outcome`` is called for the same run until its end is committed, but a run must
        # be counted only once.
        if self._counted_run_by_key.get(key) == run:
            return False
        self._counted_run_by_key[key] = run
        return True

    def _apply_started(self, record: Started, now_s: float) -> None:
        self._changed_workers.add(record.worker)
        worker = self._ledger.worker_by_number[record.worker]
        group = self._ledger.group_by_number[record.group]
        state = self._workers.state_by_worker_id.get(worker.worker_id)
        # Waiting is counted from the last start, so that a group with many tasks that make progress
        # does not look starved.
        self._waiting_since_by_group[record.group] = now_s
        for index in record.indexes:
            key = LedgerTaskKey(record.group, index)
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

    def _apply_late_finish(self, record: LateFinished) -> None:
        key = LedgerTaskKey(record.group, record.index)
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

    def _apply_ended(self, record: Ended, ended_by_key: Mapping[LedgerTaskKey, Run]) -> None:
        group = self._ledger.group_by_number[record.group]
        for index in record.indexes:
            key = LedgerTaskKey(record.group, index)
            self._started_s_by_key.pop(key, None)
            self._counted_run_by_key.pop(key, None)
            if index not in group.requeued_by_index:
                self._avoid_by_key.pop(key, None)
                self._not_before_by_key.pop(key, None)
            self._changed_workers.add(ended_by_key[key].worker)
            worker = self._ledger.worker_by_number.get(ended_by_key[key].worker)
            state = worker and self._workers.state_by_worker_id.get(worker.worker_id)
            if state:
                state.forget_run(key)
            self._context.timeline.record(
                "run_ended",
                group.task_id(index),
                run=ended_by_key[key].run,
                how=RecordedOutcome(record.how).name.lower(),
                worker=worker.worker_id if worker else "",
                zone=worker.availability_zone if worker else "",
                shard=self._shard,
            )
