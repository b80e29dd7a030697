"""Replays a load pattern against the owner's decisions, in virtual time and without a network.

Workers carry out starts and stops as the platform's do; only planning passes decide. A replay of
half a minute on a hundred workers takes a few seconds.
"""

from heapq import heappop
from heapq import heappush
from itertools import count
from typing import NamedTuple

from gevent import sleep

from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.process.dispatch.admission import admit
from laburnumswitch.process.dispatch.availability import AT_WORK_PERCENT
from laburnumswitch.process.dispatch.commitment import committed_cpu_millis
from laburnumswitch.process.dispatch.dispatcher import DispatchContext
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import MAX_LEASE_S
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import critical_paths_s
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.organisation_jobs import demand_of
from laburnumswitch.process.dispatch.planner import plan
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.dispatch.recorder import RecorderContext
from laburnumswitch.process.dispatch.worker_protocol import Acknowledged
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.leadership.messages import AdmissionRequest
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.leadership.term import VersionedTerm
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import FeedMemoryTable
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DEPLOYMENT

# Interval between planning passes in virtual seconds, besides those that an event causes.
TICK_S = 0.05
# Time from the end of a run until the owner knows it, in virtual seconds.
REPORT_DELAY_S = 0.01
# Time that a stop takes, in virtual seconds.
STOP_S = 0.4
# Time until a renewal of a worker's leases fails, in virtual seconds.
RENEWAL_S = 1.0
# Time until a long-running task is at work, in virtual seconds.
STARTUP_S = 0.5


class Arrival(NamedTuple):
    """A job that a caller submits at ``at_s``.

    :ivar duration_by_step: how long a task of each step runs, in seconds.
    :ivar organisation: who submits it; empty for a public queue.
    """

    at_s: float
    queue: str
    steps: tuple[Step, ...]
    duration_by_step: tuple[float, ...] = ()
    organisation: str = ""


class FinishedJob(NamedTuple):
    """How a job of a queue ended.

    :ivar took_s: from its submission to its end; infinite if it did not end.
    :ivar objective_s: target of that time.
    :ivar organisation: who submitted it.
    """

    took_s: float
    objective_s: float
    organisation: str = ""


class _Link:
    """Carries out the commands to one worker."""

    def __init__(self, fleet, worker_id):
        self._fleet = fleet
        self._worker_id = worker_id

    def start(self, command, timeout_s):
        if self._fleet.is_lost(self._worker_id):
            return ConnectFailed(self._worker_id, "crashed")
        self._fleet.note_start(self._worker_id, command)
        return Acknowledged(self._fleet.now_s)

    def stop(self, task, run, fence, timeout_s):
        self._fleet.note_stop(self._worker_id, task, run)
        return Acknowledged(self._fleet.now_s)

    def throttle(self, task, run, percent, fence, timeout_s):
        return Acknowledged(self._fleet.now_s)

    def close(self):
        """Do nothing."""


