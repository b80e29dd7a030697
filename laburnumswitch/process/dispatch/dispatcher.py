"""The owner's state: jobs, workers, and the orders that follow from both.

The workers' own lists are the ledger of what runs: a start is sent at once under the owner's
fencing token, and only ends, failures and checkpoints are stored. ``worker_task`` talks to each
worker, ``planner`` decides what starts, and ``recorder`` commits.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from gevent import spawn
from gevent.event import Event
from xxhash import xxh32_intdigest

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.daemon.deployment import Deployment
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import FENCES_PER_EPOCH
from laburnumswitch.process.dispatch.fleet import SLOWEST_CLOCK
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.headroom import Headroom
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.jobs import Task
from laburnumswitch.process.dispatch.jobs import WaitingStep
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.dispatch.reports import EndReport
from laburnumswitch.process.dispatch.reports import How
from laburnumswitch.process.dispatch.reports import RunReport
from laburnumswitch.process.dispatch.reports import WorkerEntry
from laburnumswitch.process.dispatch.reports import WorkerLink
from laburnumswitch.process.dispatch.tails import TailModel
from laburnumswitch.process.dispatch.tickets import Tickets
from laburnumswitch.process.dispatch.work import Queue
from laburnumswitch.process.dispatch.work import Submission
from laburnumswitch.process.dispatch.work import TaskKey
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.placing.quarantine import Quarantine
from laburnumswitch.process.rows.table import FeedTable

# Runs of one task that one owner may start; the rest of a run's number is the owner's epoch.
RUNS_PER_EPOCH = 10_000
# A worker that fails all that it starts rests for so long at first, in seconds: the users' workers
# are unwell for about six.
FIRST_REST_S = 3.0
MAX_REST_S = 12.0
# Limit of one order in seconds; workers answer within a few milliseconds.
ORDER_TIMEOUT_S = 0.4

# Submissions reach the owner by the feed within this time, in seconds.
STRAY_WAIT_S = 3.0
# How much each new job moves the mean work of its queue.
MEAN_RATE = 0.05
FLEET_TABLE = "fleet"
# Rows of the list of workers: a row of the platform holds 64 KiB, an entry takes some 200 bytes.
FLEET_PARTS = 16

AskAdvice = Callable[[TaskKey, tuple[str, ...], float], Tickets | Failure]


class DispatchContext(NamedTuple):
    """What dispatching needs of the process; clocks are in seconds."""

    deployment: Deployment
    table: FeedTable
    workers_table: str
    decode_worker: Callable[[str, object], WorkerEntry | RowMalformed]
    make_link: Callable[[WorkerEntry], WorkerLink]
    ask_advice: AskAdvice
    operations: Operations
    log: DecisionLog
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    boot_clock: Callable[[], float]
    sleep: Callable[[float], None]


class Stray(NamedTuple):
    """A run of a job that is not known yet, and when it was first seen."""

    worker: Worker
    row: RunReport
    seen_s: float


class Counters:
    """What was dispatched so far, for the metrics."""

    def __init__(self) -> None:
        self.starts = 0
        self.refused_starts = 0
        self.uncertain_starts = 0
        self.renewals = 0
        self.throttles = 0
        self.ended_by_how: dict[str, int] = {}


class Dispatcher:
    """Everything that one ownership knows.

    :ivar settled: whether all runs of earlier owners are known or have certainly lapsed.
    :ivar unseen_until_s: when the last lease ends that earlier owners may have granted.
    :ivar doubts_new_jobs: whether the earlier owner may start jobs that come in until then.
    """

    def __init__(self, context: DispatchContext, recorder: Recorder) -> None:
        self.context = context
        self.recorder = recorder
        self.epoch = recorder.held.term.epoch
        self.jobs_by_id: dict[str, Job] = {}
        self.final_by_id: dict[str, JobState] = {}
        self.ended_s_by_id: dict[str, float] = {}
        self.workers_by_id: dict[str, Worker] = {}
        self.waiting_by_step: dict[tuple[str, int, int], WaitingStep] = {}
        self.tickets_by_step: dict[tuple[str, int, int], tuple[float, Tickets]] = {}
        self.model = TailModel()
        # When jobs were cancelled whose submissions are still on their way.
        self.cancelled_s_by_id: dict[str, float] = {}
        self.stray_by_task: dict[TaskKey, Stray] = {}
        self.mean_work_by_queue: dict[str, float] = {}
        self.filling_images: dict[str, None] = {}
        self.headroom = Headroom()
        self.quarantine = Quarantine(FIRST_REST_S, MAX_REST_S)
        self.counters = Counters()
        self.wake = Event()
        self.stopped = Event()
        self.is_loaded = Event()
        self.settled = True
        self.unseen_until_s = 0.0
        self.doubts_new_jobs = False

    def is_stopped(self) -> bool:
        """Return whether this ownership has ended."""
        return self.stopped.is_set() or self.recorder.is_lost

    def may_act(self) -> bool:
        """Return whether orders may be given now."""
        return not self.is_stopped() and self.recorder.is_certain()

    def stop(self) -> None:
        """End this ownership: no order is given from now on."""
        self.stopped.set()
        self.wake.set()
        for worker in self.workers_by_id.values():
            worker.link.close()

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Run a task of this ownership.

        An unexpected error ends the ownership: the state that it left may be half changed, while
        the next owner reads what is stored and what runs.
        """
        spawn(self._run_task, function, arguments)

    def _run_task(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        try:
            function(*arguments)
        except Exception:
            self.context.log.note_error("dispatch_failed", function.__name__, epoch=self.epoch)
            self.stop()

    def supersede(self) -> None:
        """End this ownership for another entry's.

        Closing the connections does not take back orders that were sent: the successor's fences do.
        """
        self.context.log.note("superseded", str(self.epoch))
        self.recorder.is_lost = True
        self.stop()

    def expect_unseen_runs(self, for_s: float) -> None:
        """Bound how long runs of earlier owners may last on workers that are not reached."""
        self.unseen_until_s = self.context.clock() + for_s
        for worker in self.workers_by_id.values():
            worker.lapse_bound_s = min(worker.lapse_bound_s, self.unseen_until_s)

    def note_predecessor_ended(self) -> None:
        """Take in that the earlier owner gives no order any more: its last leases end sooner."""
        lease_s = self.context.deployment.bounds.lease_s / SLOWEST_CLOCK
        before_s = self.unseen_until_s - self.context.clock()
        self.context.log.note("predecessor_ended", str(self.epoch), left_s=round(before_s, 3))
        self.doubts_new_jobs = False
        if lease_s < before_s:
            self.expect_unseen_runs(lease_s)

    # Jobs

    def add_job(self, submission: Submission, may_run_unseen: bool = False) -> Job | None:
        """Take a stored job in; one that is known already changes nothing."""
        if submission.job_id in self.jobs_by_id or submission.job_id in self.final_by_id:
            return None
        doubtful = self.doubts_new_jobs and not self.settled
        job = Job(submission, may_run_unseen or doubtful)
        self.jobs_by_id[job.job_id] = job
        mean = self.mean_work_by_queue.get(submission.queue, job.work)
        self.mean_work_by_queue[submission.queue] = mean + MEAN_RATE * (job.work - mean)
        for step in submission.steps:
            if step.filling and step.image:
                self.filling_images[step.image] = None
        self.context.log.note(
            "job_taken",
            job.job_id,
            queue=submission.queue,
            tasks=sum(step.count for step in submission.steps),
            age_s=round(self.context.wall_clock() - submission.submitted_s, 3),
        )
        self._adopt_strays(job)
        if self.cancelled_s_by_id.pop(job.job_id, None) is not None:
            self.cancel_job(job.job_id)
        else:
            self.refresh_waiting(job)
        return job

    def cancel_job(self, job_id: str) -> None:
        """End a job by its caller's wish."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            # Its submission may still be on its way, and has to find that it was cancelled.
            self.cancelled_s_by_id[job_id] = self.context.clock()
            return
        if job.is_final():
            return
        job.state = JobState.CANCELLED
        self.finish_job(job, "cancelled by its caller")

    def finish_job(self, job: Job, reason: str) -> None:
        """Stop what still runs of a job that has reached a final state, and store it."""
        self.context.log.note("job_final", job.job_id, state=job.state, reason=reason)
        self.recorder.note_job(job)
        self.quarantine.forget_job(job.job_id)
        self.refresh_waiting(job)
        for task in list(job.active_tasks()):
            worker = self.workers_by_id.get(task.worker_id)
            run = worker and worker.runs_by_task.get(task.key)
            if run:
                self.order_stop(worker, run, reason)
        self.forget_if_over(job)

    def forget_if_over(self, job: Job) -> None:
        """Keep only the state of a job that is final and has no run left."""
        if job.is_final() and not job.is_running():
            self.note_final(job.job_id, job.state)

    def note_final(self, job_id: str, state: JobState) -> None:
        """Remember the state of a job that has ended, until its rows are removed."""
        self.final_by_id[job_id] = state
        self.ended_s_by_id.setdefault(job_id, self.context.clock())

    def shown_state(self, job_id: str) -> JobState | None:
        """Return what callers are told; a final state only once it is stored."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return self.final_by_id.get(job_id)
        if job.is_final() and not job.is_stored and job.state is not JobState.CANCELLED:
            return JobState.RUNNING
        return job.state

    def pending_by_queue(self) -> dict[str, int]:
        """Return how many jobs of each queue have not begun."""
        pending: dict[str, int] = {}
        for job in self.jobs_by_id.values():
            if not job.has_begun and not job.is_final():
                pending[job.submission.queue] = pending.get(job.submission.queue, 0) + 1
        return pending

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job."""
        return self.context.operations.queue(job.submission.queue)

    def refresh_waiting(self, job: Job) -> None:
        """Bring the list of waiting steps up to date for one job, and wake the planner."""
        for occurrence in job.occurrences:
            ready = () if job.is_final() else tuple(occurrence.ready_steps())
            for index, runs in enumerate(occurrence.steps):
                key = (job.job_id, occurrence.number, index)
                if runs in ready:
                    if key not in self.waiting_by_step:
                        runs.ready_since_s = self.context.clock()
                        self.waiting_by_step[key] = WaitingStep(job, occurrence, runs)
                else:
                    self.waiting_by_step.pop(key, None)
        self.wake.set()

    # Runs

    def next_run(self, task: Task) -> int:
        """Return the number of a task's next run, above all of earlier owners."""
        return max(task.last_run + 1, (self.epoch - 1) * RUNS_PER_EPOCH + 1)

    def begin_run(self, job: Job, task: Task, worker: Worker) -> ActiveRun:
        """Reserve a run of a task on a worker."""
        number = self.next_run(task)
        runs = job.step_runs(task.key)
        job.begin_run(task, number, worker.worker_id)
        run = ActiveRun(task.key, number, runs.step, worker.fence, self.context.clock())
        worker.add_run(run)
        if not runs.has_waiting():
            self.waiting_by_step.pop(task.key[:3], None)
        return run

    def adopt_run(self, worker: Worker, row: RunReport) -> bool:
        """Take over a run that an earlier owner started, where its task still waits for one."""
        job = self.jobs_by_id.get(row.task.job_id)
        task = job and job.task(row.task)
        if not task or job.is_final() or not task.is_waiting() or row.run < task.last_run:
            return False
        now_s = self.context.clock()
        job.begin_run(task, row.run, worker.worker_id)
        run = ActiveRun(row.task, row.run, job.step_runs(row.task).step, worker.fence, now_s)
        run.update(row, now_s)
        worker.add_run(run)
        task.checkpoint = row.checkpoint or task.checkpoint
        self.refresh_waiting(job)
        self.context.log.note(
            "run_adopted", task_name(row.task), run=row.run, worker=worker.worker_id
        )
        return True

    def note_stray(self, worker: Worker, row: RunReport) -> bool:
        """Remember a run whose job is not known, and return whether to wait for its job."""
        now_s = self.context.clock()
        known = self.stray_by_task.get(row.task)
        if known is None or known.worker is not worker or known.row.run != row.run:
            known = self.stray_by_task[row.task] = Stray(worker, row, now_s)
        return now_s - known.seen_s < STRAY_WAIT_S

    def _adopt_strays(self, job: Job) -> None:
        strays = [key for key in self.stray_by_task if key.job_id == job.job_id]
        for key in strays:
            stray = self.stray_by_task.pop(key)
            if not stray.worker.is_gone:
                self.adopt_run(stray.worker, stray.row)

    def release_run(self, worker: Worker, run: ActiveRun, reason: str) -> None:
        """Note that a run does not exist any more, without an end: its task waits again."""
        if worker.runs_by_task.get(run.task) is not run:
            return
        worker.remove_run(run.task)
        self.model.forget_run(run.task)
        job = self.jobs_by_id.get(run.task.job_id)
        task = job and job.task(run.task)
        if task and task.run == run.run:
            job.end_run(task)
            self.refresh_waiting(job)
            self.forget_if_over(job)
        self.context.log.note(
            "run_released", task_name(run.task), run=run.run, worker=worker.worker_id, reason=reason
        )

    def apply_end(self, worker: Worker, end: EndReport) -> None:
        """Apply the end of a run that a worker lists, and have it stored."""
        how = self.counters.ended_by_how
        how[end.how] = how.get(end.how, 0) + 1
        run = worker.runs_by_task.get(end.task)
        if run is not None and run.run == end.run:
            worker.remove_run(end.task)
            self.model.forget_run(end.task)
        job = self.jobs_by_id.get(end.task.job_id)
        task = job and job.task(end.task)
        self.context.log.note(
            "run_ended", task_name(end.task), run=end.run, how=end.how, worker=worker.worker_id
        )
        if not task or not self._takes_end(task, end):
            self.wake.set()
            batch = self.recorder.committed
            if task and task.run == end.run:
                # Another member of the gang has ended as done for all.
                job.end_run(task)
                self.forget_if_over(job)
            elif task and end.how is How.FAILED and not job.is_final():
                self._count_failure(worker, job, task, end)
                batch = self.recorder.note_job(job)
            worker.ends_by_commit.append((batch, end.number))
            return
        if task.run:
            job.end_run(task)
        task.last_run = max(task.last_run, end.run)
        task.checkpoint = end.checkpoint or task.checkpoint
        was_final = job.is_final()
        self._count_end(worker, job, task, end)
        worker.ends_by_commit.append((self.recorder.note_job(job), end.number))
        if was_final:
            self.forget_if_over(job)
        elif job.is_final():
            self.finish_job(job, f"task {task_name(task.key)} {end.how}")
        else:
            self.refresh_waiting(job)

    def _takes_end(self, task: Task, end: EndReport) -> bool:
        # The end of an earlier run than the active one is of no use: its lease lapsed meanwhile.
        if task.is_done:
            return False
        if task.run:
            return task.run == end.run
        return end.run > task.last_run or end.how is How.DONE

    def _count_end(self, worker: Worker, job: Job, task: Task, end: EndReport) -> None:
        if end.how is How.DONE:
            if not job.is_final():
                job.mark_done(task)
            self.quarantine.record_finish(worker.worker_id, job.job_id)
        elif end.how is How.FAILED and not job.is_final():
            self._count_failure(worker, job, task, end)

    def _count_failure(self, worker: Worker, job: Job, task: Task, end: EndReport) -> None:
        queue = self.queue_of(job)
        job.count_failure(task, end.run, queue.max_attempts if queue else 1)
        if self.quarantine.record_failure(worker.worker_id, job.job_id, self.context.clock()):
            self.context.log.note("worker_rests", worker.worker_id, reason="fails all starts")

    def order_stop(self, worker: Worker, run: ActiveRun, reason: str) -> None:
        """Stop a run; it holds its room until the worker lists its end."""
        now_s = self.context.clock()
        run.is_stopping = True
        run.stop_sent_s = now_s
        self.context.log.note(
            "run_stop", task_name(run.task), run=run.run, worker=worker.worker_id, reason=reason
        )
        self.spawn(worker.link.stop, run.task, run.run, worker.fence, ORDER_TIMEOUT_S)

    # Workers

    def add_worker(self, entry: WorkerEntry, earlier_fence: int = 0) -> Worker:
        """Take a worker in that was not known, and have it stored.

        :param earlier_fence: highest fencing token sent to an earlier incarnation under its id.
        """
        fence = max(self.epoch * FENCES_PER_EPOCH, earlier_fence + 1)
        worker = Worker(entry, self.context.make_link(entry), fence)
        self.workers_by_id[entry.worker_id] = worker
        worker.listed_by_batch = self.record_fleet(entry.worker_id)
        self.context.log.note(
            "worker_listed",
            entry.worker_id,
            service=entry.service,
            zone=entry.availability_zone,
            incarnation=entry.incarnation,
        )
        return worker

    def record_fleet(self, worker_id: str) -> int:
        """Have the part of the list of workers stored that holds one of them."""
        part = fleet_part(worker_id)
        entries = [
            worker.entry
            for worker in self.workers_by_id.values()
            if fleet_part(worker.worker_id) == part
        ]
        return self.recorder.note_value(f"{FLEET_TABLE}/{part}", entries)

    def has_lapsed(self, worker: Worker) -> bool:
        """Return whether nothing can run on a silent worker any more.

        Its leases have to be over, and this owner has to have committed since: a successor may have
        renewed them otherwise.
        """
        is_over = worker.has_certainly_lapsed(self.context.clock())
        return is_over and self.recorder.was_owner_at(worker.lapse_bound_s)

    def drop_worker(self, worker: Worker, reason: str) -> None:
        """Forget a worker whose runs have certainly ended."""
        worker.is_gone = True
        for run in list(worker.runs_by_task.values()):
            self.release_run(worker, run, reason)
        worker.link.close()
        if self.workers_by_id.get(worker.worker_id) is worker:
            del self.workers_by_id[worker.worker_id]
            self.record_fleet(worker.worker_id)
        self.context.log.note("worker_dropped", worker.worker_id, reason=reason)
        self.wake.set()


def fleet_part(worker_id: str) -> int:
    """Return which row of the stored list of workers holds one."""
    return xxh32_intdigest(worker_id.encode()) % FLEET_PARTS


def task_name(task: TaskKey) -> str:
    """Return a task's name for logs."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"
