"""Stops of runs on workers that are about to leave, so that their tasks run elsewhere.

This handles planned replacements of workers. A run that is still there when its worker leaves
counts as running until its lease has certainly lapsed, and loses its work since the last
checkpoint. Long-running tasks move soon after the notice, a few of a step at a time. Other runs
that end in time stay, and the rest are stopped as late as possible. A run without checkpoints that
clearly cannot end in time is stopped soon, since all of its work will be thrown away.
"""

from collections.abc import Callable
from collections.abc import Iterable
from math import ceil
from math import inf
from typing import NamedTuple

from laburnumswitch.process.daemon.deployment import Bounds
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import step_estimate_s

# The end of a run should be listed this long, in seconds, before its worker may leave: the worker's
# next report may have to wait for a commit.
END_REPORT_MARGIN_S = 0.5
# Time in seconds from the stop of a long-running task until it is expected to be at work elsewhere.
MOVE_S = 1.0
# Estimates are rough: a run without checkpoints is stopped early only if it is expected to take
# more than this multiple of the time that is left.
HOPELESS_FACTOR = 2.0
# Work, in percent, that a run must have done since its first report before its own speed replaces
# the estimate: progress is reported in whole percent.
MIN_OBSERVED_PERCENT = 5.0


class Candidate(NamedTuple):
    """A run on a draining worker.

    :ivar unavailable_count: number of tasks of its step that are not at work now.
    :ivar may_restart: whether its task can be started again as soon as the run has ended.
    """

    worker: Worker
    run: ActiveRun
    unavailable_count: int
    may_restart: bool


class Stop(NamedTuple):
    """A run to stop now.

    :ivar remaining_s: minimum time until its worker leaves, in seconds; negative once that is over.
    :ivar expected_s: expected time until the run would end by itself, in seconds.
    """

    worker: Worker
    run: ActiveRun
    reason: str
    remaining_s: float
    expected_s: float


class Room:
    """Capacity of the workers that remain, from which the tasks to move are subtracted.

    This shows whether there is room, not where the planner will place a task.

    :ivar free: the capacity by worker, in the order of ``workers``.
    """

    def __init__(
        self, workers: Iterable[Worker], ends_soon: Callable[[ActiveRun], bool] | None = None
    ) -> None:
        """Create the room.

        :param ends_soon: whether what a run uses counts as free; by default it never does.
        """
        self.free = [FreeCapacity(worker) for worker in workers]
        if ends_soon is not None:
            for free in self.free:
                free.release(run for run in free.worker.runs_by_task.values() if ends_soon(run))

    def take(self, step: Step, task: TaskKey, count: int = 1) -> bool:
        """Subtract some tasks of a step, or nothing if they do not all fit."""
        placed: list[FreeCapacity] = []
        for free in self.free:
            while len(placed) < count and free.fits(step, task):
                free.add(step, task, 1)
                placed.append(free)
            if len(placed) == count:
                return True
        for free in placed:
            free.add(step, task, -1)
        return False

    def take_some(self, step: Step, task: TaskKey, count: int) -> int:
        """Subtract as many tasks of a step as fit, and return how many do."""
        taken = 0
        for free in self.free:
            while taken < count and free.fits(step, task):
                free.add(step, task, 1)
                taken += 1
        return taken

    def take_gang(self, step: Step, task: TaskKey) -> bool:
        """Subtract all members of a gang that moves, or nothing if they do not all fit.

        What its members use on the workers that remain becomes free.
        """
        own = [(free, free.worker.count_runs(task)) for free in self.free]
        for free, count in own:
            free.add(step, task, -count)
        if self.take(step, task, step.count):
            return True
        for free, count in own:
            free.add(step, task, count)
        return False


class FreeCapacity:
    """Capacity of one worker that nothing uses."""

    def __init__(self, worker: Worker) -> None:
        listing = worker.listing
        self.worker = worker
        self._cpu_millis = listing.cpu_millis - worker.used_cpu_millis
        self._memory_mb = listing.memory_mb - worker.used_memory_mb
        self._accelerators = listing.accelerators - worker.used_accelerators
        self._added_by_step: dict[tuple[str, int, int], int] = {}

    def fits(self, step: Step, task: TaskKey) -> bool:
        """Return whether there is room for one more task of a step.

        :param task: any task of the step.
        """
        if step.required_label and step.required_label not in self.worker.listing.labels:
            return False
        if step.max_per_worker:
            count = self.worker.count_runs(task) + self._added_by_step.get(task[:3], 0)
            if count >= step.max_per_worker:
                return False
        return (
            (step.best_effort or step.cpu_millis <= self._cpu_millis)
            and step.memory_mb <= self._memory_mb
            and step.accelerators <= self._accelerators
        )

    def release(self, runs: Iterable[ActiveRun]) -> None:
        """Count what some runs use as free."""
        for run in runs:
            self.add(run.step, run.task, -1)

    def add(self, step: Step, task: TaskKey, count: int) -> None:
        """Subtract what some tasks of a step use; a negative number of them gives it back."""
        if not step.best_effort:
            self._cpu_millis -= count * step.cpu_millis
        self._memory_mb -= count * step.memory_mb
        self._accelerators -= count * step.accelerators
        key = task[:3]
        self._added_by_step[key] = self._added_by_step.get(key, 0) + count


