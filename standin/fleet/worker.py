"""A worker of the emulator: runs under leases and fences, and lists its runs and ends."""

from collections.abc import Callable
from random import Random

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
from standin.fleet.judge import Judge

MAX_LEASE_S = 6.0
START_UP_S = 0.05


class _Run:
    def __init__(self, order: StartCommand, step: Step, now_s: float) -> None:
        self.task = order.task
        self.run = order.run
        self.step = step
        self.work_s = 0.0
        self.at_s = now_s
        self.throttle = 100
        self.is_failing = False

    def advance(self, now_s: float) -> None:
        self.work_s += (now_s - self.at_s) * self.throttle / 100.0
        self.at_s = now_s

    def percent(self) -> float:
        if self.step.long_running:
            return 100.0 if self.work_s >= START_UP_S else 0.0
        return min(100.0, 100.0 * self.work_s * 1000.0 / max(1.0, self.step.estimate_ms))

    def ends_in_s(self) -> float:
        if self.step.long_running or not self.throttle:
            return float("inf")
        left_s = self.step.estimate_ms / 1000.0 - self.work_s
        return max(0.0, left_s * 100.0 / self.throttle)


class FleetWorker:
    """One worker; ``silent`` ones take calls and never answer, ``deaf`` ones do not take them."""

    def __init__(
        self, entry: WorkerListing, judge: Judge, clock: Callable[[], float], random: Random
    ) -> None:
        self.entry = entry
        self.judge = judge
        self.silent = False
        self.deaf = False
        self.failing = False
        self.fence = 0
        self.incarnation = entry.incarnation
        self._clock = clock
        self._random = random
        self._began_s = clock()
        self._lease_until_s = 0.0
        self._runs_by_task: dict[TaskKey, _Run] = {}
        self._last_run_by_task: dict[TaskKey, int] = {}
        self._ended: list[tuple[EndReport, float]] = []
        self._next_end = 1
        self._lapses: list[float] = []
        self._changed = Event()
        judge.refresh.append(self._advance)

    def restart(self) -> None:
        """Lose every run and start again under the same id."""
        for run in self._runs_by_task.values():
            self.judge.note_end(run.task, False)
        self.incarnation += 1
        self.entry = self.entry._replace(incarnation=self.incarnation)
        self.fence = 0
        self._began_s = self._clock()
        self._lease_until_s = 0.0
        self._runs_by_task.clear()
        self._last_run_by_task.clear()
        self._ended.clear()
        self._next_end = 1
        self._changed.set()

    def running(self) -> tuple[TaskKey, ...]:
        """Return the tasks that run now."""
        self._advance()
        return tuple(self._runs_by_task)

    def renew(self, renewal: Renewal, timeout_s: float) -> WorkerReport | Failure:
        """Renew the lease and return the runs and ends."""
        if self.deaf:
            return self._lost(timeout_s)
        self._advance()
        if renewal.fence < self.fence:
            return StartRefused(self.entry.worker_id, "fence")
        self.fence = renewal.fence
        self._forget_ends(renewal.acknowledged)
        self._extend(renewal.until_s)
        deadline_s = self._clock() + renewal.wait_s
        while not self._ended and self._clock() < deadline_s:
            self._changed.clear()
            next_end_s = min((run.ends_in_s() for run in self._runs_by_task.values()), default=9.0)
            self._changed.wait(max(0.001, min(deadline_s - self._clock(), next_end_s)))
            self._advance()
        if self.silent:
            return self._lost(0.0)
        return WorkerReport(
            self._now_s(),
            self.incarnation,
            tuple(self._describe(run) for run in self._runs_by_task.values()),
            tuple(end for end, _ in self._ended),
        )

    def start(self, order: StartCommand, timeout_s: float) -> Acknowledged | Failure:
        """Start a run."""
        if self.deaf:
            return self._lost(timeout_s)
        self._advance()
        refusal = self._refuse_start(order)
        if refusal in ("", "old", "room"):
            self._extend(order.until_s)
        if refusal:
            return StartRefused(self.entry.worker_id, refusal)
        known = self._runs_by_task.get(order.task)
        if known is None:
            submission = self.judge.submission_by_id.get(order.task.job_id)
            step = submission.steps[order.task.step] if submission else Step(1)
            run = _Run(order, step, self._clock())
            run.is_failing = self.failing
            self._runs_by_task[order.task] = run
            self._last_run_by_task[order.task] = order.run
            self.judge.note_start(self._clock(), order.task, self.entry.worker_id)
            self._changed.set()
        return self._lost(0.0) if self.silent else Acknowledged(self._now_s())

    def stop(self, task: TaskKey, run: int, fence: int, timeout_s: float) -> Acknowledged | Failure:
        """Stop a run."""
        if self.deaf:
            return self._lost(timeout_s)
        self._advance()
        if fence < self.fence:
            return StartRefused(self.entry.worker_id, "fence")
        self._last_run_by_task[task] = max(run, self._last_run_by_task.get(task, 0))
        known = self._runs_by_task.get(task)
        if known is not None and known.run == run:
            self._end(known, RunOutcome.STOPPED)
        return Acknowledged(self._now_s())

    def throttle(
        self, task: TaskKey, run: int, percent: int, fence: int, timeout_s: float
    ) -> Acknowledged | Failure:
        """Limit a run to a share of its speed."""
        if self.deaf:
            return self._lost(timeout_s)
        self._advance()
        known = self._runs_by_task.get(task)
        if fence < self.fence or known is None or known.run != run:
            return StartRefused(self.entry.worker_id, "fence" if known else "old")
        known.throttle = percent
        self._changed.set()
        return Acknowledged(self._now_s())

    def close(self) -> None:
        """Do nothing: there are no connections."""

    def _refuse_start(self, order: StartCommand) -> str:
        if order.fence < self.fence:
            return "fence"
        self.fence = order.fence
        if order.until_s <= self._now_s():
            return "late"
        known = self._runs_by_task.get(order.task)
        if known is not None and known.run == order.run:
            return ""
        if order.run <= self._last_run_by_task.get(order.task, 0):
            return "old"
        submission = self.judge.submission_by_id.get(order.task.job_id)
        return "room" if submission and not self._fits(submission.steps[order.task.step]) else ""

    def _fits(self, step: Step) -> bool:
        runs = self._runs_by_task.values()
        cpu = sum(run.step.cpu_millis for run in runs if not run.step.best_effort)
        memory = sum(run.step.memory_mb for run in runs)
        needed = 0 if step.best_effort else step.cpu_millis
        return (
            cpu + needed <= self.entry.cpu_millis
            and memory + step.memory_mb <= self.entry.memory_mb
        )

    def _now_s(self) -> float:
        return self._clock() - self._began_s

    def _extend(self, until_s: float | None) -> None:
        if until_s is not None:
            bounded_s = min(until_s, self._now_s() + MAX_LEASE_S)
            self._lease_until_s = max(self._lease_until_s, bounded_s)

    def _advance(self) -> None:
        now_s = self._clock()
        if self._runs_by_task and self._now_s() > self._lease_until_s:
            self._lapses.append(now_s)
            for run in list(self._runs_by_task.values()):
                self._end(run, RunOutcome.LAPSED)
        for run in list(self._runs_by_task.values()):
            run.advance(now_s)
            if run.ends_in_s() <= 0.0:
                self._end(run, RunOutcome.FAILED if run.is_failing else RunOutcome.DONE)

    def _end(self, run: _Run, how: RunOutcome) -> None:
        del self._runs_by_task[run.task]
        checkpoint = f"{run.task.index}-{run.run}" if run.step.checkpoints else ""
        end = EndReport(self._next_end, run.task, run.run, how, checkpoint)
        self._ended.append((end, self._clock()))
        self._next_end += 1
        self.judge.note_end(run.task, how is RunOutcome.DONE)
        self._changed.set()

    def _forget_ends(self, acknowledged: int) -> None:
        for end, ended_s in self._ended:
            lapsed = any(lapse_s >= ended_s for lapse_s in self._lapses)
            if end.number <= acknowledged and end.outcome is RunOutcome.DONE and not lapsed:
                self.judge.note_acknowledged(end.task)
        self._ended = [each for each in self._ended if each[0].number > acknowledged]

    def _describe(self, run: _Run) -> RunReport:
        measure = run.step.cpu_millis * run.throttle / 100.0
        if run.step.tail_target_ms:
            measure = run.step.tail_target_ms * self._random.uniform(0.3, 0.6)
        checkpoint = f"{run.task.index}-{run.run}" if run.step.checkpoints else ""
        return RunReport(run.task, run.run, checkpoint, run.percent(), measure)

    def _lost(self, timeout_s: float) -> AnswerLost:
        Event().wait(timeout_s)
        return AnswerLost(self.entry.address, "silent")
