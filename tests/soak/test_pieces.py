"""Pieces of the soak: the proxy's modes, and the judge that finds planted breaches."""

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
FIRST = TaskKey("j", 0, 0, 0)
SECOND = TaskKey("j", 0, 1, 0)


class TestProxy(TestCase):
    def setUp(self):
        super().setUp()
        server = start_server("127.0.0.1:0", lambda call: json_reply(1))
        self.addCleanup(server.stop, 0)
        self.proxy = Proxy(bound_address(server))
        self.addCleanup(self.proxy.stop)

    def _ask(self, limit_s):
        host, _, port = self.proxy.address.rpartition(":")
        with Timeout(limit_s, False), socket.create_connection((host, int(port))) as sock:
            try:
                sock.sendall(REQUEST)
                return sock.recv(4)
            except ConnectionError:
                return b""
        return None

    def test_modes(self):
        answers = {}
        for mode in (Mode.PASS, Mode.DELAY, Mode.RESET, Mode.SILENT, Mode.ONE_WAY):
            self.proxy.set_mode(mode)
            is_answered = mode in (Mode.PASS, Mode.DELAY, Mode.RESET)
            answers[mode] = self._ask(20.0 if is_answered else 0.5)
        expected = {
            Mode.PASS: b"HTTP",
            Mode.DELAY: b"HTTP",
            Mode.RESET: b"",
            Mode.SILENT: None,
            Mode.ONE_WAY: None,
        }
        self.assertThat(answers, Equals(expected))


class TestJudge(TestCase):
    def setUp(self):
        super().setUp()
        self.judge = InvariantChecker()
        steps = (Step(1), Step(1, after=(0,)))
        self.judge.record_submission(Submission("j", "q", "", steps, 0.0))

    def _promises(self):
        return [breach.guarantee for breach in self.judge.violations]

    def test_two_runs_at_a_time(self):
        self.judge.check_start(1.0, FIRST, "w1")
        self.judge.check_start(2.0, FIRST, "w2")
        self.assertThat(self._promises(), Equals(["twice"]))

    def test_start_after_an_acknowledged_end(self):
        self.judge.check_start(1.0, FIRST, "w1")
        self.judge.record_end(FIRST, True)
        self.judge.record_acknowledged(FIRST)
        self.judge.check_start(2.0, FIRST, "w2")
        self.assertThat(self._promises(), Equals(["twice"]))

    def test_start_before_the_earlier_step(self):
        self.judge.check_start(1.0, SECOND, "w1")
        self.assertThat(self._promises(), Equals(["order"]))

    def test_start_that_nobody_asked_for(self):
        self.judge.check_start(1.0, TaskKey("other", 0, 0, 0), "w1")
        self.assertThat(self._promises(), Equals(["unasked"]))

    def test_job_shown_as_completed_too_early(self):
        self.judge.record_end(FIRST, True)
        self.judge.check_completed(1.0, "j")
        self.assertThat(self._promises(), Equals(["completed"]))

    def test_lost_job(self):
        self.judge.record_lost_job(1.0, "j", "gone")
        self.assertThat(self._promises(), Equals(["lost"]))
