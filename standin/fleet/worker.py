"""An emulated worker: executes runs under leases and fencing tokens, and reports them."""

from collections.abc import Callable
from random import Random
from typing import Any
from typing import NamedTuple
from zlib import crc32

from gevent.event import Event

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import Acknowledged
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from standin.fleet.invariant_checker import InvariantChecker

MAX_LEASE_S = 6.0
STARTUP_S = 0.05
MAX_LISTED_ENDS = 500

# Takes the name of a fact, its time on the worker's clock and its fields.
RecordFact = Callable[[str, float, dict[str, Any]], None]


class WorkerTiming(NamedTuple):
    """How long things take on an emulated worker.

    :ivar max_stop_s: longest time that a stop or an expired lease takes to end a run, which works
        and holds its room until then.
    :ivar max_gap_s: the worker was paused, and did no work, if it was not advanced for longer.
    """

    max_stop_s: float = 0.0
    max_gap_s: float = float("inf")


INSTANT_ENDS = WorkerTiming()


def spec_checksum(spec: str) -> int:
    """Return the checksum of a job's ``spec`` that stands for it in the records."""
    return crc32(spec.encode())


def ignore_fact(fact: str, at_s: float, fields: dict[str, Any]) -> None:
    """Record nothing."""


class _Run:
    def __init__(self, order: StartCommand, step: Step, now_s: float) -> None:
        self.task = order.task
        self.run = order.run
        self.step = step
        self.work_s = 0.0
        self.advanced_s = now_s
        self.throttle_percent = 100
        self.is_failing = False
        # How and when the run ends, once a stop or the end of the lease has reached it.
        self.stop_outcome: RunOutcome | None = None
        self.stops_s = 0.0

    def advance(self, now_s: float, was_paused: bool) -> None:
        if not was_paused:
            self.work_s += (now_s - self.advanced_s) * self.throttle_percent / 100.0
        self.advanced_s = now_s

    def progress_percent(self) -> float:
        if self.step.long_running:
            return 100.0 if self.work_s >= STARTUP_S else 0.0
        return min(100.0, 100.0 * self.work_s * 1000.0 / max(1.0, self.step.estimate_ms))

    def remaining_s(self) -> float:
        if self.step.long_running or not self.throttle_percent:
            return float("inf")
        left_s = self.step.estimate_ms / 1000.0 - self.work_s
        return max(0.0, left_s * 100.0 / self.throttle_percent)


