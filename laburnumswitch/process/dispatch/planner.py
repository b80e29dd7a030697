"""Planner of the owner: places the tasks of ready steps on workers and starts them."""

from itertools import islice

from laburnumswitch.process.dispatch.advice import step_key
from laburnumswitch.process.dispatch.advice_calls import call_advice
from laburnumswitch.process.dispatch.advice_calls import request_advice
from laburnumswitch.process.dispatch.best_effort import forced_starts
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.down_time import by_down_time
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.evacuator import evacuate_all
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.gang_places import choose_gang_places
from laburnumswitch.process.dispatch.headroom import choose_reserved
from laburnumswitch.process.dispatch.headroom import DUE_ROOM_SHARE
from laburnumswitch.process.dispatch.headroom import FIRST_RUN_LIMIT_S
from laburnumswitch.process.dispatch.headroom import LASTING_ROOM_SHARE
from laburnumswitch.process.dispatch.headroom import LONG_RUNNING_WAIT_S
from laburnumswitch.process.dispatch.headroom import may_reserve
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.opportunity import worker_prices
from laburnumswitch.process.dispatch.ordering import Tier
from laburnumswitch.process.dispatch.organisation_update import update_organisations
from laburnumswitch.process.dispatch.organisation_usage import unknown_totals
from laburnumswitch.process.dispatch.placing import INTERFERENCE_LIMIT
from laburnumswitch.process.dispatch.placing import PlacementContext
from laburnumswitch.process.dispatch.placing import Ranking
from laburnumswitch.process.dispatch.placing import workers_to_rank
from laburnumswitch.process.dispatch.planning_order import is_overdue
from laburnumswitch.process.dispatch.planning_order import order_ready_steps
from laburnumswitch.process.dispatch.planning_order import OrderedStep
from laburnumswitch.process.dispatch.planning_state import ServicePlanningState
from laburnumswitch.process.dispatch.preemption import make_room
from laburnumswitch.process.dispatch.preemption import WaitingStep
from laburnumswitch.process.dispatch.quota_gate import QuotaBudget
from laburnumswitch.process.dispatch.relocation import choose_moves
from laburnumswitch.process.dispatch.room import has_spare_slots
from laburnumswitch.process.dispatch.room import NoRoom
from laburnumswitch.process.dispatch.run_start import start_tasks
from laburnumswitch.process.dispatch.step_state import StepKey

# Interval, in seconds, at which steps that wait for capacity, their due time or lower interference
# are planned again.
PLAN_INTERVAL_S = 0.2
# Events within this time, in seconds, are handled by one planning pass.
COALESCE_S = 0.002
# Longest planning pass, in seconds: watchers take an owner that does not answer for a second and a
# half as lost.
MAX_PASS_S = 0.03
# Best-effort steps that found no suitable worker are planned again after this time, in seconds.
PLACEMENT_RETRY_S = 0.15
# Interval, in seconds, at which throttled runs are checked: half of ``MIN_THROTTLED_S``, after
# which one may move.
RELOCATION_INTERVAL_S = 0.4
# Interval, in seconds, at which the prices of workers are computed.
PRICE_INTERVAL_S = 1.0
# Shortest interval, in seconds, between two searches for long-running tasks to stop. A search takes
# as long as a planning pass, and a stop takes several times the interval.
PREEMPTION_INTERVAL_S = 0.1


def run_planner(dispatcher: Dispatcher) -> None:
    """Plan whenever the state changes, until the term ends."""
    context = dispatcher.context
    pause_s = COALESCE_S
    has_planned_all = False
    while not dispatcher.is_stopped():
        dispatcher.wake.wait(PLAN_INTERVAL_S)
        context.sleep(pause_s)
        dispatcher.wake.clear()
        began_s = context.clock()
        if dispatcher.may_act():
            if has_planned_all and not dispatcher.placements.unsent_runs:
                dispatcher.has_planned.set()
            has_asked_all = _has_asked_all(dispatcher)
            plan(dispatcher)
            if has_asked_all and not has_planned_all:
                evacuate_all(dispatcher)
                has_planned_all = True
        # Planning takes at most half of the processor time, so that leases are renewed meanwhile.
        pause_s = max(COALESCE_S, context.clock() - began_s)


def _has_asked_all(dispatcher: Dispatcher) -> bool:
    """Return whether each worker has answered this owner, or not answered in time."""
    return dispatcher.knows_listings and all(
        worker.is_reached or worker.is_silent for worker in dispatcher.workers_by_id.values()
    )


