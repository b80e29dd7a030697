"""Restart of supervised functions after unexpected errors."""

from time import time

from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.process.daemon.supervision import keep_running
from laburnumswitch.process.observing.decisions import DecisionLog


class TestKeepRunning(TestCase):
    def setUp(self):
        super().setUp()
        self.log = DecisionLog("vm-1", time, 100)
        self.calls = 0

    def _fail_twice(self):
        self.calls += 1
        if self.calls < 3:
            raise KeyError("gone")

    def test_failed_function_is_restarted_and_its_error_is_logged(self):
        keep_running(self._fail_twice, self.log, lambda seconds: None, lambda: False)
        self.assertThat(self.calls, Equals(3))
        content = self.log.take().decode()
        self.assertThat(content.count("task_failed"), Equals(2))
        self.assertThat(content, Contains("KeyError('gone')"))
        self.assertThat(content, Contains("in _fail_twice"))

    def test_function_that_fails_during_the_stop_is_not_restarted(self):
        def fail():
            self.calls += 1
            raise KeyError("gone")

        keep_running(fail, self.log, lambda seconds: None, lambda: self.calls == 1)
        self.assertThat(self.calls, Equals(1))