class FleetWorker:
    """One worker and its fault switches; the VM ``vm_id`` of its listing runs it.

    With ``drops_answers`` it carries out renewals and starts but loses the answers, with
    ``drops_calls`` it ignores all calls, and with ``fails_runs`` the runs that it starts fail. An
    answer lists up to ``max_listed_ends`` ends, the earliest first. ``record`` takes the starts and
    ends of runs, the acknowledgements of ends (``noted``) and the ends of leases (``lapse``).
    """

    def __init__(
        self,
        listing: WorkerListing,
        checker: InvariantChecker,
        clock: Callable[[], float],
        random: Random,
        timing: WorkerTiming = INSTANT_ENDS,
        record: RecordFact = ignore_fact,
    ) -> None:
        self.listing = listing
        self.checker = checker
        self.drops_answers = False
        self.drops_calls = False
        self.fails_runs = False
        self.max_listed_ends = MAX_LISTED_ENDS
        self.is_crashed = False
        self.fence = 0
        self.incarnation = listing.incarnation
        self._clock = clock
        self._random = random
        self._timing = timing
        self._record = record
        self._clock_began_s = self._advanced_s = clock()
        self._lease_until_s = 0.0
        self._holds_lease = False
        self._run_by_number: dict[tuple[TaskKey, int], _Run] = {}
        self._last_run_by_task: dict[TaskKey, int] = {}
        self._ended: list[tuple[EndReport, float]] = []
        self._next_end = 1
        self._lapse_times_s: list[float] = []
        self._changed = Event()
        checker.refresh_callbacks.append(self.advance)
        checker.gang_callbacks.append(self._end_gang_members)

    def set_clock(self, clock_s: float) -> None:
        """Set the worker's clock, which may begin anywhere at its start, in seconds."""
        self._clock_began_s = self._clock() - clock_s

    def crash(self) -> None:
        """Lose every run and ignore all calls until the restart."""
        self.is_crashed = self.drops_calls = True
        self._lose_runs()
        self._changed.set()

    def restart(self, clock_s: float = 0.0) -> None:
        """Restart under the same id and lose every run.

        :param clock_s: where the worker's clock begins.
        """
        if self.is_crashed:
            self.is_crashed = self.drops_calls = False
        self._lose_runs()
        self.incarnation += 1
        self.listing = self.listing._replace(incarnation=self.incarnation)
        self.fence = 0
        self.set_clock(clock_s)
        self._lease_until_s = 0.0
        self._holds_lease = False
        self._last_run_by_task.clear()
        self._ended.clear()
        self._next_end = 1
        self._changed.set()

    def _lose_runs(self) -> None:
        for run in self._run_by_number.values():
            self.checker.record_end(run.task, False)
        self._run_by_number.clear()

    def running(self) -> tuple[TaskKey, ...]:
        """Return the tasks of the current runs."""
        self.advance()
        return tuple(run.task for run in self._run_by_number.values())

    def renew(self, renewal: Renewal, timeout_s: float) -> WorkerReport | Failure:
        """Renew the lease and return the current runs and the reports of ended ones."""
        if self.drops_calls:
            return self._drop_answer(timeout_s)
        self.advance()
        if renewal.fence < self.fence:
            return StartRefused(self.listing.worker_id, "fence")
        self.fence = renewal.fence
        self._remove_acknowledged_ends(renewal.acknowledged)
        self._extend_lease(renewal.until_s)
        deadline_s = self._clock() + renewal.wait_s
        while not self._ended and self._clock() < deadline_s:
            self._changed.clear()
            left_s = min(deadline_s - self._clock(), self._next_end_s())
            self._changed.wait(max(0.001, left_s))
            self.advance()
        if self.drops_answers or self.is_crashed:
            return self._drop_answer(0.0)
        return WorkerReport(
            self._now_s(),
            self.incarnation,
            tuple(self._run_report(run) for run in self._run_by_number.values()),
            tuple(end for end, _ in self._ended[: self.max_listed_ends]),
            len(self._ended) > self.max_listed_ends,
        )

    def start(self, order: StartCommand, timeout_s: float) -> Acknowledged | Failure:
        """Start a run."""
        if self.drops_calls:
            return self._drop_answer(timeout_s)
        self.advance()
        refusal = self._start_refusal(order)
        if refusal in ("", "old", "room"):
            self._extend_lease(order.until_s)
        if refusal:
            return StartRefused(self.listing.worker_id, refusal)
        if (order.task, order.run) not in self._run_by_number:
            submission = self.checker.submission_by_id.get(order.task.job_id)
            step = submission.steps[order.task.step] if submission else Step(1)
            run = _Run(order, step, self._clock())
            run.is_failing = self.fails_runs
            self._run_by_number[order.task, order.run] = run
            self._last_run_by_task[order.task] = order.run
            self._record(
                "start",
                self._clock(),
                {
                    "task": order.task,
                    "run": order.run,
                    "fence": order.fence,
                    "spec": spec_checksum(order.spec),
                    "checkpoint": order.checkpoint,
                },
            )
            self.checker.check_start(self._clock(), order.task, self.listing.worker_id)
            self._changed.set()
        return self._drop_answer(0.0) if self.drops_answers else Acknowledged(self._now_s())

    def stop(self, task: TaskKey, run: int, fence: int, timeout_s: float) -> Acknowledged | Failure:
        """Stop a run."""
        if self.drops_calls:
            return self._drop_answer(timeout_s)
        self.advance()
        if fence < self.fence:
            return StartRefused(self.listing.worker_id, "fence")
        self._last_run_by_task[task] = max(run, self._last_run_by_task.get(task, 0))
        current = self._run_by_number.get((task, run))
        if current is not None:
            self._stop_run(current, RunOutcome.STOPPED)
        return Acknowledged(self._now_s())

    def throttle(
        self, task: TaskKey, run: int, percent: int, fence: int, timeout_s: float
    ) -> Acknowledged | Failure:
        """Limit a run to a percentage of its full speed."""
        if self.drops_calls:
            return self._drop_answer(timeout_s)
        self.advance()
        current = self._run_by_number.get((task, run))
        if fence < self.fence or current is None:
            return StartRefused(self.listing.worker_id, "fence" if current else "old")
        current.throttle_percent = percent
        self._changed.set()
        return Acknowledged(self._now_s())

    def close(self) -> None:
        """Do nothing, as there are no connections."""

    def advance(self) -> None:
        """Bring the lease and the runs up to date."""
        now_s = self._clock()
        was_paused = now_s - self._advanced_s > self._timing.max_gap_s
        # Nothing has worked since the last time before a pause.
        worked_until_s = self._advanced_s if was_paused else now_s
        self._advanced_s = now_s
        self._check_lease(worked_until_s, was_paused)
        for run in list(self._run_by_number.values()):
            run.advance(now_s, was_paused)
            if run.stop_outcome is not None:
                if now_s >= run.stops_s:
                    self._end(run, run.stop_outcome, worked_until_s)
            elif run.remaining_s() <= 0.0:
                outcome = RunOutcome.FAILED if run.is_failing else RunOutcome.DONE
                self._end(run, outcome, worked_until_s)

    def clock_ms(self) -> int:
        """Return the worker's steady clock in milliseconds."""
        return int(self._now_s() * 1000)

    def _start_refusal(self, order: StartCommand) -> str:
        if order.fence < self.fence:
            return "fence"
        self.fence = order.fence
        if order.until_s <= self._now_s():
            return "late"
        if (order.task, order.run) in self._run_by_number:
            return ""
        if order.run <= self._last_run_by_task.get(order.task, 0):
            return "old"
        submission = self.checker.submission_by_id.get(order.task.job_id)
        return "room" if submission and not self._fits(submission.steps[order.task.step]) else ""

    def _fits(self, step: Step) -> bool:
        runs = self._run_by_number.values()
        cpu = sum(run.step.cpu_millis for run in runs if not run.step.best_effort)
        memory = sum(run.step.memory_mb for run in runs)
        needed = 0 if step.best_effort else step.cpu_millis
        return (
            cpu + needed <= self.listing.cpu_millis
            and memory + step.memory_mb <= self.listing.memory_mb
        )

    def _now_s(self) -> float:
        return self._clock() - self._clock_began_s

    def _extend_lease(self, until_s: float | None) -> None:
        if until_s is not None:
            bounded_s = min(until_s, self._now_s() + MAX_LEASE_S)
            self._lease_until_s = max(self._lease_until_s, bounded_s)
            self._holds_lease |= self._lease_until_s > self._now_s()

    def _check_lease(self, worked_until_s: float, was_paused: bool) -> None:
        if self._now_s() <= self._lease_until_s:
            return
        if self._holds_lease:
            self._holds_lease = False
            self._record("lapse", worked_until_s, {})
        if not self._run_by_number:
            return
        self._lapse_times_s.append(self._clock())
        for run in list(self._run_by_number.values()):
            if was_paused:
                self._end(run, RunOutcome.LAPSED, worked_until_s)
            else:
                self._stop_run(run, RunOutcome.LAPSED)

    def _stop_run(self, run: _Run, outcome: RunOutcome) -> None:
        if run.stop_outcome is not None:
            return
        if not self._timing.max_stop_s:
            self._end(run, outcome, self._clock())
            return
        run.stop_outcome = outcome
        run.stops_s = self._clock() + self._random.uniform(0.0, self._timing.max_stop_s)

    def _next_end_s(self) -> float:
        now_s = self._clock()
        return min(
            (
                run.remaining_s() if run.stop_outcome is None else run.stops_s - now_s
                for run in self._run_by_number.values()
            ),
            default=9.0,
        )

    def _end(self, run: _Run, outcome: RunOutcome, at_s: float) -> None:
        del self._run_by_number[run.task, run.run]
        checkpoint = f"{run.task.index}-{run.run}" if run.step.checkpoints else ""
        end = EndReport(self._next_end, run.task, run.run, outcome, checkpoint)
        self._ended.append((end, self._clock()))
        self._next_end += 1
        fields = {"task": run.task, "run": run.run, "how": outcome, "number": end.number}
        self._record("end", at_s, fields)
        self.checker.record_end(run.task, outcome is RunOutcome.DONE)
        self._changed.set()
        if run.step.gang and outcome not in (RunOutcome.DONE, RunOutcome.BROKEN):
            self.checker.break_gang(run.task)

    def _end_gang_members(self, task: TaskKey) -> None:
        for run in list(self._run_by_number.values()):
            if run.task[:3] == task[:3]:
                self._end(run, RunOutcome.BROKEN, self._clock())

    def _remove_acknowledged_ends(self, acknowledged: int) -> None:
        for end, ended_s in self._ended:
            lapsed = any(lapse_s >= ended_s for lapse_s in self._lapse_times_s)
            if end.number <= acknowledged:
                fields = {"task": end.task, "run": end.run, "number": end.number}
                self._record("noted", self._clock(), fields)
            if end.number <= acknowledged and end.outcome is RunOutcome.DONE and not lapsed:
                self.checker.record_acknowledged(end.task)
        self._ended = [each for each in self._ended if each[0].number > acknowledged]

    def _run_report(self, run: _Run) -> RunReport:
        measurement = run.step.cpu_millis * run.throttle_percent / 100.0
        if run.step.tail_target_ms:
            measurement = run.step.tail_target_ms * self._random.uniform(0.3, 0.6)
        checkpoint = f"{run.task.index}-{run.run}" if run.step.checkpoints else ""
        return RunReport(run.task, run.run, checkpoint, run.progress_percent(), measurement)

    def _drop_answer(self, timeout_s: float) -> AnswerLost:
        Event().wait(timeout_s)
        return AnswerLost(self.listing.address, "silent")