def run_relocation(dispatcher: Dispatcher) -> None:
    """Stop throttled best-effort runs that other workers can take, until the term ends.

    Their tasks are then placed again like any others.
    """
    context = dispatcher.context
    while not dispatcher.is_stopped():
        context.sleep(RELOCATION_INTERVAL_S)
        if not dispatcher.may_act():
            continue
        services = {worker.listing.service for worker in dispatcher.workers_by_id.values()}
        for service in services:
            usable = usable_workers(dispatcher, service)
            placement = placement_context(dispatcher)
            for move in choose_moves(usable, placement, context.clock()):
                organisation = dispatcher.organisation_usage.organisation_of(
                    move.worker.worker_id, move.run.task
                )
                if dispatcher.quota_gate.may_restart(organisation):
                    reason = f"throttled, moving to {move.target.worker_id}"
                    dispatcher.stop_run(move.worker, move.run, reason)


def plan(dispatcher: Dispatcher) -> None:
    """Run one planning pass over the ready steps, in the order of ``order_key``.

    This handles bursts of wide jobs on large fleets, whose planning takes seconds: after
    ``MAX_PASS_S`` the rest is left to the next pass, so that workers are served in between. Steps
    that found no room are skipped until a pass has come to the end, so that none starves.
    """
    dispatcher.make_due_occurrences()
    now_s = dispatcher.context.wall_clock()
    jobs = () if dispatcher.settled else dispatcher.jobs_by_id.values()
    unknown = unknown_totals(jobs, now_s, dispatcher.placements.knows_runs)
    dispatcher.quota_gate.begin_pass(dispatcher.context.clock(), unknown)
    update_organisations(dispatcher)
    dispatcher.advice.requests.clear()
    keyed = order_ready_steps(dispatcher, now_s)
    dispatcher.place_waits.begin_pass(
        lambda: ((queue, ready) for _, queue, ready, _ in keyed),
        dispatcher.ready_step_by_key,
        bool(dispatcher.skipped_steps),
        dispatcher.context.clock(),
    )
    state_by_service: dict[str, ServicePlanningState] = {}
    contain = dispatcher.job_faults.contain
    unplaced: list[StepKey] = []
    stop_s = dispatcher.context.clock() + MAX_PASS_S
    for _, queue, ready, key_of_step in keyed:
        service_state = state_by_service.get(queue.service)
        if service_state is None:
            service_state = state_by_service[queue.service] = _service_planning_state(
                dispatcher, queue.service
            )
        job_id = ready.job.job_id
        contain(job_id, "planning", _plan_step, dispatcher, queue, ready, service_state)
        if ready.step_state.has_waiting() and dispatcher.quota_gate.startable(ready):
            unplaced.append(key_of_step)
        if dispatcher.context.clock() > stop_s:
            call_advice(dispatcher)
            dispatcher.skipped_steps.update(unplaced)
            for service, state in state_by_service.items():
                dispatcher.reserved_by_service[service] = state.reserved_workers
            dispatcher.wake.set()
            return
    dispatcher.skipped_steps.clear()
    dispatcher.reserved_by_service.clear()
    call_advice(dispatcher)
    _preempt(dispatcher, keyed, state_by_service)


def _service_planning_state(dispatcher: Dispatcher, service: str) -> ServicePlanningState:
    usable = usable_workers(dispatcher, service)
    state = ServicePlanningState(usable, _long_running_budget(dispatcher, service, usable))
    state.reserved_workers |= dispatcher.reserved_by_service.get(service, set())
    return state


def _preempt(
    dispatcher: Dispatcher,
    keyed: list[OrderedStep],
    state_by_service: dict[str, ServicePlanningState],
) -> None:
    """Make room for the urgent steps of a whole pass that still wait and can be on time or late.

    Steps that wait for tickets are left out: only some workers, not known yet, may run them. So are
    those that are not owed to their organisations, which wait for free capacity.
    """
    now_s = dispatcher.context.clock()
    if now_s - dispatcher.preempted_s < PREEMPTION_INTERVAL_S:
        return
    dispatcher.preempted_s = now_s
    waiting_by_service: dict[str, list[WaitingStep]] = {}
    budget = QuotaBudget(dispatcher.quota_gate)
    for key, queue, ready, _ in keyed:
        step_state = ready.step_state
        if not step_state.step.is_urgent or step_state.step.gang or queue.needs_advice:
            continue
        if dispatcher.place_waits.is_held(step_key(ready)):
            continue
        is_counted = ready.job.is_owed and key.tier is not Tier.EXPIRED
        count = budget.take(ready) if is_counted else 0
        if count > 0:
            waiting = WaitingStep(ready, queue, count)
            waiting_by_service.setdefault(queue.service, []).append(waiting)
    for service, waiting_steps in waiting_by_service.items():
        make_room(dispatcher, waiting_steps, state_by_service[service].usable)


