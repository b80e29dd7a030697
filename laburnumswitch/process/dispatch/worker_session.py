"""Session with one worker: renews its lease, applies its reports, and throttles its runs.

Renewals are long polls that return when a run ends, or when the next renewal is due. An ended run
is acknowledged only after the resulting state has been committed.
"""

from laburnumswitch.exceptions import AnswerOutdated
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import ReportNotApplied
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import WorkerReplaced
from laburnumswitch.process.dispatch.dispatcher import COMMAND_TIMEOUT_S
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import task_name
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import HEAVY_THROTTLE_PERCENT
from laburnumswitch.process.dispatch.fleet import RunsKnownBy
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import describe_source
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.run_ends import find_end
from laburnumswitch.process.dispatch.silences import Silence
from laburnumswitch.process.dispatch.tails import TailLatencyModel
from laburnumswitch.process.dispatch.throttling import BestEffortInput
from laburnumswitch.process.dispatch.throttling import choose_throttles
from laburnumswitch.process.dispatch.throttling import interfering_limit_s
from laburnumswitch.process.dispatch.throttling import ServingInput
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport

# How long the worker holds a renewal open until a run ends, in seconds. Tail latencies are sampled
# with the answers, so this is also the longest interval between two samples.
RENEWAL_WAIT_S = 1.0
# Time beyond the renewal's wait, in seconds, after which the call counts as lost.
ANSWER_MARGIN_S = 0.5
# The same of a call to a silent worker whose leases are about to expire, in seconds, at least.
MIN_ANSWER_MARGIN_S = 0.05
# Longest wait, in seconds, for the commit that shows that no successor has extended the leases.
LAPSE_COMMIT_WAIT_S = 0.1
# Pause in seconds before a failed renewal is repeated.
RETRY_S = 0.25
# Pause before the next renewal, in seconds, if reported ends of runs are still not committed after
# ``COMMIT_WAIT_S``: the worker repeats them with every renewal until they are acknowledged.
UNCOMMITTED_PAUSE_S = 0.25
# How long to wait for the commit of reported ends of runs, in seconds.
COMMIT_WAIT_S = 0.6
# Shortest interval between two samples, in seconds. Tail latencies are averages over half a second,
# and throttles take effect with a delay: with more frequent samples the control would overshoot.
SAMPLE_INTERVAL_S = 0.9
# A stop is repeated if the run is still reported after this time, in seconds.
STOP_REPEAT_S = 0.6
# Samples are noisy: a tail latency counts as back under its target with two samples below this
# share of it, or with one sample below the other.
CLEARLY_UNDER_RATIO = 0.9
CERTAINLY_UNDER_RATIO = 0.8
# Time after a start or a throttle, in seconds, from which the processor use of a run shows whether
# it took effect: throttles take effect with a delay, and the use is an average over half a second.
THROTTLE_SETTLING_S = 0.8
# Throttles below this percentage, and uses of processors above them by as much, are told apart.
WORKING_PERCENT = 50
# A run that uses less than this share of its processors stands still.
STANDING_USE = 0.02
_REASON_BY_KIND = {
    EndKind.UNREPORTED: "no longer reported by the worker",
    EndKind.VOIDED: "start voided by a higher fencing token",
}


