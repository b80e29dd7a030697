"""State of the owner in the dispatch daemon: jobs, workers, and the commands sent to workers.

The workers' reports are the record of what runs: starts are sent immediately under the owner's
fencing token, and only those of long-running tasks are stored (``placements``). What else is stored
is the state of the jobs (with completed tasks, failures and checkpoints), the list of workers and
the parameters of the latency model.
``worker_session`` talks to each worker, ``planner`` decides what starts, and ``recorder`` commits.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from functools import wraps
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from gevent import spawn
from gevent.event import Event
from xxhash import xxh32_intdigest

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.daemon.deployment import Deployment
from laburnumswitch.process.daemon.supervision import keep_running
from laburnumswitch.process.dispatch.advice import Advice
from laburnumswitch.process.dispatch.commitment import Admissions
from laburnumswitch.process.dispatch.commitment import committed_cpu_millis
from laburnumswitch.process.dispatch.counters import Counters
from laburnumswitch.process.dispatch.crashes import CrashedTask
from laburnumswitch.process.dispatch.crashes import crashes_key
from laburnumswitch.process.dispatch.crashes import CrashWindow
from laburnumswitch.process.dispatch.crashes import find_suspects
from laburnumswitch.process.dispatch.crashes import is_excusable
from laburnumswitch.process.dispatch.crashes import is_to_blame
from laburnumswitch.process.dispatch.crashes import SURVIVAL_S
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import describe_run
from laburnumswitch.process.dispatch.fleet import FENCES_PER_EPOCH
from laburnumswitch.process.dispatch.fleet import find_run
from laburnumswitch.process.dispatch.fleet import lapse_s
from laburnumswitch.process.dispatch.fleet import MAX_LEASE_S
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.handover import describe_workers
from laburnumswitch.process.dispatch.handover import HANDOVER_CLOCK_KEY
from laburnumswitch.process.dispatch.handover import WorkerHandover
from laburnumswitch.process.dispatch.handover import write_handover
from laburnumswitch.process.dispatch.headroom import Headroom
from laburnumswitch.process.dispatch.job_faults import JobFaults
from laburnumswitch.process.dispatch.job_memory import JobMemory
from laburnumswitch.process.dispatch.job_memory import submission_bytes
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import describe_steps
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobSource
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.jobs import step_work
from laburnumswitch.process.dispatch.late_jobs import LateJobs
from laburnumswitch.process.dispatch.leaving import await_stopped_runs
from laburnumswitch.process.dispatch.occurrences import Occurrence
from laburnumswitch.process.dispatch.opportunity import Demand
from laburnumswitch.process.dispatch.organisation_admission import OrganisationAdmissions
from laburnumswitch.process.dispatch.organisation_jobs import OrganisationJobs
from laburnumswitch.process.dispatch.organisation_share import OrganisationShares
from laburnumswitch.process.dispatch.organisation_usage import OrganisationUsage
from laburnumswitch.process.dispatch.orphans import choose_orphan
from laburnumswitch.process.dispatch.orphans import forget_worker
from laburnumswitch.process.dispatch.orphans import OrphanEnd
from laburnumswitch.process.dispatch.orphans import OrphanRun
from laburnumswitch.process.dispatch.orphans import take_expired_ends
from laburnumswitch.process.dispatch.parked_jobs import ParkedJobs
from laburnumswitch.process.dispatch.place_wait import PlaceWaits
from laburnumswitch.process.dispatch.placements import Placements
from laburnumswitch.process.dispatch.progress import Progress
from laburnumswitch.process.dispatch.progress import restore_progress
from laburnumswitch.process.dispatch.quota_gate import QuotaGate
from laburnumswitch.process.dispatch.ready_steps import ReadySteps
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.dispatch.removed_jobs import RemovedJobs
from laburnumswitch.process.dispatch.run_acknowledgements import keep_unacknowledged
from laburnumswitch.process.dispatch.run_acknowledgements import NOT_COMMITTED
from laburnumswitch.process.dispatch.run_ends import accepts_end
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.run_ends import Evidence
from laburnumswitch.process.dispatch.run_ends import has_ended
from laburnumswitch.process.dispatch.run_ends import may_adopt
from laburnumswitch.process.dispatch.silences import Silences
from laburnumswitch.process.dispatch.start_delays import StartDelays
from laburnumswitch.process.dispatch.start_limits import StartLimits
from laburnumswitch.process.dispatch.step_state import NO_RUNS
from laburnumswitch.process.dispatch.step_state import Task
from laburnumswitch.process.dispatch.tails import TailLatencyModel
from laburnumswitch.process.dispatch.tickets import Tickets
from laburnumswitch.process.dispatch.vm_list import ListVms
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import WorkerLink
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.leadership.succession import Succession
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.placing.quarantine import Quarantine
from laburnumswitch.process.rows.store_clock import StoreTime
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Put

# Maximum number of runs of one task in one term. Run numbers are built from the owner's epoch and a
# counter below this bound.
RUNS_PER_EPOCH = 10_000
# First quarantine, in seconds, of a worker on which every run fails. The condition usually passes
# after about six seconds.
INITIAL_QUARANTINE_S = 3.0
# Upper bound of a worker's later quarantines, in seconds.
MAX_QUARANTINE_S = 12.0
# Time limit of one command to a worker in seconds; workers answer within a few milliseconds.
COMMAND_TIMEOUT_S = 0.4
# Submissions reach the owner through the feed within this time, in seconds. A run whose job is
# still unknown after that is stopped.
ORPHAN_WAIT_S = 3.0
# Weight of a new job in the moving average of its queue's work (core-seconds per job).
MEAN_WORK_WEIGHT = 0.05
# How long an owner that leaves waits, in seconds, until it has loaded the stored state, and then
# until it has planned once.
MAX_LOAD_WAIT_S = 2.0
MAX_PLAN_WAIT_S = 1.0
FLEET_TABLE = "fleet"
# Number of rows that store the list of workers: a row of the platform's store holds 64 KiB, and a
# worker takes about 200 bytes.
FLEET_PARTS = 16
# Number of a listing's fields that are stored: earlier versions cannot read rows with more.
STORED_LISTING_FIELDS = WorkerListing._fields.index("remaining_s")

T = TypeVar("T")

# Asks the advice service which of the given workers may run the step of a task; the last argument
# is the timeout in seconds.
AskAdvice = Callable[[TaskKey, tuple[str, ...], float], Tickets | Failure]


class DispatchContext(NamedTuple):
    """Dependencies of the dispatcher; clocks are in seconds.

    :ivar clock: monotonic, stands still while the VM is suspended.
    :ivar boot_clock: monotonic, includes the time for which the VM was suspended.
    :ivar list_vms: reads the platform's list of VMs, ``None`` where there is none.
    """

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
    list_vms: ListVms | None = None


class Dispatcher:
    """State of the owner during one term.

    :ivar began_s: when the term began, on the monotonic clock.
    :ivar final_by_id: states of jobs that have ended and have no active run.
    :ivar ended_s_by_id: when this was first noted of each of these jobs, on the monotonic clock.
    :ivar ready_step_by_key: ready steps by job id, occurrence and index of the step.
    :ivar succession: as last queued for storage, ``None`` before it is loaded.
    :ivar wake: set when the planner has to run.
    :ivar is_evacuating: whether ``evacuator`` handles draining workers at present.
    :ivar is_loaded: set once all stored jobs are loaded.
    :ivar has_planned: set once a planning pass over all workers has taken effect.
    :ivar knows_listings: whether this owner has read what the platform lists of the workers. The
        stored listings, which it loads first, may be from before a worker began to drain.
    :ivar settled: whether all runs of earlier owners are known or have certainly lapsed.
    :ivar unknown_runs_until_s: when the last lease ends that earlier owners may have granted.
    """

    def __init__(self, context: DispatchContext, recorder: Recorder) -> None:
        self.context = context
        self.recorder = recorder
        self.epoch = recorder.held_term.term.epoch
        self.began_s = context.clock()
        self.store_time = StoreTime(context.table, context.clock, context.boot_clock)
        self.jobs_by_id: dict[str, Job] = {}
        self.job_memory = JobMemory(context.deployment.memory_mb)
        self.start_limits = StartLimits(context.deployment.memory_mb)
        self.parked_jobs = ParkedJobs(self.job_memory, recorder, context.log)
        self.final_by_id: dict[str, JobState] = {}
        self.ended_s_by_id: dict[str, float] = {}
        self.removed_jobs = RemovedJobs()
        self.workers_by_id: dict[str, Worker] = {}
        # Why entries in the list of workers name no worker to use, by the worker's id.
        self.ignored_entry_by_id: dict[str, str] = {}
        # Highest fencing token sent to each dropped worker, which may start again under its id.
        self.fence_by_dropped_id: dict[str, int] = {}
        self.ready_steps = ReadySteps()
        self.ready_step_by_key = self.ready_steps.by_key
        # Keys of ready steps that found no room in planning passes that were cut short, and ids of
        # the workers that these passes kept for large urgent tasks.
        self.skipped_steps: set[tuple[str, int, int]] = set()
        self.reserved_by_service: dict[str, set[str]] = {}
        self.advice = Advice()
        self.place_waits = PlaceWaits(context.log, context.deployment.bounds)
        self.start_delays = StartDelays()
        self.placements = Placements(recorder, self.store_time, self.spawn, self.is_stopped)
        self.succession: Succession | None = None
        self.model = TailLatencyModel()
        # Times of cancellations whose submissions have not arrived yet.
        self.cancelled_s_by_id: dict[str, float] = {}
        # When the last read of the submissions to their end was sent, on the monotonic clock.
        self.submissions_read_s = self.began_s
        self.orphan_by_task: dict[TaskKey, OrphanRun] = {}
        self.orphan_ends_by_job_id: dict[str, list[OrphanEnd]] = {}
        self.mean_work_by_queue: dict[str, float] = {}
        self.demand = Demand()
        self.price_by_worker_id: dict[str, float] = {}
        self.priced_s = float("-inf")
        self.headroom_by_service: defaultdict[str, Headroom] = defaultdict(Headroom)
        self.admissions = Admissions()
        self.organisation_usage = OrganisationUsage()
        self.quota_gate = QuotaGate(
            self.organisation_usage,
            lambda: context.operations.configuration,
            context.deployment.bounds.quota_overage,
            context.log,
        )
        self.organisation_jobs = OrganisationJobs()
        self.organisation_admissions = OrganisationAdmissions()
        self.shares = OrganisationShares()
        # When the load of organisations was last measured, on the monotonic clock.
        self.organisations_updated_s = float("-inf")
        # When a worker was last added, on the monotonic clock.
        self.last_added_s = self.began_s
        # When the planner last looked for long-running tasks to stop, on the monotonic clock.
        self.preempted_s = float("-inf")
        self.crash_window = CrashWindow()
        # Tasks with crashed runs, and the last batch that stores any of them.
        self.crashed_task_by_key: dict[TaskKey, Task] = {}
        self.crashes_in_batch = 0
        self.quarantine = Quarantine(INITIAL_QUARANTINE_S, MAX_QUARANTINE_S)
        self.counters = Counters()
        self.job_faults = JobFaults(context.log, self.epoch, self._set_aside)
        self.wake = Event()
        self.stopped = Event()
        self.silences = Silences(self.epoch, recorder)
        self.is_evacuating = False
        self.is_loaded = Event()
        self.has_planned = Event()
        self.knows_listings = False
        self.settled = True
        self.unknown_runs_until_s = 0.0
        self.late_jobs = LateJobs()

    def is_stopped(self) -> bool:
        """Return whether this owner's term has ended."""
        return self.stopped.is_set() or self.recorder.is_lost

    def may_act(self) -> bool:
        """Return whether commands may be sent now."""
        return not self.is_stopped() and self.recorder.is_certainly_owner()

    def stop(self) -> None:
        """End the term: no commands are sent from now on."""
        self.stopped.set()
        self.wake.set()
        for worker in self.workers_by_id.values():
            worker.link.close()

    def release(self) -> None:
        """End the term gracefully, so that another entry takes over at once.

        The successor is told which runs may exist. An owner that is still loading does not know
        them, but its own predecessor may have told it. One that has just loaded starts what waits
        first, also what it has just stopped: the next owner may be told to stop as early.
        """
        if not self.is_stopped() and self.is_loaded.wait(MAX_LOAD_WAIT_S):
            self.has_planned.wait(MAX_PLAN_WAIT_S)
            await_stopped_runs(
                self.workers_by_id,
                lambda: not (self.wake.is_set() or self.placements.unsent_runs),
                self.is_stopped,
                self.context.deployment.bounds.stop_s,
                self.context.sleep,
            )
        # After an unexpected error the state may be inconsistent.
        is_certain = self.is_loaded.is_set() and not self.is_stopped()
        self.stop()
        self.recorder.release(self._describe_handover() if is_certain else ())

    def _describe_handover(self) -> tuple[Put, ...]:
        workers = self.describe_workers(self.workers_by_id.values())
        written_s = self.store_time.to_store_s(self.context.clock())
        puts = write_handover(self.epoch, workers, written_s)
        self.context.log.note(
            "handover",
            str(self.epoch),
            workers=len(workers),
            unknown=sum(worker.has_unknown_runs for worker in workers),
            runs=sum(len(worker.runs) for worker in workers),
            rows=sum(put.key != HANDOVER_CLOCK_KEY for put in puts),
        )
        return puts

    def describe_workers(self, workers: Iterable[Worker]) -> list[WorkerHandover]:
        """Return what this owner knows of some workers, for a successor."""
        jobs, orphans, ends = self.jobs_by_id, self.orphan_by_task, self.orphan_ends_by_job_id
        return describe_workers(workers, jobs, orphans, ends, self.context.clock())

    def granted_lease_s(self) -> float:
        """Return the length of the leases that this owner grants, in seconds."""
        return min(self.context.deployment.bounds.lease_s, MAX_LEASE_S)

    def longest_lapse_s(self) -> float:
        """Return how long runs may go on after a command of any owner, in seconds."""
        bounds = self.context.deployment.bounds
        return lapse_s(bounds.lease_s, bounds.stop_s)

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Run a function in a greenlet.

        An unexpected error ends the term, since it may leave the state inconsistent. The next owner
        rebuilds the state from what is stored and from the workers' reports.
        """
        spawn(self._run_greenlet, function, arguments)

    def spawn_restarted(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Run a function in a greenlet that begins anew after an unexpected error.

        For what observes or tidies up, and applies nothing of which a part would do harm.
        """

        @wraps(function)
        def run() -> None:
            try:
                function(*arguments)
            except Exception:
                self.counters.failed_tasks += 1
                raise

        spawn(keep_running, run, self.context.log, self.context.sleep, self.is_stopped)

    def _run_greenlet(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        try:
            function(*arguments)
        except Exception:
            self.context.log.note_error("dispatch_failed", function.__name__, epoch=self.epoch)
            self.stop()

    def call_remote(
        self, name: str, call: Callable[..., T | Failure], *arguments: Any
    ) -> T | Failure:
        """Call a worker or a service of the platform, and return its answer.

        An unexpected error counts as a lost answer, since the call may have arrived. It does not
        end the term.

        :param name: whom the call is for, for the log.
        """
        try:
            return call(*arguments)
        except Exception as error:
            self.context.log.note_error("call_failed", name, epoch=self.epoch)
            return AnswerLost(name, repr(error))

    def supersede(self) -> None:
        """End the term because another entry has become the owner.

        Commands that were sent may still arrive after the connections are closed; the successor's
        fencing tokens invalidate them.
        """
        self.context.log.note("superseded", str(self.epoch))
        self.recorder.is_lost = True
        self.stop()

    def limit_unknown_runs(self, duration_s: float) -> None:
        """Limit how much longer unknown runs of earlier owners may continue.

        This matters on workers that cannot be reached: their leases lapse after ``duration_s`` at
        the latest.
        """
        self.unknown_runs_until_s = self.context.clock() + duration_s
        for worker in self.workers_by_id.values():
            worker.lapse_bound_s = min(worker.lapse_bound_s, self.unknown_runs_until_s)

    def note_predecessor_ended(self) -> None:
        """Shorten the wait for unknown runs: the earlier owner sends no more commands."""
        longest_s = self.longest_lapse_s()
        remaining_s = self.unknown_runs_until_s - self.context.clock()
        self.context.log.note("predecessor_ended", str(self.epoch), left_s=round(remaining_s, 3))
        self.late_jobs.predecessor_ended.set()
        if longest_s < remaining_s:
            self.limit_unknown_runs(longest_s)

    # Jobs

    def add_job(
        self,
        submission: Submission,
        source: JobSource = JobSource.NOTIFIED,
        progress: Progress | None = None,
    ) -> Job | None:
        """Add a stored job and return it, or ``None`` if it is known, removed, parked or set aside.

        :param progress: what is stored of its progress, if anything.
        """
        job_id = submission.job_id
        if self.knows_job(job_id) or self.parked_jobs.holds(job_id):
            return None
        if self.job_faults.holds(job_id):
            # A repeated submission does not tell which of its tasks are done.
            return None
        try:
            return self._add_job(submission, source, progress)
        except Exception:
            self.job_faults.note(job_id, "adding the job")
            return self.jobs_by_id.get(job_id)

    def _add_job(
        self, submission: Submission, source: JobSource, progress: Progress | None
    ) -> Job | None:
        if self.removed_jobs.holds(submission.job_id):
            self.context.log.note("removed_job_ignored", submission.job_id, source=source)
            return None
        if self.parked_jobs.park(submission, source):
            if self.cancelled_s_by_id.pop(submission.job_id, None) is not None:
                self.cancel_job(submission.job_id)
            return None
        may_have_unknown_runs = source in (JobSource.LOADED, JobSource.PARKED) or (
            self.late_jobs.may_be_started and not self.settled
        )
        job = Job(submission, may_have_unknown_runs, self.placements.note_change)
        job.source, job.taken_s = source, self.context.clock()
        if progress is not None:
            restore_progress(job, progress)
        self.jobs_by_id[job.job_id] = job
        self.job_memory.note(job.job_id, submission_bytes(submission))
        self._note_organisation(job)
        mean = self.mean_work_by_queue.get(submission.queue, job.work)
        self.mean_work_by_queue[submission.queue] = mean + MEAN_WORK_WEIGHT * (job.work - mean)
        for step in submission.steps:
            if step.best_effort and step.image:
                self.demand.add(step.image, step.count * step_work(step), self.context.clock())
        self.context.log.note(
            "job_taken",
            job.job_id,
            queue=submission.queue,
            tasks=sum(step.count for step in submission.steps),
            age_s=round(self.context.wall_clock() - submission.submitted_s, 3),
            source=source,
            held=may_have_unknown_runs and not self.settled,
        )
        self._adopt_orphans(job)
        if self.cancelled_s_by_id.pop(job.job_id, None) is not None:
            self.cancel_job(job.job_id)
        else:
            self.refresh_ready_steps(job)
        if not submission.steps and not job.is_final():
            job.state = JobState.COMPLETED
            self.finish_job(job, "it has no steps")
        return job

    def _set_aside(self, job_id: str) -> None:
        """Start no tasks of a job any more."""
        job = self.jobs_by_id.get(job_id)
        if job is not None:
            job.is_set_aside = True
        for key in [key for key in self.ready_step_by_key if key[0] == job_id]:
            del self.ready_step_by_key[key]

    def _note_organisation(self, job: Job) -> None:
        self.organisation_jobs.add(job)
        if self.is_loaded.is_set():
            organisations = self.context.operations.organisations_by_name
            self.shares.note_arrival(job, organisations, self.context.wall_clock())

    def knows_job(self, job_id: str) -> bool:
        """Return whether a stored job is known, including one that has ended."""
        return job_id in self.jobs_by_id or job_id in self.final_by_id

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job at its caller's request."""
        self.job_faults.contain(job_id, "cancelling the job", self._cancel_job, job_id)

    def _cancel_job(self, job_id: str) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is None:
            if self.parked_jobs.cancel(job_id):
                self.note_final(job_id, JobState.CANCELLED)
                return
            # The submission may arrive after its cancellation.
            self.cancelled_s_by_id[job_id] = self.context.clock()
            return
        if job.is_final():
            return
        job.state = JobState.CANCELLED
        self.finish_job(job, "cancelled by the caller")

    def finish_job(self, job: Job, reason: str) -> None:
        """Queue the final state of a job for storage and stop its remaining runs."""
        self.recorder.queue_job(job)
        age_s = self.context.wall_clock() - job.submission.submitted_s
        self.context.log.note(
            "job_final",
            job.job_id,
            state=job.state,
            reason=reason,
            queue=job.submission.queue,
            age_s=round(age_s, 3),
            critical_path_s=round(job.critical_path_s, 3),
            steps=describe_steps(job, self.context.clock() - age_s),
        )
        self._note_freed(job)
        self.advice.forget_job(job.job_id)
        self.quarantine.forget_job(job.job_id)
        self.refresh_ready_steps(job)
        for task in list(job.active_tasks()):
            worker, run = find_run(self.workers_by_id, task.worker_id, task.key)
            if run:
                self.stop_run(worker, run, reason)
        self.forget_if_finished(job)

    def _note_freed(self, job: Job) -> None:
        queue = self.queue_of(job)
        cpu_millis = committed_cpu_millis(job.submission.steps)
        if queue is not None and cpu_millis:
            self.admissions.note_freed(queue.service, cpu_millis, self.context.clock())

    def forget_if_finished(self, job: Job) -> None:
        """Note a job as final once it has ended and has no active run."""
        if job.is_final() and not job.is_running():
            self.note_final(job.job_id, job.state)
            self.placements.remove_job(job.job_id)
            self._forget_steps(job.occurrences)

    def _forget_steps(self, occurrences: Iterable[Occurrence]) -> None:
        """Forget what is known by step of occurrences that have ended."""
        for occurrence in occurrences:
            keys = [step_state.key for step_state in occurrence.steps]
            self.model.forget_steps(keys)
            for key in keys:
                self.advice.forget_step(key)

    def note_final(self, job_id: str, state: JobState) -> None:
        """Keep the final state of a job until its rows are removed."""
        self.final_by_id[job_id] = state
        self.ended_s_by_id.setdefault(job_id, self.context.clock())

    def reported_state(self, job_id: str) -> JobState | None:
        """Return the state to report to callers: a final state only once it is stored."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            is_parked = self.parked_jobs.holds(job_id)
            return JobState.QUEUED if is_parked else self.final_by_id.get(job_id)
        if job.is_final() and not job.is_stored and job.state is not JobState.CANCELLED:
            return JobState.RUNNING
        return job.state

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of jobs of each queue of which no task is known to have started."""
        pending = self.parked_jobs.count_by_queue()
        for job in self.jobs_by_id.values():
            if not job.has_begun and not job.is_final():
                pending[job.submission.queue] = pending.get(job.submission.queue, 0) + 1
        return pending

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job, or ``None`` if it is not configured."""
        return self.context.operations.queue(job.submission.queue)

    def refresh_ready_steps(self, job: Job) -> None:
        """Update the ready steps of one job and wake the planner."""
        now_s, wall_s = self.context.clock(), self.context.wall_clock()
        has_room = self.job_memory.admits_occurrences(len(self.ready_step_by_key))
        dropped = self.ready_steps.refresh(job, self.is_loaded.is_set(), has_room, now_s, wall_s)
        self._forget_steps(dropped)
        if job.submission.occurrences and not job.is_final():
            job_bytes = submission_bytes(job.submission, len(job.occurrences))
            self.job_memory.note(job.job_id, job_bytes)
        self.wake.set()

    def make_due_occurrences(self) -> None:
        """Make the occurrences that have come due, of all jobs."""
        for job_id in self.ready_steps.due_jobs.take_due(self.context.wall_clock()):
            job = self.jobs_by_id.get(job_id)
            if job is not None and not job.is_final():
                operation = "making its occurrences"
                self.job_faults.contain(job_id, operation, self.refresh_ready_steps, job)

    # Runs

    def next_run(self, task: Task) -> int:
        """Return the number of a task's next run, higher than any of earlier owners."""
        return max(task.last_run + 1, (self.epoch - 1) * RUNS_PER_EPOCH + 1)

    def begin_run(self, job: Job, task: Task, worker: Worker) -> ActiveRun:
        """Create a run of a task and reserve its resources on a worker."""
        number = self.next_run(task)
        step_state = job.step_state(task.key)
        job.begin_run(task, number, worker.worker_id)
        step_state.last_start_s = self.context.clock()
        run = ActiveRun(task.key, number, step_state.step, worker.fence, self.context.clock())
        run.is_suspect = bool(task.crashed_runs)
        self._reserve_run(worker, run, job)
        if not step_state.has_waiting():
            self.ready_step_by_key.pop(task.key[:3], None)
        return run

    def adopt_run(
        self, worker: Worker, report: RunReport, incarnation: int = 0, is_reported: bool = False
    ) -> bool:
        """Take over a run that an earlier owner started, if its task is still waiting.

        :param incarnation: the worker's incarnation that has just reported it, 0 if unknown.
        :param is_reported: see ``run_ends.may_adopt``.
        """
        job = self.jobs_by_id.get(report.task.job_id)
        task = job and job.task(report.task)
        if not task or job.is_final() or not task.is_waiting():
            return False
        step = job.step_state(report.task).step
        if not may_adopt(report.run, task.last_run, is_reported, step.gang):
            return False
        now_s = self.context.clock()
        job.begin_run(task, report.run, worker.worker_id)
        run = ActiveRun(report.task, report.run, step, worker.fence, now_s)
        run.update(report, now_s, incarnation)
        if report.measurement > 0:
            run.speed_percent = run.measured_speed_percent()
        else:
            run.is_speed_uncertain = True
        run.is_suspect = bool(task.crashed_runs)
        # It may have been over its target for nearly as long as it may be.
        run.last_under_target_s = float("-inf")
        self._reserve_run(worker, run, job)
        task.checkpoint = report.checkpoint or task.checkpoint
        self.refresh_ready_steps(job)
        self.context.log.note(
            "run_adopted", task_name(report.task), run=report.run, worker=worker.worker_id
        )
        return True

    def _reserve_run(self, worker: Worker, run: ActiveRun, job: Job) -> None:
        runs_before = len(worker.runs_by_task)
        worker.add_run(run)
        self.start_limits.run_count += len(worker.runs_by_task) - runs_before
        organisation = job.submission.organisation
        self.organisation_usage.add_run(worker.worker_id, run.task, organisation, run.step)

    def _free_run(self, worker: Worker, task: TaskKey) -> None:
        if worker.remove_run(task) is not None:
            self.start_limits.run_count -= 1
        self.organisation_usage.remove_run(worker.worker_id, task)
        self.model.forget_task(task)

    def note_orphan(self, worker: Worker, report: RunReport) -> bool:
        """Note a run of an unknown job, and return whether to keep waiting for the job."""
        self.parked_jobs.note_reported(report.task.job_id)
        orphan = OrphanRun(worker, report, self.context.clock())
        known = choose_orphan(self.orphan_by_task.get(report.task), orphan)
        self.orphan_by_task[report.task] = known
        is_awaited = self._is_awaited(report.task.job_id)
        return is_awaited or orphan.seen_s - known.seen_s < ORPHAN_WAIT_S

    def _is_awaited(self, job_id: str) -> bool:
        """Return whether a job is stored that is not known, so that its runs and ends are kept."""
        if job_id in self.cancelled_s_by_id:
            return False
        return self.parked_jobs.holds(job_id) or self.job_faults.holds(job_id)

    def _adopt_orphans(self, job: Job) -> None:
        orphans = [key for key in self.orphan_by_task if key.job_id == job.job_id]
        for key in orphans:
            orphan = self.orphan_by_task.pop(key)
            if not orphan.worker.is_dropped:
                self.adopt_run(orphan.worker, orphan.report)
        for orphan_end in self.orphan_ends_by_job_id.pop(job.job_id, ()):
            self._apply_orphan_end(orphan_end)

    def release_run(self, worker: Worker, run: ActiveRun, kind: EndKind, reason: str) -> None:
        """Remove a run that has certainly ended, see ``run_ends``, although that was not reported.

        Its task is waiting again.
        """
        if worker.runs_by_task.get(run.task) is not run:
            return
        self._free_run(worker, run.task)
        job = self.jobs_by_id.get(run.task.job_id)
        task = job and job.task(run.task)
        if task and task.active_run == run.number:
            # A start that was never confirmed may have been no run.
            job.end_run(task, None if run.confirmed_s is None else run.reported_s)
            self.start_delays.note_end(run, job.step_state(task.key).ready_since_s, None)
            if run.crash is not None and not job.is_final():
                self._count_crash(worker, job, task, run)
            self.refresh_ready_steps(job)
            self.forget_if_finished(job)
        self.context.log.note(
            "run_released",
            task_name(run.task),
            **describe_run(worker, run, self.context.clock()),
            evidence=kind,
            reason=reason,
        )

    def end_earlier_run(self, job: Job, task: Task, later_run: int, reason: str) -> None:
        """End the active run of a task in favour of a later one, whose starter knew its end.

        It is stopped if a worker has reported it. The later one is not, as the task may be waiting
        again before a stop takes effect.
        """
        holder, run = find_run(self.workers_by_id, task.worker_id, task.key)
        if not run or run.number >= later_run:
            return
        if has_ended(run, Evidence(EndKind.LATER_RUN, run=later_run)):
            self.release_run(holder, run, EndKind.LATER_RUN, reason)
        elif not job.is_final():
            self.counters.duplicate_runs += 1
            job.end_run(task, run.reported_s)
            self.stop_run(holder, run, reason)

    def note_crashes(self, workers: Iterable[Worker]) -> None:
        """Hold the crashes of workers against the runs that they had started shortly before.

        The crash counts once such a run is released. Workers that were about to leave have ended
        as planned, and many workers of one availability zone at a time for a common cause. What
        tells of a crash may do so again until the worker answers.
        """
        now_s = self.context.clock()
        crashed = [
            (worker, find_suspects(self.placements.sent(worker), worker.last_sign_s()))
            for worker in workers
            if worker.leaves_s is None and not worker.is_known_crashed
        ]
        for worker, suspects in crashed:
            worker.is_known_crashed = True
            self.crash_window.add(
                worker.listing.availability_zone,
                worker.worker_id,
                now_s,
                {(run.task, run.number): is_excusable(run, crash) for run, crash in suspects},
            )
        for worker, suspects in crashed:
            zone = worker.listing.availability_zone
            in_zone = sum(
                each.listing.availability_zone == zone for each in self.workers_by_id.values()
            )
            is_group = self.crash_window.is_group(zone, in_zone)
            self.context.log.note(
                "worker_crashed",
                worker.worker_id,
                zone=zone,
                runs=len(worker.runs_by_task),
                suspects=[task_name(run.task) for run, _ in suspects],
                counts=not is_group,
            )
            if not is_group:
                for run, crash in suspects:
                    run.crash = crash

    def _count_crash(self, worker: Worker, job: Job, task: Task, run: ActiveRun) -> None:
        """Count a crash for a task, and fail its job if the task is to blame."""
        task.crashed_runs |= {run.number}
        task.was_always_last_started &= run.crash.was_last_started
        excused_runs = self.crash_window.excused_runs(
            task.key, task.crashed_runs, len(self.workers_by_id)
        )
        crash_count = len(task.crashed_runs) - len(excused_runs)
        is_given_up = is_to_blame(crash_count, task.was_always_last_started)
        self.context.log.note(
            "task_suspected",
            task_name(task.key),
            run=run.number,
            worker=worker.worker_id,
            crashes=crash_count,
            excused=len(excused_runs),
            survived_s=round(run.crash.survived_s, 3),
            was_last_started=run.crash.was_last_started,
            given_up=is_given_up,
        )
        self.crashed_task_by_key[task.key] = task
        self._queue_crashes(job.job_id)
        if is_given_up:
            job.state = JobState.FAILED
            reason = f"{crash_count} workers crashed under task {task_name(task.key)}"
            self.finish_job(job, reason)

    def note_survival(self, job: Job, task: Task, run: ActiveRun) -> None:
        """Clear a task of earlier crashes once a worker has survived a run of it for a while."""
        if not run.is_suspect or self.context.clock() - run.first_reported_s < SURVIVAL_S:
            return
        run.is_suspect = False
        task.crashed_runs = NO_RUNS
        task.was_always_last_started = True
        self.crashed_task_by_key.pop(task.key, None)
        self._queue_crashes(job.job_id)

    def _queue_crashes(self, job_id: str) -> None:
        """Queue the row that stores the crashes of a job's tasks, without those of ended jobs."""
        for key in [key for key in self.crashed_task_by_key if self._has_ended(key.job_id)]:
            del self.crashed_task_by_key[key]
        row_key = crashes_key(job_id)
        crashed = [
            CrashedTask(key, tuple(sorted(task.crashed_runs)))
            for key, task in self.crashed_task_by_key.items()
            if crashes_key(key.job_id) == row_key
        ]
        self.crashes_in_batch = self.recorder.queue_row(row_key, crashed)

    def _has_ended(self, job_id: str) -> bool:
        job = self.jobs_by_id.get(job_id)
        return job is None or job.is_final()

    def restore_crashes(self, crashed: CrashedTask) -> None:
        """Apply stored crashes to a job that was just loaded.

        Whether each was the last run that its worker had started is not stored.
        """
        job = self.jobs_by_id.get(crashed.task.job_id)
        task = job and job.task(crashed.task)
        if task:
            task.crashed_runs = frozenset(crashed.runs)
            task.was_always_last_started = False
            self.crashed_task_by_key[task.key] = task

    def may_start(self, task: Task) -> bool:
        """Return whether a task may start as far as crashes of its workers are concerned.

        One under which several workers crashed waits until this is stored, so that a new owner does
        not start it as often again.
        """
        return len(task.crashed_runs) < 2 or self.recorder.committed >= self.crashes_in_batch

    def report_end(self, worker: Worker, end: EndReport) -> None:
        """Apply the reported end of a run, as soon as its job is known.

        An earlier owner may have started a run of a job whose submission has not arrived yet. Its
        end is not acknowledged meanwhile, so that it is not lost if this owner's term ends.
        """
        job_id = end.task.job_id
        if self.knows_job(job_id):
            self._try_to_apply_end(worker, end)
            return
        self.parked_jobs.note_reported(job_id)
        orphan = OrphanEnd(worker, end, self.context.clock())
        self.orphan_ends_by_job_id.setdefault(job_id, []).append(orphan)
        worker.pending_acknowledgements.append((NOT_COMMITTED, end.number))

    def forget_orphan_ends(self) -> None:
        """Acknowledge ended runs whose jobs have not become known although the feed was read."""
        limit_s = self.submissions_read_s - ORPHAN_WAIT_S
        expired = take_expired_ends(self.orphan_ends_by_job_id, limit_s, self._is_awaited)
        for job_id, orphans in expired:
            self.context.log.note("run_end_unknown", job_id, ends=len(orphans))
            for orphan in orphans:
                self._apply_orphan_end(orphan)

    def _apply_orphan_end(self, orphan: OrphanEnd) -> None:
        worker, end, _ = orphan
        entry = (NOT_COMMITTED, end.number)
        if worker.is_dropped or entry not in worker.pending_acknowledgements:
            return
        position = worker.pending_acknowledgements.index(entry)
        if self._try_to_apply_end(worker, end):
            worker.pending_acknowledgements[position] = worker.pending_acknowledgements.pop()

    def _try_to_apply_end(self, worker: Worker, end: EndReport) -> bool:
        """Apply the reported end of a run, and return whether that succeeded.

        If not, it is not acknowledged, so that the next owner is told of it again.
        """
        try:
            self.apply_end(worker, end)
        except Exception:
            self.job_faults.note(end.task.job_id, "applying the end of a run")
            keep_unacknowledged(worker, end.number)
            return False
        return True

    def apply_end(self, worker: Worker, end: EndReport) -> None:
        """Apply the reported end of a run and queue the job's new state for storage."""
        ended = self.counters.ended_count_by_outcome
        ended[end.outcome] = ended.get(end.outcome, 0) + 1
        run = worker.runs_by_task.get(end.task)
        if run is not None and run.number == end.run:
            self._free_run(worker, end.task)
            self.start_delays.note_end(run, run.started_s, self.context.clock())
        job = self.jobs_by_id.get(end.task.job_id)
        task = job and job.task(end.task)
        self.context.log.note(
            "run_ended", task_name(end.task), run=end.run, how=end.outcome, worker=worker.worker_id
        )
        if job is not None:
            job.has_begun = True
        was_final = job is not None and job.is_final()
        _, active = find_run(self.workers_by_id, task.worker_id if task else "", end.task)
        if not task or not accepts_end(end, active, task.active_run, task.last_run, task.is_done):
            self.wake.set()
            batch = self.recorder.committed
            if task and task.active_run == end.run:
                # Another member of the gang has already completed the whole gang.
                job.end_run(task, self.context.clock())
                self.forget_if_finished(job)
            elif task and end.outcome is RunOutcome.FAILED and not job.is_final():
                self._count_failure(worker, job, task, end)
                batch = self.recorder.queue_job(job)
            worker.pending_acknowledgements.append((batch, end.number))
            if job and job.is_final() and not was_final:
                self.finish_job(job, f"task {task_name(task.key)} {end.outcome}")
            return
        self.end_earlier_run(job, task, end.run, f"run {end.run} of its task has ended")
        if task.active_run:
            job.end_run(task, self.context.clock())
        task.last_run = max(task.last_run, end.run)
        task.checkpoint = end.checkpoint or task.checkpoint
        self._count_end(worker, job, task, end)
        worker.pending_acknowledgements.append((self.recorder.queue_job(job), end.number))
        if was_final:
            self.forget_if_finished(job)
        elif job.is_final():
            self.finish_job(job, f"task {task_name(task.key)} {end.outcome}")
        else:
            self.refresh_ready_steps(job)

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

    def stop_run(self, worker: Worker, run: ActiveRun, reason: str, **inputs: float | None) -> None:
        """Stop a run; its resources stay reserved until the worker reports its end.

        :param inputs: values that led to the decision, for the log.
        """
        now_s = self.context.clock()
        run.is_stopping = True
        run.stop_sent_s = now_s
        self.context.log.note(
            "run_stop",
            task_name(run.task),
            run=run.number,
            worker=worker.worker_id,
            reason=reason,
            **inputs,
        )
        self.send_stop(worker, run.task, run.number)

    def send_stop(self, worker: Worker, task: TaskKey, run: int) -> None:
        """Send a stop to a worker in the background; it is repeated if it has no effect."""
        arguments = (task, run, worker.fence, COMMAND_TIMEOUT_S)
        self.spawn(self.call_remote, worker.worker_id, worker.link.stop, *arguments)

    # Workers

    def add_worker(self, listing: WorkerListing) -> Worker:
        """Add a newly listed worker and queue it for storage."""
        earlier_fence = self.fence_by_dropped_id.get(listing.worker_id, 0)
        fence = max(self.epoch * FENCES_PER_EPOCH, earlier_fence + 1)
        bounds = self.context.deployment.bounds
        link = self.context.make_link(listing)
        worker = Worker(listing, link, fence, bounds.lease_s, bounds.stop_s)
        worker.note_listing(listing, self.context.clock(), self.context.deployment.bounds.drain_s)
        self.workers_by_id[listing.worker_id] = worker
        worker.known_since_s = self.context.clock()
        self.last_added_s = self.context.clock()
        worker.await_batch(self.queue_fleet_row(listing.worker_id))
        self.context.log.note(
            "worker_listed",
            listing.worker_id,
            service=listing.service,
            zone=listing.availability_zone,
            incarnation=listing.incarnation,
        )
        return worker

    def queue_fleet_row(self, worker_id: str) -> int:
        """Queue the row that stores a worker and return the number of its batch."""
        part = fleet_part(worker_id)
        listings = [
            worker.listing[:STORED_LISTING_FIELDS]
            for worker in self.workers_by_id.values()
            if fleet_part(worker.worker_id) == part
        ]
        return self.recorder.queue_row(fleet_key(worker_id), listings)

    def note_restart(self, worker: Worker, incarnation: int, reason: str) -> None:
        """Apply that a worker has started again under its id.

        Runs that an earlier incarnation has reported ended with it. Any other start may have
        reached the new one: these runs are kept until it reports, or until their leases lapse.
        Nothing is started there before the next commit.
        """
        self.note_crashes([worker])
        for run in list(worker.runs_by_task.values()):
            if has_ended(run, Evidence(EndKind.RESTART, incarnation=incarnation)):
                self.release_run(worker, run, EndKind.RESTART, f"the worker restarted: {reason}")
        forget_worker(worker, self.orphan_by_task, self.orphan_ends_by_job_id)
        self.organisation_usage.set_unwanted(worker.worker_id)
        if worker.runs_by_task:
            worker.note_lease_sent(self.context.clock())
        self.context.log.note(
            "worker_restarted",
            worker.worker_id,
            before=worker.known_incarnation(),
            incarnation=incarnation,
            clock_s=round(worker.clock_s, 3),
            reason=reason,
            kept_runs=len(worker.runs_by_task),
        )
        worker.begin_incarnation(incarnation, self.context.clock())
        # It has forgotten the fencing token of a successor: only an owner that can commit starts
        # tasks there.
        worker.await_batch(self.queue_fleet_row(worker.worker_id))
        self.wake.set()

    def move_worker(self, worker: Worker, listing: WorkerListing) -> None:
        """Send commands to a worker at its new address, and queue it for storage."""
        worker.listing = listing
        worker.link.close()
        worker.link = self.context.make_link(listing)
        worker.is_reached = False
        worker.await_batch(self.queue_fleet_row(worker.worker_id))

    def has_lapsed(self, worker: Worker) -> bool:
        """Return whether the leases of a worker that does not answer have certainly expired.

        Runs that this owner knows and the worker has not reported may have longer ones, see
        ``has_run_lapsed``.
        """
        if worker.has_unknown_runs:
            return self.recorder.last_owned_s() > worker.unreported_lapse_bound_s()
        return self.recorder.last_owned_s() > worker.lapse_bound_s

    def has_run_lapsed(self, worker: Worker, run: ActiveRun) -> bool:
        """Return whether the lease of a run has certainly expired."""
        lapses_s = worker.run_lapse_bound_s(run)
        evidence = Evidence(
            EndKind.LAPSE, instant_s=self.recorder.last_owned_s(), lapses_s=lapses_s
        )
        return has_ended(run, evidence)

    def drop_worker(self, worker: Worker, reason: str, kind: EndKind = EndKind.LAPSE) -> None:
        """Remove a worker whose runs have certainly ended, unless it was removed already."""
        if worker.is_dropped:
            return
        worker.is_dropped = True
        run_count = len(worker.runs_by_task)
        self.fence_by_dropped_id[worker.worker_id] = worker.fence
        for run in list(worker.runs_by_task.values()):
            self.release_run(worker, run, kind, reason)
        self.organisation_usage.set_unwanted(worker.worker_id)
        worker.link.close()
        if self.workers_by_id.get(worker.worker_id) is worker:
            del self.workers_by_id[worker.worker_id]
            self.queue_fleet_row(worker.worker_id)
            self.silences.remove(worker.worker_id)
        self.context.log.note(
            "worker_dropped",
            worker.worker_id,
            incarnation=worker.known_incarnation(),
            runs=run_count,
            reason=reason,
        )
        self.wake.set()


def fleet_part(worker_id: str) -> int:
    """Return the number of the row of the worker list that stores a worker."""
    return xxh32_intdigest(worker_id.encode()) % FLEET_PARTS


def fleet_key(worker_id: str) -> str:
    """Return the key of the row of the worker list that stores a worker."""
    return f"{FLEET_TABLE}/{fleet_part(worker_id)}"


def task_name(task: TaskKey) -> str:
    """Return the name of a task as used in logs."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"
