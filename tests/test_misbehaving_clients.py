"""An entry on the smallest machine stays within its memory and serves others beside such clients.

The clients arrive at a queue, at a path without a queue, at the readiness port and at the internal
port. Before there were bounds, the process kept every unfinished body, answered pipelined requests
without letting others run, and created the tasks of a job however many its caller asked for.
"""

import os
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic

from gevent import sleep
from gevent import spawn
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from soak.callers import Callers
from soak.callers import PATH_PREFIX
from soak.cluster import Cluster
from soak.misbehaving import run_clients
from soak.misbehaving import Target
from tests.process.dispatch.harness import wait_until

WAIT_LIMIT_S = 30.0
FIRST_PORT = 30_000 + os.getpid() % 60 * 40
CONNECTIONS = 300
LOAD_S = 1.5
# The smallest machine has 200 MB. What the runtime keeps of freed memory is included.
MAX_RESIDENT_MB = 150
JOB_ID = "5c0e7a21d94b36f8"


class TestMisbehavingClients(TestCase):
    def setUp(self):
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.random = Random(1)
        self.cluster = Cluster(Path(folder.name), 1, 2, FIRST_PORT, self.random)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.entry = self.cluster.entries[0]
        config = self.entry.config
        self.callers = Callers(self.random, (config.front_address,), self.cluster.checker)
        wait_until(lambda: self.is_ready(), WAIT_LIMIT_S)
        self.targets = (
            Target(config.front_address, f"{PATH_PREFIX}{JOB_ID}"),
            Target(config.front_address, "/elsewhere"),
            Target(config.ready_address, "/v1/ready"),
            Target(config.peer_address, "/peer/submitted"),
        )
        self.peak_mb = 0.0

    def is_ready(self):
        client = Client(self.entry.config.ready_address)
        answer = client.call("GET", "/v1/ready", timeout_s=1.0)
        client.close()
        return not isinstance(answer, Failure) and answer.status == 200

    def submit_job(self):
        before = len(self.callers.accepted)
        self.callers.submit_job()
        return len(self.callers.accepted) - before

    def run_load(self, pattern, target):
        """Return how many jobs were accepted, and how often the entry was not ready."""
        ends_s = monotonic() + LOAD_S
        is_finished = lambda: monotonic() >= ends_s  # noqa: E731
        load = spawn(run_clients, pattern, target, CONNECTIONS, is_finished)
        accepted = unready = 0
        while not is_finished():
            accepted += self.submit_job()
            unready += not self.is_ready()
            self.peak_mb = max(self.peak_mb, self.entry.resident_mb())
            sleep(0.05)
        load.join()
        return accepted, unready

    def check_pattern(self, pattern):
        for target in self.targets:
            accepted, unready = self.run_load(pattern, target)
            context = f"{pattern.__name__} at {target}: {self.peak_mb:.0f} MB"
            print(context, accepted, unready)
            self.assertThat(self.entry.is_running(), Equals(True), context)
            self.assertThat(accepted, Not(LessThan(3)), context)
            self.assertThat(unready, Equals(0), context)
            self.assertThat(self.peak_mb, LessThan(MAX_RESIDENT_MB), context)
