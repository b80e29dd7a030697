"""A day of serving and best-effort tasks in virtual time, with known interference.

Tail latencies follow a queue whose utilisation is the load of the callers plus what best-effort
neighbours add by hidden coefficients. The workers' reports are noisy and up to a second old. What
runs where and how fast is decided by the product's own functions.
"""

from collections.abc import Callable
from math import pi
from math import sin
from random import Random
from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.opportunity import worker_prices
from laburnumswitch.process.dispatch.placing import best_effort_shares
from laburnumswitch.process.dispatch.placing import Choice
from laburnumswitch.process.dispatch.placing import PlacementContext
from laburnumswitch.process.dispatch.placing import Ranking
from laburnumswitch.process.dispatch.tails import IDLE_RATIO
from laburnumswitch.process.dispatch.tails import ModelParameters
from laburnumswitch.process.dispatch.tails import TailLatencyModel
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.dispatch.worker_session import choose_speeds
from laburnumswitch.process.dispatch.worker_session import learn_tails

TICK_S = 0.25
TICKS_PER_SAMPLE = 4
CORES_MILLIS = 64_000
MEMORY_MB = 250_000
TARGET_MS = 150.0
SAMPLE_NOISE = 0.1
# Tail latency, as a multiple of the target, of a task whose capacity is exhausted.
EXHAUSTED_RATIO = 10.0
MAX_OVER_TARGET_S = 4.0
SERVING_CPU_MILLIS = 9_000
BATCH_CPU_MILLIS = 7_000
TASKS_PER_SERVING_JOB = 11
TASKS_PER_BATCH_JOB = 12
# Mean duration of a batch task at full speed, in seconds.
TASK_S = 2.7
# A batch job is on time if it takes no longer than this multiple of its longest task, and this much
# more in seconds.
STRETCH = 1.5
SLACK_S = 1.0


class DayParameters(NamedTuple):
    """What distinguishes one day from another.

    :ivar harmful_share: probability that a group of best-effort images harms a group of serving
        images.
    :ivar jobs_per_s: batch jobs that arrive per second.
    """

    workers: int = 24
    serving_images: int = 5
    best_effort_images: int = 9
    harmful_share: float = 0.4
    jobs_per_s: float = 2.2
    duration_s: float = 40.0


class DayResult(NamedTuple):
    """Outcome of one day.

    :ivar over_share: share of the serving tasks' time over their target.
    :ivar finished_share: share of the batch work that is done at the end.
    :ivar on_time_share: share of the batch jobs that end within ``STRETCH`` times their longest
        task and ``SLACK_S``, of those that arrive early enough to do so.
    :ivar median_job_s: median time from the arrival to the end of the finished batch jobs.
    """

    over_share: float
    finished_share: float
    on_time_share: float
    median_job_s: float


class Policy(NamedTuple):
    """Decisions under test.

    :ivar accepts: whether a best-effort task starts at the best worker that was found.
    :ivar throttles: whether running tasks are throttled.
    """

    accepts: Callable[[Choice], bool]
    throttles: bool


class _Load(NamedTuple):
    mean: float
    swing: float
    period_s: float
    phase: float

    def at(self, now_s: float) -> float:
        return self.mean + self.swing * sin(2.0 * pi * now_s / self.period_s + self.phase)


