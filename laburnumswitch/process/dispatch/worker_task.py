"""The task that talks to one worker: renews its lease, reads its runs and ends, and throttles.

One call waits at the worker for an end or for the next renewal. An end is acknowledged only after
what it means is stored.
"""

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import WorkerRestarted
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import ORDER_TIMEOUT_S
from laburnumswitch.process.dispatch.dispatcher import task_name
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import SLOWED_PERCENT
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.reports import Renewal
from laburnumswitch.process.dispatch.reports import RunReport
from laburnumswitch.process.dispatch.reports import WorkerReport
from laburnumswitch.process.dispatch.throttling import choose_throttles
from laburnumswitch.process.dispatch.throttling import FillingView
from laburnumswitch.process.dispatch.throttling import ServingView

# A renewal waits so long, in seconds, at the worker for an end: a look at the tails every second.
RENEWAL_WAIT_S = 1.0
# An answer may come this much later, in seconds, before the call counts as lost.
ANSWER_SLACK_S = 0.5
RETRY_S = 0.25
# Ends that cannot be stored yet come again with each renewal: the pause between them, in seconds.
UNSTORED_PAUSE_S = 0.25
STORE_WAIT_S = 0.6
# Tails average half a second and a throttle takes effect later: closer looks overshoot.
LOOK_INTERVAL_S = 0.9
STOP_REPEAT_S = 0.6
# Looks are rough: only a tail under this share of its target ends a time over the target.
CLEARLY_UNDER = 0.9


def run_worker(dispatcher: Dispatcher, worker: Worker) -> None:
    """Talk to one incarnation of a worker until it is gone or the ownership ends."""
    context = dispatcher.context
    while not dispatcher.is_stopped() and not worker.is_gone:
        answer = renew(dispatcher, worker, RENEWAL_WAIT_S if worker.is_reached else 0.0)
        if isinstance(answer, WorkerReport):
            if answer.ended:
                _await_stored(dispatcher, worker)
            continue
        if isinstance(answer, WorkerRestarted):
            dispatcher.drop_worker(worker, "restarted under another id")
            return
        if dispatcher.has_lapsed(worker):
            _lapse(dispatcher, worker, answer)
        context.sleep(RETRY_S)


def renew(
    dispatcher: Dispatcher, worker: Worker, wait_s: float, timeout_s: float = ANSWER_SLACK_S
) -> WorkerReport | Failure:
    """Renew the lease of a worker once, and apply what it reports.

    While the ownership is not certain the lease is left as it is.
    """
    context = dispatcher.context
    sent_s = context.clock()
    until_s = None
    if worker.heard_s and dispatcher.may_act():
        until_s = worker.grant_until_s(context.deployment.bounds.lease_s)
    fence = worker.fence
    renewal = Renewal(
        fence, worker.take_acknowledgeable(dispatcher.recorder.committed), until_s, wait_s
    )
    dispatcher.counters.renewals += 1
    answer = worker.link.renew(renewal, wait_s + timeout_s)
    if dispatcher.is_stopped() or worker.is_gone:
        return answer
    if isinstance(answer, WorkerReport):
        _apply_report(dispatcher, worker, answer, sent_s, fence)
    elif isinstance(answer, StartRefused) and fence == worker.fence:
        context.log.note("fenced", worker.worker_id, fence=fence, reason=answer.reason)
        # Only a successor raises the fence above this owner's.
        dispatcher.recorder.doubt()
    return answer


def _await_stored(dispatcher: Dispatcher, worker: Worker) -> None:
    if not worker.ends_by_commit:
        return
    batch = max(batch for batch, _ in worker.ends_by_commit)
    if not dispatcher.recorder.wait_for(batch, STORE_WAIT_S):
        dispatcher.context.sleep(UNSTORED_PAUSE_S)


def _lapse(dispatcher: Dispatcher, worker: Worker, failure: Failure) -> None:
    if worker.is_reached:
        dispatcher.context.log.note(
            "worker_lapsed", worker.worker_id, runs=len(worker.runs_by_task), why=failure.describe()
        )
        worker.is_reached = False
        worker.fence += 1
    for run in list(worker.runs_by_task.values()):
        dispatcher.release_run(worker, run, "its lease lapsed unheard")
    if not worker.is_listed(dispatcher.context.clock()):
        dispatcher.drop_worker(worker, "neither listed nor heard")


def _apply_report(
    dispatcher: Dispatcher, worker: Worker, report: WorkerReport, sent_s: float, fence: int
) -> None:
    context = dispatcher.context
    if worker.incarnation and report.incarnation and report.incarnation != worker.incarnation:
        _restart(dispatcher, worker)
    worker.incarnation = report.incarnation or worker.incarnation
    now_s = context.clock()
    worker.note_heard(now_s, report.clock_s)
    if not worker.is_reached:
        worker.is_reached = True
        context.log.note(
            "worker_reached",
            worker.worker_id,
            fence=fence,
            running=len(report.running),
            ended=len(report.ended),
        )
        dispatcher.wake.set()
    for end in report.ended:
        if end.number > worker.seen_end:
            worker.seen_end = end.number
            dispatcher.apply_end(worker, end)
    _reconcile(dispatcher, worker, report, sent_s, fence)
    if now_s - worker.looked_s >= LOOK_INTERVAL_S:
        worker.looked_s = now_s
        _look(dispatcher, worker, now_s)


def _restart(dispatcher: Dispatcher, worker: Worker) -> None:
    dispatcher.context.log.note("worker_restarted", worker.worker_id, before=worker.incarnation)
    for run in list(worker.runs_by_task.values()):
        dispatcher.release_run(worker, run, "the worker started again")
    worker.seen_end = worker.acknowledged = 0
    worker.ends_by_commit.clear()
    worker.heard_s = worker.clock_s = worker.granted_until_s = 0.0
    worker.fence += 1


