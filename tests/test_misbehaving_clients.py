"""An entry on the smallest machine stays within its memory and serves others beside such clients.

The clients arrive at a queue, at a path without a queue, at the readiness port and at the internal
port. Before there were bounds, 300 of them kept 80 MB of unfinished bodies in the process and 300
descriptors; jobs of 21,000 steps took 600 MB; and chunked or pipelined requests kept it busy for
seconds.
"""

import os
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic
from uuid import uuid4

from gevent import joinall
from gevent import sleep
from gevent import spawn
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.job_spec import Step
from soak.callers import HOST
from soak.callers import PATH_PREFIX
from soak.cluster import Cluster
from soak.keys import ORGANISATIONS
from soak.misbehaving import pipeline_requests
from soak.misbehaving import run_clients
from soak.misbehaving import send_malformed_lengths
from soak.misbehaving import send_many_fields
from soak.misbehaving import send_many_headers
from soak.misbehaving import send_nothing
from soak.misbehaving import send_oversized_body
from soak.misbehaving import send_oversized_chunk
from soak.misbehaving import send_slowly
from soak.misbehaving import send_unfinished_body
from soak.misbehaving import send_unfinished_chunks
from soak.misbehaving import send_unfinished_pieces
from soak.misbehaving import targets_of
from standin.fleet.worker_process import encode_steps
from tests.process.dispatch.harness import wait_until

WAIT_LIMIT_S = 30.0
FIRST_PORT = 30_000 + os.getpid() % 60 * 40
CONNECTIONS_PER_TARGET = 75
# The load lasts until this time is over and a job was accepted beside it.
LOAD_S = 1.5
MAX_LOAD_S = 15.0
# The smallest machine has 200 MB, and an entry without load uses 45 MB.
MAX_RESIDENT_MB = 100
# All clients have 188 of the 824 descriptors for connections, and each request one to the store.
MAX_DESCRIPTORS = 310
JOB_ID = "5c0e7a21d94b36f8"
STEP = Step(count=1, cpu_millis=500, memory_mb=10, estimate_ms=20.0)
BODY = encode(
    {"spec": encode_steps((STEP,)), "steps": [{"count": 1, "cpu": 500, "memMb": 10}]},
)


class TestMisbehavingClients(TestCase):
    def setUp(self):
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name), 1, 2, FIRST_PORT, Random(1))
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.entry = self.cluster.entries[0]
        wait_until(lambda: not self.poll_readiness(), WAIT_LIMIT_S)
        # Without an accepted key, requests are refused before their bodies take any memory.
        self.key = self.cluster.keys.choose_valid(ORGANISATIONS[0]).key
        self.targets = targets_of(self.entry.config, JOB_ID, self.key)
        self.accepted = []
        self.unready_polls = []
        self.peak_mb = self.peak_descriptors = 0

    def call(self, method, job_id, body=b""):
        client = Client(self.entry.config.front_address)
        try:
            headers = {"Host": HOST, "Authorization": f"Bearer {self.key}"}
            return client.call(method, f"{PATH_PREFIX}{job_id}", body, 3.0, headers)
        finally:
            client.close()

    def submit_job(self):
        job_id = uuid4().hex[:16]
        answer = self.call("POST", job_id, BODY)
        if not isinstance(answer, Failure) and answer.status == 200:
            self.accepted.append(job_id)

    def is_completed(self, job_id):
        sleep(0.1)
        answer = self.call("GET", job_id)
        return not isinstance(answer, Failure) and b"completed" in answer.body

    def poll_readiness(self):
        """Return what the readiness port answered, and after how long, unless it was 200."""
        begun_s = monotonic()
        client = Client(self.entry.config.ready_address)
        answer = client.call("GET", "/v1/ready", timeout_s=2.0)
        client.close()
        if not isinstance(answer, Failure) and answer.status == 200:
            return ""
        return f"{answer} after {monotonic() - begun_s:.3f} s"

    def run_load(self, pattern):
        begun_s = monotonic()
        accepted_before = len(self.accepted)
        is_over = []
        loads = [
            spawn(run_clients, pattern, target, CONNECTIONS_PER_TARGET, lambda: bool(is_over))
            for target in self.targets
        ]
        while monotonic() - begun_s < MAX_LOAD_S:
            self.submit_job()
            polled_s = monotonic() - begun_s
            if unready := self.poll_readiness():
                self.unready_polls.append(f"{polled_s:.3f} s into the load: {unready}")
            self.peak_mb = max(self.peak_mb, self.entry.resident_mb())
            self.peak_descriptors = max(self.peak_descriptors, self.entry.open_descriptors())
            if len(self.accepted) > accepted_before and monotonic() - begun_s > LOAD_S:
                break
            sleep(0.02)
        is_over.append(True)
        joinall(loads)
        return len(self.accepted) - accepted_before

    def check_pattern(self, pattern):
        accepted = self.run_load(pattern)
        context = f"{pattern.__name__}: {accepted} jobs, {self.peak_mb:.0f} MB"
        self.assertThat(self.entry.is_running(), Equals(True), context)
        self.assertThat(accepted, GreaterThan(0), context)
        self.assertThat(self.unready_polls, Equals([]), context)
        self.assertThat(self.peak_mb, LessThan(MAX_RESIDENT_MB), context)
        self.assertThat(self.peak_descriptors, LessThan(MAX_DESCRIPTORS), context)
        accepted_under_load = len(self.accepted)
        wait_until(lambda: self.submit_job() or len(self.accepted) > accepted_under_load, 10.0)
        for job_id in self.accepted:
            wait_until(lambda job_id=job_id: self.is_completed(job_id), WAIT_LIMIT_S)
        return context

    def test_unfinished_bodies(self):
        self.check_pattern(send_unfinished_body)

    def test_unfinished_bodies_in_pieces(self):
        self.check_pattern(send_unfinished_pieces)

    def test_unfinished_bodies_in_chunks(self):
        self.check_pattern(send_unfinished_chunks)

    def test_oversized_bodies(self):
        self.check_pattern(send_oversized_body)
        self.check_pattern(send_oversized_chunk)

    def test_many_short_fields(self):
        self.check_pattern(send_many_fields)
        self.check_pattern(send_many_headers)

    def test_pipelined_requests_without_a_reader(self):
        self.check_pattern(pipeline_requests)

    def test_slow_and_silent_connections(self):
        self.check_pattern(send_slowly)
        self.check_pattern(send_nothing)

    def test_malformed_lengths(self):
        self.check_pattern(send_malformed_lengths)
