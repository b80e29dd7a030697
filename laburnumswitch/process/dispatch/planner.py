"""Decides which waiting tasks start where, and sends the starts."""

from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.exceptions import WorkerRestarted
from laburnumswitch.process.dispatch.calm import CalmSearch
from laburnumswitch.process.dispatch.calm import forced_starts
from laburnumswitch.process.dispatch.calm import prefers_near
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import ORDER_TIMEOUT_S
from laburnumswitch.process.dispatch.dispatcher import task_name
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.headroom import choose_held
from laburnumswitch.process.dispatch.headroom import LASTING_WAIT_S
from laburnumswitch.process.dispatch.headroom import PLACES_TO_START
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import Task
from laburnumswitch.process.dispatch.jobs import WaitingStep
from laburnumswitch.process.dispatch.ordering import order_key
from laburnumswitch.process.dispatch.placing import HARM_LIMIT
from laburnumswitch.process.dispatch.placing import PlacementContext
from laburnumswitch.process.dispatch.placing import Ranking
from laburnumswitch.process.dispatch.relocation import choose_moves
from laburnumswitch.process.dispatch.reports import StartOrder
from laburnumswitch.process.dispatch.tickets import Tickets
from laburnumswitch.process.dispatch.work import Queue
from laburnumswitch.process.dispatch.work import Step
from laburnumswitch.process.dispatch.worker_task import void_unanswered_starts

# Steps that wait for room, time or calmer neighbours are looked at so often, in seconds.
PLAN_INTERVAL_S = 0.2
# Events within this time, in seconds, share one plan.
GATHER_S = 0.002
# A worker that has not answered for so long, in seconds, gets no starts: two renewals were missed.
SILENT_S = 2.2
# After a refused start a worker gets none for so long, in seconds.
REFUSED_PAUSE_S = 0.3
UNHEALTHY_PAUSE_S = 1.0
# Filling tasks that wait for calmer neighbours are looked at again after this time, in seconds.
CALM_RETRY_S = 0.15
# Throttled runs are looked at so often, in seconds: half the time after which one may move.
RELOCATION_INTERVAL_S = 0.4
# Tickets are not used in their last part, in seconds, so that they hold when the start arrives.
TICKET_MARGIN_S = 0.3
# Workers that the advice service is asked about at a time: it takes some milliseconds for each.
ADVICE_WORKERS = 30


def run_planner(dispatcher: Dispatcher) -> None:
    """Plan whenever something has changed, until the ownership ends."""
    context = dispatcher.context
    while not dispatcher.is_stopped():
        dispatcher.wake.wait(PLAN_INTERVAL_S)
        context.sleep(GATHER_S)
        dispatcher.wake.clear()
        if dispatcher.may_act():
            plan(dispatcher)


def run_relocation(dispatcher: Dispatcher) -> None:
    """Move throttled filling runs to calmer workers, until the ownership ends."""
    context = dispatcher.context
    while not dispatcher.is_stopped():
        context.sleep(RELOCATION_INTERVAL_S)
        if not dispatcher.may_act():
            continue
        services = {worker.entry.service for worker in dispatcher.workers_by_id.values()}
        for service in services:
            usable = usable_workers(dispatcher, service)
            placement = PlacementContext(dispatcher.model, tuple(dispatcher.filling_images))
            for move in choose_moves(usable, placement, context.clock()):
                reason = f"throttled, room at {move.target.worker_id}"
                dispatcher.order_stop(move.worker, move.run, reason)


def plan(dispatcher: Dispatcher) -> None:
    """Start what can be started now, in the order of the waiting steps."""
    now_s = dispatcher.context.wall_clock()
    keyed = []
    for waiting in dispatcher.waiting_by_step.values():
        queue = dispatcher.queue_of(waiting.job)
        if queue is not None and _is_due(dispatcher, waiting, now_s):
            key = order_key(waiting, queue, dispatcher.mean_work_by_queue[queue.name], now_s)
            keyed.append((key, queue, waiting))
    if not keyed:
        return
    keyed.sort(key=lambda each: each[0])
    view_by_service: dict[str, ServiceView] = {}
    for _, queue, waiting in keyed:
        view = view_by_service.get(queue.service)
        if view is None:
            view = view_by_service[queue.service] = _view_service(dispatcher, queue.service)
        _plan_step(dispatcher, queue, waiting, view)


