"""Admits jobs, or rejects those for which there is no room.

An accepted long-running job reserves its processors until its caller cancels it, and its tasks are
restarted however they end. If the accepted jobs of a service reserve more than its workers have,
or leave nothing for urgent tasks, some accepted work cannot be served whatever is started first.
Such a job is rejected before it is stored, with the time after which there is probably room.

This handles callers who ask for more long-running tasks over the day than end, and jobs that
together take more memory than the owner has, see ``job_memory``. What an organisation
may have waiting is decided in ``organisation_admission``.
"""

from laburnumswitch.process.dispatch.commitment import Admission
from laburnumswitch.process.dispatch.commitment import Commitment
from laburnumswitch.process.dispatch.commitment import committed_cpu_millis
from laburnumswitch.process.dispatch.commitment import lasting_capacity
from laburnumswitch.process.dispatch.commitment import retry_after
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_memory import NO_MEMORY
from laburnumswitch.process.dispatch.organisation_admission import AdmittedJob
from laburnumswitch.process.dispatch.organisation_admission import judge
from laburnumswitch.process.dispatch.organisation_admission import WaitingWork
from laburnumswitch.process.dispatch.organisation_jobs import JobDemand
from laburnumswitch.process.dispatch.organisation_update import backlog_of
from laburnumswitch.process.leadership.messages import AdmissionAnswer
from laburnumswitch.process.leadership.messages import AdmissionRequest

# Time in seconds for which an admission holds the processors of a job that is not known to be
# stored: its caller may repeat the request for as long.
ADMISSION_S = 10.0
# Time in seconds, from the start of a term, in which nothing is rejected if there was an earlier
# owner: a job that it admitted may still be stored.
INHERITED_ADMISSIONS_S = 3.0
# Time in seconds without newly listed workers after which the list counts as complete, and time
# from the start of a term after which it does so in any case.
FLEET_COMPLETE_S = 1.0
MAX_FLEET_START_S = 15.0
ADMITTED = AdmissionAnswer(0)


def admit(dispatcher: Dispatcher, request: AdmissionRequest) -> AdmissionAnswer:
    """Admit a job, or reject it for want of room.

    A repeated request of a job that is stored or was admitted is not rejected.
    """
    job_id = request.job_id
    was_admitted = (
        job_id in dispatcher.admissions.admitted_by_id
        or job_id in dispatcher.organisation_admissions.admitted_by_id
    )
    if dispatcher.knows_job(job_id) or dispatcher.parked_jobs.holds(job_id) or was_admitted:
        return ADMITTED
    rejection = _reject_for_organisation(dispatcher, request) or _reject_for_memory(
        dispatcher, request
    )
    if rejection is not None:
        return rejection
    answer = _admit_lasting(dispatcher, request) if request.cpu_millis else ADMITTED
    if request.organisation and answer == ADMITTED:
        _note_admitted(dispatcher, request)
    return answer


def _reject_for_organisation(
    dispatcher: Dispatcher, request: AdmissionRequest
) -> AdmissionAnswer | None:
    """Reject a job that cannot run in time within the limit of its organisation."""
    context, now_s = dispatcher.context, dispatcher.context.clock()
    organisation = context.operations.organisations_by_name.get(request.organisation)
    queue = context.operations.queue(request.queue)
    if organisation is None or queue is None:
        return None
    if _may_have_inherited_admissions(dispatcher, now_s):
        return None
    backlog = backlog_of(dispatcher, organisation.name)
    demand = JobDemand(request.work, request.critical_path_s, request.widest_gang)
    overage = context.deployment.bounds.quota_overage
    judgement = judge(demand, queue, backlog, organisation.limit, overage)
    if judgement.cause is None:
        return None
    retry_after_s = dispatcher.organisation_admissions.note_rejected(
        organisation.name, request.job_id, judgement, now_s
    )
    context.log.note(
        "job_rejected",
        request.job_id,
        queue=queue.name,
        organisation=organisation.name,
        cause=judgement.cause,
        ahead_s=round(judgement.ahead_s, 3),
        own_s=round(judgement.own_s, 3),
        allowed_s=round(judgement.allowed_s, 3),
        ahead=[round(each, 1) for each in backlog.ahead_of(queue.priority)],
        work=[round(each, 1) for each in request.work],
        widest_gang=request.widest_gang,
        limit=organisation.limit,
        lasting=backlog.lasting,
        configuration=context.operations.configuration.version,
        retry_after_s=retry_after_s,
    )
    return AdmissionAnswer(retry_after_s, str(judgement.cause))


