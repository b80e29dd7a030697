"""How long tasks wait for a place near their data, or a gang for a rack of its own.

This handles bursts of jobs that prefer the same rack while other racks have room. Elsewhere a task
takes ``far_factor`` times as long; a job that goes there at once is often late before it begins,
while places in the preferred rack become free within a fraction of a second. It also handles the
reverse: a rack that is lost or whose runs do not end, where a wait costs more than it saves.

A task waits if the expected time until it finds a place is shorter than what it would lose
elsewhere. ``place_supply`` has the expected times; ``PlaceWaits`` keeps what a planning pass has
collected and the waits that have begun, for the log.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from laburnumswitch.process.daemon.deployment import Bounds
from laburnumswitch.process.dispatch.best_effort import FIRST_TASK_WAIT_S
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.jobs import step_estimate_s
from laburnumswitch.process.dispatch.ordering import job_slack
from laburnumswitch.process.dispatch.ordering import LATE_FACTOR
from laburnumswitch.process.dispatch.ordering import Tier
from laburnumswitch.process.dispatch.place_supply import collect_places
from laburnumswitch.process.dispatch.place_supply import Places
from laburnumswitch.process.dispatch.place_supply import rounded_size
from laburnumswitch.process.dispatch.place_supply import RunTiming
from laburnumswitch.process.dispatch.placing import is_far_from_data
from laburnumswitch.process.dispatch.step_state import StepKey
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.process.observing.decisions import DecisionLog

# Longest wait since a step became ready, as a multiple of the time lost elsewhere. Estimates may be
# wrong by several times: with this bound a wait costs at most twice what it could have saved.
BOUND_FACTOR = 2.0
# Longest wait in seconds, whatever the estimate says.
MAX_WAIT_S = 6.0
# A wait is expected to be over after this multiple of its expected length when it is compared with
# what the job's target duration still allows, since estimates are rough.
UNCERTAINTY = 1.5
# While work waits for the capacity elsewhere, a task that takes longer there also delays others,
# which counts as much as its own delay.
CONTENDED_FACTOR = 2.0
# Maximum number of waits per second of which the begin and the end are logged.
MAX_LOGGED_PER_S = 20

# Job id, occurrence, and index of the step.
# Service, rack, and whether the tasks are best-effort ones.
RackKey = tuple[str, str, bool]


class PlaceSnapshot(NamedTuple):
    """What a decision for a ready step depends on; times in seconds.

    :ivar tasks: number of tasks for which there is no place in the preferred rack now.
    :ivar rack: that rack; for a gang, the one that is expected to have room first.
    :ivar ahead: number of places there that steps which go first take.
    :ivar wait_s: expected time until the task with the given index finds a place there.
    :ivar lost_s: by how much a task takes longer elsewhere.
    :ivar slack_s: delay that the job's target duration still allows.
    :ivar objective_s: the job's target duration.
    :ivar waited_s: time since the step became ready.
    :ivar is_running: whether any task of the job runs.
    :ivar is_contended: whether other work waits for the capacity elsewhere.
    """

    tasks: int
    rack: str
    ahead: int
    wait_s: Callable[[int], float]
    lost_s: float
    slack_s: float
    objective_s: float
    waited_s: float
    is_running: bool
    is_contended: bool


def bound_s(snapshot: PlaceSnapshot) -> float:
    """Return the longest wait of a step since it became ready, in seconds."""
    return min(BOUND_FACTOR * snapshot.lost_s, MAX_WAIT_S)


def pays(snapshot: PlaceSnapshot, wait_s: float) -> bool:
    """Return whether an expected wait costs less than it saves."""
    if snapshot.waited_s + wait_s > bound_s(snapshot):
        return False
    tier_near = _tier(snapshot, UNCERTAINTY * wait_s)
    if tier_near > _tier(snapshot, snapshot.lost_s):
        return False
    return wait_s < snapshot.lost_s * (CONTENDED_FACTOR if snapshot.is_contended else 1.0)


def count_waiting(snapshot: PlaceSnapshot) -> int:
    """Return how many of the tasks wait; the others may start anywhere.

    Users expect a job to have something running within three seconds. So the first task of a job
    that has nothing running leaves long before.

    If any task of the step goes elsewhere, the step ends no sooner if others wait. They wait only
    to leave capacity to other work.
    """
    waiting = 0
    while waiting < snapshot.tasks and pays(snapshot, snapshot.wait_s(waiting)):
        waiting += 1
    first_s = snapshot.waited_s + snapshot.wait_s(0)
    if not snapshot.is_running and first_s > FIRST_TASK_WAIT_S:
        waiting = min(waiting, snapshot.tasks - 1)
    if waiting < snapshot.tasks and not snapshot.is_contended:
        return 0
    return waiting


def _tier(snapshot: PlaceSnapshot, delay_s: float) -> Tier:
    slack_s = snapshot.slack_s - delay_s
    if slack_s >= 0.0:
        return Tier.ON_TIME
    if slack_s >= -(LATE_FACTOR - 1.0) * snapshot.objective_s:
        return Tier.LATE
    return Tier.EXPIRED


class _Wait:
    """A wait of a step that could start elsewhere.

    :ivar is_held: whether there was room elsewhere in the last planning pass.
    :ivar is_logged: whether its begin was logged, and so will be its end.
    """

    __slots__ = ("began_s", "is_held", "is_logged")

    def __init__(self, began_s: float, is_logged: bool) -> None:
        self.began_s = began_s
        self.is_held = True
        self.is_logged = is_logged


class PlaceWaits:
    """The waits of one owner, and what its current planning pass has collected.

    Nothing is stored: a new owner decides anew, from the times since when steps are ready, of which
    it inherits a part.

    :ivar near_tasks: number of tasks started in the rack that they prefer.
    :ivar elsewhere_tasks: number of tasks with such a preference that were started elsewhere.
    :ivar waited_s: total length of the waits that have ended, in seconds.
    """

    def __init__(self, log: DecisionLog, bounds: Bounds) -> None:
        self.near_tasks = 0
        self.elsewhere_tasks = 0
        self.waited_s = 0.0
        self._log = log
        self._bounds = bounds
        self._wait_by_key: dict[StepKey, _Wait] = {}
        self._places_by_key: dict[tuple[object, ...], Places] = {}
        # Processors of the tasks that were planned before and wait for a place in a rack.
        self._claimed_by_rack: dict[RackKey, int] = {}
        self._contended_by_service: dict[tuple[str, bool], bool] = {}
        self._steps: Callable[[], Iterable[tuple[Queue, ReadyStep]]] = tuple
        self._logged_s = -inf
        self._logged = 0

    def begin_pass(
        self,
        steps: Callable[[], Iterable[tuple[Queue, ReadyStep]]],
        ready_keys: Container[StepKey],
        is_continued: bool,
        now_s: float,
    ) -> None:
        """Forget what the last planning pass has collected.

        :param steps: returns the steps of the pass.
        :param ready_keys: the keys of all ready steps.
        :param is_continued: whether the last pass was cut short, and this one leaves out the steps
            that it has seen.
        """
        self._places_by_key.clear()
        if is_continued:
            return
        self._claimed_by_rack.clear()
        self._contended_by_service.clear()
        self._steps = steps
        for key in [key for key in self._wait_by_key if key not in ready_keys]:
            # Its job has ended.
            self._end_wait(key, "given up", 0, now_s)

    def is_held(self, key: StepKey) -> bool:
        """Return whether a step waits although there is room for it elsewhere."""
        wait = self._wait_by_key.get(key)
        return wait is not None and wait.is_held

    def note_start(self, step: Step, worker: Worker) -> None:
        """Count the start of a task of a step that is no gang."""
        if step.data_rack and not step.gang:
            self.count_starts(1, not is_far_from_data(step, worker))

    def count_starts(self, tasks: int, is_near: bool) -> None:
        """Count starts of tasks that prefer a rack."""
        if is_near:
            self.near_tasks += tasks
        else:
            self.elsewhere_tasks += tasks

    def choose_elsewhere(
        self,
        ready: ReadyStep,
        queue: Queue,
        near: list[Worker],
        workers: list[Worker],
        now_s: float,
        wall_s: float,
    ) -> int:
        """Return how many tasks of a step that found no place near its data start elsewhere.

        :param near: workers in the rack of its data that may get its tasks.
        :param workers: all workers that may get them.
        :param wall_s: Unix time in seconds.
        """
        step = ready.step_state.step
        tasks = ready.step_state.waiting_count()
        if step.long_running or self._bounds.far_factor <= 1.0:
            return tasks
        if not tasks:
            self._end(ready, "near", now_s)
            return 0
        places = self._places(queue, step, step.data_rack, near, now_s)
        ahead = self._ahead(queue, step, step.data_rack)
        snapshot = self._snapshot(ready, queue, workers, now_s, wall_s)._replace(
            ahead=ahead, wait_s=lambda index: places.wait_s(ahead + index)
        )
        waiting = count_waiting(snapshot)
        if waiting:
            has_room = any(is_far_from_data(step, each) and each.fits(step) for each in workers)
            self._hold(ready, snapshot, waiting, has_room, now_s)
        else:
            is_given_up = snapshot.waited_s >= self._limit_s(snapshot)
            self._end(ready, "given up" if is_given_up else "elsewhere", now_s)
        return tasks - waiting

    def gang_waits(
        self,
        ready: ReadyStep,
        queue: Queue,
        groups: list[list[Worker]],
        workers: list[Worker],
        now_s: float,
        wall_s: float,
    ) -> bool:
        """Return whether a gang for which no group has room waits for one.

        There is room for it on the workers of several groups.
        """
        step = ready.step_state.step
        if step.long_running or self._bounds.far_factor <= 1.0:
            return False
        wait_s, ahead, rack = min(
            (self._gather(queue, step, group, now_s) for group in groups if group),
            default=(inf, 0, ""),
        )
        # The members start together, so they wait or leave as one.
        snapshot = self._snapshot(ready, queue, workers, now_s, wall_s)._replace(
            tasks=1, rack=rack, ahead=ahead, wait_s=lambda index: wait_s
        )
        if not count_waiting(snapshot):
            is_given_up = snapshot.waited_s >= self._limit_s(snapshot)
            self._end(ready, "given up" if is_given_up else "elsewhere", now_s)
            return False
        self._hold(ready, snapshot, 1, True, now_s)
        self._claim(queue, step, rack, step.count)
        return True

    def note_gang_start(self, ready: ReadyStep, is_near: bool, now_s: float) -> None:
        """Count the start of a gang that prefers a rack, and end its wait."""
        self.count_starts(ready.step_state.step.count, is_near)
        if is_near:
            self._end(ready, "near", now_s)

    def note_queued(self, ready: ReadyStep, queue: Queue) -> None:
        """Note that the tasks of a step that still wait go before those of later steps."""
        step = ready.step_state.step
        self._claim(queue, step, step.data_rack, ready.step_state.waiting_count())

    def _claim(self, queue: Queue, step: Step, rack: str, tasks: int) -> None:
        key = (queue.service, rack, step.best_effort)
        claimed = self._claimed_by_rack.get(key, 0)
        self._claimed_by_rack[key] = claimed + tasks * step.cpu_millis

    def _ahead(self, queue: Queue, step: Step, rack: str) -> int:
        """Return how many places of a step's size those that go before it take."""
        claimed = self._claimed_by_rack.get((queue.service, rack, step.best_effort), 0)
        return -(-claimed // max(1, step.cpu_millis))

    def _gather(
        self, queue: Queue, step: Step, group: list[Worker], now_s: float
    ) -> tuple[float, int, str]:
        rack = group[0].listing.rack
        places = self._places(queue, step, rack, group, now_s)
        ahead = self._ahead(queue, step, rack)
        return places.gather_s(ahead + step.count), ahead, rack

    def _places(
        self, queue: Queue, step: Step, rack: str, workers: list[Worker], now_s: float
    ) -> Places:
        timing = RunTiming(self._bounds.far_factor, self._bounds.stop_s, now_s)
        if queue.needs_advice:
            # Each step may run on other workers.
            return collect_places(step, workers, timing)
        sized = step if step.gang else rounded_size(step)
        key = (
            queue.service,
            rack,
            step.best_effort,
            step.required_label,
            step.max_per_worker,
            sized.cpu_millis,
            sized.memory_mb,
            sized.accelerators,
            step.gang,
        )
        places = self._places_by_key.get(key)
        if places is None:
            places = self._places_by_key[key] = collect_places(sized, workers, timing)
        return places

    def _snapshot(
        self,
        ready: ReadyStep,
        queue: Queue,
        workers: list[Worker],
        now_s: float,
        wall_s: float,
    ) -> PlaceSnapshot:
        """Return the snapshot for a step, without what depends on the places in the rack."""
        step_state = ready.step_state
        slack_s, objective_s = job_slack(ready, queue, wall_s)
        return PlaceSnapshot(
            step_state.waiting_count(),
            step_state.step.data_rack,
            0,
            lambda index: inf,
            (self._bounds.far_factor - 1.0) * step_estimate_s(step_state.step),
            slack_s,
            objective_s,
            now_s - step_state.ready_since_s,
            ready.job.is_running(),
            self._is_contended(queue.service, step_state.step.best_effort, workers),
        )

    def _is_contended(self, service: str, best_effort: bool, workers: list[Worker]) -> bool:
        """Return whether more tasks wait than the free processors of the workers can run."""
        key = (service, best_effort)
        if key not in self._contended_by_service:
            waiting = sum(
                ready.step_state.waiting_count() * ready.step_state.step.cpu_millis
                for queue, ready in self._steps()
                if queue.service == service and _competes(ready.step_state, best_effort)
            )
            free = sum(_free_cpu_millis(worker, best_effort) for worker in workers)
            self._contended_by_service[key] = waiting > free
        return self._contended_by_service[key]

    def _limit_s(self, snapshot: PlaceSnapshot) -> float:
        limit_s = bound_s(snapshot)
        return limit_s if snapshot.is_running else min(limit_s, FIRST_TASK_WAIT_S)

    def _hold(
        self,
        ready: ReadyStep,
        snapshot: PlaceSnapshot,
        waiting: int,
        has_room: bool,
        now_s: float,
    ) -> None:
        key = ready.step_state.key
        wait = self._wait_by_key.get(key)
        if wait is not None:
            wait.is_held = has_room
            return
        if not has_room:
            return
        wait = self._wait_by_key[key] = _Wait(now_s, self._may_log(now_s))
        if wait.is_logged:
            self._log.note(
                "place_wait",
                _step_name(key),
                state="begun",
                rack=snapshot.rack,
                tasks=waiting,
                elsewhere=snapshot.tasks - waiting,
                expected_s=round(snapshot.wait_s(waiting - 1), 3),
                lost_s=round(snapshot.lost_s, 3),
                slack_s=round(snapshot.slack_s, 3),
                late_slack_s=round(
                    snapshot.slack_s + (LATE_FACTOR - 1.0) * snapshot.objective_s, 3
                ),
                ahead=snapshot.ahead,
                ready_s_ago=round(snapshot.waited_s, 3),
                contended=snapshot.is_contended,
            )

    def _end(self, ready: ReadyStep, outcome: str, now_s: float) -> None:
        step_state = ready.step_state
        key = step_state.key
        if key in self._wait_by_key:
            self._end_wait(key, outcome, step_state.waiting_count(), now_s)

    def _end_wait(self, key: StepKey, outcome: str, tasks: int, now_s: float) -> None:
        wait = self._wait_by_key.pop(key)
        waited_s = now_s - wait.began_s
        self.waited_s += waited_s
        if wait.is_logged:
            self._log.note(
                "place_wait",
                _step_name(key),
                state="ended",
                outcome=outcome,
                waited_s=round(waited_s, 3),
                tasks=tasks,
            )

    def _may_log(self, now_s: float) -> bool:
        if now_s - self._logged_s >= 1.0:
            self._logged_s = now_s
            self._logged = 0
        self._logged += 1
        return self._logged <= MAX_LOGGED_PER_S


def _competes(step_state: StepState, best_effort: bool) -> bool:
    step = step_state.step
    return step.best_effort if best_effort else step.is_urgent


def _free_cpu_millis(worker: Worker, best_effort: bool) -> float:
    if best_effort:
        return max(0.0, worker.idle_cpu_millis())
    return worker.listing.cpu_millis - worker.used_cpu_millis


def _step_name(key: StepKey) -> str:
    job_id, occurrence, step = key
    return f"{job_id}.{occurrence}.{step}"
