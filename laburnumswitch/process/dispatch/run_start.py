"""Starts of runs: reserves capacity, stores where long-running tasks run, and sends commands.

An owner that another entry may have replaced, as its last commit is too long ago, asks a worker
before it sends a start. One that has heard of the successor refuses; one that has restarted since
has forgotten the successor's fencing token, but answers as another incarnation, and gets no start
before the next commit (``Worker.listed_in_batch``).
"""

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.dispatcher import COMMAND_TIMEOUT_S
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import task_name
from laburnumswitch.process.dispatch.eligibility import is_usable
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import Task
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.run_ends import refuses_start
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.process.dispatch.worker_session import renew
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
        dispatcher.place_waits.note_start(run.step, worker)
        starts.append(_Start(worker, run, tickets.get(worker.worker_id, "")))
    if starts and starts[0].run.step.long_running:
        dispatcher.placements.unsent_runs.update(start.run for start in starts)
        dispatcher.spawn(_send_once_stored, dispatcher, job, starts)
        return
    for start in starts:
        _send(dispatcher, job, start)


def _send(dispatcher: Dispatcher, job: Job, start: _Start) -> None:
    """Send a start, once its worker has answered if another entry may have taken over."""
    if not dispatcher.recorder.may_have_successor():
        _send_command(dispatcher, job, start)
        return
    dispatcher.placements.unsent_runs.add(start.run)
    held_starts = start.worker.held_starts
    held_starts.append(partial(_send_or_release, dispatcher, job, start))
    if len(held_starts) == 1:
        dispatcher.spawn(_ask_worker, dispatcher, start.worker)


def _ask_worker(dispatcher: Dispatcher, worker: Worker) -> None:
    """Send the held starts of a worker if it has neither restarted nor heard of a successor."""
    answer = renew(dispatcher, worker, 0.0, COMMAND_TIMEOUT_S)
    if dispatcher.is_stopped():
        return
    has_answered = isinstance(answer, WorkerReport)
    if not has_answered:
        worker.blocked_until_s = dispatcher.context.clock() + REFUSED_PAUSE_S
    held_starts, worker.held_starts = worker.held_starts, []
    for send_or_release in held_starts:
        send_or_release(has_answered)


def _send_or_release(dispatcher: Dispatcher, job: Job, start: _Start, has_answered: bool) -> None:
    dispatcher.placements.unsent_runs.discard(start.run)
    is_wanted = _is_wanted(start) and not job.is_final()
    if has_answered and is_wanted and _may_send(dispatcher, [start]):
        _begin_now(dispatcher, start)
        _send_command(dispatcher, job, start)
        return
    reason = "start not sent: its worker gave no usable answer, or it was stopped"
    dispatcher.release_run(start.worker, start.run, EndKind.NOT_SENT, reason)


def _send_once_stored(dispatcher: Dispatcher, job: Job, starts: list[_Start]) -> None:
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
            _send(dispatcher, job, start)
        return
    reason = "its worker became unusable" if is_stored else "it was stopped"
    for start in starts:
        dispatcher.release_run(
            start.worker, start.run, EndKind.NOT_SENT, f"start not sent: {reason}"
        )


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
    )
    dispatcher.counters.starts += 1
    dispatcher.spawn(_send_start, dispatcher, job, worker, run, command)


def _send_start(
    dispatcher: Dispatcher, job: Job, worker: Worker, run: ActiveRun, command: StartCommand
) -> None:
    context = dispatcher.context
    sent_s = context.clock()
    incarnation = worker.incarnation
    outcome = dispatcher.call_remote(
        worker.worker_id, worker.link.start, command, COMMAND_TIMEOUT_S
    )
    now_s = context.clock()
    ready_since_s = job.step_state(run.task).ready_since_s
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