def _reject_for_memory(dispatcher: Dispatcher, request: AdmissionRequest) -> AdmissionAnswer | None:
    """Reject a job that would take more memory than the owner has for jobs."""
    if not request.job_bytes:
        return None
    memory, now_s = dispatcher.job_memory, dispatcher.context.clock()
    excess = memory.reserve(request.job_id, request.job_bytes, now_s, now_s + ADMISSION_S)
    if not excess:
        return None
    freed_per_s = memory.freed_per_s(now_s)
    answer = AdmissionAnswer(retry_after(excess, freed_per_s), NO_MEMORY)
    dispatcher.counters.rejected_jobs += 1
    dispatcher.context.log.note(
        "job_rejected",
        request.job_id,
        queue=request.queue,
        cause=NO_MEMORY,
        job_bytes=request.job_bytes,
        used_bytes=memory.used_bytes,
        limit_bytes=memory.limit_bytes,
        freed_bytes_per_s=round(freed_per_s),
        retry_after_s=answer.retry_after_s,
    )
    return answer


def _note_admitted(dispatcher: Dispatcher, request: AdmissionRequest) -> None:
    queue = dispatcher.context.operations.queue(request.queue)
    if queue is not None:
        dispatcher.organisation_admissions.admitted_by_id[request.job_id] = AdmittedJob(
            request.organisation,
            WaitingWork(queue.priority, request.work),
            dispatcher.context.clock() + ADMISSION_S,
        )


def _admit_lasting(dispatcher: Dispatcher, request: AdmissionRequest) -> AdmissionAnswer:
    """Admit a job that lasts, or reject it for want of room."""
    job_id, now_s = request.job_id, dispatcher.context.clock()
    admissions = dispatcher.admissions
    queue = dispatcher.context.operations.queue(request.queue)
    commitment = measure_commitments(dispatcher).get(queue.service) if queue else None
    if commitment is None:
        return ADMITTED
    excess = commitment.excess_cpu_millis(request.cpu_millis)
    if excess <= 0 or not _may_reject(dispatcher, now_s):
        admission = Admission(queue.service, request.cpu_millis, now_s + ADMISSION_S)
        admissions.admitted_by_id[job_id] = admission
        return ADMITTED
    freed_per_s = admissions.freed_per_s(queue.service, now_s)
    answer = AdmissionAnswer(retry_after(excess, freed_per_s))
    dispatcher.counters.rejected_jobs += 1
    dispatcher.context.log.note(
        "job_rejected",
        job_id,
        queue=queue.name,
        asked_cpu_millis=request.cpu_millis,
        excess_cpu_millis=excess,
        freed_cpu_millis_per_s=round(freed_per_s),
        retry_after_s=answer.retry_after_s,
        **commitment._asdict(),
    )
    return answer


def _may_reject(dispatcher: Dispatcher, now_s: float) -> bool:
    """Return whether the workers and the accepted jobs are known well enough to reject one."""
    age_s = now_s - dispatcher.began_s
    if not dispatcher.knows_listings or _may_have_inherited_admissions(dispatcher, now_s):
        return False
    return age_s > MAX_FLEET_START_S or now_s - dispatcher.last_added_s > FLEET_COMPLETE_S


def _may_have_inherited_admissions(dispatcher: Dispatcher, now_s: float) -> bool:
    return dispatcher.epoch > 1 and now_s - dispatcher.began_s < INHERITED_ADMISSIONS_S


def measure_commitments(dispatcher: Dispatcher) -> dict[str, Commitment]:
    """Return the commitments by service."""
    now_s = dispatcher.context.clock()
    capacity_by_service: dict[str, int] = {}
    workers_by_service: dict[str, list[Worker]] = {}
    for worker in dispatcher.workers_by_id.values():
        service = worker.listing.service
        workers_by_service.setdefault(service, []).append(worker)
        capacity = lasting_capacity(worker, dispatcher.context.operations.evacuated_zones)
        capacity_by_service[service] = capacity_by_service.get(service, 0) + capacity
    committed_by_service = dict.fromkeys(capacity_by_service, 0)
    for job in dispatcher.jobs_by_id.values():
        queue = None if job.is_final() else dispatcher.queue_of(job)
        if queue is not None and queue.service in committed_by_service:
            # What no worker can run takes no room from others.
            steps = [
                step
                for step in job.submission.steps
                if any(worker.can_run(step) for worker in workers_by_service[queue.service])
            ]
            committed_by_service[queue.service] += committed_cpu_millis(steps)
    admitted_by_id = dispatcher.admissions.admitted_by_id
    for job_id, admission in list(admitted_by_id.items()):
        if now_s > admission.until_s or dispatcher.knows_job(job_id):
            del admitted_by_id[job_id]
        elif admission.service in committed_by_service:
            committed_by_service[admission.service] += admission.cpu_millis
    observed_s = now_s - dispatcher.began_s
    commitment_by_service = {}
    for service, capacity in capacity_by_service.items():
        headroom = dispatcher.headroom_by_service[service]
        commitment_by_service[service] = Commitment(
            capacity,
            committed_by_service[service],
            round(headroom.peak_cpu_millis),
            round(headroom.reserve(capacity, observed_s)),
        )
    return commitment_by_service
