"""The launcher ends what it started, whatever happens."""

import os
from signal import SIGTERM
from sys import executable
from tempfile import TemporaryDirectory

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from scripts.launcher import Launcher
from scripts.launcher import ProcessFailedError

SLEEPER = "import time; print('127.0.0.1:1', flush=True); time.sleep(600)"


def is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class TestLauncher(TestCase):
    def setUp(self):
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.launcher = Launcher(folder.name)

    def start(self, name: str, program: str = SLEEPER) -> int:
        self.launcher.start(name, executable, "-c", program)
        self.launcher.address_of(name)
        return self.launcher.by_name[name].pid

    def test_ends_running_and_paused_processes_on_an_error(self):
        pids = []
        with self.assertRaises(ValueError), self.launcher:
            pids = [self.start("a"), self.start("b")]
            self.launcher.pause("b")
            raise ValueError
        self.assertThat([is_running(pid) for pid in pids], Equals([False, False]))

    def test_ends_processes_on_a_signal_to_itself(self):
        pid = 0
        with self.assertRaises(SystemExit), self.launcher:
            pid = self.start("a")
            os.kill(os.getpid(), SIGTERM)
        self.assertThat(is_running(pid), Equals(False))

    def test_kill_is_no_graceful_stop(self):
        with self.launcher:
            self.start("a")
            self.launcher.kill("a")
            self.assertThat(self.launcher.by_name["a"].returncode, LessThan(0))

    def test_process_that_ends_without_an_address_is_told_with_its_words(self):
        with self.launcher:
            self.launcher.start("a", executable, "-c", "raise SystemExit('no such rack')")
            error = self.assertRaises(ProcessFailedError, self.launcher.address_of, "a")
        self.assertThat("no such rack" in str(error), Equals(True))
