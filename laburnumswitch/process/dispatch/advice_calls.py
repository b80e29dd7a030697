"""Calls to the advice service for the steps that a planning pass could not start."""

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.advice import AdviceCall
from laburnumswitch.process.dispatch.advice import step_key
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.placing import is_far_from_data


def request_advice(
    dispatcher: Dispatcher, queue: Queue, ready: ReadyStep, workers: list[Worker]
) -> None:
    """Request advice about more workers for a step with waiting tasks.

    The first workers are those near the step's data, and others for each step, so that steps are
    spread over all workers.
    """
    step = ready.step_state.step
    able = [worker for worker in workers if worker.can_run(step)]
    start = dispatcher.counters.starts % len(able) if able else 0
    by_distance = sorted(able[start:] + able[:start], key=lambda each: is_far_from_data(step, each))
    now_s = dispatcher.context.clock()
    dispatcher.advice.request(step_key(ready), queue, ready, by_distance, now_s)


def call_advice(dispatcher: Dispatcher) -> None:
    """Make the next call to the advice service, unless one is in flight."""
    call = dispatcher.advice.next_call(dispatcher.context.clock())
    if call is not None:
        dispatcher.advice.begin_call(call)
        dispatcher.spawn(_ask_advice, dispatcher, call)


def _ask_advice(dispatcher: Dispatcher, call: AdviceCall) -> None:
    context = dispatcher.context
    ready = call.request.ready
    worker_ids = tuple(call.incarnation_by_worker)
    arguments = (ready.step_state.task_key(0), worker_ids, call.timeout_s)
    sent_s = context.clock()
    answer = dispatcher.call_remote("advice", context.ask_advice, *arguments)
    now_s = context.clock()
    dispatcher.advice.end_call()
    if isinstance(answer, Failure):
        dispatcher.advice.note_failure(call, answer, now_s)
    elif not ready.job.is_final():
        dispatcher.advice.note_answer(call, answer, now_s)
    context.log.note(
        "advice",
        ready.job.job_id,
        step=call.request.step_key[2],
        workers=len(worker_ids),
        waiting_steps=len(dispatcher.advice.requests),
        took_s=round(now_s - sent_s, 3),
        permitted=0 if isinstance(answer, Failure) else len(answer.ticket_by_worker),
        outcome=answer.describe() if isinstance(answer, Failure) else "answered",
    )
    dispatcher.wake.set()
