"""Which long-running tasks do not run, as far as the owner knows, and why, for the log.

This handles losses of workers and owners on large fleets, where thousands of tasks may be down at a
time: the work for one report is bounded.
"""

from collections import Counter
from enum import StrEnum
from heapq import nsmallest
from typing import NamedTuple

from laburnumswitch.process.dispatch.advice import step_key
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import MAX_SILENCE_S
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.placements import may_have_unknown_runs
from laburnumswitch.process.dispatch.planning_order import is_overdue
from laburnumswitch.process.dispatch.start_delays import DownCount
from laburnumswitch.process.dispatch.start_delays import last_sign_s
from laburnumswitch.process.dispatch.start_delays import StartDelay
from laburnumswitch.process.dispatch.start_delays import WaitReason
from laburnumswitch.process.dispatch.step_state import Task
from laburnumswitch.process.dispatch.waiting import find_wait_reason

# Maximum number of tasks that are explained at a time, those first that have been down for the
# longest time.
MAX_EXPLAINED = 40
# Maximum number of sizes of tasks, in each service, for which all workers are looked at.
MAX_SIZES = 8


class UnusableCause(StrEnum):
    """Why a worker gets no starts at present.

    ``SILENT``: it has not answered lately. ``VOIDING``: its unanswered starts have to be voided.
    ``UNRESERVED``: it runs tasks that this owner does not know. ``UNLISTED``: the platform does not
    list it. ``UNSTORED``: the batch that stores it is not committed. ``DRAINING``: it leaves.
    ``EVACUATED``: its availability zone is taken out of service. ``PAUSED``: it has just refused a
    start, or not answered one. ``QUARANTINED``: every run fails on it.
    """

    SILENT = "silent"
    VOIDING = "voiding"
    UNRESERVED = "unreserved"
    UNLISTED = "unlisted"
    UNSTORED = "unstored"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    PAUSED = "paused"
    QUARANTINED = "quarantined"


class DownTask(NamedTuple):
    """A long-running task that does not run, as far as the owner knows.

    :ivar down_s: time since its last run was last known to exist, or since its step became ready if
        this owner knows of no earlier run, in seconds.
    :ivar reason_for_s: for how long the reason has held, in seconds.
    :ivar last_run: number of its last run, 0 if this owner knows of none.
    :ivar worker_id: worker on which a run may exist, empty if none; of several the last to lapse.
    :ivar until_s: time until that run has certainly ended, in seconds; ``None`` without a worker.
    :ivar unusable: number of workers that have room but get no starts, by cause.
    """

    task: TaskKey
    service: str
    down_s: float
    reason: WaitReason
    reason_for_s: float
    last_run: int
    worker_id: str = ""
    until_s: float | None = None
    unusable: dict[UnusableCause, int] = {}


class _Explanation(NamedTuple):
    reason: WaitReason
    worker_id: str = ""
    until_s: float | None = None
    unusable: dict[UnusableCause, int] = {}


class _Candidate(NamedTuple):
    """A task that does not run; ``run`` is one that may still exist, ``ready`` is set if not."""

    delay: StartDelay
    service: str
    task: Task
    ready: ReadyStep | None
    worker: Worker | None
    run: ActiveRun | None


class _Room(NamedTuple):
    """Which workers have room for a task of one size.

    :ivar fitting: usable workers with room.
    :ivar unusable: number of the others with room, by the cause for which they get no starts.
    """

    reason: WaitReason
    fitting: list[Worker]
    unusable: dict[UnusableCause, int]


NOT_LOOKED_AT = _Room(WaitReason.OTHER, [], {})


