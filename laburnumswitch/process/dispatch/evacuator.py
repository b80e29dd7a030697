"""Evacuation of draining workers: stops their runs, so that the planner places the tasks again.

``draining`` decides which runs are stopped, and when.
"""

from laburnumswitch.process.dispatch.availability import unavailable_count
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.draining import Candidate
from laburnumswitch.process.dispatch.draining import choose_stops
from laburnumswitch.process.dispatch.draining import Room
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.placements import may_have_unknown_runs

# Interval, in seconds, at which the runs on draining workers are checked. Some workers leave two
# seconds after their notice.
EVACUATION_INTERVAL_S = 0.1


def start_evacuation(dispatcher: Dispatcher) -> None:
    """Evacuate draining workers from now on, until there are none."""
    if not dispatcher.is_evacuating:
        dispatcher.is_evacuating = True
        dispatcher.spawn(_run_evacuation, dispatcher)


def _run_evacuation(dispatcher: Dispatcher) -> None:
    context = dispatcher.context
    while not dispatcher.is_stopped():
        began_s = context.clock()
        if not evacuate_all(dispatcher):
            dispatcher.is_evacuating = False
            return
        # The decisions take at most half of the processor time, as in planning.
        context.sleep(max(EVACUATION_INTERVAL_S, context.clock() - began_s))


def evacuate_all(dispatcher: Dispatcher) -> bool:
    """Stop the runs that have to leave draining workers now, and return whether there are any."""
    draining = [
        worker for worker in dispatcher.workers_by_id.values() if worker.leaves_s is not None
    ]
    if dispatcher.may_act():
        for service in {worker.listing.service for worker in draining}:
            workers = [each for each in draining if each.listing.service == service]
            evacuate(dispatcher, service, workers)
    return bool(draining)


def evacuate(dispatcher: Dispatcher, service: str, draining: list[Worker]) -> None:
    """Stop the runs that have to leave the draining workers of a service now."""
    candidates = [
        candidate
        for worker in draining
        if worker.is_reached
        for run in worker.runs_by_task.values()
        if (candidate := _candidate(dispatcher, worker, run)) is not None
    ]
    if not candidates:
        return
    context = dispatcher.context
    room = Room(usable_workers(dispatcher, service))
    _subtract_waiting(dispatcher, service, draining, room)
    for stop in choose_stops(candidates, room, context.deployment.bounds, context.clock()):
        is_endless = stop.run.step.long_running
        dispatcher.stop_run(
            stop.worker,
            stop.run,
            stop.reason,
            remaining_s=round(stop.remaining_s, 3),
            expected_s=None if is_endless else round(stop.expected_s, 3),
        )


def _candidate(dispatcher: Dispatcher, worker: Worker, run: ActiveRun) -> Candidate | None:
    job = dispatcher.jobs_by_id.get(run.task.job_id)
    if run.is_stopping or run.confirmed_s is None or job is None or job.is_final():
        return None
    away_count = 0
    if run.step.long_running:
        away_count = unavailable_count(dispatcher, job.step_state(run.task))
    may_restart = dispatcher.settled or not may_have_unknown_runs(
        dispatcher.placements, job, run.step
    )
    may_restart &= dispatcher.quota_gate.may_restart(job.submission.organisation)
    return Candidate(worker, run, away_count, may_restart)


def _subtract_waiting(
    dispatcher: Dispatcher, service: str, draining: list[Worker], room: Room
) -> None:
    """Subtract the capacity for tasks that have to leave already, or wait for a start."""
    for worker in draining:
        for run in worker.runs_by_task.values():
            if run.is_stopping and not _has_ended_job(dispatcher, run):
                room.take(run.step, run.task)
    for ready in dispatcher.ready_step_by_key.values():
        step_state = ready.step_state
        if step_state.step.long_running and _service_of(dispatcher, ready.job) == service:
            for task in step_state.waiting():
                if not room.take(step_state.step, task.key):
                    break


def _has_ended_job(dispatcher: Dispatcher, run: ActiveRun) -> bool:
    job = dispatcher.jobs_by_id.get(run.task.job_id)
    return job is None or job.is_final()


def _service_of(dispatcher: Dispatcher, job: Job) -> str | None:
    queue = dispatcher.queue_of(job)
    return queue and queue.service
