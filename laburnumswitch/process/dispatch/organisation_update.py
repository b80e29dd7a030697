"""Keeps what the owner knows about the load of organisations up to date.

This handles the bursts of one organisation: entries ask about its jobs within a fraction of a
second, and its share is measured as often. Without organisations it does nothing.
"""

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.organisation_admission import Backlog
from laburnumswitch.process.dispatch.organisation_admission import is_busy
from laburnumswitch.process.dispatch.organisation_admission import measure_backlog

# Interval, in seconds, at which usage and backlogs are measured.
UPDATE_INTERVAL_S = 0.25


def note_loaded_jobs(dispatcher: Dispatcher) -> None:
    """Decide in the order of submission which of the jobs that a new owner loaded are owed."""
    jobs = [job for job in dispatcher.jobs_by_id.values() if not job.is_final()]
    organisations = dispatcher.context.operations.organisations_by_name
    now_s = dispatcher.context.wall_clock()
    for job in sorted(jobs, key=lambda each: each.submission.submitted_s):
        arguments = (dispatcher.shares.note_arrival, job, organisations, now_s)
        dispatcher.job_faults.contain(job.job_id, "noting its arrival", *arguments)


def update_organisations(dispatcher: Dispatcher) -> None:
    """Measure what organisations use and have waiting, once in ``UPDATE_INTERVAL_S``."""
    now_s = dispatcher.context.clock()
    if now_s - dispatcher.organisations_updated_s < UPDATE_INTERVAL_S:
        return
    dispatcher.organisations_updated_s = now_s
    organisations = dispatcher.context.operations.organisations_by_name
    jobs = dispatcher.organisation_jobs
    jobs.forget_finished()
    cores_by_name = {name: jobs.running_cores(name) for name in jobs.organisations()}
    dispatcher.shares.update(cores_by_name, organisations, now_s)
    admissions = dispatcher.organisation_admissions
    admissions.forget_admitted(dispatcher.knows_job, now_s)
    names = [name for name in cores_by_name if name in organisations]
    busy = [name for name in names if _is_busy(dispatcher, organisations[name])]
    admissions.update_busy(busy, now_s)


def backlog_of(dispatcher: Dispatcher, organisation: str) -> Backlog:
    """Return what an organisation has waiting and running."""
    return measure_backlog(
        list(dispatcher.organisation_jobs.unfinished(organisation)),
        dispatcher.context.operations.queue,
        dispatcher.organisation_admissions.admitted_work(organisation),
        dispatcher.context.wall_clock(),
    )


def waiting_tasks(dispatcher: Dispatcher) -> dict[str, int]:
    """Return the number of tasks of each organisation that could start now."""
    count_by_name: dict[str, int] = {}
    for ready in dispatcher.ready_step_by_key.values():
        name = ready.job.submission.organisation
        if name:
            count_by_name[name] = count_by_name.get(name, 0) + ready.step_state.waiting_count()
    return count_by_name


def _is_busy(dispatcher: Dispatcher, organisation: Organisation) -> bool:
    if not any(organisation.limit):
        return False
    jobs = list(dispatcher.organisation_jobs.unfinished(organisation.name))
    backlog = backlog_of(dispatcher, organisation.name)
    return is_busy(organisation.limit, jobs, dispatcher.context.operations.queue, backlog)