class _ServiceView:
    """The workers of a service, with the room that was found for tasks of one size."""

    def __init__(self, dispatcher: Dispatcher, service: str) -> None:
        self.usable = usable_workers(dispatcher, service)
        headroom = dispatcher.headroom_by_service.get(service)
        self.budget = headroom.long_running_budget(self.usable) if headroom else 0.0
        usable_ids = {worker.worker_id for worker in self.usable}
        self._dispatcher = dispatcher
        self._unusable = [
            worker
            for worker in dispatcher.workers_by_id.values()
            if worker.listing.service == service and worker.worker_id not in usable_ids
        ]
        self._room_by_size: dict[tuple[str, int, int, int, bool], _Room] = {}

    def find_room(self, step: Step) -> _Room:
        size = (
            step.required_label,
            step.cpu_millis,
            step.memory_mb,
            step.accelerators,
            step.best_effort,
        )
        if size not in self._room_by_size:
            if len(self._room_by_size) >= MAX_SIZES:
                return NOT_LOOKED_AT
            self._room_by_size[size] = self._look_for_room(step)
        return self._room_by_size[size]

    def _look_for_room(self, step: Step) -> _Room:
        reason = find_wait_reason(step, self.usable, self._unusable)
        if reason is WaitReason.PLANNING:
            fitting = [each for each in self.usable if each.can_run(step) and each.fits(step)]
            return _Room(reason, fitting, {})
        if reason is not WaitReason.UNUSABLE:
            return _Room(reason, [], {})
        causes = (
            find_unusable_cause(self._dispatcher, worker)
            for worker in self._unusable
            if worker.can_run(step) and worker.fits(step)
        )
        return _Room(reason, [], dict(Counter(cause for cause in causes if cause)))


class DownReport(NamedTuple):
    """The long-running tasks that do not run.

    :ivar tasks: those that have been down for the longest time, these first.
    :ivar others_by_service: number of all others.
    """

    tasks: list[DownTask]
    others_by_service: dict[str, int]

    def count_by_reason(self) -> dict[str, dict[WaitReason, int]]:
        """Return the number of tasks by service and reason."""
        counts = {
            service: Counter({WaitReason.OTHER: count})
            for service, count in self.others_by_service.items()
        }
        for down in self.tasks:
            counts.setdefault(down.service, Counter())[down.reason] += 1
        return {service: dict(count) for service, count in counts.items()}

    def summarize(self) -> dict[WaitReason, DownCount]:
        """Return the number of tasks of all services by reason, and how long they are down."""
        others = sum(self.others_by_service.values())
        counts = {WaitReason.OTHER: DownCount(others, 0.0)} if others else {}
        for down in self.tasks:
            known = counts.get(down.reason, DownCount(0, 0.0))
            counts[down.reason] = DownCount(known.tasks + 1, max(known.longest_s, down.down_s))
        return counts


def find_down_tasks(dispatcher: Dispatcher) -> DownReport:
    """Return the long-running tasks that do not run, as far as the owner knows.

    What they wait for is recorded in the dispatcher's ``start_delays``, also for the metrics.
    """
    now_s = dispatcher.context.clock()
    waiting, others = _find_waiting(dispatcher)
    candidates = waiting + _find_possible_runs(dispatcher, now_s)
    dispatcher.start_delays.forget_others(
        {each.task.key for each in candidates}, lambda key: _find_run(dispatcher, key)
    )
    longest = nsmallest(MAX_EXPLAINED, candidates, key=lambda each: each.delay.down_since_s)
    others.update(each.service for each in candidates)
    others.subtract(each.service for each in longest)
    view_by_service: dict[str, _ServiceView] = {}
    down_tasks = []
    for candidate in longest:
        explanation = _explain(dispatcher, candidate, view_by_service)
        candidate.delay.note_reason(explanation.reason, now_s)
        down_tasks.append(_describe(candidate, explanation, now_s))
    report = DownReport(down_tasks, dict(+others))
    dispatcher.start_delays.down_by_reason = report.summarize()
    return report


def find_unusable_cause(dispatcher: Dispatcher, worker: Worker) -> UnusableCause | None:
    """Return the first cause for which a worker gets no starts, ``None`` if it gets some."""
    now_s = dispatcher.context.clock()
    listing = worker.listing
    is_by_cause = {
        UnusableCause.SILENT: _is_quiet(worker, now_s),
        UnusableCause.VOIDING: worker.is_voiding_starts,
        UnusableCause.UNRESERVED: worker.has_unreserved_runs,
        UnusableCause.UNLISTED: not worker.is_listed(now_s),
        UnusableCause.UNSTORED: dispatcher.recorder.committed < worker.listed_in_batch,
        UnusableCause.DRAINING: listing.is_draining,
        UnusableCause.EVACUATED: listing.availability_zone
        in dispatcher.context.operations.evacuated_zones,
        UnusableCause.PAUSED: now_s < worker.blocked_until_s,
        UnusableCause.QUARANTINED: dispatcher.quarantine.is_quarantined(worker.worker_id, now_s),
    }
    return next((cause for cause, holds in is_by_cause.items() if holds), None)