class FleetReplay:
    """An owner and its workers in virtual time.

    :ivar stopped_runs: runs that the owner stopped, with the virtual time of the stop.
    :ivar rejected_jobs: jobs for which there was no room, with the virtual time and after how many
        seconds their callers may return.
    """

    def __init__(
        self,
        listings: list[WorkerListing],
        queues: list[Queue],
        rejects_jobs: bool = True,
        organisations: tuple[Organisation, ...] = (),
        far_factor: float = BOUNDS.far_factor,
    ) -> None:
        """Create the fleet.

        :param far_factor: ratio of a task's duration outside the rack of its data, or of a gang's
            over several racks, to that inside.
        :param rejects_jobs: whether jobs without room are rejected. Without it, the fleet may hold
            more than would be admitted, as after a loss of workers.
        """
        self.now_s = 1000.0
        self._rejects_jobs = rejects_jobs
        self._far_factor = far_factor
        self._lost_ids: set[str] = set()
        self.stopped_runs: list[tuple[float, TaskKey]] = []
        self.rejected_jobs: list[tuple[float, Arrival, int]] = []
        self._number = count(1)
        # Called after each planning pass.
        self.check = lambda: None
        self._events: list[tuple[float, int, str, tuple]] = []
        self._duration_by_job: dict[str, tuple[float, ...]] = {}
        self._submitted_s_by_job: dict[str, float] = {}
        self._ended_s_by_job: dict[str, float] = {}
        self._running: dict[tuple[str, TaskKey, int], bool] = {}
        log = DecisionLog("vm-1", self._clock, 0)
        operations = Operations(log)
        by_name = {queue.name: queue for queue in queues}
        configuration = QueueConfiguration(1, by_name, {"shop": True})
        organisation_by_name = {each.name: each for each in organisations}
        operations.apply(configuration._replace(organisations_by_name=organisation_by_name))
        table = FeedMemoryTable(self._clock)
        term = Term(1, "vm-1", "vm-1-i", "10.0.0.9:1")
        outcome = table.commit(Transaction((Condition(TERM_KEY, 0),), (Put(TERM_KEY, term),)))
        context = DispatchContext(
            deployment=DEPLOYMENT._replace(bounds=BOUNDS._replace(far_factor=far_factor)),
            table=table,
            workers_table="servers",
            decode_worker=lambda key, value: value,
            make_link=lambda listing: _Link(self, listing.worker_id),
            ask_advice=lambda *arguments: None,
            operations=operations,
            log=log,
            clock=self._clock,
            wall_clock=self._clock,
            boot_clock=self._clock,
            sleep=sleep,
        )
        recorder_context = RecorderContext(table, log, self._clock, self._clock, sleep)
        recorder = Recorder(recorder_context, VersionedTerm(term, outcome.version), self.now_s)
        self.owner = Dispatcher(context, recorder)
        self.owner.knows_listings = True
        self.owner.is_loaded.set()
        for listing in listings:
            self.add_worker(listing)
        recorder.commit()

    def add_worker(self, listing: WorkerListing) -> None:
        """Add a worker that the owner has reached."""
        worker = self.owner.add_worker(listing)
        worker.is_reached = True
        worker.note_answer(self.now_s, self.now_s)

    def _clock(self) -> float:
        return self.now_s

    def replay(self, arrivals: list[Arrival], length_s: float) -> dict[str, list[FinishedJob]]:
        """Play arrivals, whose times count from the start, and return the jobs by queue."""
        start_s = self.now_s
        for arrival in arrivals:
            self._add_event(start_s + arrival.at_s, "arrive", arrival)
        while self.now_s < start_s + length_s:
            next_s = self._events[0][0] if self._events else self.now_s + TICK_S
            self.now_s = min(max(next_s, self.now_s), self.now_s + TICK_S)
            while self._events and self._events[0][0] <= self.now_s:
                _, _, kind, arguments = heappop(self._events)
                getattr(self, f"_{kind}")(*arguments)
            self._pass()
        return self._finished()

    def _pass(self) -> None:
        for worker in self.owner.workers_by_id.values():
            if worker.worker_id in self._lost_ids:
                continue
            worker.note_answer(self.now_s, self.now_s)
            for run in worker.runs_by_task.values():
                if run.step.long_running and self.now_s - run.started_s > STARTUP_S:
                    run.progress_percent = AT_WORK_PERCENT
        self.owner.recorder.commit()
        plan(self.owner)
        self.check()
        # Commands are sent by greenlets.
        sleep(0)
        sleep(0)

    def _add_event(self, at_s: float, kind: str, *arguments) -> None:
        heappush(self._events, (at_s, next(self._number), kind, arguments))

    def _arrive(self, arrival: Arrival) -> None:
        job_id = f"{next(self._number):016x}"
        request = self._admission_request(job_id, arrival)
        if request is not None and self._rejects_jobs:
            retry_after_s = admit(self.owner, request).retry_after_s
            if retry_after_s:
                self.rejected_jobs.append((self.now_s, arrival, retry_after_s))
                return
        self._duration_by_job[job_id] = arrival.duration_by_step
        self._submitted_s_by_job[job_id] = self.now_s
        submission = Submission(job_id, arrival.queue, "", arrival.steps, self.now_s)
        self.owner.add_job(submission._replace(organisation=arrival.organisation))

    def _admission_request(self, job_id: str, arrival: Arrival) -> AdmissionRequest | None:
        """Return what an entry asks that knows at once which organisations are busy."""
        request = AdmissionRequest(job_id, arrival.queue, committed_cpu_millis(arrival.steps))
        if arrival.organisation in self.owner.organisation_admissions.busy:
            demand = demand_of(arrival.steps)
            return request._replace(organisation=arrival.organisation, **demand._asdict())
        return request if request.cpu_millis else None

    def note_start(self, worker_id, command) -> None:
        durations = self._duration_by_job[command.task.job_id]
        key = (worker_id, command.task, command.run)
        self._running[key] = True
        if durations:
            took_s = durations[command.task.step] * self._distance_factor(worker_id, command.task)
            self._add_event(self.now_s + took_s, "end", key, RunOutcome.DONE)

    def _distance_factor(self, worker_id, task) -> float:
        step_state = self.owner.jobs_by_id[task.job_id].step_state(task)
        step = step_state.step
        workers = self.owner.workers_by_id
        racks = {workers[worker_id].listing.rack}
        if step.gang and step.same_rack:
            racks = {workers[each.worker_id].listing.rack for each in step_state.tasks}
        is_far = len(racks) > 1 or (step.data_rack and racks != {step.data_rack})
        return self._far_factor if is_far else 1.0

    def note_stop(self, worker_id, task, run) -> None:
        self.stopped_runs.append((self.now_s, task))
        self._add_event(self.now_s + STOP_S, "end", (worker_id, task, run), RunOutcome.STOPPED)

    def lose_rack(self, at_s: float, rack: str) -> None:
        """Crash the workers of a rack after ``at_s``, which the owner notices by their silence."""
        self._add_event(self.now_s + at_s, "crash", rack)

    def is_lost(self, worker_id: str) -> bool:
        return worker_id in self._lost_ids

    def _crash(self, rack) -> None:
        for worker in self.owner.workers_by_id.values():
            if worker.listing.rack == rack:
                self._lost_ids.add(worker.worker_id)
                self._add_event(self.now_s + RENEWAL_S, "silence", worker)
                lapse_s = max(worker.last_lapse_bound_s(), self.now_s + MAX_LEASE_S)
                self._add_event(lapse_s, "lapse", worker)

    def _silence(self, worker) -> None:
        worker.is_silent = True

    def _lapse(self, worker) -> None:
        self.owner.drop_worker(worker, "its leases have expired")

    def _end(self, key, outcome) -> None:
        if self._running.pop(key, False) and key[0] not in self._lost_ids:
            self._add_event(self.now_s + REPORT_DELAY_S, "report", key, outcome)

    def _report(self, key, outcome) -> None:
        worker_id, task, run = key
        worker = self.owner.workers_by_id[worker_id]
        self.owner.report_end(worker, EndReport(next(self._number), task, run, outcome, ""))
        job = self.owner.jobs_by_id[task.job_id]
        if job.state is JobState.COMPLETED:
            self._ended_s_by_job.setdefault(task.job_id, self.now_s)

    def _finished(self) -> dict[str, list[FinishedJob]]:
        finished: dict[str, list[FinishedJob]] = {}
        for job_id, job in self.owner.jobs_by_id.items():
            queue = self.owner.queue_of(job)
            durations = self._duration_by_job[job_id]
            if not durations:
                continue
            steps = tuple(
                step._replace(estimate_ms=duration * 1000.0)
                for step, duration in zip(job.submission.steps, durations, strict=True)
            )
            objective_s = queue.stretch * max(critical_paths_s(steps)) + queue.objective_s
            took_s = (
                self._ended_s_by_job.get(job_id, float("inf")) - self._submitted_s_by_job[job_id]
            )
            ended = FinishedJob(took_s, objective_s, job.submission.organisation)
            finished.setdefault(queue.name, []).append(ended)
        return finished
