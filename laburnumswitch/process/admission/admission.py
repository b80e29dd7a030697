"""Admits declared jobs, by generation or schedule, and the replicas of declared services.

Usually the entry preferred by rendezvous hashing runs this, but any entry may: conditions on the
rows make concurrent passes safe.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import DependencyPending
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import JobTooLarge
from laburnumswitch.exceptions import QuotaTooSmall
from laburnumswitch.process.admission.completion import complete_jobs
from laburnumswitch.process.admission.ended_rows import EndedRows
from laburnumswitch.process.admission.job_row import ended_key
from laburnumswitch.process.admission.job_row import FINAL_STATES
from laburnumswitch.process.admission.job_row import job_key
from laburnumswitch.process.admission.job_row import JOB_PREFIX
from laburnumswitch.process.admission.job_row import JobRow
from laburnumswitch.process.admission.job_row import read_jobs
from laburnumswitch.process.admission.job_row import StoredJob
from laburnumswitch.process.admission.job_row import UNADMITTED_STATES
from laburnumswitch.process.admission.schedule import FiredRows
from laburnumswitch.process.admission.schedule import Firing
from laburnumswitch.process.admission.schedule import FIRINGS_PER_PASS
from laburnumswitch.process.admission.schedule import next_firing
from laburnumswitch.process.admission.schedule import next_instant
from laburnumswitch.process.admission.schedule import read_fired
from laburnumswitch.process.admission.schedule import schedule_activation
from laburnumswitch.process.admission.service_row import next_service_row
from laburnumswitch.process.admission.service_row import service_key
from laburnumswitch.process.ledger.inbox import Chunk
from laburnumswitch.process.ledger.inbox import inbox_put
from laburnumswitch.process.placing.distribution import largest_capacity_if_none_fits
from laburnumswitch.process.placing.distribution import split_tasks
from laburnumswitch.process.placing.distribution import spread_replicas
from laburnumswitch.process.placing.distribution import TaskRange
from laburnumswitch.process.rows.shared_rows import SERVICE_PREFIX
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.task_spec import decode_task_spec
from laburnumswitch.process.workers.task_spec import encode_task_spec
from laburnumswitch.process.workers.task_spec import job_task_spec
from laburnumswitch.process.workers.task_spec import replica_task_spec
from laburnumswitch.size import Size

# Rows of impossible jobs that are kept for each job name.
IMPOSSIBLE_JOBS_KEPT = 10
# Intervals of passes while some job has not ended, and while all have.
ACTIVE_PASS_INTERVAL_S = 2.0
IDLE_PASS_INTERVAL_S = 5.0
MIN_PAUSE_S = 0.001


class _NoFiring(NamedTuple):
    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


NO_FIRING = _NoFiring()


class Admission:
    """Admission passes of one entry, and the firings and invalid schedules cached between them.

    ``wake_owner`` is called with each shard that was sent tasks: at once if they are urgent or
    replicas, otherwise at the end of the pass.
    """

    def __init__(
        self,
        context: SchedulerContext,
        shared: SharedRows,
        wake_owner: Callable[[int], None] = lambda shard: None,
    ) -> None:
        self.invalid_schedule_by_job: dict[str, Failure] = {}
        self._context = context
        self._shared = shared
        self._wake_owner = wake_owner
        self._ended_rows = EndedRows(context)
        self._shards_to_wake: set[int] = set()
        self._fired_rows_by_job: dict[str, FiredRows] = {}
        self._next_firing_s_by_job: dict[str, float] = {}
        self._configuration_version = 0
        self._next_pass_s = float("-inf")

    def is_due(self) -> bool:
        """Return whether a pass, which reads all jobs that have not ended, is due."""
        configuration = self._context.configuration()
        if (
            configuration.version != self._configuration_version
            or self._context.clock() >= self._next_pass_s
        ):
            return True
        now_s = self._context.wall_clock()
        return any(instant_s <= now_s for instant_s in self._next_firing_s_by_job.values())

    def seconds_to_next_firing(self, last_pass_s: float) -> float:
        """Return the seconds until the next firing of a schedule, infinite if none is known.

        :param last_pass_s: Unix time just before the last pass, which handled earlier firings.
            Later ones may have come due since.
        """
        instants = [at_s for at_s in self._next_firing_s_by_job.values() if at_s > last_pass_s]
        if not instants:
            return float("inf")
        return max(MIN_PAUSE_S, min(instants) - self._context.wall_clock())

    def run_pass(self) -> None:
        """Admit and complete whatever is due; the next pass retries what failed."""
        configuration = self._context.configuration()
        if not configuration.version or not self._context.vms():
            return
        rows = scan_all(self._context.table, JOB_PREFIX)
        if isinstance(rows, Failure):
            return
        stored = read_jobs(rows)
        is_active = any(item.job.state not in FINAL_STATES for item in stored)
        self._next_pass_s = self._context.clock() + (
            ACTIVE_PASS_INTERVAL_S if is_active else IDLE_PASS_INTERVAL_S
        )
        self._configuration_version = configuration.version
        self._ended_rows.begin_pass()
        self._admit_generations(configuration, stored)
        self._fire_schedules(configuration, stored)
        self._admit_waiting(configuration, stored)
        self._admit_services(configuration)
        self._wake_shards()
        complete_jobs(self._context, stored)
        self._ended_rows.move_misplaced(stored)
        self._ended_rows.prune(configuration)
        self._prune_impossible(configuration, stored)

    def _admit_generations(
        self, configuration: Configuration, stored: tuple[StoredJob, ...]
    ) -> None:
        known_ids = {item.job.job_id for item in stored}
        job_by_id = {f"{job.name}@{job.generation}": job for job in configuration.jobs}
        # Read after the job rows: a job that ends in between is found in one of the two reads.
        new_ids = self._ended_rows.select_not_ended(
            job_id
            for job_id, job in job_by_id.items()
            if not job.schedule and job_id not in known_ids
        )
        if isinstance(new_ids, Failure):
            return
        for job_id in new_ids:
            self._admit_new(configuration, job_by_id[job_id], job_id, stored, NO_FIRING)

    def _fire_schedules(self, configuration: Configuration, stored: tuple[StoredJob, ...]) -> None:
        self._next_firing_s_by_job.clear()
        for job in configuration.jobs:
            if not job.schedule:
                continue
            for _ in range(FIRINGS_PER_PASS):
                if not self._fire_next(configuration, job, stored):
                    break

    def _fire_next(
        self, configuration: Configuration, job: Job, stored: tuple[StoredJob, ...]
    ) -> bool:
        table = self._context.table
        now_s = self._context.wall_clock()
        fired = self._fired_rows_by_job.get(job.name) or read_fired(table, job.name)
        if isinstance(fired, Failure):
            return False
        if fired is None:
            activation = schedule_activation(job.name, now_s)
            # The next iteration computes the first firing after the row written here.
            return isinstance(
                table.commit(Transaction(activation.conditions, activation.puts)), Committed
            )
        firing = next_firing(job, fired, now_s)
        if isinstance(firing, Failure):
            self.invalid_schedule_by_job[job.name] = firing
            return False
        self.invalid_schedule_by_job.pop(job.name, None)
        if firing is None:
            self._fired_rows_by_job[job.name] = fired
            instant_s = next_instant(job, fired)
            if not isinstance(instant_s, Failure):
                self._next_firing_s_by_job[job.name] = instant_s
            return False
        # The rows are read again before the next firing, because this one may change them.
        self._fired_rows_by_job.pop(job.name, None)
        job_id = f"{job.name}@{firing.instant}"
        return self._admit_new(configuration, job, job_id, stored, firing)

    def _admit_new(
        self,
        configuration: Configuration,
        job: Job,
        job_id: str,
        stored: tuple[StoredJob, ...],
        firing: Firing | _NoFiring,
    ) -> bool:
        task_spec = job_task_spec(job, job_id)
        row = JobRow(
            job_id=job_id,
            name=job.name,
            team=job.team,
            tasks=job.tasks,
            state="waiting",
            created_s=self._context.wall_clock(),
            work=encode_task_spec(task_spec),
            after=job.after,
        )
        empty = Row(job_key(job_id), ABSENT_VERSION, {})
        return self._update_job(configuration, StoredJob(empty, row), stored, firing)

    def _admit_waiting(self, configuration: Configuration, stored: tuple[StoredJob, ...]) -> None:
        for item in stored:
            if item.job.state in UNADMITTED_STATES:
                self._update_job(configuration, item, stored, NO_FIRING)

    def _update_job(
        self,
        configuration: Configuration,
        item: StoredJob,
        stored: tuple[StoredJob, ...],
        firing: Firing | _NoFiring,
    ) -> bool:
        """Write the job's row as waiting, impossible or admitted; send its tasks if admitted."""
        job = item.job
        blocker = self._find_blocker(configuration, job, stored)
        if isinstance(blocker, ReadFailure):
            return False
        state = _state_for(blocker)
        reason = blocker.describe() if blocker else ""
        if item.row.version and (state, reason) == (job.state, job.reason):
            return False
        ranges: tuple[TaskRange, ...] = ()
        if blocker is None:
            ranges = self._split(job)
        value = {**item.row.value, **_field_values(job), "state": state, "reason": reason}
        conditions = [Condition(item.row.key, item.row.version), *firing.conditions]
        if not item.row.version:
            # A paused entry must not admit a job again that was admitted and ended in the meantime.
            conditions.append(Condition(ended_key(job.job_id), ABSENT_VERSION))
        outcome = self._context.table.commit(
            Transaction(
                tuple(conditions),
                (
                    Put(item.row.key, value),
                    *firing.puts,
                    *_inbox_puts(job.job_id, job.work, ranges),
                ),
                firing.deletes,
            )
        )
        if isinstance(outcome, Committed):
            self._context.timeline.record("job_" + state, job.job_id, reason=reason)
            self._note_tasks_sent(ranges, decode_task_spec(job.work).urgent)
        return isinstance(outcome, Committed)

    def _find_blocker(
        self, configuration: Configuration, job: JobRow, stored: tuple[StoredJob, ...]
    ) -> Failure | None:
        size = _task_size(job)
        largest = largest_capacity_if_none_fits(size, self._context.vms())
        if largest is not None:
            return JobTooLarge(job.job_id, tuple(size), tuple(largest))
        for team in configuration.teams:
            if team.name == job.team and not size.fits(team.quota):
                return QuotaTooSmall(job.job_id, team.name, tuple(team.quota))
        for name in job.after:
            ended = self._ended_rows.newest_by_name(name)
            if isinstance(ended, Failure):
                return ended
            state = _newest_state(name, stored if ended is None else (ended, *stored))
            if state != "finished":
                return DependencyPending(job.job_id, name, state)
        return None

    def _split(self, job: JobRow) -> tuple[TaskRange, ...]:
        return split_tasks(
            _task_size(job),
            job.tasks,
            self._context.vms(),
            self._context.shard_hints(),
            self._context.shard_count,
            self._shared.zone_accepts_runs,
        )

    def _admit_services(self, configuration: Configuration) -> None:
        rows = scan_all(self._context.table, SERVICE_PREFIX)
        if isinstance(rows, Failure):
            return
        row_by_key = {row.key: row for row in rows}
        service_by_key = {service_key(service.name): service for service in configuration.services}
        for key in sorted(row_by_key.keys() | service_by_key.keys()):
            row = row_by_key.get(key, Row(key, ABSENT_VERSION, None))
            self._admit_service(row, service_by_key.get(key))

    def _admit_service(self, row: Row, service: Service | None) -> None:
        reason = ""
        if service is not None:
            largest = largest_capacity_if_none_fits(service.size, self._context.vms())
            if largest is not None:
                reason = JobTooLarge(service.name, tuple(service.size), tuple(largest)).describe()
        change = next_service_row(row, service, reason, self._context.wall_clock())
        if change is None:
            return
        ranges: tuple[TaskRange, ...] = ()
        raw_task_spec = {}
        if change.added:
            raw_task_spec = encode_task_spec(replica_task_spec(service, change.job_id))
            ranges = spread_replicas(
                service.size,
                change.added,
                self._context.vms(),
                self._context.shard_count,
                self._shared.zone_accepts_runs,
            )
        puts = _inbox_puts(change.job_id, raw_task_spec, ranges)
        outcome = self._context.table.commit(
            Transaction((Condition(row.key, row.version),), (Put(row.key, change.value), *puts))
        )
        if isinstance(outcome, Committed):
            self._note_tasks_sent(ranges, True)
        self._context.timeline.record(
            "service_changed",
            row.key.removeprefix(SERVICE_PREFIX),
            added=len(change.added),
            outcome=type(outcome).__name__,
        )

    def _note_tasks_sent(self, ranges: Iterable[TaskRange], at_once: bool) -> None:
        self._shards_to_wake.update(part.shard for part in ranges)
        if at_once:
            self._wake_shards()

    def _wake_shards(self) -> None:
        while self._shards_to_wake:
            self._wake_owner(self._shards_to_wake.pop())

    def _prune_impossible(
        self, configuration: Configuration, stored: tuple[StoredJob, ...]
    ) -> None:
        current = {f"{job.name}@{job.generation}" for job in configuration.jobs}
        impossible_by_name: dict[str, list[StoredJob]] = {}
        for item in stored:
            if item.job.state == "impossible" and item.job.job_id not in current:
                impossible_by_name.setdefault(item.job.name, []).append(item)
        for impossible in impossible_by_name.values():
            impossible.sort(key=lambda item: item.job.created_s)
            for item in impossible[:-IMPOSSIBLE_JOBS_KEPT]:
                condition = Condition(item.row.key, item.row.version)
                self._context.table.commit(Transaction((condition,), (), (item.row.key,)))


def _task_size(job: JobRow) -> Size:
    return decode_task_spec(job.work).size


def _newest_state(name: str, stored: Iterable[StoredJob]) -> str:
    jobs = [item.job for item in stored if item.job.name == name]
    if not jobs:
        return "absent"
    return max(jobs, key=lambda job: job.created_s).state


def _state_for(blocker: Failure | None) -> str:
    if blocker is None:
        return "admitted"
    return "waiting" if isinstance(blocker, DependencyPending) else "impossible"


def _field_values(job: JobRow) -> dict:
    return {name: getattr(job, name) for name in job.__struct_fields__}


def _inbox_puts(job_id: str, raw_task_spec: dict, ranges: Iterable[TaskRange]) -> list[Put]:
    return [
        inbox_put(
            part.shard, f"{job_id}-{part.first}", Chunk(raw_task_spec, part.first, part.count)
        )
        for part in ranges
    ]
