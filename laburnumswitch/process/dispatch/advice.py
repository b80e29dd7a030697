"""Decides which calls to make to the advice service, which permits steps to run on workers.

The service handles the calls of an owner one after the other and rejects calls while too many wait.
So the owner has one call in flight, and steps take turns. This handles bursts of jobs whose queue
needs advice: with a call for each waiting step, calls are given up before their turn and repeated,
and the service works on calls that nobody waits for any more.

A call names a limited number of workers. Which workers may run a step does not change, so further
calls name others, until all of them are known. Tickets expire; then the same workers are named
again. What is known is lost with the owner's term.
"""

from collections.abc import Iterable
from math import ceil
from math import floor
from typing import NamedTuple

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Throttled
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.step_state import StepKey
from laburnumswitch.process.dispatch.tickets import Tickets

# Maximum number of workers in one call, which takes some milliseconds for each of them.
MAX_WORKERS_PER_CALL = 30
# Tickets are not used this shortly before they expire, in seconds, so that they are still valid
# when the start arrives; short-lived ones are used for at least half of their time.
TICKET_MARGIN_S = 0.3
# Pause after a failed call, in seconds, which doubles with each further failure up to the maximum.
MIN_FAILURE_PAUSE_S = 0.3
MAX_FAILURE_PAUSE_S = 2.0
# Time limit of a call beyond the time that the service needs, in seconds. It doubles with each
# further failure, as the service may be slow, up to the factor.
CALL_MARGIN_S = 1.0
MAX_MARGIN_FACTOR = 8
# Time after which the service is asked again about a worker that it did not permit, in seconds, in
# case its answer was wrong.
DENIED_RETRY_S = 10.0
# Time in seconds for which a step has to wait to go before one that had one call less. Waiting
# beyond the maximum does not count.
WAIT_PER_CALL_S = 2.0
MAX_WAIT_CREDIT_S = 4.0
# A step for which no worker has room counts as one that had this many more calls.
CALLS_WITHOUT_ROOM = 2
# While several steps wait for advice, a call names this many times as many workers as the tasks
# probably need.
SPARE_FACTOR = 2
# Weight of an answer in the moving average of the share of workers that are permitted.
PERMITTED_SHARE_WEIGHT = 0.2
# Lower bound of that share, and its value before the first answer.
MIN_PERMITTED_SHARE = 0.1

# Job id, occurrence, and index of the step.


def step_key(ready: ReadyStep) -> StepKey:
    """Return the job id, occurrence and index of a ready step."""
    return ready.step_state.key


class _Known(NamedTuple):
    """The last answer about one incarnation of a worker; ``ticket`` is empty if not permitted."""

    incarnation: int
    answered_s: float
    ticket: str
    expires_s: float


class AdviceRequest(NamedTuple):
    """A step that still has waiting tasks after a planning pass.

    :ivar workers: workers to ask about, in order.
    :ivar has_room: whether the first of them has room for a task now.
    """

    step_key: StepKey
    queue: Queue
    ready: ReadyStep
    workers: list[Worker]
    has_room: bool


class AdviceCall(NamedTuple):
    """A call to make now.

    :ivar incarnation_by_worker: the workers to name, with their known incarnations.
    :ivar timeout_s: time limit in seconds.
    """

    request: AdviceRequest
    incarnation_by_worker: dict[str, int]
    timeout_s: float