def run_worker(dispatcher: Dispatcher, worker: Worker) -> None:
    """Renew the lease of a worker until it is dropped or the term ends."""
    context = dispatcher.context
    while not dispatcher.is_stopped() and not worker.is_dropped:
        link = worker.link
        began_s = context.clock()
        may_have_restarted = worker.may_have_restarted(began_s)
        lapses_s = worker.next_lapse_s(began_s)
        margin_s = _answer_margin_s(worker, lapses_s - began_s)
        answer = renew(dispatcher, worker, _renewal_wait_s(dispatcher, worker, began_s), margin_s)
        if isinstance(answer, WorkerReport):
            # After a renewal that could acknowledge nothing, the next one follows at once.
            if answer.ended and not may_have_restarted:
                _await_commit(dispatcher, worker)
            dispatcher.silences.wait_for_removal(worker.worker_id, COMMIT_WAIT_S)
            continue
        if worker.link is not link:
            # It has restarted at another address.
            continue
        if isinstance(answer, WorkerReplaced):
            dispatcher.note_crashes([worker])
            reason = "another worker answers at its address"
            dispatcher.drop_worker(worker, reason, EndKind.REPLACED)
            return
        if dispatcher.is_stopped():
            return
        was_silent = worker.is_silent
        if not isinstance(answer, AnswerOutdated):
            _note_silence(dispatcher, worker, answer)
        if context.clock() > lapses_s:
            dispatcher.recorder.commit_after(lapses_s, LAPSE_COMMIT_WAIT_S)
        if dispatcher.has_lapsed(worker):
            _handle_lapse(dispatcher, worker, answer)
        # A single lost renewal is not stored, as the one after it could not extend the lease.
        has_lease_to_extend = bool(worker.last_answer_s) and not was_silent
        if worker.is_silent and not (has_lease_to_extend or worker.is_dropped):
            _store_silence(dispatcher, worker)
        until_lapse_s = lapses_s - context.clock()
        context.sleep(min(RETRY_S, until_lapse_s) if until_lapse_s > 0.0 else RETRY_S)


def _answer_margin_s(worker: Worker, until_lapse_s: float) -> float:
    """Return how long the next renewal may take beyond its wait.

    A call to a silent worker ends with its leases, so that their lapse is noticed at once.
    """
    if not worker.is_silent:
        return ANSWER_MARGIN_S
    return min(ANSWER_MARGIN_S, max(MIN_ANSWER_MARGIN_S, until_lapse_s))


def _renewal_wait_s(dispatcher: Dispatcher, worker: Worker, now_s: float) -> float:
    """Return how long the worker may hold the next renewal open.

    Ends of runs cut renewals short. If tail latencies have to be guarded, the next renewal returns
    when the next sample is due, not a whole wait after the last end.
    """
    may_grant = dispatcher.silences.may_grant(worker.worker_id)
    if not (worker.is_reached and may_grant) or worker.may_have_restarted(now_s):
        # Calls to a silent worker are short, since a lapse of its leases is noticed between them.
        return 0.0
    had_best_effort = worker.had_best_effort or worker.best_effort_runs()
    if not (had_best_effort and worker.serving_runs()):
        return RENEWAL_WAIT_S
    return min(RENEWAL_WAIT_S, max(0.0, worker.last_sample_s + RENEWAL_WAIT_S - now_s))


def renew(
    dispatcher: Dispatcher, worker: Worker, wait_s: float, margin_s: float = ANSWER_MARGIN_S
) -> WorkerReport | Failure:
    """Renew the lease of a worker once and apply its report.

    The lease is not extended while another entry may have become the owner, or a successor may read
    that the worker is silent. Nothing is acknowledged to a worker that may have restarted, since
    the numbers of ended runs begin anew, and its leases are extended for a short time only, since
    it takes their end for an instant in the far future.

    :param margin_s: time beyond ``wait_s`` after which the call counts as lost.
    """
    context = dispatcher.context
    sent_s = context.clock()
    until_s = None
    may_grant = dispatcher.may_act() and dispatcher.silences.may_grant(worker.worker_id)
    if worker.may_extend_lease(sent_s) and may_grant:
        until_s = worker.extend_grant(dispatcher.granted_lease_s())
        worker.note_lease_sent(sent_s)
    acknowledged = 0
    if not worker.may_have_restarted(sent_s):
        acknowledged = worker.take_acknowledgeable(dispatcher.recorder.committed)
    fence = worker.fence
    renewal = Renewal(fence, acknowledged, until_s, wait_s)
    dispatcher.counters.renewals += 1
    timeout_s = wait_s + margin_s
    answer = dispatcher.call_remote(worker.worker_id, worker.link.renew, renewal, timeout_s)
    if dispatcher.is_stopped() or worker.is_dropped:
        return answer
    if isinstance(answer, WorkerReport):
        if worker.is_outdated(answer, sent_s):
            return AnswerOutdated(worker.worker_id)
        return _try_to_apply(dispatcher, worker, answer, sent_s, fence)
    if isinstance(answer, StartRefused) and fence == worker.fence:
        context.log.note("fenced", worker.worker_id, fence=fence, reason=answer.reason)
        # Only a successor sends a fencing token above this owner's.
        dispatcher.recorder.require_commit()
    return answer