class InterferenceDay:
    """State of one emulated day.

    :ivar model: what the policy knows; it learns from samples unless ``knows_coefficients``.
    """

    def __init__(
        self, parameters: DayParameters, seed: int, policy: Policy, knows_coefficients: bool = False
    ) -> None:
        self.parameters = parameters
        self.policy = policy
        self.model = TailLatencyModel()
        self.workers = [_make_worker(number) for number in range(parameters.workers)]
        self._random = Random(seed)
        self._now_s = 0.0
        self._over_s = self._serving_s = 0.0
        self._coefficient_by_pair = self._draw_coefficients()
        self._load_by_job: dict[str, _Load] = {}
        self._waiting: list[tuple[Step, TaskKey]] = []
        self._work_left_by_task: dict[TaskKey, float] = {}
        self._arrived_s_by_job: dict[str, float] = {}
        self._objective_s_by_job: dict[str, float] = {}
        self._on_time: set[str] = set()
        self._open_tasks_by_job: dict[str, int] = {}
        self._job_times_s: list[float] = []
        self._jobs = 0
        if knows_coefficients:
            self.model.load_parameters(
                ModelParameters([(*pair, c, 0.0) for pair, c in self._coefficient_by_pair.items()])
            )
        self._place_serving_tasks()

    def run(self) -> DayResult:
        """Emulate the day."""
        ticks = round(self.parameters.duration_s / TICK_S)
        for tick in range(ticks):
            self._now_s = tick * TICK_S
            self._add_jobs()
            self._place()
            self._advance()
            for number, worker in enumerate(self.workers):
                if (tick + number) % TICKS_PER_SAMPLE == 0:
                    self._sample(worker)
        done = len(self._work_left_by_task) - sum(self._open_tasks_by_job.values())
        times = sorted(self._job_times_s) or [self.parameters.duration_s]
        due = {
            job_id
            for job_id, arrived_s in self._arrived_s_by_job.items()
            if arrived_s + self._objective_s_by_job[job_id] < self._now_s
        }
        return DayResult(
            self._over_s / max(self._serving_s, TICK_S),
            done / max(1, len(self._work_left_by_task)),
            len(due & self._on_time) / max(1, len(due)),
            times[len(times) // 2],
        )

    def _draw_coefficients(self) -> dict[tuple[str, str], float]:
        random, parameters = self._random, self.parameters
        harmful = [[random.random() < parameters.harmful_share for _ in range(3)] for _ in range(2)]
        return {
            (f"serving-{one}", f"batch-{other}"): (
                random.uniform(1.6, 2.9) if harmful[one % 2][other % 3] else random.uniform(0, 0.3)
            )
            for one in range(parameters.serving_images)
            for other in range(parameters.best_effort_images)
        }

    def _place_serving_tasks(self) -> None:
        slots = [worker for worker in self.workers for _ in range(CORES_MILLIS // 10_000)]
        for number, worker in enumerate(slots):
            job, index = divmod(number, TASKS_PER_SERVING_JOB)
            job_id = f"serving-job-{job}"
            if job_id not in self._load_by_job:
                random = self._random
                self._load_by_job[job_id] = _Load(
                    random.uniform(0.38, 0.52),
                    random.uniform(0.1, 0.25),
                    random.uniform(8.0, 20.0),
                    random.uniform(0.0, 2.0 * pi),
                )
            image = f"serving-{job % self.parameters.serving_images}"
            step = Step(
                TASKS_PER_SERVING_JOB,
                SERVING_CPU_MILLIS,
                image=image,
                tail_target_ms=TARGET_MS,
                long_running=True,
            )
            _start(worker, step, TaskKey(job_id, 0, 0, index), self._now_s)

    def _add_jobs(self) -> None:
        expected = self.parameters.jobs_per_s * TICK_S
        arrivals = int(expected) + (self._random.random() < expected % 1.0)
        for _ in range(arrivals):
            job_id = f"batch-job-{self._jobs}"
            self._jobs += 1
            image = f"batch-{self._random.randrange(self.parameters.best_effort_images)}"
            step = Step(TASKS_PER_BATCH_JOB, BATCH_CPU_MILLIS, image=image, best_effort=True)
            self._arrived_s_by_job[job_id] = self._now_s
            self._open_tasks_by_job[job_id] = TASKS_PER_BATCH_JOB
            durations_s = [
                self._random.expovariate(1.0 / TASK_S) for _ in range(TASKS_PER_BATCH_JOB)
            ]
            self._objective_s_by_job[job_id] = STRETCH * max(durations_s) + SLACK_S
            for index, duration_s in enumerate(durations_s):
                task = TaskKey(job_id, 0, 0, index)
                self._work_left_by_task[task] = duration_s
                self._waiting.append((step, task))

    def _place(self) -> None:
        images = tuple(f"batch-{n}" for n in range(self.parameters.best_effort_images))
        prices = worker_prices(self.workers, dict.fromkeys(images, 1.0), self.model)
        context = PlacementContext(self.model, images, prices)
        still_waiting = []
        ranking, ranked_step = None, None
        for step, task in self._waiting:
            if step is not ranked_step:
                ranking, ranked_step = Ranking(step, self.workers, context), step
            choice = ranking.best()
            if choice is None or not self.policy.accepts(choice):
                still_waiting.append((step, task))
                continue
            _start(choice.worker, step, task, self._now_s)
            ranking.requeue_best(True)
        self._waiting = still_waiting

    def _advance(self) -> None:
        for worker in self.workers:
            for run in worker.serving_runs():
                self._serving_s += TICK_S
                if self._ratio(worker, run) > 1.0:
                    self._over_s += TICK_S
            for run in worker.best_effort_runs():
                self._work_left_by_task[run.task] -= TICK_S * run.speed_percent / 100.0
                if self._work_left_by_task[run.task] <= 0.0:
                    worker.remove_run(run.task)
                    self._finish_task(run.task.job_id)

    def _finish_task(self, job_id: str) -> None:
        self._open_tasks_by_job[job_id] -= 1
        if not self._open_tasks_by_job[job_id]:
            taken_s = self._now_s - self._arrived_s_by_job[job_id]
            self._job_times_s.append(taken_s)
            if taken_s <= self._objective_s_by_job[job_id]:
                self._on_time.add(job_id)

    def _ratio(self, worker: Worker, run: ActiveRun) -> float:
        used = self._load_by_job[run.task.job_id].at(self._now_s) + sum(
            self._coefficient_by_pair[run.step.image, image] * share
            for image, share in best_effort_shares(worker).items()
        )
        return min(EXHAUSTED_RATIO, IDLE_RATIO / max(1e-6, 1.0 - used))

    def _sample(self, worker: Worker) -> None:
        for run in worker.serving_runs():
            noise = self._random.gauss(1.0, SAMPLE_NOISE)
            _report(run, self._ratio(worker, run) * noise * TARGET_MS, self._now_s)
        for run in worker.best_effort_runs():
            _report(run, run.step.cpu_millis * run.speed_percent / 100.0, self._now_s)
        worker.last_sample_s = self._now_s
        learn_tails(self.model, worker, self._now_s)
        if self.policy.throttles:
            speeds = choose_speeds(self.model, worker, MAX_OVER_TARGET_S, self._now_s)
            for task, percent in speeds.items():
                worker.runs_by_task[task].speed_percent = percent


def _make_worker(number: int) -> Worker:
    listing = WorkerListing(
        worker_id=f"w{number}",
        service="shop",
        address=f"10.0.0.{number}:80",
        availability_zone="a",
        is_draining=False,
        cpu_millis=CORES_MILLIS,
        memory_mb=MEMORY_MB,
        accelerators=0,
        labels=(),
        rack="",
        incarnation=1,
    )
    return Worker(listing, None, 1)


def _start(worker: Worker, step: Step, task: TaskKey, now_s: float) -> None:
    worker.add_run(ActiveRun(task, 1, step, 1, now_s))


def _report(run: ActiveRun, measurement: float, now_s: float) -> None:
    run.update(RunReport(run.task, 1, "", 50.0, measurement), now_s)
