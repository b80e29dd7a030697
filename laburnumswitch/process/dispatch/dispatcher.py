"""State of the owner: jobs, workers, and the commands sent to workers.

The workers' own lists are the ledger of what runs: starts are sent immediately under the owner's
fencing token, and only ends, failures and checkpoints are stored. ``worker_session`` talks to each
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
from laburnumswitch.process.dispatch.fleet import MIN_CLOCK_RATE
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.headroom import Headroom
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.jobs import Task
from laburnumswitch.process.dispatch.jobs import WaitingStep
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.dispatch.tails import TailLatencyModel
from laburnumswitch.process.dispatch.tickets import Tickets
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import WorkerLink
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.placing.quarantine import Quarantine
from laburnumswitch.process.rows.table import FeedTable

# Upper bound of the runs of one task that one owner starts. Run numbers are built from the owner's
# epoch and a counter below this bound.
RUNS_PER_EPOCH = 10_000
# A worker that fails every run that it starts is quarantined, at first for this long, in seconds.
# Users' workers recover from such a condition after about six.
INITIAL_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 12.0
# Time limit of one command to a worker in seconds; workers answer within a few milliseconds.
COMMAND_TIMEOUT_S = 0.4

# Submissions reach the owner through the feed within this time, in seconds. A run whose job is
# still unknown after that is stopped.
ORPHAN_WAIT_S = 3.0
# Weight of a new job in the moving average of its queue's work.
MEAN_WORK_RATE = 0.05
FLEET_TABLE = "fleet"
# Number of rows that store the list of workers: a row of the platform's store holds 64 KiB, and a
# worker takes about 200 bytes.
FLEET_PARTS = 16

AskAdvice = Callable[[TaskKey, tuple[str, ...], float], Tickets | Failure]


class DispatchContext(NamedTuple):
    """Dependencies of the dispatcher; clocks are in seconds."""

    deployment: Deployment
    table: FeedTable
    workers_table: str
    decode_worker: Callable[[str, object], WorkerListing | RowMalformed]
    make_link: Callable[[WorkerListing], WorkerLink]
    ask_advice: AskAdvice
    operations: Operations
    log: DecisionLog
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    boot_clock: Callable[[], float]
    sleep: Callable[[float], None]


class OrphanRun(NamedTuple):
    """A reported run whose job is not known yet, and when it was first seen."""

    worker: Worker
    row: RunReport
    seen_s: float


class Counters:
    """Counters of one ownership, for the metrics."""

    def __init__(self) -> None:
        self.starts = 0
        self.refused_starts = 0
        self.uncertain_starts = 0
        self.renewals = 0
        self.throttles = 0
        self.ended_by_outcome: dict[str, int] = {}


class Dispatcher:
    """State of one ownership.

    :ivar settled: whether all runs of earlier owners are known or have certainly lapsed.
    :ivar unknown_runs_until_s: when the last lease ends that earlier owners may have granted.
    :ivar predecessor_may_start_jobs: whether the earlier owner may still start jobs that are
        submitted before this owner has settled.
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
        self.model = TailLatencyModel()
        # Times of cancellations whose submissions have not arrived yet.
        self.cancelled_s_by_id: dict[str, float] = {}
        self.orphan_by_task: dict[TaskKey, OrphanRun] = {}
        self.mean_work_by_queue: dict[str, float] = {}
        self.best_effort_images: dict[str, None] = {}
        self.headroom = Headroom()
        self.quarantine = Quarantine(INITIAL_QUARANTINE_S, MAX_QUARANTINE_S)
        self.counters = Counters()
        self.wake = Event()
        self.stopped = Event()
        self.is_loaded = Event()
        self.settled = True
        self.unknown_runs_until_s = 0.0
        self.predecessor_may_start_jobs = False

    def is_stopped(self) -> bool:
        """Return whether this ownership has ended."""
        return self.stopped.is_set() or self.recorder.is_lost

    def may_act(self) -> bool:
        """Return whether commands may be sent now."""
        return not self.is_stopped() and self.recorder.is_certain()

    def stop(self) -> None:
        """End this ownership: no commands are sent from now on."""
        self.stopped.set()
        self.wake.set()
        for worker in self.workers_by_id.values():
            worker.link.close()

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Run a function in a greenlet of this ownership.

        An unexpected error ends the ownership, since it may leave the state inconsistent. The next
        owner rebuilds it from what is stored and from the workers' reports.
        """
        spawn(self._run_task, function, arguments)

    def _run_task(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        try:
            function(*arguments)
        except Exception:
            self.context.log.note_error("dispatch_failed", function.__name__, epoch=self.epoch)
            self.stop()

    def supersede(self) -> None:
        """End this ownership because another entry has become the owner.

        Closing the connections does not withdraw commands that were sent; the successor's fencing
        tokens invalidate them.
        """
        self.context.log.note("superseded", str(self.epoch))
        self.recorder.is_lost = True
        self.stop()

    def bound_unknown_runs(self, for_s: float) -> None:
        """Set for how long earlier owners' runs may continue on unreachable workers."""
        self.unknown_runs_until_s = self.context.clock() + for_s
        for worker in self.workers_by_id.values():
            worker.lapse_bound_s = min(worker.lapse_bound_s, self.unknown_runs_until_s)

    def note_predecessor_ended(self) -> None:
        """Shorten the wait for unknown runs, since the earlier owner sends no more commands."""
        lease_s = self.context.deployment.bounds.lease_s / MIN_CLOCK_RATE
        before_s = self.unknown_runs_until_s - self.context.clock()
        self.context.log.note("predecessor_ended", str(self.epoch), left_s=round(before_s, 3))
        self.predecessor_may_start_jobs = False
        if lease_s < before_s:
            self.bound_unknown_runs(lease_s)

    # Jobs

    def add_job(self, submission: Submission, may_have_unknown_runs: bool = False) -> Job | None:
        """Add a stored job and return it, or ``None`` if it is known already."""
        if submission.job_id in self.jobs_by_id or submission.job_id in self.final_by_id:
            return None
        may_be_started_elsewhere = self.predecessor_may_start_jobs and not self.settled
        job = Job(submission, may_have_unknown_runs or may_be_started_elsewhere)
        self.jobs_by_id[job.job_id] = job
        mean = self.mean_work_by_queue.get(submission.queue, job.work)
        self.mean_work_by_queue[submission.queue] = mean + MEAN_WORK_RATE * (job.work - mean)
        for step in submission.steps:
            if step.best_effort and step.image:
                self.best_effort_images[step.image] = None
        self.context.log.note(
            "job_taken",
            job.job_id,
            queue=submission.queue,
            tasks=sum(step.count for step in submission.steps),
            age_s=round(self.context.wall_clock() - submission.submitted_s, 3),
        )
        self._adopt_orphans(job)
        if self.cancelled_s_by_id.pop(job.job_id, None) is not None:
            self.cancel_job(job.job_id)
        else:
            self.refresh_waiting(job)
        return job

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job at its caller's request."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            # The submission may arrive after its cancellation.
            self.cancelled_s_by_id[job_id] = self.context.clock()
            return
        if job.is_final():
            return
        job.state = JobState.CANCELLED
        self.finish_job(job, "cancelled by the caller")

    def finish_job(self, job: Job, reason: str) -> None:
        """Store the final state of a job and stop its remaining runs."""
        self.context.log.note("job_final", job.job_id, state=job.state, reason=reason)
        self.recorder.note_job(job)
        self.quarantine.forget_job(job.job_id)
        self.refresh_waiting(job)
        for task in list(job.active_tasks()):
            worker = self.workers_by_id.get(task.worker_id)
            run = worker and worker.runs_by_task.get(task.key)
            if run:
                self.stop_run(worker, run, reason)
        self.forget_if_finished(job)

    def forget_if_finished(self, job: Job) -> None:
        """Keep only the state of a job that is final and has no active run."""
        if job.is_final() and not job.is_running():
            self.note_final(job.job_id, job.state)

    def note_final(self, job_id: str, state: JobState) -> None:
        """Remember the state of a finished job until its rows are removed."""
        self.final_by_id[job_id] = state
        self.ended_s_by_id.setdefault(job_id, self.context.clock())

    def reported_state(self, job_id: str) -> JobState | None:
        """Return the state to report to callers: a final state only once it is stored."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return self.final_by_id.get(job_id)
        if job.is_final() and not job.is_stored and job.state is not JobState.CANCELLED:
            return JobState.RUNNING
        return job.state

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of jobs of each queue of which no task has started."""
        pending: dict[str, int] = {}
        for job in self.jobs_by_id.values():
            if not job.has_begun and not job.is_final():
                pending[job.submission.queue] = pending.get(job.submission.queue, 0) + 1
        return pending

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job, or ``None`` if it is not configured."""
        return self.context.operations.queue(job.submission.queue)

    def refresh_waiting(self, job: Job) -> None:
        """Update the waiting steps of one job and wake the planner."""
        for occurrence in job.occurrences:
            ready = () if job.is_final() else tuple(occurrence.ready_steps())
            for index, step_state in enumerate(occurrence.steps):
                key = (job.job_id, occurrence.number, index)
                if step_state in ready:
                    if key not in self.waiting_by_step:
                        step_state.ready_since_s = self.context.clock()
                        self.waiting_by_step[key] = WaitingStep(job, occurrence, step_state)
                else:
                    self.waiting_by_step.pop(key, None)
        self.wake.set()

    # Runs

    def next_run(self, task: Task) -> int:
        """Return the number of a task's next run, higher than any of earlier owners."""
        return max(task.last_run + 1, (self.epoch - 1) * RUNS_PER_EPOCH + 1)

    def begin_run(self, job: Job, task: Task, worker: Worker) -> ActiveRun:
        """Create a run of a task and reserve its resources on a worker."""
        number = self.next_run(task)
        step_state = job.step_state(task.key)
        job.begin_run(task, number, worker.worker_id)
        run = ActiveRun(task.key, number, step_state.step, worker.fence, self.context.clock())
        worker.add_run(run)
        if not step_state.has_waiting():
            self.waiting_by_step.pop(task.key[:3], None)
        return run

    def adopt_run(self, worker: Worker, row: RunReport) -> bool:
        """Take over a run that an earlier owner started, if its task is still waiting."""
        job = self.jobs_by_id.get(row.task.job_id)
        task = job and job.task(row.task)
        if not task or job.is_final() or not task.is_waiting() or row.run < task.last_run:
            return False
        now_s = self.context.clock()
        job.begin_run(task, row.run, worker.worker_id)
        run = ActiveRun(row.task, row.run, job.step_state(row.task).step, worker.fence, now_s)
        run.update(row, now_s)
        worker.add_run(run)
        task.checkpoint = row.checkpoint or task.checkpoint
        self.refresh_waiting(job)
        self.context.log.note(
            "run_adopted", task_name(row.task), run=row.run, worker=worker.worker_id
        )
        return True

    def note_orphan(self, worker: Worker, row: RunReport) -> bool:
        """Remember a run of an unknown job, and return whether to keep waiting for the job."""
        now_s = self.context.clock()
        known = self.orphan_by_task.get(row.task)
        if known is None or known.worker is not worker or known.row.run != row.run:
            known = self.orphan_by_task[row.task] = OrphanRun(worker, row, now_s)
        return now_s - known.seen_s < ORPHAN_WAIT_S

    def _adopt_orphans(self, job: Job) -> None:
        orphans = [key for key in self.orphan_by_task if key.job_id == job.job_id]
        for key in orphans:
            orphan = self.orphan_by_task.pop(key)
            if not orphan.worker.is_dropped:
                self.adopt_run(orphan.worker, orphan.row)

    def release_run(self, worker: Worker, run: ActiveRun, reason: str) -> None:
        """Remove a run that ceased to exist without a reported end, and requeue its task."""
        if worker.runs_by_task.get(run.task) is not run:
            return
        worker.remove_run(run.task)
        self.model.forget_run(run.task)
        job = self.jobs_by_id.get(run.task.job_id)
        task = job and job.task(run.task)
        if task and task.run == run.run:
            job.end_run(task)
            self.refresh_waiting(job)
            self.forget_if_finished(job)
        self.context.log.note(
            "run_released", task_name(run.task), run=run.run, worker=worker.worker_id, reason=reason
        )

    def apply_end(self, worker: Worker, end: EndReport) -> None:
        """Apply the reported end of a run and queue the result for storage."""
        ended = self.counters.ended_by_outcome
        ended[end.outcome] = ended.get(end.outcome, 0) + 1
        run = worker.runs_by_task.get(end.task)
        if run is not None and run.run == end.run:
            worker.remove_run(end.task)
            self.model.forget_run(end.task)
        job = self.jobs_by_id.get(end.task.job_id)
        task = job and job.task(end.task)
        self.context.log.note(
            "run_ended", task_name(end.task), run=end.run, how=end.outcome, worker=worker.worker_id
        )
        if not task or not self._accepts_end(task, end):
            self.wake.set()
            batch = self.recorder.committed
            if task and task.run == end.run:
                # Another member of the gang has already completed the whole gang.
                job.end_run(task)
                self.forget_if_finished(job)
            elif task and end.outcome is RunOutcome.FAILED and not job.is_final():
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
            self.forget_if_finished(job)
        elif job.is_final():
            self.finish_job(job, f"task {task_name(task.key)} {end.outcome}")
        else:
            self.refresh_waiting(job)

    def _accepts_end(self, task: Task, end: EndReport) -> bool:
        # The end of a run before the active one does not count: that run's lease has lapsed.
        if task.is_done:
            return False
        if task.run:
            return task.run == end.run
        return end.run > task.last_run or end.outcome is RunOutcome.DONE

    def _count_end(self, worker: Worker, job: Job, task: Task, end: EndReport) -> None:
        if end.outcome is RunOutcome.DONE:
            if not job.is_final():
                job.mark_done(task)
            self.quarantine.record_finish(worker.worker_id, job.job_id)
        elif end.outcome is RunOutcome.FAILED and not job.is_final():
            self._count_failure(worker, job, task, end)

    def _count_failure(self, worker: Worker, job: Job, task: Task, end: EndReport) -> None:
        queue = self.queue_of(job)
        job.count_failure(task, end.run, queue.max_attempts if queue else 1)
        if self.quarantine.record_failure(worker.worker_id, job.job_id, self.context.clock()):
            self.context.log.note("worker_rests", worker.worker_id, reason="every run fails")

    def stop_run(self, worker: Worker, run: ActiveRun, reason: str) -> None:
        """Stop a run; its resources stay reserved until the worker reports its end."""
        now_s = self.context.clock()
        run.is_stopping = True
        run.stop_sent_s = now_s
        self.context.log.note(
            "run_stop", task_name(run.task), run=run.run, worker=worker.worker_id, reason=reason
        )
        self.spawn(worker.link.stop, run.task, run.run, worker.fence, COMMAND_TIMEOUT_S)

    # Workers

    def add_worker(self, listing: WorkerListing, earlier_fence: int = 0) -> Worker:
        """Add a newly listed worker and queue it for storage.

        :param earlier_fence: highest fencing token sent to an earlier incarnation with the same id.
        """
        fence = max(self.epoch * FENCES_PER_EPOCH, earlier_fence + 1)
        worker = Worker(listing, self.context.make_link(listing), fence)
        self.workers_by_id[listing.worker_id] = worker
        worker.listed_in_batch = self.record_fleet(listing.worker_id)
        self.context.log.note(
            "worker_listed",
            listing.worker_id,
            service=listing.service,
            zone=listing.availability_zone,
            incarnation=listing.incarnation,
        )
        return worker

    def record_fleet(self, worker_id: str) -> int:
        """Queue the row with a worker's part of the worker list for storage."""
        part = fleet_part(worker_id)
        listings = [
            worker.listing
            for worker in self.workers_by_id.values()
            if fleet_part(worker.worker_id) == part
        ]
        return self.recorder.note_value(f"{FLEET_TABLE}/{part}", listings)

    def has_lapsed(self, worker: Worker) -> bool:
        """Return whether a silent worker can have no runs any more.

        Its leases must have expired, and this owner must have committed since then: otherwise a
        successor may have renewed them.
        """
        is_over = worker.has_certainly_lapsed(self.context.clock())
        return is_over and self.recorder.was_owner_at(worker.lapse_bound_s)

    def drop_worker(self, worker: Worker, reason: str) -> None:
        """Remove a worker whose runs have certainly ended."""
        worker.is_dropped = True
        for run in list(worker.runs_by_task.values()):
            self.release_run(worker, run, reason)
        worker.link.close()
        if self.workers_by_id.get(worker.worker_id) is worker:
            del self.workers_by_id[worker.worker_id]
            self.record_fleet(worker.worker_id)
        self.context.log.note("worker_dropped", worker.worker_id, reason=reason)
        self.wake.set()


def fleet_part(worker_id: str) -> int:
    """Return the number of the row that stores a worker."""
    return xxh32_intdigest(worker_id.encode()) % FLEET_PARTS


def task_name(task: TaskKey) -> str:
    """Return the name of a task as used in logs."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"