def choose_stops(
    candidates: Iterable[Candidate], room: Room, bounds: Bounds, now_s: float
) -> list[Stop]:
    """Return the runs on draining workers to stop now."""
    groups: dict[object, list[Candidate]] = {}
    for candidate in candidates:
        run = candidate.run
        key: object = run.task
        if run.step.gang:
            key = run.task[:3]
        elif run.step.long_running:
            key = (run.task[:3], candidate.worker.worker_id)
        groups.setdefault(key, []).append(candidate)
    stops: list[Stop] = []
    for group in sorted(groups.values(), key=_group_order):
        run = group[0].run
        if run.step.gang:
            stops += _stops_of_gang(group, room, bounds, now_s)
        elif run.step.long_running:
            stopped_count = sum(1 for stop in stops if stop.run.task[:3] == run.task[:3])
            away_count = group[0].unavailable_count + stopped_count
            stops += _stops_of_long_running(group, away_count, room, bounds, now_s)
        else:
            stops += _stops_of_run(group[0], room, bounds, now_s)
    return stops


def expected_remaining_s(run: ActiveRun, now_s: float) -> float:
    """Return the expected time until a run ends by itself, in seconds."""
    return max(0.0, predicted_remaining_s(run, now_s))


def predicted_remaining_s(run: ActiveRun, now_s: float, duration_factor: float = 1.0) -> float:
    """Return the time until the predicted end of a run, negative once that has passed.

    It follows from the run's own speed once that is known, otherwise from the estimate.

    :param duration_factor: ratio of the expected duration to the estimate.
    """
    if run.step.long_running:
        return inf
    left_percent = 100.0 - run.progress_percent
    observed_percent = run.progress_percent - run.first_progress_percent
    if run.first_reported_s is not None and observed_percent >= MIN_OBSERVED_PERCENT:
        observed_s = run.reported_s - run.first_reported_s
        left_s = observed_s * left_percent / observed_percent
    else:
        left_s = step_estimate_s(run.step) * duration_factor * left_percent
        left_s /= max(1.0, run.speed_percent)
    return left_s - (now_s - run.reported_s)


def _group_order(group: list[Candidate]) -> tuple[float, bool]:
    # Long-running tasks have no work that could still finish, and move first.
    leaves_s = min(candidate.worker.leaves_s for candidate in group)
    return leaves_s, not group[0].run.step.long_running


def _latest_stop_s(worker: Worker, bounds: Bounds) -> float:
    return worker.leaves_s - bounds.stop_s - END_REPORT_MARGIN_S


def _stops_of_long_running(
    group: list[Candidate], away_count: int, room: Room, bounds: Bounds, now_s: float
) -> list[Stop]:
    """Return the tasks of one step that move now from one worker.

    They move a few at a time where the time allows that.

    :param away_count: number of tasks of the step that are not at work.
    """
    first = group[0]
    step = first.run.step
    spare_s = _latest_stop_s(first.worker, bounds) - now_s
    at_once = max(1, step.max_unavailable)
    # Without a place elsewhere, a reported end still lets a task start as soon as there is one.
    is_last_moment = spare_s <= 0.0 and first.worker.listing.remaining_s is not None
    limit = len(group)
    if spare_s >= MOVE_S:
        needed = ceil(len(group) / int(spare_s / MOVE_S))
        limit = max(at_once, needed) - away_count
    stops: list[Stop] = []
    for candidate in group:
        if len(stops) >= limit:
            break
        has_room = candidate.may_restart and room.take(step, candidate.run.task)
        if not (has_room or is_last_moment):
            break
        stops.append(_stop(candidate, "its worker leaves", now_s))
    return stops


def _stops_of_run(candidate: Candidate, room: Room, bounds: Bounds, now_s: float) -> list[Stop]:
    reason = _reason_to_stop(candidate, bounds, now_s)
    if not reason:
        return []
    has_room = candidate.may_restart and room.take(candidate.run.step, candidate.run.task)
    if has_room or now_s >= _latest_stop_s(candidate.worker, bounds):
        return [_stop(candidate, reason, now_s)]
    return []


def _stops_of_gang(group: list[Candidate], room: Room, bounds: Bounds, now_s: float) -> list[Stop]:
    """Return the members on draining workers; the others end with them."""
    first = min(group, key=lambda candidate: candidate.worker.leaves_s)
    step = first.run.step
    reason = "its worker leaves" if step.long_running else _reason_to_stop(first, bounds, now_s)
    if not reason:
        return []
    has_room = first.may_restart and room.take_gang(step, first.run.task)
    is_last_moment = now_s >= _latest_stop_s(first.worker, bounds) and not step.long_running
    if has_room or is_last_moment:
        return [_stop(candidate, reason, now_s) for candidate in group]
    return []


def _reason_to_stop(candidate: Candidate, bounds: Bounds, now_s: float) -> str:
    worker, run = candidate.worker, candidate.run
    expected_s = expected_remaining_s(run, now_s)
    remaining_s = worker.leaves_s - now_s
    if expected_s <= max(remaining_s - END_REPORT_MARGIN_S, bounds.stop_s):
        return ""
    if now_s >= _latest_stop_s(worker, bounds):
        return "it does not end before its worker leaves"
    if not run.step.checkpoints and expected_s > HOPELESS_FACTOR * remaining_s:
        return "its work cannot be saved before its worker leaves"
    return ""


def _stop(candidate: Candidate, reason: str, now_s: float) -> Stop:
    worker, run = candidate.worker, candidate.run
    return Stop(worker, run, reason, worker.leaves_s - now_s, expected_remaining_s(run, now_s))