def _is_quiet(worker: Worker, now_s: float) -> bool:
    return (
        not worker.is_reached or worker.is_silent or now_s - worker.last_answer_s >= MAX_SILENCE_S
    )


def _describe(candidate: _Candidate, explanation: _Explanation, now_s: float) -> DownTask:
    delay = candidate.delay
    began_s = delay.wait.began_s if delay.wait else delay.down_since_s
    return DownTask(
        candidate.task.key,
        candidate.service,
        max(0.0, now_s - delay.down_since_s),
        explanation.reason,
        max(0.0, now_s - began_s),
        candidate.task.last_run,
        explanation.worker_id,
        explanation.until_s,
        explanation.unusable,
    )


def _find_waiting(dispatcher: Dispatcher) -> tuple[list[_Candidate], Counter[str]]:
    """Return the tasks of ready steps that have no run.

    Of a step whose tasks have never run, all have been down for the same time, so that only as many
    are returned as are explained.

    :return: also the number of the others by service.
    """
    wall_s = dispatcher.context.wall_clock()
    candidates = []
    others: Counter[str] = Counter()
    for ready in dispatcher.ready_step_by_key.values():
        step_state = ready.step_state
        if not step_state.step.long_running:
            continue
        if ready.job.submission.occurrences and wall_s < ready.occurrence.due_s:
            continue
        queue = dispatcher.queue_of(ready.job)
        service = queue.service if queue else ""
        tasks = step_state.longest_waiting(MAX_EXPLAINED)
        others[service] += step_state.waiting_count() - len(tasks)
        for task in tasks:
            delay = dispatcher.start_delays.find_waiting(task.key, step_state.ready_since_s)
            candidates.append(_Candidate(delay, service, task, ready, None, None))
    return candidates, others


def _find_possible_runs(dispatcher: Dispatcher, now_s: float) -> list[_Candidate]:
    """Return the tasks whose run may or may not exist."""
    candidates = []
    for worker in dispatcher.workers_by_id.values():
        is_quiet = _is_quiet(worker, now_s)
        for run in worker.runs_by_task.values():
            if not run.step.long_running:
                continue
            if not (is_quiet or run.is_stopping or run.confirmed_s is None):
                continue
            job = dispatcher.jobs_by_id.get(run.task.job_id)
            task = job and job.task(run.task)
            if not task or job.is_final():
                continue
            delay = _find_delay(dispatcher, run, job.step_state(run.task).ready_since_s)
            candidates.append(
                _Candidate(delay, worker.listing.service, task, None, worker, run),
            )
    return candidates


def _find_run(dispatcher: Dispatcher, key: TaskKey) -> ActiveRun | None:
    job = dispatcher.jobs_by_id.get(key.job_id)
    task = job and job.task(key)
    worker = dispatcher.workers_by_id.get(task.worker_id) if task else None
    return worker and worker.runs_by_task.get(key)


def _find_delay(dispatcher: Dispatcher, run: ActiveRun, ready_since_s: float) -> StartDelay:
    if run.confirmed_s is None:
        return dispatcher.start_delays.find_waiting(run.task, ready_since_s)
    down_since_s = run.stop_sent_s if run.is_stopping else last_sign_s(run)
    return dispatcher.start_delays.find(run.task, down_since_s)


def _explain(
    dispatcher: Dispatcher, candidate: _Candidate, view_by_service: dict[str, _ServiceView]
) -> _Explanation:
    run, ready = candidate.run, candidate.ready
    if run is not None:
        return _explain_run(dispatcher, candidate.worker, run)
    reason = _owner_reason(dispatcher, ready)
    if reason is not None:
        return _Explanation(reason)
    step = ready.step_state.step
    if not dispatcher.settled and may_have_unknown_runs(dispatcher.placements, ready.job, step):
        return _explain_unknown_runs(dispatcher)
    reason = _job_reason(dispatcher, ready, candidate.task)
    if reason is not None:
        return _Explanation(reason)
    view = view_by_service.get(candidate.service)
    if view is None:
        view = view_by_service[candidate.service] = _ServiceView(dispatcher, candidate.service)
    return _explain_places(dispatcher, ready, candidate.task, view)


