"""Simulated callers that submit jobs with retries, poll their state and cancel some of them."""

from collections.abc import Callable
from random import Random
from time import time

from gevent import sleep
from msgspec import DecodeError
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import Response
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from soak.keys import ApiKeys
from soak.keys import ORGANISATIONS
from soak.keys import PresentedKey
from soak.keys import STATUS_OK
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.worker_process import encode_steps

HOST = "jobs.example"
PATH_PREFIX = "/jobs/"
# Prefix of the queue whose callers need no key.
PUBLIC_PREFIX = "/public/"
PUBLIC_SHARE = 0.2
MAX_ATTEMPTS = 6
CALL_TIMEOUT_S = 3.0
RETRY_PAUSE_S = 0.3
POLL_PAUSE_S = 0.1
CANCEL_PROBABILITY = 0.08
# Part of the jobs with a step whose tasks may outlast a lease of 6 s, so that leases expire under
# them; the tasks of all other steps are short.
LONG_STEP_SHARE = 0.3
LONG_MS = (2000, 9000)
SHORT_MS = (20, 1500)
# Of the jobs that come together: a second run of one of their tasks would overlap with the first.
BURST_MS = (800, 2500)
UNKNOWN = "unknown"
GONE = "gone"


class Callers:
    """Submits random jobs and records the outcomes that the entries answered."""

    def __init__(
        self,
        random: Random,
        front_addresses: tuple[str, ...],
        checker: InvariantChecker,
        keys: ApiKeys,
    ) -> None:
        self.accepted: set[str] = set()
        self.rejected: set[str] = set()
        self.cancelled: set[str] = set()
        self.long_running: set[str] = set()
        self.state_counts: dict[str, int] = {}
        self._random = random
        self._front_addresses = front_addresses
        self._checker = checker
        self._keys = keys
        # A generator of its own, so that a seed keeps its jobs.
        self._organisation_random = Random(random.getstate()[1][0])

    def submit_job(self) -> None:
        """Submit one random job and cancel some of the accepted ones."""
        submission = self._random_submission()
        self._checker.record_submission(submission)
        status = self._submit_with_retries(submission)
        if status == 200:
            self.accepted.add(submission.job_id)
            if self._random.random() < CANCEL_PROBABILITY:
                sleep(self._random.uniform(0.0, 1.0))
                # Recorded before the call: the job may be cancelled even if no answer arrives.
                self.cancelled.add(submission.job_id)
                self._call("DELETE", submission.job_id, b"", self._keys.choose)
        elif status in (429, 503):
            self.rejected.add(submission.job_id)

    def submit_long_running(self, random: Random) -> None:
        """Submit a job whose tasks run until it is cancelled, which it is not."""
        step = Step(
            count=random.randint(1, 4),
            cpu_millis=random.choice((500, 1000)),
            memory_mb=100,
            long_running=True,
            max_unavailable=random.choice((0, 1)),
        )
        job_id = f"{random.getrandbits(64):016x}"
        submission = Submission(job_id, "public", encode_steps((step,)), (step,), time())
        self._checker.record_submission(submission)
        if self._submit_with_retries(submission) == STATUS_OK:
            self.long_running.add(job_id)

    def submit_short(self, client: Client, random: Random) -> None:
        """Submit a job once, over the connections of a client, and without a key."""
        step = Step(
            count=random.randint(1, 3),
            cpu_millis=500,
            memory_mb=100,
            estimate_ms=random.uniform(*BURST_MS),
        )
        job_id = f"{random.getrandbits(64):016x}"
        submission = Submission(job_id, "public", encode_steps((step,)), (step,), time())
        self._checker.record_submission(submission)
        path = f"{PUBLIC_PREFIX}{job_id}"
        answer = client.call("POST", path, _encode_body(submission), CALL_TIMEOUT_S, {"Host": HOST})
        if isinstance(answer, Failure):
            return
        if answer.status == STATUS_OK:
            self.accepted.add(job_id)
        elif answer.status in (429, 503):
            self.rejected.add(job_id)

    def poll_long_running(self, address: str, is_finished: Callable[[], bool]) -> None:
        """Ask one entry for the long-running jobs, over a connection that stays open.

        A new one is opened only once the entry has ended the old one.
        """
        client = Client(address, lambda: {"X-Deadline-Ms": "3000"})
        while not is_finished():
            for job_id in sorted(self.long_running):
                path = f"{PUBLIC_PREFIX}{job_id}"
                client.call("GET", path, b"", CALL_TIMEOUT_S, {"Host": HOST})
                sleep(POLL_PAUSE_S)
        client.close()

    def read_state(self, job_id: str) -> str:
        """Return the state of a job as reported by a random entry."""
        self._call("GET", job_id, b"", self._keys.choose)
        answer = self._call("GET", job_id, b"", self._keys.choose_valid)
        if isinstance(answer, Failure):
            return UNKNOWN
        if answer.status == 410:
            return GONE
        try:
            state = decode(answer.body)["state"] if answer.status == 200 else UNKNOWN
        except (DecodeError, KeyError):
            state = UNKNOWN
        self.state_counts[state] = self.state_counts.get(state, 0) + 1
        return state

    def _random_submission(self) -> Submission:
        random = self._random
        steps = []
        step_count = random.choice((1, 1, 2, 3))
        long_step = random.randrange(step_count) if random.random() < LONG_STEP_SHARE else None
        for index in range(step_count):
            steps.append(
                Step(
                    count=random.randint(1, 5),
                    cpu_millis=random.choice((500, 1000, 2000)),
                    memory_mb=100,
                    estimate_ms=random.uniform(*(LONG_MS if index == long_step else SHORT_MS)),
                    after=(index - 1,) if index else (),
                    checkpoints=random.random() < 0.5,
                )
            )
        spec = encode_steps(tuple(steps))
        is_public = self._organisation_random.random() < PUBLIC_SHARE
        organisation = "" if is_public else self._organisation_random.choice(ORGANISATIONS)
        return Submission(
            f"{random.getrandbits(64):016x}",
            "public" if is_public else "jobs",
            spec,
            tuple(steps),
            time(),
            organisation=organisation,
        )

    def _submit_with_retries(self, submission: Submission) -> int:
        body = _encode_body(submission)
        for _ in range(MAX_ATTEMPTS):
            answer = self._call("POST", submission.job_id, body, self._keys.choose_own)
            if not isinstance(answer, Failure) and answer.status not in (502, 504):
                return answer.status
            sleep(RETRY_PAUSE_S)
        return 0

    def _call(
        self, method: str, job_id: str, body: bytes, choose: Callable[[str], PresentedKey]
    ) -> Response | ConnectFailed | AnswerLost:
        organisation = self._checker.submission_by_id[job_id].organisation
        presented = choose(organisation)
        headers = {"Host": HOST}
        if presented.key:
            headers["Authorization"] = f"Bearer {presented.key}"
        client = Client(
            self._random.choice(self._front_addresses), lambda: {"X-Deadline-Ms": "3000"}
        )
        prefix = PATH_PREFIX if organisation else PUBLIC_PREFIX
        try:
            answer = client.call(method, f"{prefix}{job_id}", body, CALL_TIMEOUT_S, headers)
            if not isinstance(answer, Failure):
                self._keys.check(presented, job_id, method, answer.status)
            return answer
        finally:
            client.close()


def _encode_body(submission: Submission) -> bytes:
    steps = [
        {
            "count": step.count,
            "cpu": step.cpu_millis,
            "memMb": step.memory_mb,
            "estimateMs": step.estimate_ms,
            "after": step.after,
            "checkpoints": step.checkpoints,
            "longRunning": step.long_running,
            "mayMiss": step.max_unavailable,
        }
        for step in submission.steps
    ]
    return encode({"spec": submission.spec, "steps": steps})


def submit_jobs(callers: Callers, pause_s: float, is_finished: Callable[[], bool]) -> None:
    """Submit jobs one after the other until ``is_finished`` returns true."""
    while not is_finished():
        callers.submit_job()
        sleep(pause_s)
