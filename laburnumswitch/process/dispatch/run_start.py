"""Starts of runs: reserves capacity, stores where long-running tasks run, and sends commands.

An owner that another entry may have replaced asks the workers first, see ``asked_workers``.
"""

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.asked_workers import ask_workers
from laburnumswitch.process.dispatch.asked_workers import may_send_start
from laburnumswitch.process.dispatch.dispatcher import COMMAND_TIMEOUT_S
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import task_name
from laburnumswitch.process.dispatch.eligibility import is_usable
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.run_ends import refuses_start
from laburnumswitch.process.dispatch.step_state import Task
from laburnumswitch.process.dispatch.worker_protocol import HELD_UP_REASON
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_session import throttle_new_run
from laburnumswitch.process.dispatch.worker_session import void_unanswered_starts

# Pause in seconds before a worker that refused a start, or did not answer it, gets another one.
REFUSED_PAUSE_S = 0.3
# The same pause if the worker was overloaded or unhealthy, in seconds.
UNHEALTHY_PAUSE_S = 1.0


class _Start(NamedTuple):
    """A run whose resources are reserved, and the ticket for its worker, empty for none."""

    worker: Worker
    run: ActiveRun
    ticket: str


def start_tasks(
    dispatcher: Dispatcher,
    job: Job,
    placed: Iterable[tuple[Task, Worker]],
    tickets: dict[str, str],
) -> None:
    """Start tasks of a step, each on its worker, in the background.

    Starts of long-running tasks are sent once the placements of all of them are stored.

    :param tickets: tickets of the step by worker id, empty if it needs none.
    """
    starts = []
    for task, worker in placed:
        run = dispatcher.begin_run(job, task, worker)
        worker.pending_starts.add(run)
        dispatcher.place_waits.note_start(run.step, worker)
        starts.append(_Start(worker, run, tickets.get(worker.worker_id, "")))
    if starts and starts[0].run.step.long_running:
        dispatcher.placements.unsent_runs.update(start.run for start in starts)
        dispatcher.spawn(_send_once_stored, dispatcher, job, starts)
        return
    _send(dispatcher, job, starts)


def _send(dispatcher: Dispatcher, job: Job, starts: list[_Start]) -> None:
    """Send starts of a step, once their workers have answered if these have to be asked.

    Those of a gang are sent together, or none of them.
    """
    is_gang = bool(starts) and starts[0].run.step.gang
    for group in [starts] if is_gang else [[start] for start in starts]:
        if all(may_send_start(dispatcher, start.worker) for start in group):
            for start in group:
                _send_command(dispatcher, job, start)
            continue
        dispatcher.placements.unsent_runs.update(start.run for start in group)
        worker_by_id = {start.worker.worker_id: start.worker for start in group}
        conclude = partial(_send_or_release, dispatcher, job, group)
        ask_workers(dispatcher, worker_by_id.values(), conclude)


def _send_or_release(
    dispatcher: Dispatcher, job: Job, starts: list[_Start], have_answered: bool
) -> None:
    dispatcher.placements.unsent_runs.difference_update(start.run for start in starts)
    are_wanted = not job.is_final() and all(_is_wanted(start) for start in starts)
    if have_answered and are_wanted and _may_send(dispatcher, starts):
        for start in starts:
            _begin_now(dispatcher, start)
            _send_command(dispatcher, job, start)
        return
    if not have_answered:
        why = "a worker was asked and gave no answer"
    else:
        why = "a worker became unusable" if are_wanted else "it was stopped"
    _release_unsent(dispatcher, starts, why)


def _send_once_stored(dispatcher: Dispatcher, job: Job, starts: list[_Start]) -> None:
    arguments = ("starting its tasks", _await_placements, dispatcher, job, starts)
    dispatcher.job_faults.contain(job.job_id, *arguments)


def _await_placements(dispatcher: Dispatcher, job: Job, starts: list[_Start]) -> None:
    """Send starts once their placements are committed, unless any of them is not wanted any more.

    The workers may have become unusable meanwhile, as a commit takes as long as the store does. The
    tasks of starts that are not sent wait again.
    """

    def are_wanted() -> bool:
        return not job.is_final() and all(_is_wanted(start) for start in starts)

    placements = dispatcher.placements
    is_stored = placements.wait_until_stored([start.run.task for start in starts], are_wanted)
    if dispatcher.is_stopped():
        return
    placements.unsent_runs.difference_update(start.run for start in starts)
    if is_stored and _may_send(dispatcher, starts):
        for start in starts:
            _begin_now(dispatcher, start)
        _send(dispatcher, job, starts)
        return
    why = "a worker became unusable" if is_stored else "it was stopped"
    _release_unsent(dispatcher, starts, why)


