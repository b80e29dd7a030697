"""Asks workers before starts, for an owner that another entry may have replaced.

Handles an owner that is taken for lost while workers restart under their ids: it acts until its
lease ends, and relies on the workers to refuse its commands by the successor's fencing token, which
one that has restarted has forgotten. The answer of such a worker is of another incarnation, so it
gets no start before the next commit (``Worker.listed_in_batch``).
"""

from collections.abc import Callable
from collections.abc import Collection

from laburnumswitch.exceptions import AnswerOutdated
from laburnumswitch.process.dispatch.dispatcher import COMMAND_TIMEOUT_S
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.process.dispatch.worker_session import renew

# How often a worker is asked if later reports overtake its answers.
MAX_ATTEMPTS = 3
# Pause in seconds before a worker that did not answer gets a start.
UNANSWERED_PAUSE_S = 0.3


def may_send_start(dispatcher: Dispatcher, worker: Worker) -> bool:
    """Return whether a start may be sent to a worker now, without asking it first."""
    if not dispatcher.may_act():
        return False
    has_just_answered = not worker.may_have_restarted(dispatcher.context.clock())
    return has_just_answered or not dispatcher.recorder.may_have_successor()


def ask_workers(
    dispatcher: Dispatcher, workers: Collection[Worker], conclude: Callable[[bool], None]
) -> None:
    """Ask some workers in the background, and pass on whether all of them have answered.

    Starts that wait for the same worker share one call.
    """
    answers: list[bool] = []

    def note_answer(has_answered: bool) -> None:
        answers.append(has_answered)
        if len(answers) == len(workers):
            conclude(all(answers))

    for worker in workers:
        worker.held_starts.append(note_answer)
        if len(worker.held_starts) == 1:
            dispatcher.spawn(_ask, dispatcher, worker)


def _ask(dispatcher: Dispatcher, worker: Worker) -> None:
    for _ in range(MAX_ATTEMPTS):
        answer = renew(dispatcher, worker, 0.0, COMMAND_TIMEOUT_S)
        if not isinstance(answer, AnswerOutdated):
            break
    if dispatcher.is_stopped():
        return
    has_answered = isinstance(answer, WorkerReport)
    if not has_answered:
        blocked_until_s = dispatcher.context.clock() + UNANSWERED_PAUSE_S
        worker.blocked_until_s = max(worker.blocked_until_s, blocked_until_s)
    held_starts, worker.held_starts = worker.held_starts, []
    for note_answer in held_starts:
        note_answer(has_answered)