def _try_to_apply(
    dispatcher: Dispatcher, worker: Worker, report: WorkerReport, sent_s: float, fence: int
) -> WorkerReport | ReportNotApplied:
    """Apply a report; a worker whose report cannot be applied counts as silent.

    Another owner would fail on the same report, so the term goes on. What the worker runs is not
    certain any more: its leases end, and its tasks start elsewhere after that.
    """
    try:
        _apply_report(dispatcher, worker, report, sent_s, fence)
    except Exception as error:
        if not worker.has_failed:
            dispatcher.context.log.note_error(
                "worker_failed", worker.worker_id, runs=len(worker.runs_by_task)
            )
            # Voids starts that are on their way.
            worker.fence += 1
        worker.has_failed = True
        worker.is_reached = False
        return ReportNotApplied(worker.worker_id, repr(error))
    worker.has_failed = False
    return report


def _await_commit(dispatcher: Dispatcher, worker: Worker) -> None:
    if not worker.pending_acknowledgements:
        return
    dispatcher.forget_orphan_ends()
    batch = max(batch for batch, _ in worker.pending_acknowledgements)
    if not dispatcher.recorder.wait_for(batch, COMMIT_WAIT_S):
        dispatcher.context.sleep(UNCOMMITTED_PAUSE_S)


def _note_silence(dispatcher: Dispatcher, worker: Worker, failure: Failure) -> None:
    """Log the first failed renewal since a worker's last answer."""
    if worker.is_silent:
        return
    worker.is_silent = True
    now_s = dispatcher.context.clock()
    dispatcher.context.log.note(
        "worker_silent",
        worker.worker_id,
        runs=len(worker.runs_by_task),
        answered_s_ago=round(now_s - worker.last_answer_s, 3) if worker.last_answer_s else None,
        lapses_in_s=round(worker.lapse_bound_s - now_s, 3),
        why=failure.describe(),
    )


def _store_silence(dispatcher: Dispatcher, worker: Worker) -> None:
    """Store what is known of a silent worker, unless that has not changed."""
    lapse_bound_s = worker.last_lapse_bound_s()
    lapses_s = dispatcher.store_time.to_store_s(lapse_bound_s)
    quiet_since_s = dispatcher.store_time.to_store_s(worker.quiet_since_s())
    if lapses_s is None or quiet_since_s is None:
        return
    (known,) = dispatcher.describe_workers([worker])
    silence = Silence(
        worker.worker_id,
        worker.known_incarnation(),
        worker.vm_id(),
        quiet_since_s,
        lapses_s,
        known.has_unknown_runs,
        known.runs,
    )
    dispatcher.silences.record(silence, lapse_bound_s)


def _handle_lapse(dispatcher: Dispatcher, worker: Worker, failure: Failure) -> None:
    if worker.is_reached:
        dispatcher.context.log.note(
            "worker_lapsed",
            worker.worker_id,
            runs=len(worker.runs_by_task),
            incarnation=worker.incarnation,
            answered_s_ago=round(dispatcher.context.clock() - worker.last_answer_s, 3),
            why=failure.describe(),
        )
        worker.is_reached = False
        worker.fence += 1
    for run in list(worker.runs_by_task.values()):
        if dispatcher.has_run_lapsed(worker, run):
            reason = "its lease lapsed without an answer from the worker"
            dispatcher.release_run(worker, run, EndKind.LAPSE, reason)
    worker.note_runs_known(RunsKnownBy.LAPSE)
    dispatcher.organisation_usage.set_unwanted(worker.worker_id)
    if not worker.runs_by_task and not worker.is_listed(dispatcher.context.clock()):
        dispatcher.drop_worker(worker, "not listed by the platform and not answering")