class ServiceView:
    """What one pass over the waiting steps knows of a service.

    :ivar usable: workers that may get starts.
    :ivar reserved_share: share of their processors that is reserved as the pass begins.
    :ivar lasting_budget: processors that lasting tasks may still reserve, in thousandths of a core.
    :ivar held: ids of workers that are kept for large urgent tasks.
    """

    def __init__(self, usable: list[Worker], lasting_budget: float) -> None:
        capacity = sum(worker.entry.cpu_millis for worker in usable)
        reserved = sum(worker.used_cpu_millis for worker in usable)
        self.usable = usable
        self.reserved_share = reserved / max(1, capacity)
        self.lasting_budget = lasting_budget
        self.held: set[str] = set()
        self.search = CalmSearch()

    def not_held(self) -> list[Worker]:
        """Return the usable workers that are not kept for large urgent tasks."""
        if not self.held:
            return self.usable
        return [worker for worker in self.usable if worker.worker_id not in self.held]


def _view_service(dispatcher: Dispatcher, service: str) -> ServiceView:
    usable = usable_workers(dispatcher, service)
    return ServiceView(usable, _lasting_budget(dispatcher, usable))


def _plan_step(
    dispatcher: Dispatcher, queue: Queue, waiting: WaitingStep, view: ServiceView
) -> None:
    step = waiting.runs.step
    keeps_room = step.lasting and not step.filling
    is_over_budget = keeps_room and view.lasting_budget < step.cpu_millis
    if is_over_budget and _may_wait(dispatcher, queue, waiting):
        return
    usable = view.usable if _has_waited_long(dispatcher, waiting) else view.not_held()
    active = waiting.runs.active
    _start_step(dispatcher, queue, waiting, usable, view)
    if keeps_room:
        view.lasting_budget -= (waiting.runs.active - active) * step.cpu_millis
    elif step.is_urgent:
        view.held |= choose_held(step, waiting.runs, usable, len(view.held))


def _lasting_budget(dispatcher: Dispatcher, usable: list[Worker]) -> float:
    used = sum(worker.urgent_cpu_millis for worker in usable)
    waiting = sum(
        (len(each.runs.tasks) - each.runs.done - each.runs.active) * each.runs.step.cpu_millis
        for each in dispatcher.waiting_by_step.values()
        if each.runs.step.is_urgent
    )
    dispatcher.headroom.update(used + waiting, dispatcher.context.clock())
    return dispatcher.headroom.lasting_budget(usable)


def _has_waited_long(dispatcher: Dispatcher, waiting: WaitingStep) -> bool:
    """Return whether a lasting step has to start now wherever there is room."""
    waited_s = dispatcher.context.clock() - waiting.runs.ready_since_s
    return waiting.runs.step.lasting and waited_s >= LASTING_WAIT_S


def _may_wait(dispatcher: Dispatcher, queue: Queue, waiting: WaitingStep) -> bool:
    """Return whether a lasting step may leave its room to urgent work for now."""
    if dispatcher.context.clock() - waiting.runs.ready_since_s < LASTING_WAIT_S:
        return True
    places = 0
    for worker in dispatcher.workers_by_id.values():
        if worker.entry.service == queue.service and not worker.entry.is_draining:
            places += _free_places(waiting.runs.step, worker)
    return places < PLACES_TO_START


def _is_due(dispatcher: Dispatcher, waiting: WaitingStep, now_s: float) -> bool:
    if waiting.job.may_run_unseen and not dispatcher.settled:
        return False
    if waiting.job.submission.occurrences and now_s < waiting.occurrence.due_s:
        return False
    return dispatcher.context.clock() >= waiting.runs.retry_after_s


def usable_workers(dispatcher: Dispatcher, service: str) -> list[Worker]:
    """Return the workers of a service that may get starts now."""
    now_s = dispatcher.context.clock()
    zones_out = dispatcher.context.operations.evacuated_zones
    return [
        worker
        for worker in dispatcher.workers_by_id.values()
        if worker.entry.service == service
        and worker.is_reached
        and not worker.is_voiding
        and worker.is_listed(now_s)
        and dispatcher.recorder.committed >= worker.listed_by_batch
        and not worker.entry.is_draining
        and worker.entry.availability_zone not in zones_out
        and now_s >= worker.blocked_until_s
        and now_s - worker.heard_s < SILENT_S
        and not dispatcher.quarantine.is_quarantined(worker.worker_id, now_s)
    ]


