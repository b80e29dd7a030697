"""Stops of long-running tasks that leave no room for urgent ones.

This handles fleets that long-running tasks fill before urgent work arrives. What they leave free is
in pieces on all workers, too small for most urgent tasks, and long-running tasks do not end. An
urgent task holds its room for a second or so; the next one uses it then, so the number of stops
follows the peak of urgent work and not the number of urgent tasks.
"""

from collections import Counter
from collections.abc import Iterable
from heapq import nsmallest
from typing import NamedTuple

from laburnumswitch.process.dispatch.availability import unavailable_count
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.draining import expected_remaining_s
from laburnumswitch.process.dispatch.draining import FreeCapacity
from laburnumswitch.process.dispatch.draining import Room
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.headroom import MAX_HEADROOM_SHARE
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.placements import may_have_unknown_runs

# Maximum number of runs stopped in one pass: what they free is known only after they have ended.
MAX_STOPS_PER_PASS = 16
# Longest pass, in seconds.
MAX_PASS_S = 0.015


class WaitingStep(NamedTuple):
    """An urgent step with ``count`` tasks that wait for room."""

    ready: ReadyStep
    queue: Queue
    count: int


class _Clearance(NamedTuple):
    """Runs to stop on a worker for one task, and the processors that they use."""

    cpu_millis: int
    free: FreeCapacity
    runs: list[ActiveRun]


def make_room(
    dispatcher: Dispatcher, waiting_steps: Iterable[WaitingStep], workers: list[Worker]
) -> None:
    """Stop long-running tasks on the workers of a service, for urgent tasks without room.

    Room that becomes free within the time that a stop takes is used first. Urgent tasks together
    get at most ``MAX_HEADROOM_SHARE`` of the processors in this way.

    :param waiting_steps: the steps in the order in which they are started.
    """
    context = dispatcher.context
    now_s = context.clock()
    until_s = now_s + MAX_PASS_S
    ending_s = context.deployment.bounds.stop_s
    room = Room(workers, lambda run: _ends_within(run, ending_s, now_s))
    limits = _Limits(dispatcher, workers)
    for waiting in waiting_steps:
        step_state = waiting.ready.step_state
        step, task = step_state.step, step_state.task_key(0)
        missing = waiting.count
        missing -= room.take_some(step, task, missing)
        if missing:
            limits.clear(waiting, room, missing)
        if limits.stops_left <= 0 or context.clock() > until_s:
            return


def _ends_within(run: ActiveRun, limit_s: float, now_s: float) -> bool:
    if run.is_stopping:
        return True
    return run.step.is_urgent and expected_remaining_s(run, now_s) <= limit_s