class Advice:
    """What the service said, and the steps that need more from it.

    :ivar requests: steps that need a call, in the order of the planning pass.
    :ivar is_calling: whether a call is in flight.
    """

    def __init__(self) -> None:
        self.requests: list[AdviceRequest] = []
        self.is_calling = False
        self.permitted_share_by_queue: dict[str, float] = {}
        self._known_by_step: dict[StepKey, dict[str, _Known]] = {}
        self._calls_by_step: dict[StepKey, int] = {}
        self._failures = 0
        self._next_call_s = float("-inf")

    def valid_tickets(
        self, step_key: StepKey, workers: Iterable[Worker], now_s: float
    ) -> dict[str, str]:
        """Return the tickets with which a step may start now, by worker."""
        known_by_worker = self._known_by_step.get(step_key, {})
        tickets = {}
        for worker in workers:
            known = known_by_worker.get(worker.worker_id)
            if known and known.ticket and known.expires_s > now_s and _is_current(known, worker):
                tickets[worker.worker_id] = known.ticket
        return tickets

    def may_use(self, step_key: StepKey, worker: Worker) -> bool:
        """Return whether a worker is known to be permitted, also if the ticket has expired."""
        known = self._known_by_step.get(step_key, {}).get(worker.worker_id)
        return known is not None and bool(known.ticket) and _is_current(known, worker)

    def request(
        self,
        step_key: StepKey,
        queue: Queue,
        ready: ReadyStep,
        workers: list[Worker],
        now_s: float,
    ) -> None:
        """Note that a step needs more workers than those it has tickets for.

        :param workers: workers that could run a task of the step, the most suitable ones first.
        """
        step = ready.step_state.step
        askable = self._askable(step_key, workers, now_s)
        with_room = [worker for worker in askable if worker.fits(step)]
        if askable:
            self.requests.append(
                AdviceRequest(step_key, queue, ready, with_room or askable, bool(with_room))
            )

    def next_call(self, now_s: float) -> AdviceCall | None:
        """Return the call to make now, or ``None``.

        Steps that had fewer calls go first, as do those that have waited for long, and otherwise
        the more urgent ones. So a step that needs many calls, or on which the service always fails,
        does not keep the others from theirs.
        """
        if self.is_calling or now_s < self._next_call_s or not self.requests:
            return None
        chosen = min(self.requests, key=lambda each: self._turn(each, now_s))
        workers = chosen.workers[: self._call_size(chosen)]
        queue = chosen.queue
        service_s = queue.advice_base_s + queue.advice_per_worker_s * len(workers)
        margin_s = CALL_MARGIN_S * min(MAX_MARGIN_FACTOR, 2**self._failures)
        incarnation_by_worker = {each.worker_id: each.known_incarnation() for each in workers}
        return AdviceCall(chosen, incarnation_by_worker, service_s + margin_s)

    def begin_call(self, call: AdviceCall) -> None:
        """Note that a call is sent."""
        self.is_calling = True
        step_key = call.request.step_key
        self._calls_by_step[step_key] = self._calls_by_step.get(step_key, 0) + 1

    def end_call(self) -> None:
        """Note that the call in flight has ended."""
        self.is_calling = False

    def note_answer(self, call: AdviceCall, answer: Tickets, now_s: float) -> None:
        """Apply an answer, which tells about all workers that the call named."""
        self._failures = 0
        step_key, queue = call.request.step_key, call.request.queue
        valid_s = answer.valid_s or queue.advice_valid_s
        # The tickets are issued at the end of the call, which the service handles without delay.
        expires_s = now_s + valid_s - min(TICKET_MARGIN_S, valid_s / 2)
        known_by_worker = self._known_by_step.setdefault(step_key, {})
        for worker_id, incarnation in call.incarnation_by_worker.items():
            ticket = answer.ticket_by_worker.get(worker_id, "")
            known_by_worker[worker_id] = _Known(incarnation, now_s, ticket, expires_s)
        permitted = sum(each in answer.ticket_by_worker for each in call.incarnation_by_worker)
        share = permitted / max(1, len(call.incarnation_by_worker))
        before = self.permitted_share_by_queue.get(queue.name, MIN_PERMITTED_SHARE)
        self.permitted_share_by_queue[queue.name] = before + PERMITTED_SHARE_WEIGHT * (
            share - before
        )

    def note_failure(self, call: AdviceCall, failure: Failure, now_s: float) -> None:
        """Postpone further calls after one has failed."""
        pause_s = min(MAX_FAILURE_PAUSE_S, MIN_FAILURE_PAUSE_S * 2**self._failures)
        if isinstance(failure, Throttled):
            pause_s = min(MAX_FAILURE_PAUSE_S, max(pause_s, failure.retry_after_s))
        self._failures = min(self._failures + 1, MAX_MARGIN_FACTOR)
        self._next_call_s = now_s + pause_s

    def forget_ticket(self, step_key: StepKey, worker_id: str) -> None:
        """Forget a ticket that the worker did not accept; the service may be asked again."""
        self._known_by_step.get(step_key, {}).pop(worker_id, None)

    def forget_job(self, job_id: str) -> None:
        """Forget what is known for the steps of a job that has ended."""
        for by_step in (self._known_by_step, self._calls_by_step):
            for step_key in [each for each in by_step if each[0] == job_id]:
                del by_step[step_key]

    def forget_step(self, step_key: StepKey) -> None:
        """Forget what is known for a step of an occurrence that has ended."""
        self._known_by_step.pop(step_key, None)
        self._calls_by_step.pop(step_key, None)

    def _askable(self, step_key: StepKey, workers: list[Worker], now_s: float) -> list[Worker]:
        """Return the workers about which to ask, in order.

        First those that are known to be permitted and whose tickets have expired, then those that
        the service was never asked about, then those that it refused long ago.
        """
        known_by_worker = self._known_by_step.get(step_key, {})
        permitted: list[Worker] = []
        unknown: list[Worker] = []
        denied: list[tuple[float, Worker]] = []
        for worker in workers:
            known = known_by_worker.get(worker.worker_id)
            if known is None or not _is_current(known, worker):
                unknown.append(worker)
            elif known.ticket:
                if known.expires_s <= now_s:
                    permitted.append(worker)
            elif now_s - known.answered_s >= DENIED_RETRY_S:
                denied.append((known.answered_s, worker))
        denied.sort(key=lambda each: each[0])
        return permitted + unknown + [worker for _, worker in denied]

    def _turn(self, request: AdviceRequest, now_s: float) -> int:
        """Return the rank of a request; the lowest goes first."""
        calls = self._calls_by_step.get(request.step_key, 0)
        if not request.has_room:
            calls += CALLS_WITHOUT_ROOM
        waited_s = now_s - request.ready.step_state.ready_since_s
        return floor(calls - min(waited_s, MAX_WAIT_CREDIT_S) / WAIT_PER_CALL_S)

    def _call_size(self, request: AdviceRequest) -> int:
        """Return how many workers to name.

        All that a call may hold, as more workers to choose from are better, unless other steps wait
        for their calls meanwhile.
        """
        if len(self.requests) == 1:
            return MAX_WORKERS_PER_CALL
        share = max(MIN_PERMITTED_SHARE, self.permitted_share_by_queue.get(request.queue.name, 0.0))
        wanted = ceil(SPARE_FACTOR * request.ready.step_state.waiting_count() / share)
        return min(MAX_WORKERS_PER_CALL, wanted)


def _is_current(known: _Known, worker: Worker) -> bool:
    # A ticket is for one life of a worker.
    return known.incarnation == worker.known_incarnation()
