"""Callers of the soak that leave before they have an answer, or hand in jobs that nobody expects.

A job that its caller has cancelled must not run, also if the caller left before it was stored. Jobs
that no worker can run must not keep others from running, nor end a process.
"""

from collections.abc import Callable
from random import Random
from time import monotonic
from time import time

from gevent import sleep
from msgspec.json import encode

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from soak.callers import CALL_TIMEOUT_S
from soak.callers import HOST
from soak.callers import PUBLIC_PREFIX
from soak.callers import RETRY_PAUSE_S
from soak.cluster import Cluster
from standin.fleet.invariant_checker import Violation
from standin.fleet.worker_process import encode_steps

# How long callers wait for the answer to a submission before they leave, in seconds.
PATIENCE_S = (0.0005, 0.05)
PAUSE_S = 0.25
# Time in seconds after the end of the faults in which a cancelled job has to stop.
STOP_LIMIT_S = 12.0
LASTING = Step(1, cpu_millis=100, memory_mb=10, long_running=True)
TOO_LARGE = 1_000_000
MINUTES_OF_A_YEAR = 365 * 24 * 60
ODD_BODIES = (
    {"steps": []},
    {"steps": [], "times": MINUTES_OF_A_YEAR, "intervalMs": 60_000},
    {"steps": [{"count": 32_768, "cpu": TOO_LARGE}]},
    {"steps": [{"count": 32_768, "cpu": TOO_LARGE, "longRunning": True}]},
    {"steps": [{"count": 2, "cpu": TOO_LARGE}], "times": MINUTES_OF_A_YEAR, "intervalMs": 60_000},
    {"steps": [{"count": 2, "cpu": TOO_LARGE}], "times": 10**9, "firstRunMs": 1},
    {"steps": [{"count": 1, "cpu": TOO_LARGE, "after": [n - 1] if n else []} for n in range(300)]},
)


class OddCallers:
    """Callers that leave early, and callers with odd jobs.

    :ivar cancelled: jobs whose cancellation was answered, by the status of the answer.
    """

    def __init__(self, random: Random, front_addresses: tuple[str, ...], cluster: Cluster) -> None:
        self.cancelled: dict[str, int] = {}
        self._random = random
        self._front_addresses = front_addresses
        self._cluster = cluster

    def run(self, is_finished: Callable[[], bool]) -> None:
        """Hand in jobs of both kinds until ``is_finished`` returns true."""
        while not is_finished():
            self._leave_and_cancel()
            self._call("POST", self._new_id(), self._odd_body(), CALL_TIMEOUT_S)
            sleep(PAUSE_S)

    def check(self) -> None:
        """Report the cancelled jobs that still run after the faults are over."""
        end_s = monotonic() + STOP_LIMIT_S
        while (running := self._running()) and monotonic() < end_s:
            sleep(0.2)
        for job_id in sorted(running):
            details = f"runs although its cancellation was answered {self.cancelled[job_id]}"
            violation = Violation(monotonic(), "unasked", job_id, details)
            self._cluster.checker.violations.append(violation)

    def _running(self) -> set[str]:
        return self._cluster.running_job_ids() & self.cancelled.keys()

    def _leave_and_cancel(self) -> None:
        job_id, spec = self._new_id(), encode_steps((LASTING,))
        submission = Submission(job_id, "public", spec, (LASTING,), time())
        self._cluster.checker.record_submission(submission)
        step = {"count": 1, "cpu": 100, "memMb": 10, "longRunning": True}
        body = encode({"spec": spec, "steps": [step]})
        self._call("POST", job_id, body, self._random.uniform(*PATIENCE_S))
        end_s = monotonic() + 2 * CALL_TIMEOUT_S
        while monotonic() < end_s:
            status = self._call("DELETE", job_id, b"", CALL_TIMEOUT_S)
            if status in (200, 410):
                self.cancelled[job_id] = status
                return
            sleep(RETRY_PAUSE_S)

    def _odd_body(self) -> bytes:
        return encode({"spec": "odd", **self._random.choice(ODD_BODIES)})

    def _new_id(self) -> str:
        return f"{self._random.getrandbits(64):016x}"

    def _call(self, method: str, job_id: str, body: bytes, timeout_s: float) -> int | None:
        client = Client(self._random.choice(self._front_addresses))
        try:
            answer = client.call(
                method, f"{PUBLIC_PREFIX}{job_id}", body, timeout_s, {"Host": HOST}
            )
        finally:
            client.close()
        return None if isinstance(answer, Failure) else answer.status
