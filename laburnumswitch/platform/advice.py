"""Client of the advice service, which decides which workers may run the steps of some queues."""

from msgspec import Struct

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.tickets import Tickets
from laburnumswitch.units import MS_PER_S

MAX_WORKERS_PER_CALL = 100


class _AdviceAnswer(Struct, rename={"valid_ms": "validMs"}):
    # Pairs of a worker that may run the step and its ticket.
    good: list[tuple[str, str]] = []
    valid_ms: float = 0.0


class AdviceClient:
    """Requests tickets over HTTP."""

    def __init__(self, address: str) -> None:
        self._client = Client(address)

    def ask(
        self, step: TaskKey, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Tickets | Failure:
        """Return tickets for the workers that may run a step.

        :param step: any task of the step.
        :param worker_ids: only the first ``MAX_WORKERS_PER_CALL`` are sent.
        """
        body = {
            "step": f"{step.job_id}.{step.occurrence}.{step.step}",
            "workers": worker_ids[:MAX_WORKERS_PER_CALL],
        }
        answer = call_json(self._client, "POST", "/v1/advise", body, _AdviceAnswer, timeout_s)
        if isinstance(answer, Failure):
            return answer
        return Tickets(dict(answer.good), answer.valid_ms / MS_PER_S)