def _explain_run(dispatcher: Dispatcher, worker: Worker, run: ActiveRun) -> _Explanation:
    until_s = max(0.0, worker.run_lapse_bound_s(run) - dispatcher.context.clock())
    if run.confirmed_s is None:
        reason = WaitReason.STARTING
    else:
        reason = WaitReason.STOPPING if run.is_stopping else WaitReason.SILENT
    return _Explanation(reason, worker.worker_id, until_s)


def _owner_reason(dispatcher: Dispatcher, ready: ReadyStep) -> WaitReason | None:
    if not dispatcher.is_loaded.is_set():
        return WaitReason.LOADING
    if not dispatcher.may_act():
        return WaitReason.UNCONFIRMED
    return WaitReason.QUEUE if dispatcher.queue_of(ready.job) is None else None


def _explain_unknown_runs(dispatcher: Dispatcher) -> _Explanation:
    unknown = [
        worker
        for worker in dispatcher.workers_by_id.values()
        if worker.has_unknown_runs and not dispatcher.has_lapsed(worker)
    ]
    if not unknown:
        return _Explanation(WaitReason.UNKNOWN_RUNS)
    last = max(unknown, key=lambda worker: worker.lapse_bound_s)
    until_s = max(0.0, last.lapse_bound_s - dispatcher.context.clock())
    return _Explanation(WaitReason.UNKNOWN_RUNS, last.worker_id, until_s)


def _job_reason(dispatcher: Dispatcher, ready: ReadyStep, task: Task) -> WaitReason | None:
    if task.crashed_runs and not dispatcher.may_start(task):
        return WaitReason.CRASHES
    if not dispatcher.quota_gate.startable(ready):
        return WaitReason.QUOTA
    step_state = ready.step_state
    if step_state.step.gang and step_state.active_count:
        return WaitReason.GANG
    if dispatcher.context.clock() < step_state.retry_after_s:
        return WaitReason.RETRY
    operations = dispatcher.context.operations
    if not (dispatcher.knows_listings and operations.knows_zones):
        return WaitReason.LISTINGS
    return None


def _explain_places(
    dispatcher: Dispatcher, ready: ReadyStep, task: Task, view: _ServiceView
) -> _Explanation:
    room = view.find_room(ready.step_state.step)
    if room.reason is not WaitReason.PLANNING:
        return _Explanation(room.reason, unusable=room.unusable)
    queue = dispatcher.queue_of(ready.job)
    return _Explanation(_choice_reason(dispatcher, queue, ready, task, view, room.fitting))


def _choice_reason(
    dispatcher: Dispatcher,
    queue: Queue,
    ready: ReadyStep,
    task: Task,
    view: _ServiceView,
    fitting: list[Worker],
) -> WaitReason:
    """Return why a task does not start on workers that have room for it."""
    step, key = ready.step_state.step, step_key(ready)
    if queue.needs_advice and not any(dispatcher.advice.may_use(key, each) for each in fitting):
        return WaitReason.ADVICE
    if dispatcher.place_waits.is_held(key):
        return WaitReason.PLACE
    if step.gang:
        return WaitReason.GANG
    first_key = ready.step_state.task_key(0)
    if step.max_per_worker:
        fitting = [each for each in fitting if each.count_runs(first_key) < step.max_per_worker]
        if not fitting:
            return WaitReason.SPREAD
    if task.crashed_runs and all(worker.has_suspect() for worker in fitting):
        return WaitReason.SUSPECTS
    if step.best_effort or is_overdue(dispatcher, ready):
        return WaitReason.PLANNING
    reserved = dispatcher.reserved_by_service.get(queue.service, ())
    if view.budget < step.cpu_millis or all(each.worker_id in reserved for each in fitting):
        return WaitReason.KEPT
    return WaitReason.PLANNING
