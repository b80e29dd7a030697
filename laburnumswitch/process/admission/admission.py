"""Admits what is declared: jobs by generation and schedule, and the replicas of services.

Any entry may run this, and races are settled by conditions on the rows; usually the one that
rendezvous hashing prefers does.
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
from laburnumswitch.process.admission.schedule import first_mark
from laburnumswitch.process.admission.schedule import next_firing
from laburnumswitch.process.admission.schedule import next_instant
from laburnumswitch.process.admission.schedule import read_fired
from laburnumswitch.process.admission.service_row import change_service
from laburnumswitch.process.admission.service_row import service_key
from laburnumswitch.process.ledger.inbox import Chunk
from laburnumswitch.process.ledger.inbox import inbox_put
from laburnumswitch.process.placing.distribution import largest_capacity
from laburnumswitch.process.placing.distribution import Part
from laburnumswitch.process.placing.distribution import split_tasks
from laburnumswitch.process.placing.distribution import spread_replicas
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

KEEP_IMPOSSIBLE_JOBS = 10
ACTIVE_EVERY_S = 2.0
IDLE_EVERY_S = 5.0
SHORTEST_PAUSE_S = 0.001


class _NoFiring(NamedTuple):
    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


NO_FIRING = _NoFiring()


class Admission:
    """What one entry remembers between passes: fired rows, and schedules that cannot be read.

    ``wake_owner`` is told each shard that was handed tasks: at once where these are urgent or
    replicas, otherwise once at the end of the pass.
    """

    def __init__(
        self,
        context: SchedulerContext,
        shared: SharedRows,
        wake_owner: Callable[[int], None] = lambda shard: None,
    ) -> None:
        self.invalid_by_job: dict[str, Failure] = {}
        self._context = context
        self._shared = shared
        self._wake_owner = wake_owner
        self._ended = EndedRows(context)
        self._handed_shards: set[int] = set()
        self._fired_by_job: dict[str, FiredRows] = {}
        self._instant_by_job: dict[str, float] = {}
        self._version = 0
        self._due_s = float("-inf")

    def is_due(self) -> bool:
        """Return whether a pass is worth its reads: all jobs in force are read by each."""
        configuration = self._context.configuration()
        if configuration.version != self._version or self._context.clock() >= self._due_s:
            return True
        now_s = self._context.wall_clock()
        return any(instant_s <= now_s for instant_s in self._instant_by_job.values())

    def next_instant_in_s(self, looked_s: float) -> float:
        """Return the seconds until the next instant of a schedule, infinite where none is known.

        :param looked_s: Unix time before the last look. Earlier instants were seen by it; later
            ones may have passed meanwhile.
        """
        instants = [at_s for at_s in self._instant_by_job.values() if at_s > looked_s]
        if not instants:
            return float("inf")
        return max(SHORTEST_PAUSE_S, min(instants) - self._context.wall_clock())

    def run_pass(self) -> None:
        """Admit and complete whatever is due; what fails is tried again by the next pass."""
        configuration = self._context.configuration()
        if not configuration.version or not self._context.vms():
            return
        rows = scan_all(self._context.table, JOB_PREFIX)
        if isinstance(rows, Failure):
            return
        stored = read_jobs(rows)
        is_active = any(item.job.state not in FINAL_STATES for item in stored)
        self._due_s = self._context.clock() + (ACTIVE_EVERY_S if is_active else IDLE_EVERY_S)
        self._version = configuration.version
        self._ended.begin_pass()
        self._admit_generations(configuration, stored)
        self._fire_schedules(configuration, stored)
        self._admit_waiting(configuration, stored)
        self._admit_services(configuration)
        self._wake_handed()
        complete_jobs(self._context, stored)
        self._ended.move_left(stored)
        self._ended.prune(configuration)
        self._prune_impossible(configuration, stored)

    def _admit_generations(
        self, configuration: Configuration, stored: tuple[StoredJob, ...]
    ) -> None:
        known = {item.job.job_id for item in stored}
        job_by_id = {f"{job.name}@{job.generation}": job for job in configuration.jobs}
        # Looked up after the rows in force were read: a job that ended meanwhile is in either.
        unseen = self._ended.select_unseen(
            job_id for job_id, job in job_by_id.items() if not job.schedule and job_id not in known
        )
        if isinstance(unseen, Failure):
            return
        for job_id in unseen:
            self._create(configuration, job_by_id[job_id], job_id, stored, NO_FIRING)

    def _fire_schedules(self, configuration: Configuration, stored: tuple[StoredJob, ...]) -> None:
        self._instant_by_job.clear()
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
        fired = self._fired_by_job.get(job.name) or read_fired(table, job.name)
        if isinstance(fired, Failure):
            return False
        if fired is None:
            mark = first_mark(job.name, now_s)
            # Once the mark is there, the next look finds the first instant.
            return isinstance(table.commit(Transaction(mark.conditions, mark.puts)), Committed)
        firing = next_firing(job, fired, now_s)
        if isinstance(firing, Failure):
            self.invalid_by_job[job.name] = firing
            return False
        self.invalid_by_job.pop(job.name, None)
        if firing is None:
            self._fired_by_job[job.name] = fired
            instant_s = next_instant(job, fired)
            if not isinstance(instant_s, Failure):
                self._instant_by_job[job.name] = instant_s
            return False
        # Whatever comes of it, the rows are read again before the next firing.
        self._fired_by_job.pop(job.name, None)
        job_id = f"{job.name}@{firing.instant}"
        return self._create(configuration, job, job_id, stored, firing)

    def _create(
        self,
        configuration: Configuration,
        job: Job,
        job_id: str,
        stored: tuple[StoredJob, ...],
        firing: Firing | _NoFiring,
    ) -> bool:
        work = job_task_spec(job, job_id)
        row = JobRow(
            job_id=job_id,
            name=job.name,
            team=job.team,
            tasks=job.tasks,
            state="waiting",
            created_s=self._context.wall_clock(),
            work=encode_task_spec(work),
            after=job.after,
        )
        empty = Row(job_key(job_id), ABSENT_VERSION, {})
        return self._decide(configuration, StoredJob(empty, row), stored, firing)

    def _admit_waiting(self, configuration: Configuration, stored: tuple[StoredJob, ...]) -> None:
        for item in stored:
            if item.job.state in UNADMITTED_STATES:
                self._decide(configuration, item, stored, NO_FIRING)

    def _decide(
        self,
        configuration: Configuration,
        item: StoredJob,
        stored: tuple[StoredJob, ...],
        firing: Firing | _NoFiring,
    ) -> bool:
        """Write the job's row as waiting, impossible or admitted, with its tasks if admitted."""
        job = item.job
        obstacle = self._find_obstacle(configuration, job, stored)
        if isinstance(obstacle, ReadFailure):
            return False
        state = _state_with(obstacle)
        reason = obstacle.describe() if obstacle else ""
        if item.row.version and (state, reason) == (job.state, job.reason):
            return False
        parts: tuple[Part, ...] = ()
        if obstacle is None:
            parts = self._split(job)
        value = {**item.row.value, **_fields(job), "state": state, "reason": reason}
        conditions = [Condition(item.row.key, item.row.version), *firing.conditions]
        if not item.row.version:
            # An entry that was paused must not admit again what began and ended meanwhile.
            conditions.append(Condition(ended_key(job.job_id), ABSENT_VERSION))
        outcome = self._context.table.commit(
            Transaction(
                tuple(conditions),
                (
                    Put(item.row.key, value),
                    *firing.puts,
                    *_inbox_puts(job.job_id, job.work, parts),
                ),
                firing.deletes,
            )
        )
        if isinstance(outcome, Committed):
            self._context.timeline.record("job_" + state, job.job_id, reason=reason)
            self._note_handed(parts, decode_task_spec(job.work).urgent)
        return isinstance(outcome, Committed)

    def _find_obstacle(
        self, configuration: Configuration, job: JobRow, stored: tuple[StoredJob, ...]
    ) -> Failure | None:
        size = _size(job)
        largest = largest_capacity(size, self._context.vms())
        if largest is not None:
            return JobTooLarge(job.job_id, tuple(size), tuple(largest))
        for team in configuration.teams:
            if team.name == job.team and not size.fits(team.quota):
                return QuotaTooSmall(job.job_id, team.name, tuple(team.quota))
        for name in job.after:
            ended = self._ended.newest(name)
            if isinstance(ended, Failure):
                return ended
            state = _newest_state(name, stored if ended is None else (ended, *stored))
            if state != "finished":
                return DependencyPending(job.job_id, name, state)
        return None

    def _split(self, job: JobRow) -> tuple[Part, ...]:
        return split_tasks(
            _size(job),
            job.tasks,
            self._context.vms(),
            self._context.shard_hints(),
            self._context.shard_count,
            self._shared.zone_is_in,
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
            largest = largest_capacity(service.size, self._context.vms())
            if largest is not None:
                reason = JobTooLarge(service.name, tuple(service.size), tuple(largest)).describe()
        change = change_service(row, service, reason, self._context.wall_clock())
        if change is None:
            return
        parts: tuple[Part, ...] = ()
        work = {}
        if change.added:
            work = encode_task_spec(replica_task_spec(service, change.job_id))
            parts = spread_replicas(
                service.size,
                change.added,
                self._context.vms(),
                self._context.shard_count,
                self._shared.zone_is_in,
            )
        puts = _inbox_puts(change.job_id, work, parts)
        outcome = self._context.table.commit(
            Transaction((Condition(row.key, row.version),), (Put(row.key, change.value), *puts))
        )
        if isinstance(outcome, Committed):
            self._note_handed(parts, True)
        self._context.timeline.record(
            "service_changed",
            row.key.removeprefix(SERVICE_PREFIX),
            added=len(change.added),
            outcome=type(outcome).__name__,
        )

    def _note_handed(self, parts: Iterable[Part], at_once: bool) -> None:
        self._handed_shards.update(part.shard for part in parts)
        if at_once:
            self._wake_handed()

    def _wake_handed(self) -> None:
        while self._handed_shards:
            self._wake_owner(self._handed_shards.pop())

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
            for item in impossible[:-KEEP_IMPOSSIBLE_JOBS]:
                condition = Condition(item.row.key, item.row.version)
                self._context.table.commit(Transaction((condition,), (), (item.row.key,)))


def _size(job: JobRow) -> Size:
    return decode_task_spec(job.work).size


def _newest_state(name: str, stored: Iterable[StoredJob]) -> str:
    jobs = [item.job for item in stored if item.job.name == name]
    if not jobs:
        return "absent"
    return max(jobs, key=lambda job: job.created_s).state


def _state_with(obstacle: Failure | None) -> str:
    if obstacle is None:
        return "admitted"
    return "waiting" if isinstance(obstacle, DependencyPending) else "impossible"


def _fields(job: JobRow) -> dict:
    return {name: getattr(job, name) for name in job.__struct_fields__}


def _inbox_puts(job_id: str, work: dict, parts: Iterable[Part]) -> list[Put]:
    return [
        inbox_put(part.shard, f"{job_id}-{part.first}", Chunk(work, part.first, part.count))
        for part in parts
    ]
