"""Tests of what a worker process adds to the emulated worker: specs, late calls and switches."""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest.mock import patch

from gevent import sleep
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from standin.fleet import worker_process
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.run_records import read_facts
from standin.fleet.worker import FleetWorker
from standin.fleet.worker_process import encode_steps
from standin.fleet.worker_process import make_process_handler
from standin.fleet.worker_process import make_recorder
from standin.fleet.worker_process import Switches
from standin.server import AnswerDroppedError
from standin.server import Call

LISTING = WorkerListing("w1", "shop", "", "a", False, 1000, 1000, 0, (), "r1", 1)
STEPS = (Step(1, cpu_millis=600, memory_mb=100, estimate_ms=10_000),)


def start_call(spec, task="j.0.0.0", headers=None, until_ms=5000):
    order = {"task": task, "run": 1, "spec": spec, "untilMs": until_ms, "fence": 1}
    return Call("POST", "/v1/run-start", {}, headers or {}, encode(order))


class TestProcessHandler(TestCase):
    def setUp(self):
        super().setUp()
        self.facts = []
        self.switches = Switches()
        self.worker = FleetWorker(
            LISTING, InvariantChecker(), lambda: 0.0, Random(1), record=self._record
        )
        self.handle = make_process_handler(
            self.worker, lambda: self.switches, self._record, lambda: 0.0, Random(1)
        )

    def _record(self, fact, at_s, fields):
        self.facts.append(fact)

    def test_start_learns_the_size_of_the_task_from_the_spec(self):
        spec = encode_steps(STEPS)
        self.assertThat(self.handle(start_call(spec)).status, Equals(200))
        self.assertThat(self.handle(start_call(spec, "k.0.0.0")).status, Equals(409))
        self.assertThat(self.worker.running(), Equals((TaskKey("j", 0, 0, 0),)))

    def test_start_with_an_unreadable_spec_is_not_carried_out(self):
        self.assertThat(self.handle(start_call("spec")).status, Equals(400))
        self.assertThat(self.worker.running(), Equals(()))

    def test_call_for_another_worker_is_not_carried_out(self):
        call = start_call(encode_steps(STEPS), headers={"x-expect-instance": "w2"})
        self.assertThat(self.handle(call).status, Equals(421))
        self.assertThat(self.worker.running(), Equals(()))

    def test_late_start_is_not_answered_and_recorded_as_late(self):
        self.switches = Switches(late_share=1.0)
        delays = {"MIN_LATE_S": 0.2, "MAX_LATE_S": 0.2, "LATE_CALL_OPEN_S": 0.0}
        with patch.multiple(worker_process, **delays):
            self.assertRaises(AnswerDroppedError, self.handle, start_call(encode_steps(STEPS)))
        self.assertThat(self.facts, Equals([]))
        while len(self.facts) < 2:
            sleep(0.005)
        self.assertThat(self.facts, Equals(["late", "start"]))

    def test_switches_take_effect_with_the_next_call(self):
        self.switches = Switches(drops_answers=True)
        self.assertRaises(AnswerDroppedError, self.handle, start_call(encode_steps(STEPS)))
        self.assertThat(self.facts, Equals(["start"]))


class TestRecorder(TestCase):
    def test_facts_are_in_the_file_at_once_with_system_wide_times(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "w1.jsonl"
            record = make_recorder(path, lambda at_s: at_s + 100.0)
            record("start", 1.0, {"task": TaskKey("j", 0, 1, 2), "run": 3, "fence": 4})
            expected = {"fact": "start", "at": 101.0, "task": "j.0.1.2", "run": 3, "fence": 4}
            self.assertThat(read_facts(path), Equals([expected]))
            record("lapse", 2.0, {})
            self.assertThat(read_facts(path), Equals([expected, {"fact": "lapse", "at": 102.0}]))