def _plan_step(
    dispatcher: Dispatcher, queue: Queue, ready: ReadyStep, service_state: ServicePlanningState
) -> None:
    if not dispatcher.quota_gate.admits_in_order(ready):
        return
    step = ready.step_state.step
    is_reserving = step.long_running and not step.best_effort
    usable = service_state.unreserved_workers()
    if is_reserving:
        if is_overdue(dispatcher, ready) or _has_lasting_room(
            dispatcher, queue, ready, service_state.no_lasting_room
        ):
            usable = service_state.usable
        elif service_state.long_running_budget < step.cpu_millis:
            return
    active = ready.step_state.active_count
    _start_step(dispatcher, queue, ready, usable, service_state)
    if is_reserving:
        service_state.long_running_budget -= (
            ready.step_state.active_count - active
        ) * step.cpu_millis
    elif (
        step.is_urgent
        and ready.job.is_owed
        and ready.step_state.has_waiting()
        and not dispatcher.place_waits.is_held(step_key(ready))
    ):
        _reserve_workers(dispatcher, queue, ready, usable, service_state)


def _reserve_workers(
    dispatcher: Dispatcher,
    queue: Queue,
    ready: ReadyStep,
    usable: list[Worker],
    service_state: ServicePlanningState,
) -> None:
    """Keep some workers from later steps, for tasks of an urgent step that found no room."""
    step_state = ready.step_state

    def may_use(worker: Worker) -> bool:
        if queue.needs_advice and not dispatcher.advice.may_use(step_key(ready), worker):
            return False
        return _allows_another_task(step_state.step, worker, ready)

    if may_reserve(step_state, dispatcher.context.clock()):
        service_state.reserved_workers |= choose_reserved(
            step_state.step,
            step_state,
            usable,
            len(service_state.reserved_workers),
            may_use,
            dispatcher.quota_gate.startable(ready),
        )


def _long_running_budget(dispatcher: Dispatcher, service: str, usable: list[Worker]) -> float:
    used = sum(worker.urgent_cpu_millis for worker in usable)
    budget = QuotaBudget(dispatcher.quota_gate)
    waiting = sum(
        budget.take(ready) * ready.step_state.step.cpu_millis
        for ready in dispatcher.ready_step_by_key.values()
        if ready.step_state.step.is_urgent and _uses_service(dispatcher, ready, service)
        # Room that is kept for a task that no worker can run is of use to nobody.
        and any(worker.can_run(ready.step_state.step) for worker in usable)
    )
    headroom = dispatcher.headroom_by_service[service]
    headroom.update(used + waiting, dispatcher.context.clock())
    return headroom.long_running_budget(usable)


def _uses_service(dispatcher: Dispatcher, ready: ReadyStep, service: str) -> bool:
    queue = dispatcher.queue_of(ready.job)
    return queue is not None and queue.service == service


def _has_lasting_room(
    dispatcher: Dispatcher, queue: Queue, ready: ReadyStep, no_room: NoRoom
) -> bool:
    """Return whether a long-running step may use what is kept for urgent tasks.

    It may once there has been room for ``MIN_SPARE_SLOTS`` of its tasks most of the time. Room that
    an urgent task has just given back does not count: the next one needs it, and a long-running
    task would keep it.
    """
    step_state = ready.step_state
    step = step_state.step
    now_s = dispatcher.context.clock()
    has_room = not no_room.rules_out(step) and has_spare_slots(
        step,
        (
            worker
            for worker in dispatcher.workers_by_id.values()
            if worker.listing.service == queue.service and not worker.listing.is_draining
        ),
    )
    if not has_room and not step.required_label:
        no_room.note(step)
    step_state.room.update(has_room, now_s)
    waited_s = now_s - step_state.ready_since_s
    if not has_room or waited_s < LONG_RUNNING_WAIT_S:
        return False
    has_run = all(task.last_run for task in step_state.waiting())
    is_due_soon = not has_run and waited_s >= FIRST_RUN_LIMIT_S
    return step_state.room.share >= (DUE_ROOM_SHARE if is_due_soon else LASTING_ROOM_SHARE)


