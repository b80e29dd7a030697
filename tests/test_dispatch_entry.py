"""Entry processes on the emulated platform: start, jobs, reload and graceful stop."""

import os
import signal
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.jobs import JobState
from soak.callers import CALL_TIMEOUT_S
from soak.callers import Callers
from soak.callers import HOST
from soak.callers import PATH_PREFIX
from soak.cluster import Cluster
from soak.keys import ORGANISATIONS
from soak.proxy import Mode
from tests.process.dispatch.harness import wait_until

WAIT_LIMIT_S = 60.0
# Runs of the tests at the same time need ports of their own.
FIRST_PORT = 26_000 + os.getpid() % 100 * 40


class TestDispatchEntry(TestCase):
    def setUp(self):
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.random = Random(1)
        self.cluster = Cluster(Path(folder.name), 2, 3, FIRST_PORT, self.random)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        fronts = tuple(entry.config.front_address for entry in self.cluster.entries)
        self.callers = Callers(self.random, fronts, self.cluster.checker, self.cluster.keys)

    def _log(self, number):
        return self.cluster.entries[number].config.log_path.read_text(encoding="utf-8")

    def _complete_job(self):
        before = len(self.callers.accepted)
        while len(self.callers.accepted) == before:
            self.callers.submit_job()
        for job_id in sorted(self.callers.accepted - self.callers.cancelled):
            wait_until(lambda job_id=job_id: self._is_completed(job_id), WAIT_LIMIT_S)

    def _is_completed(self, job_id):
        sleep(0.1)
        return self.callers.read_state(job_id) == JobState.COMPLETED

    def test_reload_signal_during_the_start_is_handled_later(self):
        # Importing the daemon takes several tenths of a second, in which SIGHUP must not end it.
        entry = self.cluster.entries[0]
        entry.kill()
        entry.start()
        wait_until(lambda: entry.holds_signal(signal.SIGHUP), WAIT_LIMIT_S)
        entry.signal(signal.SIGHUP)
        wait_until(lambda: '"event":"reload"' in self._log(0), WAIT_LIMIT_S)
        self.assertThat(entry.is_running(), Equals(True))

    def _status(self, entry, key, job_id="0" * 16):
        client = Client(entry.config.front_address)
        headers = {"Host": HOST, "Authorization": f"Bearer {key}"}
        answer = client.call("GET", f"{PATH_PREFIX}{job_id}", b"", CALL_TIMEOUT_S, headers)
        client.close()
        return None if isinstance(answer, Failure) else answer.status

    def _expect_status(self, entry, key, status):
        wait_until(lambda: self._status(entry, key) == status, WAIT_LIMIT_S)

    def _expect_owner_known(self):
        """Wait until all entries know an owner, as the number of pending jobs comes from it."""
        key = self.cluster.keys.choose_valid(ORGANISATIONS[0]).key
        for entry in self.cluster.entries:
            wait_until(lambda e=entry: self._status(e, key, "") == 200, WAIT_LIMIT_S)

    def test_key_withdrawn_while_an_entry_is_without_the_store_is_refused_there(self):
        """Both the owner and its watcher accepted the key until the store served them again."""
        keys = self.cluster.keys
        for mode in (Mode.RESET, Mode.SILENT):
            for number, entry in enumerate(self.cluster.entries):
                for organisation in ORGANISATIONS:
                    self._expect_status(entry, keys.choose_valid(organisation).key, 410)
                self._expect_owner_known()
                entry.store_proxy.set_mode(mode)
                keys.rotate()
                self._expect_status(entry, list(keys.withdrawn_s_by_key)[-1], 401)
                self.assertThat(self._log(number), Contains('"source":"peer"'))
                entry.store_proxy.set_mode(Mode.PASS)

    def test_key_withdrawn_while_an_entry_is_restarted_without_the_store_is_refused_there(self):
        """The restarted process has no configuration, and must not accept any key."""
        entry = self.cluster.entries[0]
        keys = self.cluster.keys
        key = keys.choose_valid(ORGANISATIONS[0]).key
        self._expect_status(entry, key, 410)
        entry.store_proxy.set_mode(Mode.SILENT)
        while key not in keys.withdrawn_s_by_key:
            keys.rotate()
        entry.kill()
        entry.start()
        self._expect_status(entry, key, 503)
        entry.store_proxy.set_mode(Mode.PASS)
        self._expect_status(entry, key, 401)

    def test_jobs_complete_before_and_after_reload_and_stop(self):
        self._complete_job()
        for entry in self.cluster.entries:
            entry.signal(signal.SIGHUP)
        for number in range(2):
            wait_until(lambda number=number: '"event":"reload"' in self._log(number), WAIT_LIMIT_S)
        self._complete_job()
        leaving = self.cluster.entries[0]
        leaving.signal(signal.SIGTERM)
        wait_until(lambda: not leaving.is_running(), WAIT_LIMIT_S)
        self.assertThat(self._log(0), Contains('"event":"stopped"'))
        self.callers = Callers(
            self.random,
            (self.cluster.entries[1].config.front_address,),
            self.cluster.checker,
            self.cluster.keys,
        )
        self._complete_job()
        self.assertThat(self.cluster.checker.violations, Equals([]))