def _start_step(
    dispatcher: Dispatcher,
    queue: Queue,
    waiting: WaitingStep,
    usable: list[Worker],
    view: ServiceView,
) -> None:
    step = waiting.runs.step
    forced = _forced_starts(dispatcher, waiting, view.reserved_share)
    if forced == 0 and view.search.rules_out(step):
        waiting.runs.retry_after_s = dispatcher.context.clock() + CALM_RETRY_S
        return
    candidates = usable
    if step.required_label:
        candidates = [each for each in usable if step.required_label in each.entry.labels]
    tickets = _tickets(dispatcher, queue, waiting, candidates)
    if tickets is not None:
        candidates = [each for each in candidates if each.worker_id in tickets]
    if step.gang:
        _start_gang(dispatcher, waiting, candidates, tickets or {})
        return
    if not _start_each(dispatcher, waiting, candidates, tickets or {}, forced):
        waiting.runs.retry_after_s = dispatcher.context.clock() + CALM_RETRY_S
        if tickets is None:
            view.search.note_failed(step)


def _forced_starts(dispatcher: Dispatcher, waiting: WaitingStep, reserved_share: float) -> int:
    step = waiting.runs.step
    if not step.filling:
        return step.count
    waited_s = dispatcher.context.clock() - waiting.runs.ready_since_s
    return forced_starts(step, waited_s, reserved_share, waiting.job.is_running())


def _start_each(
    dispatcher: Dispatcher,
    waiting: WaitingStep,
    candidates: list[Worker],
    tickets: dict[str, str],
    forced: int,
) -> bool:
    """Start the tasks of a step; ``forced`` of them go to workers that are not calm, too.

    :return: whether calm workers were found as long as there was room.
    """
    step = waiting.runs.step
    context = PlacementContext(dispatcher.model, tuple(dispatcher.filling_images))
    open_to = (each for each in candidates if _spread_allows(step, each, waiting))
    ranking = Ranking(_as_ranked(dispatcher, waiting), open_to, context)
    for task in list(waiting.runs.waiting()):
        choice = ranking.best()
        if choice is None:
            return True
        if choice.cost_nearby > HARM_LIMIT:
            if forced == 0:
                return False
            forced -= 1
        _start_task(dispatcher, waiting.job, task, choice.worker, tickets)
        ranking.update_best(_spread_allows(step, choice.worker, waiting))
    return True


def _as_ranked(dispatcher: Dispatcher, waiting: WaitingStep) -> Step:
    step = waiting.runs.step
    if not (step.filling and step.data_rack):
        return step
    waited_s = dispatcher.context.clock() - waiting.runs.ready_since_s
    if prefers_near(step, waited_s, dispatcher.context.deployment.bounds.far_factor):
        return step
    return step._replace(data_rack="")


def _spread_allows(step: Step, worker: Worker, waiting: WaitingStep) -> bool:
    if not step.max_per_worker:
        return True
    name = waiting.runs.tasks[0].key[:3]
    beside = sum(1 for key in worker.runs_by_task if key[:3] == name)
    return beside < step.max_per_worker


def _start_gang(
    dispatcher: Dispatcher,
    waiting: WaitingStep,
    candidates: list[Worker],
    tickets: dict[str, str],
) -> None:
    """Start all members of a gang at once, where all have room together; else none."""
    if waiting.runs.active:
        return
    step = waiting.runs.step
    groups = [candidates]
    if step.same_rack:
        racks = sorted({worker.entry.rack for worker in candidates})
        groups = [[each for each in candidates if each.entry.rack == rack] for rack in racks]
        groups.append(candidates)
    for group in groups:
        placed = _place_gang(dispatcher, waiting, group)
        if placed is not None:
            break
    else:
        return
    number = max(dispatcher.next_run(task) for task in waiting.runs.tasks)
    checkpoint = max(task.checkpoint for task in waiting.runs.tasks)
    for task, worker in placed:
        task.last_run = number - 1
        task.checkpoint = checkpoint
        _start_task(dispatcher, waiting.job, task, worker, tickets)


def _place_gang(
    dispatcher: Dispatcher, waiting: WaitingStep, group: list[Worker]
) -> list[tuple[Task, Worker]] | None:
    step = waiting.runs.step
    free = {worker.worker_id: _free_places(step, worker) for worker in group}
    placed: list[tuple[Task, Worker]] = []
    for worker in sorted(group, key=lambda each: free[each.worker_id], reverse=True):
        places = min(free[worker.worker_id], step.max_per_worker or step.count)
        while places > 0 and len(placed) < step.count:
            placed.append((waiting.runs.tasks[len(placed)], worker))
            places -= 1
    return placed if len(placed) == step.count else None


