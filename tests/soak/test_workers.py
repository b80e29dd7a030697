"""Tests of the handle of a worker process, with real processes and signals."""

from pathlib import Path
from random import Random
from shutil import rmtree
from tempfile import mkdtemp
from time import monotonic

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import Failure
from laburnumswitch.platform.workers import HttpWorkerLink
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from soak.workers import EmulatedWorker
from soak.workers import WorkerConfig
from standin.fleet.feed_table import FeedMemoryTable
from standin.fleet.registration import Registration
from standin.fleet.run_records import read_facts
from standin.fleet.worker_process import encode_steps
from standin.server import bound_address
from standin.server import NOT_FOUND
from standin.server import start_server

LISTING = WorkerListing("w1", "shop", "", "a", False, 1000, 1000, 0, (), "r1", 0, vm_id="vm-1")
SPEC = encode_steps((Step(2, cpu_millis=100, memory_mb=10, estimate_ms=60_000),))
TASK = TaskKey("j", 0, 0, 0)
ATTEMPTS = 1000


def free_port():
    server = start_server("127.0.0.1:0", lambda call: NOT_FOUND)
    port = server.server_port
    server.stop(0)
    return port


class TestEmulatedWorker(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(mkdtemp(prefix="soak-worker-"))
        self.addCleanup(rmtree, self.folder)
        # Left by an earlier run in the same folder; it must not count.
        (self.folder / "w1.jsonl").write_text('{"fact":"gone","at":1.0}\n')
        store = start_server("127.0.0.1:0", lambda call: NOT_FOUND)
        self.addCleanup(store.stop, 0)
        config = WorkerConfig(
            LISTING, 0, f"127.0.0.1:{free_port()}", bound_address(store), self.folder
        )
        self.worker = EmulatedWorker(config, Random(1))
        self.addCleanup(self.worker.stop)
        self.worker.start()
        self.link = HttpWorkerLink(self.worker.listing)
        self.addCleanup(self.link.close)

    def _answer(self, until_s=None, fence=1):
        """Renew until the worker answers; an answer without a lease says what it knows."""
        for _ in range(ATTEMPTS):
            answer = self.link.renew(Renewal(fence, 0, until_s, 0.0), 5.0)
            if not isinstance(answer, Failure):
                return answer
            sleep(0.01)
        raise AssertionError(f"the worker did not answer: {answer}")

    def _start(self, lease_s, fence=1):
        until_s = self._answer(fence=fence).clock_s + lease_s
        self.link.start(StartCommand(TASK, 1, SPEC, until_s, fence, ""), 5.0)

    def _facts(self):
        return [fact["fact"] for fact in read_facts(self.folder / "w1.jsonl")]

    def test_restarted_process_knows_nothing_of_before_and_has_the_same_id(self):
        first = self._answer(fence=7)
        self._start(5.0, fence=7)
        self.assertThat(len(self._answer(fence=7).running), Equals(1))
        self.worker.restart()
        second = self._answer(fence=1)
        self.assertThat(second.incarnation > first.incarnation, Equals(True))
        self.assertThat((second.running, second.ended), Equals(((), ())))
        (run,) = self.worker.recorded_runs()
        self.assertThat((run.incarnation, run.outcome), Equals((first.incarnation, "gone")))
        self.assertThat(self._facts(), Equals(["boot", "start", "gone", "boot"]))

    def test_killed_process_refuses_connections(self):
        self._answer()
        self.assertThat(self.worker.is_crashed, Equals(False))
        self.worker.kill()
        self.assertThat(self.worker.is_crashed, Equals(True))
        answer = self.link.renew(Renewal(1, 0, None, 0.0), 5.0)
        while answer.tag != "ConnectionRefused":
            # The first call uses a connection that the kill has closed.
            answer = self.link.renew(Renewal(1, 0, None, 0.0), 5.0)
        self.worker.kill()
        self.assertThat(self._facts(), Equals(["boot", "gone"]))
        self.assertThat(self.worker.own_exit_codes, Equals([]))

    def test_lease_that_expires_during_a_pause_ends_the_run_before_anything_works_on(self):
        self._start(0.5)
        self.worker.pause()
        sleep(1.0)
        self.worker.resume()
        report = self._answer(until_s=1000.0)
        self.assertThat(report.running, Equals(()))
        self.assertThat([end.outcome for end in report.ended], Equals(["lapsed"]))
        (run,) = self.worker.recorded_runs()
        (pause,) = run.pauses
        self.assertThat(run.end_s <= pause.start_s, Equals(True))
        self.assertThat(self._facts()[2:4], Equals(["paused", "resumed"]))


class TestDeparture(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(mkdtemp(prefix="soak-worker-"))
        self.addCleanup(rmtree, self.folder)
        self.table = FeedMemoryTable()
        store = start_server("127.0.0.1:0", Registration(self.table).handle)
        self.addCleanup(store.stop, 0)
        config = WorkerConfig(
            LISTING, 0, f"127.0.0.1:{free_port()}", bound_address(store), self.folder
        )
        self.worker = EmulatedWorker(config, Random(1))
        self.addCleanup(self.worker.stop)
        self.worker.start()

    def _await_state(self, state):
        for _ in range(ATTEMPTS):
            row = self.table.peek("servers/w1").value or {}
            if row.get("state") == state:
                return row
            sleep(0.01)
        raise AssertionError(f"never {state}: {row}")

    def test_departure_is_announced_with_the_remaining_time_and_ends_the_room(self):
        self.assertThat("remainingMs" in self._await_state("ready"), Equals(False))
        self.worker.announce_departure(monotonic() + 60.0)
        remaining_ms = self._await_state("draining")["remainingMs"]
        self.assertThat(0 < remaining_ms <= 60_000, Equals(True))
        (worker_span,) = self.worker.recorded_spans()
        self.assertThat(worker_span.span.end_s < monotonic(), Equals(True))
        self.worker.crash()
        self.assertThat(self.worker.recorded_spans(), Equals([worker_span]))
