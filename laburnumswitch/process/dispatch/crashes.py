"""Which tasks are to blame if their workers crash, and what of it is stored.

A task may crash each worker that starts it. A worker runs a dozen tasks when it crashes, so one
crash does not tell which of them caused it. The crash counts for the runs that had started shortly
before it, as a run that goes on for a while has shown that it does no harm. Their tasks are started
on different workers then, so that the next crash tells them apart.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError
from xxhash import xxh32_intdigest

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Crash
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.rows.table import Row

# A run that its worker survives for this long, in seconds, is not to blame for a later crash. Tasks
# that crash their workers do so right after their start.
SURVIVAL_S = 2.0
# Crashes after which a task is given up if it was each time the last one that had started.
CRASHES_OF_LAST_STARTED = 2
# Crashes after which a task is given up in any case.
MAX_CRASHES = 3
# Runs that started within this time of each other, in seconds, cannot be told apart by their order.
SAME_START_S = 0.05
# Workers of one availability zone that end within ``GROUP_WINDOW_S`` have a common cause, such as a
# loss of power, if they are at least ``MIN_GROUP`` and this share of its workers.
GROUP_WINDOW_S = 1.0
MIN_GROUP = 3
GROUP_SHARE = 0.05
# So have as many workers of all zones, unless tasks of one job are suspected for at least this
# share of the crashes.
MIN_BLAMED_SHARE = 0.5
# A crash counts in any case for a run whose worker gave no sign of life later than this after it
# had answered the start, in seconds.
MIN_EXCUSED_SURVIVAL_S = 0.1
# Maximum number of crashes of a task that count as of a common cause of all zones. With
# ``MAX_CRASHES`` more, a task starts at most twice after three workers have crashed under it.
MAX_EXCUSED_RUNS = 2
# How long crashes are kept, in seconds: for the crashes of one task until it is given up.
HISTORY_S = 60.0

CRASHES_TABLE = "crashes"
# Number of rows that store crashed runs: a row of the platform's store holds 64 KiB, and a task
# takes about 60 bytes.
CRASHES_PARTS = 8


class CrashedTask(NamedTuple):
    """A task of a job that has not ended, and the numbers of its runs that count as crashes."""

    task: TaskKey
    runs: tuple[int, ...]


def find_suspects(runs: Iterable[ActiveRun], last_sign_s: float) -> list[tuple[ActiveRun, Crash]]:
    """Return the runs for which the crash of their worker counts.

    How long it survived a run that only an earlier owner has told of is not known.

    :param last_sign_s: when the worker last gave a sign of life.
    """
    runs = list(runs)
    last_started_s = max((run.started_s for run in runs), default=0.0)
    last_started = [run for run in runs if last_started_s - run.started_s < SAME_START_S]
    suspects = []
    for run in runs:
        # A start that was not answered may have been carried out late.
        confirmed_s = last_sign_s if run.confirmed_s is None else run.confirmed_s
        survived_s = max(0.0, last_sign_s - confirmed_s)
        if survived_s < SURVIVAL_S and not run.is_inherited:
            suspects.append((run, Crash(survived_s, last_started == [run])))
    return suspects


def is_excusable(run: ActiveRun, crash: Crash) -> bool:
    """Return whether something other than a run may have crashed its worker.

    A task that crashes its worker does so right after its start. A start that was not answered may
    have been sent to a worker that had crashed before.
    """
    return run.confirmed_s is None or crash.survived_s >= MIN_EXCUSED_SURVIVAL_S


def is_to_blame(crash_count: int, was_always_last_started: bool) -> bool:
    """Return whether a task is given up after some crashes of its workers."""
    if crash_count >= MAX_CRASHES:
        return True
    return was_always_last_started and crash_count >= CRASHES_OF_LAST_STARTED


class _WorkerCrash(NamedTuple):
    at_s: float
    zone: str
    worker_id: str
    is_excusable_by_run: dict[tuple[TaskKey, int], bool]


class CrashWindow:
    """Recent crashes, to tell those that tasks cause from a loss of many workers."""

    def __init__(self) -> None:
        self._recent: deque[_WorkerCrash] = deque()

    def add(
        self,
        zone: str,
        worker_id: str,
        now_s: float,
        is_excusable_by_run: dict[tuple[TaskKey, int], bool] | None = None,
    ) -> None:
        """Record the crash of a worker.

        :param is_excusable_by_run: by task and number of a run, whether it may be excused, see
            ``is_excusable``; for those that the worker had started shortly before.
        """
        self._recent.append(_WorkerCrash(now_s, zone, worker_id, is_excusable_by_run or {}))
        while now_s - self._recent[0].at_s > HISTORY_S:
            self._recent.popleft()

    def is_group(self, zone: str, worker_count: int) -> bool:
        """Return whether the last crash in a zone is one of many with a common cause.

        :param worker_count: number of the workers of the zone.
        """
        in_zone = [crash for crash in self._recent if crash.zone == zone]
        last_s = in_zone[-1].at_s if in_zone else 0.0
        crashed = {crash.worker_id for crash in in_zone if last_s - crash.at_s <= GROUP_WINDOW_S}
        return _is_many(len(crashed), worker_count)

    def excused_runs(self, task: TaskKey, runs: Iterable[int], worker_count: int) -> list[int]:
        """Return the crashed runs of a task that ended with many workers of all zones at a time.

        A task that crashes workers is suspected for most of the crashes around its own, or other
        tasks of its job are. Only ``MAX_EXCUSED_RUNS`` are excused, as several such jobs may crash
        their workers at the same time.

        :param worker_count: number of all workers.
        """
        crash_by_run = {
            run: crash
            for crash in self._recent
            for (suspect, run), may_be_excused in crash.is_excusable_by_run.items()
            if suspect == task and may_be_excused
        }
        excused = [
            run
            for run in runs
            if run in crash_by_run
            and self._has_other_cause(task.job_id, crash_by_run[run].at_s, worker_count)
        ]
        return sorted(excused)[:MAX_EXCUSED_RUNS]

    def _has_other_cause(self, job_id: str, at_s: float, worker_count: int) -> bool:
        around = [crash for crash in self._recent if abs(crash.at_s - at_s) <= GROUP_WINDOW_S]
        of_job = sum(
            any(task.job_id == job_id for task, _ in crash.is_excusable_by_run) for crash in around
        )
        return _is_many(len(around), worker_count) and of_job < MIN_BLAMED_SHARE * len(around)


def _is_many(crash_count: int, worker_count: int) -> bool:
    return crash_count >= max(MIN_GROUP, GROUP_SHARE * worker_count)


def crashes_key(job_id: str) -> str:
    """Return the key of the row that stores the crashed runs of a job's tasks."""
    return f"{CRASHES_TABLE}/{xxh32_intdigest(job_id.encode()) % CRASHES_PARTS}"


def collect_crashes(
    rows: Iterable[Row], report_malformed: Callable[[RowMalformed], None]
) -> list[CrashedTask]:
    """Return the stored tasks with crashed runs."""
    crashed: list[CrashedTask] = []
    for row in rows:
        try:
            crashed += convert(row.value, list[CrashedTask])
        except ValidationError as error:
            report_malformed(RowMalformed(row.key, str(error)))
    return crashed