def _apply_report(
    dispatcher: Dispatcher, worker: Worker, report: WorkerReport, sent_s: float, fence: int
) -> None:
    context = dispatcher.context
    if worker.is_restart(report):
        dispatcher.note_restart(worker, report.incarnation, "it answers as another incarnation")
    now_s = context.clock()
    worker.note_incarnation(report.incarnation, now_s)
    worker.note_answer(now_s, report.clock_s, sent_s)
    for end in report.ended:
        if end.number > worker.last_end_number:
            dispatcher.report_end(worker, end)
            worker.last_end_number = end.number
    _reconcile(dispatcher, worker, report, sent_s, fence)
    if not report.may_have_more_ends:
        worker.note_runs_known(RunsKnownBy.REPORT)
    worker.is_silent = False
    worker.await_batch(dispatcher.silences.remove(worker.worker_id))
    if not worker.is_reached:
        worker.is_reached = True
        context.log.note(
            "worker_reached",
            worker.worker_id,
            fence=fence,
            incarnation=worker.incarnation,
            running=len(report.running),
            ended=len(report.ended),
        )
        dispatcher.wake.set()
    if now_s - worker.last_sample_s >= SAMPLE_INTERVAL_S:
        worker.last_sample_s = now_s
        worker.had_best_effort = bool(worker.best_effort_runs())
        learn_tails(dispatcher.model, worker, now_s)
        _apply_throttles(dispatcher, worker, now_s)


def _reconcile(
    dispatcher: Dispatcher, worker: Worker, report: WorkerReport, sent_s: float, fence: int
) -> None:
    contain = dispatcher.job_faults.contain
    now_s = dispatcher.context.clock()
    report_by_run = {(run_report.task, run_report.run): run_report for run_report in report.running}
    for run in list(worker.runs_by_task.values()):
        run_report = report_by_run.pop((run.task, run.number), None)
        if run_report is not None:
            run.update(run_report, now_s, worker.incarnation)
            contain(run.task.job_id, "a report of its run", _note_running, dispatcher, run_report)
            contain(run.task.job_id, "a report of its run", _note_survival, dispatcher, run)
            if run.is_stopping and now_s - run.stop_sent_s > STOP_REPEAT_S:
                dispatcher.stop_run(worker, run, "repeated: still running after the first stop")
        elif report.may_have_more_ends:
            # Its end may be among those that are listed later.
            continue
        elif (kind := find_end(run, sent_s, fence)) is not None:
            arguments = (worker, run, kind, _REASON_BY_KIND[kind])
            contain(run.task.job_id, "the release of its run", dispatcher.release_run, *arguments)
    for run_report in report_by_run.values():
        arguments = (dispatcher, worker, run_report)
        contain(run_report.task.job_id, "a report of its run", _handle_unknown_run, *arguments)
    unreserved = [task for task, _ in report_by_run if task not in worker.runs_by_task]
    worker.has_unreserved_runs = bool(unreserved)
    dispatcher.organisation_usage.set_unwanted(worker.worker_id, unreserved, dispatcher.jobs_by_id)


def _note_running(dispatcher: Dispatcher, report: RunReport) -> None:
    job = dispatcher.jobs_by_id.get(report.task.job_id)
    if job is None:
        return
    job.has_begun = True
    task = job.task(report.task)
    if task and report.checkpoint:
        task.checkpoint = report.checkpoint


def _note_survival(dispatcher: Dispatcher, run: ActiveRun) -> None:
    job = dispatcher.jobs_by_id.get(run.task.job_id)
    task = job and job.task(run.task)
    if task:
        dispatcher.note_survival(job, task, run)


