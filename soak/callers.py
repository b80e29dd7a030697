"""Callers of the soak: they submit, repeat where no answer says otherwise, ask and cancel."""

from collections.abc import Callable
from random import Random
from time import time

from gevent import sleep
from msgspec import DecodeError
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from standin.fleet.invariant_checker import InvariantChecker

HOST = "jobs.example"
PREFIX = "/jobs/"
ATTEMPTS = 6
TIMEOUT_S = 3.0
PAUSE_S = 0.3
CANCELLED_SHARE = 0.08
UNKNOWN = "unknown"


class Callers:
    """What was accepted, rejected and cancelled, as callers were told."""

    def __init__(self, random: Random, fronts: tuple[str, ...], judge: InvariantChecker) -> None:
        self.accepted: set[str] = set()
        self.rejected: set[str] = set()
        self.cancelled: set[str] = set()
        self.states_seen: dict[str, int] = {}
        self._random = random
        self._fronts = fronts
        self._judge = judge

    def run_job(self) -> None:
        """Submit one job, and perhaps cancel it."""
        submission = self._make_job()
        self._judge.record_submission(submission)
        status = self._submit(submission)
        if status == 200:
            self.accepted.add(submission.job_id)
            if self._random.random() < CANCELLED_SHARE:
                sleep(self._random.uniform(0.0, 1.0))
                # From the first attempt on it may have been cancelled, whatever is answered.
                self.cancelled.add(submission.job_id)
                self._call("DELETE", submission.job_id, b"")
        elif status in (429, 503):
            self.rejected.add(submission.job_id)

    def state(self, job_id: str) -> str:
        """Return the state of a job as some entry tells it."""
        answer = self._call("GET", job_id, b"")
        if isinstance(answer, Failure):
            return UNKNOWN
        if answer.status == 410:
            return "gone"
        try:
            state = decode(answer.body)["state"] if answer.status == 200 else UNKNOWN
        except (DecodeError, KeyError):
            state = UNKNOWN
        self.states_seen[state] = self.states_seen.get(state, 0) + 1
        return state

    def _make_job(self) -> Submission:
        random = self._random
        steps = []
        for index in range(random.choice((1, 1, 2, 3))):
            steps.append(
                Step(
                    count=random.randint(1, 5),
                    cpu_millis=random.choice((500, 1000, 2000)),
                    memory_mb=100,
                    estimate_ms=random.uniform(20, 1500),
                    after=(index - 1,) if index else (),
                    checkpoints=random.random() < 0.5,
                )
            )
        return Submission(f"{random.getrandbits(64):016x}", "jobs", "spec", tuple(steps), time())

    def _submit(self, submission: Submission) -> int:
        steps = [
            {
                "count": step.count,
                "cpu": step.cpu_millis,
                "memMb": step.memory_mb,
                "estimateMs": step.estimate_ms,
                "after": step.after,
                "checkpoints": step.checkpoints,
            }
            for step in submission.steps
        ]
        body = encode({"spec": submission.spec, "steps": steps})
        for _ in range(ATTEMPTS):
            answer = self._call("POST", submission.job_id, body)
            if not isinstance(answer, Failure) and answer.status not in (502, 504):
                return answer.status
            sleep(PAUSE_S)
        return 0

    def _call(self, method: str, job_id: str, body: bytes):
        client = Client(self._random.choice(self._fronts), lambda: {"X-Deadline-Ms": "3000"})
        host_header = {"Host": HOST}
        try:
            return client.call(method, f"{PREFIX}{job_id}", body, TIMEOUT_S, host_header)
        finally:
            client.close()


def keep_calling(callers: Callers, pause_s: float, is_stopped: Callable[[], bool]) -> None:
    """Submit jobs one after the other until told to stop."""
    while not is_stopped():
        callers.run_job()
        sleep(pause_s)
