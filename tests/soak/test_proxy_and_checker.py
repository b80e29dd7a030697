"""Tests of the soak proxy and of the invariant checker, which must report each violation."""

from gevent import socket
from gevent import Timeout
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from soak.proxy import Mode
from soak.proxy import Proxy
from standin.fleet.invariant_checker import InvariantChecker
from standin.server import bound_address
from standin.server import json_reply
from standin.server import start_server

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
FIRST_STEP_TASK = TaskKey("j", 0, 0, 0)
SECOND_STEP_TASK = TaskKey("j", 0, 1, 0)


class TestProxy(TestCase):
    def setUp(self):
        super().setUp()
        self.server = start_server("127.0.0.1:0", lambda call: json_reply(1))
        self.addCleanup(self.server.stop, 0)
        self.proxy = Proxy(bound_address(self.server))
        self.addCleanup(self.proxy.stop)

    def _request(self, timeout_s):
        host, _, port = self.proxy.address.rpartition(":")
        with Timeout(timeout_s, False), socket.create_connection((host, int(port))) as sock:
            try:
                sock.sendall(REQUEST)
                return sock.recv(4)
            except ConnectionError:
                return b""
        return None

    def test_traffic_in_each_mode(self):
        answers = {}
        for mode in (Mode.PASS, Mode.DELAY, Mode.RESET, Mode.SILENT, Mode.ONE_WAY):
            self.proxy.set_mode(mode)
            is_answered = mode in (Mode.PASS, Mode.DELAY, Mode.RESET)
            answers[mode] = self._request(20.0 if is_answered else 0.5)
        expected = {
            Mode.PASS: b"HTTP",
            Mode.DELAY: b"HTTP",
            Mode.RESET: b"",
            Mode.SILENT: None,
            Mode.ONE_WAY: None,
        }
        self.assertThat(answers, Equals(expected))

    def test_target_that_is_down_is_refused_unless_the_link_is_cut(self):
        self.proxy.set_target_up(False)
        self.assertRaises(ConnectionRefusedError, self._request, 20.0)
        self.proxy.set_mode(Mode.SILENT)
        self.assertThat(self._request(0.2), Equals(None))
        self.proxy.set_mode(Mode.PASS)
        self.assertRaises(ConnectionRefusedError, self._request, 20.0)
        self.proxy.set_target_up(True)
        self.assertThat(self._request(20.0), Equals(b"HTTP"))

    def test_end_of_a_connection_is_held_back_while_the_link_is_cut(self):
        """A caller would otherwise learn at once that the process behind a cut link was killed."""
        host, _, port = self.proxy.address.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(REQUEST)
            sock.recv(4096)
            self.proxy.set_mode(Mode.ONE_WAY)
            self.server.stop(0)
            sock.settimeout(0.2)
            self.assertRaises(TimeoutError, sock.recv, 4096)
            self.proxy.set_mode(Mode.PASS)
            sock.settimeout(20.0)
            self.assertThat(sock.recv(4096), Equals(b""))


class TestInvariantChecker(TestCase):
    def setUp(self):
        super().setUp()
        self.checker = InvariantChecker()
        steps = (Step(1), Step(1, after=(0,)))
        self.checker.record_submission(Submission("j", "q", "", steps, 0.0))

    def _violated_guarantees(self):
        return [violation.guarantee for violation in self.checker.violations]

    def test_concurrent_runs_of_one_task_are_reported(self):
        self.checker.check_start(1.0, FIRST_STEP_TASK, "w1")
        self.checker.check_start(2.0, FIRST_STEP_TASK, "w2")
        self.assertThat(self._violated_guarantees(), Equals(["twice"]))

    def test_start_after_acknowledged_end_is_reported(self):
        self.checker.check_start(1.0, FIRST_STEP_TASK, "w1")
        self.checker.record_end(FIRST_STEP_TASK, True)
        self.checker.record_acknowledged(FIRST_STEP_TASK)
        self.checker.check_start(2.0, FIRST_STEP_TASK, "w2")
        self.assertThat(self._violated_guarantees(), Equals(["twice"]))

    def test_start_before_the_end_of_its_dependency_is_reported(self):
        self.checker.check_start(1.0, SECOND_STEP_TASK, "w1")
        self.assertThat(self._violated_guarantees(), Equals(["order"]))

    def test_start_of_unknown_job_is_reported(self):
        self.checker.check_start(1.0, TaskKey("other", 0, 0, 0), "w1")
        self.assertThat(self._violated_guarantees(), Equals(["unasked"]))

    def test_premature_completion_is_reported(self):
        self.checker.record_end(FIRST_STEP_TASK, True)
        self.checker.check_completed(1.0, "j")
        self.assertThat(self._violated_guarantees(), Equals(["completed"]))

    def test_lost_job_is_reported(self):
        self.checker.record_lost_job(1.0, "j", "gone")
        self.assertThat(self._violated_guarantees(), Equals(["lost"]))