def _handle_unknown_run(dispatcher: Dispatcher, worker: Worker, report: RunReport) -> None:
    """Adopt a run of an earlier owner if its task is still waiting, otherwise stop it."""
    context = dispatcher.context
    job = dispatcher.jobs_by_id.get(report.task.job_id)
    known = worker.runs_by_task.get(report.task)
    if known is not None and known.number > report.run:
        return
    is_final = report.task.job_id in dispatcher.final_by_id
    if job is None and not is_final and dispatcher.note_orphan(worker, report):
        # The job's submission may still be in transit: the run is adopted once it arrives.
        return
    task = job and job.task(report.task)
    if task and (known is None or known.is_inherited):
        reason = f"run {report.run} of its task was reported"
        dispatcher.end_earlier_run(job, task, report.run, reason)
    if job is not None and dispatcher.adopt_run(
        worker, report, worker.incarnation, is_reported=True
    ):
        return
    other = task.worker_id if task and task.active_run else ""
    if other:
        dispatcher.counters.duplicate_runs += 1
    context.log.note(
        "run_unwanted",
        task_name(report.task),
        run=report.run,
        worker=worker.worker_id,
        incarnation=worker.incarnation,
        active_run=task.active_run if other else 0,
        active_on=other,
        settled=dispatcher.settled,
        **describe_source(job, context.clock()),
    )
    dispatcher.send_stop(worker, report.task, report.run)


def learn_tails(model: TailLatencyModel, worker: Worker, now_s: float) -> None:
    """Update the model from one worker's samples."""
    used_by_image: dict[str, float] = {}
    for run in worker.best_effort_runs():
        share = worker.cpu_share(run.measurement)
        used_by_image[run.step.image] = used_by_image.get(run.step.image, 0.0) + share
    worker.tail_predictions = None
    for run in worker.serving_runs():
        if run.measurement > 0:
            ratio = run.measurement / run.step.tail_target_ms
            model.observe(run.task, run.step.image, ratio, used_by_image, now_s)
            is_under = ratio < CLEARLY_UNDER_RATIO
            if is_under and (run.was_under_target or ratio < CERTAINLY_UNDER_RATIO):
                run.last_under_target_s = now_s
            run.was_under_target = is_under


def choose_speeds(
    model: TailLatencyModel, worker: Worker, max_over_target_s: float, now_s: float
) -> dict[TaskKey, int]:
    """Return the percentage of full speed for each best-effort run of a worker.

    :param max_over_target_s: how long a tail latency may stay over its target, in seconds.
    """
    best_effort = [run for run in worker.best_effort_runs() if not run.is_stopping]
    if not best_effort:
        return {}
    serving = [run for run in worker.serving_runs() if run.measurement > 0]
    images = {run.step.image for run in best_effort}
    limit_s = interfering_limit_s(max_over_target_s)
    serving_inputs = []
    for run in serving:
        image = run.step.image
        over_target_s = now_s - run.last_under_target_s
        coefficients = {each: model.coefficient(image, each) for each in images}
        upper_bounds = {}
        if over_target_s >= limit_s:
            upper_bounds = {each: model.coefficient_upper_bound(image, each) for each in images}
        load = model.load(run.task)
        serving_inputs.append(ServingInput(load, coefficients, upper_bounds, over_target_s))
    best_effort_inputs = [
        BestEffortInput(run.task, run.step.image, _unthrottled_share(worker, run))
        for run in best_effort
    ]
    return choose_throttles(serving_inputs, best_effort_inputs, max_over_target_s)


def _apply_throttles(dispatcher: Dispatcher, worker: Worker, now_s: float) -> None:
    max_over_target_s = dispatcher.context.deployment.bounds.max_overrun_s
    speeds = choose_speeds(dispatcher.model, worker, max_over_target_s, now_s)
    for task, percent in speeds.items():
        _set_speed(dispatcher, worker, worker.runs_by_task[task], percent, now_s)