def placement_context(dispatcher: Dispatcher) -> PlacementContext:
    """Return the inputs of the cost functions; prices may be up to ``PRICE_INTERVAL_S`` old."""
    now_s = dispatcher.context.clock()
    if now_s - dispatcher.priced_s >= PRICE_INTERVAL_S:
        dispatcher.priced_s = now_s
        dispatcher.price_by_worker_id = worker_prices(
            dispatcher.workers_by_id.values(), dispatcher.demand.work_by_image, dispatcher.model
        )
    return PlacementContext(
        dispatcher.model, tuple(dispatcher.demand.work_by_image), dispatcher.price_by_worker_id
    )


def _start_step(
    dispatcher: Dispatcher,
    queue: Queue,
    ready: ReadyStep,
    usable: list[Worker],
    service_state: ServicePlanningState,
) -> None:
    step = ready.step_state.step
    forced = _forced_starts(dispatcher, ready, service_state.reserved_share)
    if forced == 0 and service_state.failed_placements.rules_out(step):
        ready.step_state.retry_after_s = dispatcher.context.clock() + PLACEMENT_RETRY_S
        return
    is_plain = not (step.best_effort or step.gang or step.data_rack or queue.needs_advice)
    no_room = service_state.no_room_on(usable)
    if is_plain and no_room.rules_out(step):
        return
    candidates = usable
    if step.required_label:
        candidates = [
            each
            for each in usable
            # The labels of a worker that has started again may be those of another kind.
            if step.required_label in each.listing.labels and each.is_listing_current()
        ]
    if not queue.needs_advice:
        if not _start_on(dispatcher, queue, ready, candidates, {}, forced):
            service_state.failed_placements.note(step)
        is_waiting = is_plain and ready.step_state.has_waiting()
        if is_waiting and not any(worker.fits(step) for worker in usable):
            no_room.note(step)
        return
    now_s = dispatcher.context.clock()
    tickets = dispatcher.advice.valid_tickets(step_key(ready), candidates, now_s)
    permitted = [each for each in candidates if each.worker_id in tickets]
    _start_on(dispatcher, queue, ready, permitted, tickets, forced)
    if ready.step_state.has_waiting() and dispatcher.quota_gate.admits(ready):
        request_advice(dispatcher, queue, ready, candidates)


def _start_on(
    dispatcher: Dispatcher,
    queue: Queue,
    ready: ReadyStep,
    candidates: list[Worker],
    tickets: dict[str, str],
    forced: int,
) -> bool:
    """Start the tasks of a step; see ``_start_each`` for the result."""
    step = ready.step_state.step
    if step.gang:
        _start_gang(dispatcher, queue, ready, candidates, tickets)
        return True
    if step.data_rack:
        is_done = _start_near_data(dispatcher, queue, ready, candidates, tickets, forced)
    else:
        is_done = _start_each(dispatcher, ready, candidates, tickets, forced)
    if is_done:
        return True
    ready.step_state.retry_after_s = dispatcher.context.clock() + PLACEMENT_RETRY_S
    return False


def _forced_starts(dispatcher: Dispatcher, ready: ReadyStep, reserved_share: float) -> int:
    step = ready.step_state.step
    if not step.best_effort:
        return step.count
    waited_s = dispatcher.context.clock() - ready.step_state.ready_since_s
    return forced_starts(step, waited_s, reserved_share, ready.job.is_running())


def _start_near_data(
    dispatcher: Dispatcher,
    queue: Queue,
    ready: ReadyStep,
    candidates: list[Worker],
    tickets: dict[str, str],
    forced: int,
) -> bool:
    """Start the tasks of a step near its data, and elsewhere those for which no wait pays."""
    step = ready.step_state.step
    near = [each for each in candidates if each.listing.rack == step.data_rack]
    forced_near = 0 if step.best_effort else forced
    is_done = _start_each(dispatcher, ready, near, tickets, forced_near)
    now_s, wall_s = dispatcher.context.clock(), dispatcher.context.wall_clock()
    elsewhere = dispatcher.place_waits.choose_elsewhere(
        ready, queue, near, candidates, now_s, wall_s
    )
    if elsewhere:
        is_done = _start_each(dispatcher, ready, candidates, tickets, forced, elsewhere)
    dispatcher.place_waits.note_queued(ready, queue)
    return is_done


