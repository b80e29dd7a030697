"""Stored placements of long-running tasks: the record of which of their runs may exist.

An owner that ends without a handover leaves runs of other tasks that only the workers know, and a
worker that does not answer may run any of them. Long-running tasks have to run again within some
seconds, so for them the store says where a run may exist, and a successor starts all others without
waiting for workers that have nothing to do with them.

Invariant: a run of a long-running task that may exist, now or once a command arrives that was sent
before, is the one in the store, on the worker that is stored with it. It holds as

* a start is sent only after the commit of its placement. An owner that ends between the two leaves
  a placement without a run, which the worker denies to the successor, or which lapses. A commit
  whose answer was lost counts only once the recorder has found it, and a superseded owner cannot
  commit, so that it sends only starts that its successor has read;
* such a late start, and one that was not answered, carry a lower fencing token than the commands of
  the successor. It takes the run as one that may exist until the worker has answered these, or
  the lease has lapsed;
* a placement is replaced only once its run has certainly ended: the end was reported, the worker
  answered without it, its lease has lapsed, or the worker was dropped. A worker that starts again
  under its id keeps its placements until one of these holds;
* an end that was reported to an owner that ended before it stored it is not acknowledged, so the
  worker repeats it, and the placement is still there. With ``done`` the task is never stored as
  waiting, as this would have to be committed no earlier than the job's progress;
* the members of a gang are sent only once the placements of all of them are committed.

``leadership/succession`` says whether all owners since the placements were complete have kept this.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Annotated
from typing import NamedTuple

from msgspec import convert
from msgspec import Meta
from msgspec import ValidationError

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.dispatch.step_state import Task
from laburnumswitch.process.rows.store_clock import StoreTime
from laburnumswitch.process.rows.table import Row

PLACEMENTS_TABLE = "placements"
# Number of tasks of a step in one row. A row of the platform's store holds 64 KiB; a task takes
# about 40 bytes, and 250 if the id of its worker is as long as keys may be.
TASKS_PER_ROW = 100
# Maximum number of placement rows in one commit, which holds 100 entries and 1 MB.
ROWS_PER_BATCH = 20
# Longest wait for one commit, in seconds, before its state is checked again.
COMMIT_WAIT_S = 1.0

NonNegative = Annotated[int, Meta(ge=0)]


class Placement(NamedTuple):
    """Where a run of a long-running task may exist.

    :ivar index: of the task in its step.
    :ivar run: number of the run, or of the last one if none may exist; 0 before the first one.
    :ivar worker_id: the worker of the run, empty if none may exist.
    :ivar is_done: whether the task has ended as done, and must not start again.
    :ivar down_since_s: when its last run ended, on the store's clock; ``None`` if unknown, or while
        a run may exist.
    """

    index: NonNegative
    run: NonNegative
    worker_id: str = ""
    is_done: bool = False
    down_since_s: float | None = None


class RowKey(NamedTuple):
    """Tasks of one step whose placements share a row."""

    job_id: str
    occurrence: int
    step: int
    part: int


class StoredPlacements(NamedTuple):
    """Placements as read from the store.

    :ivar malformed_names: keys of the rows that cannot be read.
    :ivar unreadable_job_ids: the jobs of these rows.
    """

    placements_by_key: dict[RowKey, tuple[Placement, ...]]
    malformed_names: tuple[str, ...]
    unreadable_job_ids: frozenset[str]


def row_name(key: RowKey) -> str:
    """Return the key of a row in the store."""
    return f"{PLACEMENTS_TABLE}/{key.job_id}/{key.occurrence}.{key.step}.{key.part}"


def row_of(task: TaskKey) -> RowKey:
    """Return the row that holds the placement of a task."""
    return RowKey(task.job_id, task.occurrence, task.step, task.index // TASKS_PER_ROW)


def describe_placements(
    job: Job, key: RowKey, to_store_s: Callable[[float], float | None]
) -> tuple[Placement, ...]:
    """Return the placements of one row; tasks that have never run are left out.

    :param to_store_s: converts an instant of the owner's clock to the store's.
    """
    first = key.part * TASKS_PER_ROW
    step_state = job.step_state(TaskKey(key.job_id, key.occurrence, key.step, first))
    if step_state is None:
        return ()
    tasks = [
        task
        for task in step_state.known_tasks()
        if row_of(task.key) == key and (task.last_run or task.is_done)
    ]
    return tuple(
        _describe(task, to_store_s) for task in sorted(tasks, key=lambda each: each.key.index)
    )


def _describe(task: Task, to_store_s: Callable[[float], float | None]) -> Placement:
    run = task.active_run or task.last_run
    down_since_s = None
    if task.down_since_s is not None and not task.active_run:
        store_s = to_store_s(task.down_since_s)
        down_since_s = None if store_s is None else round(store_s, 3)
    return Placement(task.key.index, run, task.worker_id, task.is_done, down_since_s)


def collect_placements(
    rows: Iterable[Row], report_malformed: Callable[[RowMalformed], None]
) -> StoredPlacements:
    """Decode the stored placements."""
    placements_by_key = {}
    malformed_names = []
    unreadable = set()
    for row in rows:
        job_id, _, position = row.key.partition("/")[2].rpartition("/")
        try:
            occurrence, step, part = (int(number) for number in position.split("."))
            placements = convert(row.value, tuple[Placement, ...])
        except (ValueError, ValidationError) as error:
            report_malformed(RowMalformed(row.key, str(error)))
            malformed_names.append(row.key)
            unreadable.add(job_id)
            continue
        placements_by_key[RowKey(job_id, occurrence, step, part)] = placements
    return StoredPlacements(placements_by_key, tuple(malformed_names), frozenset(unreadable))


class Placements:
    """Placements of the long-running tasks as this owner stores them.

    :ivar is_complete: whether the store held all placements when this owner's term began, or holds
        them by now.
    :ivar unreadable_job_ids: jobs with stored placements that could not be read.
    :ivar malformed_names: keys of the rows of these.
    :ivar unsent_runs: runs whose starts wait for the commit of their placements.
    """

    def __init__(
        self,
        recorder: Recorder,
        store_time: StoreTime,
        spawn: Callable[..., None],
        is_stopped: Callable[[], bool],
    ) -> None:
        self.is_complete = False
        self.unreadable_job_ids: set[str] = set()
        self.malformed_names: tuple[str, ...] = ()
        self.unsent_runs: set[ActiveRun] = set()
        self._recorder = recorder
        self._store_time = store_time
        self._spawn = spawn
        self._is_stopped = is_stopped
        self._is_storing = False
        # Rows that have changed since they were last queued.
        self._changed_job_by_key: dict[RowKey, Job] = {}
        # Rows as last queued or loaded, and the batches that contain them.
        self._stored_by_key: dict[RowKey, tuple[Placement, ...]] = {}
        self._batch_by_key: dict[RowKey, int] = {}
        self._keys_by_job_id: dict[str, set[RowKey]] = {}

    def knows_runs(self, job: Job, step: Step) -> bool:
        """Return whether all runs of a step that may exist are known from their placements."""
        is_known = self.is_complete and job.job_id not in self.unreadable_job_ids
        return is_known and step.long_running

    def note_loaded(self, key: RowKey, placements: tuple[Placement, ...]) -> None:
        """Note a row that is in the store already."""
        self._keys_by_job_id.setdefault(key.job_id, set()).add(key)
        self._stored_by_key[key] = placements

    def note_change(self, job: Job, task: Task) -> None:
        """Queue the placement of a task for storage, if it is a long-running one.

        Those of ended jobs stay as they are until the rows are removed, and those that cannot be
        read until all runs of the job are known.
        """
        if not job.step_state(task.key).step.long_running or job.is_final():
            return
        if job.job_id not in self.unreadable_job_ids:
            self._changed_job_by_key[row_of(task.key)] = job
            self._store_soon()

    def note_all(self, job: Job) -> None:
        """Queue the placements of all long-running tasks of a job for storage."""
        for occurrence in job.occurrences:
            for step_state in occurrence.steps:
                if step_state.step.long_running:
                    for index in range(0, step_state.step.count, TASKS_PER_ROW):
                        self.note_change(job, step_state.task(index))

    def _store_soon(self) -> None:
        if not self._is_storing:
            self._is_storing = True
            self._spawn(self._store_changed)

    def _store_changed(self) -> None:
        while self._changed_job_by_key and not self._is_stopped():
            room = ROWS_PER_BATCH - self._recorder.count_queued_rows(f"{PLACEMENTS_TABLE}/")
            for key in list(self._changed_job_by_key)[: max(0, room)]:
                self._store(key, self._changed_job_by_key.pop(key))
            if self._changed_job_by_key:
                self._recorder.wait_for(self._recorder.committed + 1, COMMIT_WAIT_S)
        self._is_storing = False

    def _store(self, key: RowKey, job: Job) -> None:
        if job.is_final():
            return
        placements = describe_placements(job, key, self._store_time.to_store_s)
        if placements != self._stored_by_key.get(key, ()):
            self.note_loaded(key, placements)
            self._batch_by_key[key] = self._recorder.queue_row(row_name(key), placements)

    def sent(self, worker: Worker) -> list[ActiveRun]:
        """Return the runs of a worker whose starts may have been sent."""
        return [run for run in worker.runs_by_task.values() if run not in self.unsent_runs]

    def wait_until_stored(self, tasks: Iterable[TaskKey], is_wanted: Callable[[], bool]) -> bool:
        """Wait until the present placements of some tasks are committed.

        :param is_wanted: the wait ends without it.
        """
        keys = {row_of(task) for task in tasks}
        while is_wanted() and not self._is_stopped():
            if not keys & self._changed_job_by_key.keys():
                batch = max(self._batch_by_key.get(key, 0) for key in keys)
                while is_wanted() and not self._is_stopped():
                    if self._recorder.wait_for(batch, COMMIT_WAIT_S):
                        return is_wanted()
                return False
            self._recorder.wait_for(self._recorder.committed + 1, COMMIT_WAIT_S)
        return False

    def wait_until_all_stored(self) -> bool:
        """Wait until nothing is left to store, and return whether the term goes on."""
        while not self._is_stopped():
            batch = max(self._batch_by_key.values(), default=0)
            if not self._changed_job_by_key and self._recorder.committed >= batch:
                return True
            self._recorder.wait_for(self._recorder.committed + 1, COMMIT_WAIT_S)
        return False

    def remove_job(self, job_id: str) -> None:
        """Queue the removal of the rows of a job that has ended."""
        for key in [key for key in self._changed_job_by_key if key.job_id == job_id]:
            del self._changed_job_by_key[key]
        keys = self._keys_by_job_id.pop(job_id, set())
        for key in keys:
            self._stored_by_key.pop(key, None)
            self._batch_by_key.pop(key, None)
        if keys:
            self._recorder.queue_removals(tuple(sorted(row_name(key) for key in keys)))

    def remove_malformed(self) -> None:
        """Queue the removal of rows that cannot be read, unless they were replaced."""
        replaced = {row_name(key) for keys in self._keys_by_job_id.values() for key in keys}
        names = tuple(name for name in self.malformed_names if name not in replaced)
        self.malformed_names = ()
        if names:
            self._recorder.queue_removals(names)


def may_have_unknown_runs(placements: Placements, job: Job, step: Step) -> bool:
    """Return whether an earlier owner may have started tasks of a step that are not known yet."""
    return job.may_have_unknown_runs and not placements.knows_runs(job, step)