def _set_speed(
    dispatcher: Dispatcher, worker: Worker, run: ActiveRun, percent: int, now_s: float
) -> None:
    if percent > HEAVY_THROTTLE_PERCENT:
        run.throttled_since_s = None
    elif run.throttled_since_s is None:
        run.throttled_since_s = now_s
    is_known = percent == run.speed_percent and not run.is_speed_uncertain
    if run.confirmed_s is not None and not (is_known and _agrees_with_throttle(run, now_s)):
        dispatcher.spawn(_throttle, dispatcher, worker, run, percent)


def _agrees_with_throttle(run: ActiveRun, now_s: float) -> bool:
    """Return whether the processor use of a run agrees with its last throttle.

    An unanswered throttle may be carried out seconds later, after newer ones. How far a run above
    zero is throttled cannot be told, since it may have to share its processors.
    """
    if now_s - max(run.started_s, run.throttled_s) < THROTTLE_SETTLING_S:
        return True
    use = run.measurement / max(1, run.step.cpu_millis)
    if run.speed_percent < WORKING_PERCENT:
        return use * 100 < run.speed_percent + WORKING_PERCENT
    return use > STANDING_USE


def throttle_new_run(dispatcher: Dispatcher, worker: Worker, run: ActiveRun) -> None:
    """Stop a run that was just started if best-effort work is stopped on its worker.

    Otherwise it would interfere at full speed until the next sample.
    """
    if not (run.step.best_effort and worker.serving_runs()):
        return
    now_s = dispatcher.context.clock()
    max_over_target_s = dispatcher.context.deployment.bounds.max_overrun_s
    speeds = choose_speeds(dispatcher.model, worker, max_over_target_s, now_s)
    if speeds.get(run.task) == 0:
        _set_speed(dispatcher, worker, run, 0, now_s)


def _unthrottled_share(worker: Worker, run: ActiveRun) -> float:
    """Estimate the share of the worker's processors that a run would use at full speed.

    The measured use of a run below half of its speed says too little about that; then it is the
    reserved share.
    """
    reserved = worker.cpu_share(run.step.cpu_millis)
    if run.is_speed_uncertain or run.speed_percent < 50 or run.measurement <= 0:
        return reserved
    return min(reserved, worker.cpu_share(run.measurement) * 100.0 / run.speed_percent)


def _throttle(dispatcher: Dispatcher, worker: Worker, run: ActiveRun, percent: int) -> None:
    before, run.speed_percent = run.speed_percent, percent
    run.is_speed_uncertain = False
    run.throttled_s = dispatcher.context.clock()
    dispatcher.counters.throttles += 1
    arguments = (run.task, run.number, percent, worker.fence, COMMAND_TIMEOUT_S)
    outcome = dispatcher.call_remote(worker.worker_id, worker.link.throttle, *arguments)
    if isinstance(outcome, Failure):
        # It may have taken effect. The next sample sends what is wanted then.
        run.speed_percent = max(before, percent)
        run.is_speed_uncertain = True
    dispatcher.context.log.note(
        "throttle",
        task_name(run.task),
        worker=worker.worker_id,
        percent=percent,
        before=before,
        outcome=outcome.tag if isinstance(outcome, Failure) else "done",
    )


def void_unanswered_starts(dispatcher: Dispatcher, worker: Worker) -> None:
    """Raise the worker's fencing token so that unanswered starts can no longer take effect.

    Repeats until the worker answers. Runs that its report does not list are released. If meanwhile
    another start under the raised token is not answered, the token is raised again.
    """
    if worker.is_voiding_starts:
        return
    worker.is_voiding_starts = True
    try:
        while not dispatcher.is_stopped() and not worker.is_dropped:
            fences = [run.fence for run in worker.runs_by_task.values() if run.is_uncertain]
            if not fences:
                return
            worker.fence = max(worker.fence, max(fences) + 1)
            answer = renew(dispatcher, worker, 0.0, COMMAND_TIMEOUT_S)
            if not isinstance(answer, WorkerReport) or answer.may_have_more_ends:
                dispatcher.context.sleep(RETRY_S)
    finally:
        worker.is_voiding_starts = False
        dispatcher.wake.set()
