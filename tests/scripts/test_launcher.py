"""The launcher ends its processes on errors and signals too, and reports early exits."""

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
        return self.launcher.process_by_name[name].pid

    def test_exception_ends_running_and_paused_processes(self):
        pids = []
        with self.assertRaises(ValueError), self.launcher:
            pids = [self.start("a"), self.start("b")]
            self.launcher.pause("b")
            raise ValueError
        self.assertThat([is_running(pid) for pid in pids], Equals([False, False]))

    def test_signal_to_the_launcher_ends_processes(self):
        pid = 0
        with self.assertRaises(SystemExit), self.launcher:
            pid = self.start("a")
            os.kill(os.getpid(), SIGTERM)
        self.assertThat(is_running(pid), Equals(False))

    def test_kill_ends_process_by_signal(self):
        with self.launcher:
            self.start("a")
            self.launcher.kill("a")
            self.assertThat(self.launcher.process_by_name["a"].returncode, LessThan(0))

    def test_error_for_missing_address_includes_stderr(self):
        with self.launcher:
            self.launcher.start("a", executable, "-c", "raise SystemExit('no such rack')")
            error = self.assertRaises(ProcessFailedError, self.launcher.address_of, "a")
        self.assertThat("no such rack" in str(error), Equals(True))