class _Limits:
    """What may still be stopped in one pass.

    :ivar stops_left: number of runs that may still be stopped.
    """

    def __init__(self, dispatcher: Dispatcher, workers: list[Worker]) -> None:
        capacity = sum(worker.listing.cpu_millis for worker in workers)
        used = sum(worker.urgent_cpu_millis for worker in workers)
        stopping = sum(
            run.step.cpu_millis
            for worker in workers
            for run in worker.runs_by_task.values()
            if run.is_stopping and run.step.long_running
        )
        self.stops_left = MAX_STOPS_PER_PASS
        self._dispatcher = dispatcher
        self._cpu_millis_left = MAX_HEADROOM_SHARE * capacity - used - stopping
        self._unavailable_by_step: dict[tuple[str, int, int], int] = {}
        self._stoppable_by_worker: dict[tuple[str, int], list[ActiveRun]] = {}

    def clear(self, waiting: WaitingStep, room: Room, count: int) -> None:
        """Stop runs on the workers where this costs least, for some tasks of a step."""
        step_state = waiting.ready.step_state
        step, task = step_state.step, step_state.task_key(0)
        clearances = (
            clearance
            for free in room.free
            if step.cpu_millis <= free.worker.listing.cpu_millis
            and (clearance := self._clearance(free, step, task, waiting.queue)) is not None
        )
        cheapest = nsmallest(count, clearances, key=lambda each: each.cpu_millis)
        for free in [clearance.free for clearance in cheapest]:
            # The stops on the workers before may have used up the limit of a step.
            clearance = self._clearance(free, step, task, waiting.queue)
            if clearance is None:
                continue
            if self.stops_left < len(clearance.runs) or self._cpu_millis_left < step.cpu_millis:
                return
            for run in clearance.runs:
                self._stop(free.worker, run, task)
            free.release(clearance.runs)
            free.add(step, task, 1)
            self._cpu_millis_left -= step.cpu_millis

    def _clearance(
        self, free: FreeCapacity, step: Step, task: TaskKey, queue: Queue
    ) -> _Clearance | None:
        left_by_step: dict[tuple[str, int, int], int] = {}
        stoppable = []
        for run in self._stoppable_runs(free.worker, queue.priority):
            left = max(1, run.step.max_unavailable) - self._unavailable_by_step[run.task[:3]]
            if left > 0 and not run.is_stopping:
                left_by_step[run.task[:3]] = left
                stoppable.append(run)
        runs = choose_runs(free, step, task, stoppable, left_by_step)
        if runs is None:
            return None
        return _Clearance(sum(run.step.cpu_millis for run in runs), free, runs)

    def _stoppable_runs(self, worker: Worker, priority: int) -> list[ActiveRun]:
        """Return the runs of a worker that may be stopped for a queue of a priority."""
        key = (worker.worker_id, priority)
        runs = self._stoppable_by_worker.get(key)
        if runs is None:
            runs = self._stoppable_by_worker[key] = [
                run for run in worker.runs_by_task.values() if self._may_stop(run, priority)
            ]
        return runs

    def _may_stop(self, run: ActiveRun, priority: int) -> bool:
        if not run.step.long_running or run.step.best_effort or run.step.gang:
            return False
        if run.confirmed_s is None or run.is_uncertain:
            return False
        job = self._dispatcher.jobs_by_id.get(run.task.job_id)
        if job is None or job.is_final():
            return False
        dispatcher = self._dispatcher
        if not dispatcher.settled and may_have_unknown_runs(dispatcher.placements, job, run.step):
            # Its task could not start again for some time.
            return False
        if not self._dispatcher.quota_gate.may_restart(job.submission.organisation):
            return False
        queue = self._dispatcher.queue_of(job)
        if queue is None or queue.priority < priority:
            return False
        key = run.task[:3]
        if key not in self._unavailable_by_step:
            step_state = job.step_state(run.task)
            self._unavailable_by_step[key] = unavailable_count(self._dispatcher, step_state)
        return True

    def _stop(self, worker: Worker, run: ActiveRun, task: TaskKey) -> None:
        self.stops_left -= 1
        self._unavailable_by_step[run.task[:3]] += 1
        self._dispatcher.stop_run(worker, run, f"room for urgent tasks of {task.job_id}")


def choose_runs(
    free: FreeCapacity,
    step: Step,
    task: TaskKey,
    stoppable: list[ActiveRun],
    left_by_step: dict[tuple[str, int, int], int],
) -> list[ActiveRun] | None:
    """Return the runs whose end makes room for a task on a worker, or ``None`` if none do.

    It is the smallest run that suffices, or otherwise the largest ones together.

    :param left_by_step: how many runs of each step may be stopped.
    """
    by_size = sorted(stoppable, key=lambda run: run.step.cpu_millis)
    for run in by_size:
        if _fits_without(free, step, task, [run]):
            return [run]
    chosen: list[ActiveRun] = []
    count_by_step: Counter[tuple[str, int, int]] = Counter()
    for run in reversed(by_size):
        key = run.task[:3]
        if count_by_step[key] >= left_by_step[key]:
            continue
        count_by_step[key] += 1
        chosen.append(run)
        if _fits_without(free, step, task, chosen):
            return chosen
    return None


def _fits_without(free: FreeCapacity, step: Step, task: TaskKey, runs: Iterable[ActiveRun]) -> bool:
    free.release(runs)
    fits = free.fits(step, task)
    for run in runs:
        free.add(run.step, run.task, 1)
    return fits