def _release_unsent(dispatcher: Dispatcher, starts: list[_Start], why: str) -> None:
    for start in starts:
        dispatcher.release_run(start.worker, start.run, EndKind.NOT_SENT, f"start not sent: {why}")


def _may_send(dispatcher: Dispatcher, starts: list[_Start]) -> bool:
    return dispatcher.may_act() and all(is_usable(dispatcher, each.worker) for each in starts)


def _begin_now(dispatcher: Dispatcher, start: _Start) -> None:
    """Have a run whose resources were reserved a while ago begin now."""
    start.run.started_s = dispatcher.context.clock()
    start.run.fence = start.worker.fence


def _is_wanted(start: _Start) -> bool:
    return start.worker.runs_by_task.get(start.run.task) is start.run and not start.run.is_stopping


def _send_command(dispatcher: Dispatcher, job: Job, start: _Start) -> None:
    worker, run, ticket = start
    worker.note_lease_sent(dispatcher.context.clock())
    command = StartCommand(
        run.task,
        run.number,
        job.submission.spec,
        worker.extend_grant(dispatcher.granted_lease_s()),
        worker.fence,
        job.task(run.task).checkpoint,
        ticket,
        partial(may_send_start, dispatcher, worker),
    )
    dispatcher.counters.starts += 1
    dispatcher.spawn(_send_start, dispatcher, job, worker, run, command)


def _send_start(
    dispatcher: Dispatcher, job: Job, worker: Worker, run: ActiveRun, command: StartCommand
) -> None:
    arguments = (dispatcher, job, worker, run, command)
    dispatcher.job_faults.contain(job.job_id, "starting a task", _call_worker, *arguments)


def _call_worker(
    dispatcher: Dispatcher, job: Job, worker: Worker, run: ActiveRun, command: StartCommand
) -> None:
    """Send a start to a worker, and apply its answer."""
    context = dispatcher.context
    sent_s = context.clock()
    incarnation = worker.incarnation
    # Its occurrence may be over, and removed, before the answer arrives.
    step_state = job.step_state(run.task)
    if command.may_be_sent():
        outcome = dispatcher.call_remote(
            worker.worker_id, worker.link.start, command, COMMAND_TIMEOUT_S
        )
    else:
        outcome = ConnectFailed(worker.worker_id, HELD_UP_REASON)
    if not dispatcher.start_limits.allow_start(worker):
        # Further tasks may have waited for the answer.
        dispatcher.wake.set()
    worker.pending_starts.discard(run)
    now_s = context.clock()
    ready_since_s = step_state.ready_since_s
    is_current = worker.runs_by_task.get(run.task) is run
    is_started = not isinstance(outcome, Failure)
    context.log.note(
        "run_start",
        task_name(run.task),
        run=run.number,
        worker=worker.worker_id,
        incarnation=incarnation,
        fence=command.fence,
        took_s=round(now_s - sent_s, 3),
        worker_clock_s=getattr(outcome, "clock_s", None),
        waited_s=round(run.started_s - ready_since_s, 3),
        outcome="started" if is_started else outcome.tag,
        reason=getattr(outcome, "reason", ""),
        **dispatcher.start_delays.describe_start(
            run, ready_since_s, now_s, is_started and is_current
        ),
    )
    if dispatcher.is_stopped() or not is_current:
        return
    if is_started:
        run.confirmed_s = now_s
        job.has_begun = True
        if job.is_final():
            dispatcher.stop_run(worker, run, "the job has ended")
        else:
            throttle_new_run(dispatcher, worker, run)
        return
    if not refuses_start(outcome):
        dispatcher.counters.uncertain_starts += 1
        run.is_uncertain = True
        # The worker may answer renewals, but no starts: the task is tried on another one next.
        pause_s = UNHEALTHY_PAUSE_S if isinstance(outcome, Refused) else REFUSED_PAUSE_S
        worker.blocked_until_s = now_s + pause_s
        void_unanswered_starts(dispatcher, worker)
        return
    dispatcher.counters.refused_starts += 1
    worker.blocked_until_s = now_s + (
        UNHEALTHY_PAUSE_S if isinstance(outcome, Throttled | Unavailable) else REFUSED_PAUSE_S
    )
    if isinstance(outcome, StartRefused) and outcome.reason == "old":
        job.task(run.task).last_run += 1
    if isinstance(outcome, StartRefused) and outcome.reason == "ticket":
        dispatcher.advice.forget_ticket(run.task[:3], worker.worker_id)
    dispatcher.release_run(worker, run, EndKind.REFUSED, f"start refused: {outcome.tag}")