def _start_each(
    dispatcher: Dispatcher,
    ready: ReadyStep,
    candidates: list[Worker],
    tickets: dict[str, str],
    forced: int,
    limit: int | None = None,
) -> bool:
    """Start the tasks of a step, up to ``forced`` of them on workers that are not suitable.

    :param limit: number of tasks to start at most, without those under which workers crashed.
    :return: ``False`` if tasks remain because none of the workers with capacity is suitable.
    """
    step = ready.step_state.step
    context = placement_context(dispatcher)
    if step.best_effort:
        candidates = workers_to_rank(step, candidates, dispatcher.counters.starts)
    _start_suspects(dispatcher, ready, candidates, tickets, forced)
    eligible = (each for each in candidates if _may_start_another(dispatcher, each, ready))
    ranking = Ranking(step._replace(data_rack=""), eligible, context)
    startable = dispatcher.quota_gate.startable(ready)
    if limit is not None:
        startable = min(limit, startable)
    tasks = (each for each in by_down_time(ready.step_state) if not each.crashed_runs)
    for task in islice(tasks, max(0, startable)):
        choice = ranking.best()
        if choice is None:
            return True
        if choice.own_cost > INTERFERENCE_LIMIT:
            if forced == 0:
                return False
            forced -= 1
        start_tasks(dispatcher, ready.job, [(task, choice.worker)], tickets)
        ranking.requeue_best(_may_start_another(dispatcher, choice.worker, ready))
    return True


def _start_suspects(
    dispatcher: Dispatcher,
    ready: ReadyStep,
    candidates: list[Worker],
    tickets: dict[str, str],
    forced: int,
) -> None:
    """Start the tasks under which workers crashed, each on another worker, where least can be lost.

    Several on one worker could not be told apart after the next crash.
    """
    step = ready.step_state.step
    for task in [each for each in ready.step_state.known_waiting() if each.crashed_runs]:
        suitable = [
            worker
            for worker in candidates
            if worker.fits(step)
            and not worker.has_suspect()
            and _may_start_another(dispatcher, worker, ready)
        ]
        if step.best_effort:
            choice = Ranking(step, suitable, placement_context(dispatcher)).best()
            is_allowed = choice and (forced or choice.own_cost <= INTERFERENCE_LIMIT)
            suitable = [choice.worker] if is_allowed else []
        if not suitable or not dispatcher.may_start(task):
            continue
        if not dispatcher.quota_gate.admits(ready):
            return
        worker = min(suitable, key=lambda each: each.used_cpu_millis + each.best_effort_cpu_millis)
        start_tasks(dispatcher, ready.job, [(task, worker)], tickets)


def _may_start_another(dispatcher: Dispatcher, worker: Worker, ready: ReadyStep) -> bool:
    step = ready.step_state.step
    return dispatcher.start_limits.allow_start(worker) and _allows_another_task(step, worker, ready)


def _allows_another_task(step: Step, worker: Worker, ready: ReadyStep) -> bool:
    if not step.max_per_worker:
        return True
    return worker.count_runs(ready.step_state.task_key(0)) < step.max_per_worker


def _start_gang(
    dispatcher: Dispatcher,
    queue: Queue,
    ready: ReadyStep,
    candidates: list[Worker],
    tickets: dict[str, str],
) -> None:
    """Start all members of a gang together, or none if they do not all fit."""
    if ready.step_state.active_count or not dispatcher.quota_gate.admits(ready):
        return
    suspects = [task for task in ready.step_state.known_tasks() if task.crashed_runs]
    if suspects:
        candidates = [worker for worker in candidates if not worker.has_suspect()]
        if not all(dispatcher.may_start(task) for task in suspects):
            return
    now_s, wall_s = dispatcher.context.clock(), dispatcher.context.wall_clock()
    placed = choose_gang_places(
        dispatcher.place_waits,
        queue,
        ready,
        candidates,
        dispatcher.start_limits.free_starts,
        now_s,
        wall_s,
    )
    if placed is None:
        return
    number = max(dispatcher.next_run(task) for task, _ in placed)
    checkpoint = max(task.checkpoint for task, _ in placed)
    for task, _ in placed:
        task.last_run = number - 1
        task.checkpoint = checkpoint
    start_tasks(dispatcher, ready.job, placed, tickets)