def _reconcile(
    dispatcher: Dispatcher, worker: Worker, report: WorkerReport, sent_s: float, fence: int
) -> None:
    context = dispatcher.context
    now_s = context.clock()
    reported = {(row.task, row.run): row for row in report.running}
    for run in list(worker.runs_by_task.values()):
        row = reported.pop((run.task, run.run), None)
        if row is not None:
            run.update(row, now_s)
            _keep_checkpoint(dispatcher, row)
            if run.is_stopping and now_s - run.stop_sent_s > STOP_REPEAT_S:
                dispatcher.order_stop(worker, run, "stop repeated")
        elif run.confirmed_s is not None and run.confirmed_s < sent_s:
            dispatcher.release_run(worker, run, "not held by the worker any more")
        elif run.confirmed_s is None and run.fence < fence:
            dispatcher.release_run(worker, run, "start voided by a higher fence")
    for row in reported.values():
        _take_unknown(dispatcher, worker, row)


def _keep_checkpoint(dispatcher: Dispatcher, row: RunReport) -> None:
    job = dispatcher.jobs_by_id.get(row.task.job_id)
    task = job and job.task(row.task)
    if task and row.checkpoint:
        task.checkpoint = row.checkpoint


def _take_unknown(dispatcher: Dispatcher, worker: Worker, row: RunReport) -> None:
    """Adopt a run of an earlier owner where its task still waits for one, else stop it."""
    job = dispatcher.jobs_by_id.get(row.task.job_id)
    known = worker.runs_by_task.get(row.task)
    if known is not None and known.run > row.run:
        return
    is_final = row.task.job_id in dispatcher.final_by_id
    if job is None and not is_final and dispatcher.note_stray(worker, row):
        # Its submission may be on its way to this owner: the run is adopted with its job.
        return
    if job is not None and dispatcher.adopt_run(worker, row):
        return
    dispatcher.context.log.note(
        "run_unwanted", task_name(row.task), run=row.run, worker=worker.worker_id
    )
    dispatcher.spawn(worker.link.stop, row.task, row.run, worker.fence, ORDER_TIMEOUT_S)


def _look(dispatcher: Dispatcher, worker: Worker, now_s: float) -> None:
    """Learn from the tails on one worker, and set the throttles of its filling runs."""
    serving = [run for run in worker.serving_runs() if run.measure > 0]
    filling = [run for run in worker.filling_runs() if not run.is_stopping]
    capacity = worker.entry.cpu_millis
    used_by_image: dict[str, float] = {}
    for run in filling:
        image = run.step.image
        used_by_image[image] = used_by_image.get(image, 0.0) + run.measure / capacity
    model = dispatcher.model
    worker.outlook = None
    for run in serving:
        ratio = run.measure / run.step.tail_target_ms
        model.observe(run.task, run.step.image, ratio, used_by_image)
        if ratio < CLEARLY_UNDER:
            run.under_s = now_s
    if not filling:
        return
    images = {run.step.image for run in filling}
    serving_views = [
        ServingView(
            model.base(run.task, run.step.image),
            {image: model.coefficient(run.step.image, image) for image in images},
            {image: model.highest_coefficient(run.step.image, image) for image in images},
            now_s - run.under_s,
        )
        for run in serving
    ]
    filling_views = [
        FillingView(run.task, run.step.image, _full_share(run, capacity)) for run in filling
    ]
    harm_s = dispatcher.context.deployment.bounds.max_overrun_s
    percent_by_task = choose_throttles(serving_views, filling_views, harm_s)
    for run in filling:
        percent = percent_by_task[run.task]
        if percent > SLOWED_PERCENT:
            run.slowed_s = None
        elif run.slowed_s is None:
            run.slowed_s = now_s
        if percent != run.throttle and run.confirmed_s is not None:
            dispatcher.spawn(_throttle, dispatcher, worker, run, percent)


def _full_share(run: ActiveRun, capacity: float) -> float:
    """Return the share of the worker that a run would use unthrottled, by what it uses now."""
    reserved = run.step.cpu_millis / capacity
    if run.throttle < 50 or run.measure <= 0:
        return reserved
    return min(reserved, run.measure / capacity * 100.0 / run.throttle)


def _throttle(dispatcher: Dispatcher, worker: Worker, run: ActiveRun, percent: int) -> None:
    before, run.throttle = run.throttle, percent
    dispatcher.counters.throttles += 1
    outcome = worker.link.throttle(run.task, run.run, percent, worker.fence, ORDER_TIMEOUT_S)
    if isinstance(outcome, Failure):
        # The next look sets it again.
        run.throttle = before
    dispatcher.context.log.note(
        "throttle",
        task_name(run.task),
        worker=worker.worker_id,
        percent=percent,
        before=before,
        outcome=outcome.tag if isinstance(outcome, Failure) else "done",
    )


def void_unanswered_starts(dispatcher: Dispatcher, worker: Worker) -> None:
    """Raise the fence of a worker until it answers, so that no earlier start can begin later.

    The answer lists what did start; the rest is released. A start that is lost meanwhile, under the
    fence that was raised, raises it again.
    """
    if worker.is_voiding:
        return
    worker.is_voiding = True
    try:
        while not dispatcher.is_stopped() and not worker.is_gone:
            fences = [run.fence for run in worker.runs_by_task.values() if run.is_uncertain]
            if not fences:
                return
            worker.fence = max(worker.fence, max(fences) + 1)
            answer = renew(dispatcher, worker, 0.0, ORDER_TIMEOUT_S)
            if not isinstance(answer, WorkerReport):
                dispatcher.context.sleep(RETRY_S)
    finally:
        worker.is_voiding = False
        dispatcher.wake.set()