def _free_places(step: Step, worker: Worker) -> int:
    entry = worker.entry
    places = [step.count]
    if step.cpu_millis and not step.filling:
        places.append((entry.cpu_millis - worker.used_cpu_millis) // step.cpu_millis)
    if step.memory_mb:
        places.append((entry.memory_mb - worker.used_memory_mb) // step.memory_mb)
    if step.accelerators:
        places.append((entry.accelerators - worker.used_accelerators) // step.accelerators)
    return max(0, min(places))


def _start_task(
    dispatcher: Dispatcher, job: Job, task: Task, worker: Worker, tickets: dict[str, str]
) -> None:
    run = dispatcher.begin_run(job, task, worker)
    order = StartOrder(
        task.key,
        run.run,
        job.submission.spec,
        worker.grant_until_s(dispatcher.context.deployment.bounds.lease_s),
        worker.fence,
        task.checkpoint,
        tickets.get(worker.worker_id, ""),
    )
    dispatcher.counters.starts += 1
    dispatcher.spawn(_send_start, dispatcher, job, worker, run, order)


def _send_start(
    dispatcher: Dispatcher, job: Job, worker: Worker, run: ActiveRun, order: StartOrder
) -> None:
    context = dispatcher.context
    outcome = worker.link.start(order, ORDER_TIMEOUT_S)
    now_s = context.clock()
    context.log.note(
        "run_start",
        task_name(run.task),
        run=run.run,
        worker=worker.worker_id,
        waited_s=round(run.started_s - job.step_runs(run.task).ready_since_s, 3),
        outcome=outcome.tag if isinstance(outcome, Failure) else "started",
        reason=getattr(outcome, "reason", ""),
    )
    if dispatcher.is_stopped() or worker.runs_by_task.get(run.task) is not run:
        return
    if not isinstance(outcome, Failure):
        run.confirmed_s = now_s
        if job.is_final():
            dispatcher.order_stop(worker, run, "its job has ended")
        return
    if not _is_certainly_not_started(outcome):
        dispatcher.counters.uncertain_starts += 1
        run.is_uncertain = True
        void_unanswered_starts(dispatcher, worker)
        return
    dispatcher.counters.refused_starts += 1
    worker.blocked_until_s = now_s + (
        UNHEALTHY_PAUSE_S if isinstance(outcome, Throttled | Unavailable) else REFUSED_PAUSE_S
    )
    if isinstance(outcome, StartRefused) and outcome.reason == "old":
        job.task(run.task).last_run += 1
    dispatcher.release_run(worker, run, f"start refused: {outcome.tag}")


def _is_certainly_not_started(outcome: Failure) -> bool:
    kinds = ConnectFailed | StartRefused | WorkerRestarted | Throttled | Unavailable | Refused
    return isinstance(outcome, kinds)


def _tickets(
    dispatcher: Dispatcher, queue: Queue, waiting: WaitingStep, candidates: list[Worker]
) -> dict[str, str] | None:
    """Return tickets by worker, ``None`` for a queue that needs none."""
    if not queue.needs_advice:
        return None
    key = (waiting.job.job_id, waiting.occurrence.number, waiting.runs.tasks[0].key.step)
    known = dispatcher.tickets_by_step.get(key)
    if known is not None and dispatcher.context.clock() < known[0]:
        return known[1].ticket_by_worker
    if known is None or known[0] > 0:
        # An entry of instant 0 marks a call that is on its way.
        dispatcher.tickets_by_step[key] = (0.0, Tickets({}, 0.0))
        step = waiting.runs.step
        room = [each for each in candidates if each.fits(step)] or candidates
        ids = tuple(each.worker_id for each in room[:ADVICE_WORKERS])
        dispatcher.spawn(_ask_advice, dispatcher, queue, waiting, key, ids)
    return {}


def _ask_advice(
    dispatcher: Dispatcher,
    queue: Queue,
    waiting: WaitingStep,
    key: tuple[str, int, int],
    ids: tuple[str, ...],
) -> None:
    context = dispatcher.context
    asked_s = context.clock()
    timeout_s = 1.0 + queue.advice_base_s + queue.advice_each_s * len(ids)
    answer = context.ask_advice(waiting.runs.tasks[0].key, ids, timeout_s)
    if isinstance(answer, Failure):
        context.log.note("advice_failed", waiting.job.job_id, reason=answer.describe())
        context.sleep(REFUSED_PAUSE_S)
        dispatcher.tickets_by_step.pop(key, None)
        return
    valid_s = answer.valid_s or queue.advice_valid_s
    dispatcher.tickets_by_step[key] = (asked_s + valid_s - TICKET_MARGIN_S, answer)
    dispatcher.wake.set()
