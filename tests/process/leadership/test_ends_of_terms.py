"""Ends of terms beside jobs that one owner starts and the next one reads after its load."""

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.recorder import OWNER_LEASE_S
from laburnumswitch.process.leadership.term import read_term
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until
from tests.process.leadership.entries import Entries

LONG = Step(1, cpu_millis=3000, memory_mb=100, estimate_ms=4000)
# Longer than the interval at which an owner reads new jobs from the feed.
FEED_READ_S = 2.0
# Longer than an owner takes to start what may start, in seconds.
START_S = 0.5


class EndOfTermCase(TestCase):
    def setUp(self):
        super().setUp()
        self.entries = Entries()
        self.addCleanup(self.entries.end)
        self.harness = self.entries.harness

    def add_owner(self, vm_id):
        entry = self.entries.add(vm_id)
        self.await_usable(entry, 2)
        return entry

    def await_usable(self, entry, count):
        wait_until(
            lambda: entry.dispatcher is not None
            and len(usable_workers(entry.dispatcher, "shop")) == count
        )

    def add_watcher(self, vm_id, owner):
        entry = self.entries.add(vm_id)
        wait_until(lambda: vm_id in owner.leadership.watcher_by_vm)
        return entry

    def check_runs_once(self):
        sleep(FEED_READ_S)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(1))


class TwoOwnersCase(EndOfTermCase):
    """The first owner reaches only the worker ``w1``, and the second only ``w2``."""

    def setUp(self):
        super().setUp()
        self.first = self.add_owner("vm-1")
        self.second = self.add_watcher("vm-2", self.first)
        self.first.unreached_workers.add("w2")
        self.second.unreached_workers.add("w1")
        wait_until(lambda: len(usable_workers(self.first.dispatcher, "shop")) == 1)

    def submit_to_first(self):
        """Submit a job that only the first owner is told of, and starts if it still acts."""
        self.harness.submit(make_submission("j1", LONG), self.first.dispatcher)
        wait_until(lambda: self.harness.checker.start_count or self.first.dispatcher is None)


class TestStartInFlight(TwoOwnersCase):
    """A start that arrives at its worker once the next owner has loaded the jobs."""

    def submit_before_the_end(self):
        self.first.start_s = 1.5
        self.harness.submit(make_submission("j1", LONG), self.first.dispatcher)
        wait_until(lambda: self.first.dispatcher.jobs_by_id["j1"].is_running())

    def check_runs_once(self):
        self.await_usable(self.second, 1)
        self.assertThat(self.harness.checker.start_count, Equals(0))
        super().check_runs_once()

    def test_start_of_an_owner_that_has_released_its_term_is_not_repeated(self):
        self.submit_before_the_end()
        self.first.is_stopped = True
        self.first.leadership.release()
        self.check_runs_once()

    def test_start_of_an_owner_that_has_stepped_down_is_not_repeated(self):
        self.submit_before_the_end()
        self.first.table.is_cut = True
        self.first.dispatcher.stop()
        self.check_runs_once()

    def test_start_of_an_owner_whose_process_was_restarted_is_not_repeated(self):
        self.submit_before_the_end()
        self.first.end()
        self.entries.add("vm-1", incarnation="vm-1-again").table.is_cut = True
        self.check_runs_once()

    def test_start_before_the_restart_of_its_own_process_is_not_repeated(self):
        self.submit_before_the_end()
        self.first.end()
        again = self.entries.add("vm-1", incarnation="vm-1-again")
        again.unreached_workers.add("w1")
        self.second = again
        self.check_runs_once()


class TestOwnerThatConfirmsItsEnd(TwoOwnersCase):
    """A job that it starts until then may be read by its successor after that."""

    def submit_before_the_confirmation(self):
        self.second.table.may_follow.clear()
        self.submit_to_first()
        self.second.unreached_addresses.clear()
        wait_until(lambda: not self.second.dispatcher.recorder.unconfirmed)
        self.second.table.may_follow.set()

    def test_job_that_it_starts_before_it_answers_the_first_question_is_not_started_twice(self):
        self.entries.supersede_s = 0.4
        self.first.table.is_cut = True
        self.await_usable(self.second, 1)
        self.submit_before_the_confirmation()
        self.check_runs_once()

    def test_job_that_it_starts_before_its_cut_heals_is_not_started_twice(self):
        self.first.table.is_cut = True
        self.second.unreached_addresses.add("vm-1")
        self.await_usable(self.second, 1)
        self.submit_before_the_confirmation()
        self.check_runs_once()

    def test_job_that_it_starts_before_its_restart_is_not_started_twice(self):
        """The restarted process confirms the end of the one before."""
        self.first.table.is_cut = True
        self.second.unreached_addresses.add("vm-1")
        self.await_usable(self.second, 1)
        self.second.table.may_follow.clear()
        self.harness.submit(make_submission("j1", LONG), self.first.dispatcher)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.first.end()
        self.entries.add("vm-1", incarnation="vm-1-again")
        self.second.unreached_addresses.clear()
        wait_until(lambda: not self.second.dispatcher.recorder.unconfirmed)
        self.second.table.may_follow.set()
        self.check_runs_once()

    def test_job_that_it_starts_before_it_confirms_to_a_later_owner_is_not_started_twice(self):
        self.first.table.is_cut = True
        self.second.unreached_addresses.add("vm-1")
        self.await_usable(self.second, 1)
        self.second.is_stopped = True
        self.second.leadership.release()
        self.second = self.entries.add("vm-3")
        self.second.unreached_workers.add("w1")
        self.second.unreached_addresses.add("vm-1")
        self.await_usable(self.second, 1)
        self.submit_before_the_confirmation()
        self.check_runs_once()


class TestWorkerThatForgetsTheSuccessor(TwoOwnersCase):
    def test_job_that_is_started_on_a_worker_that_has_restarted_is_not_started_twice(self):
        """The successor had reached the worker before that, and reaches it no more."""
        self.first.table.is_cut = True
        self.first.unreached_workers.add("w1")
        self.second.unreached_addresses.add("vm-1")
        self.second.unreached_workers.clear()
        self.await_usable(self.second, 2)
        wait_until(lambda: self.second.dispatcher.settled)
        self.second.unreached_workers.add("w1")
        self.harness.worker_by_id["w1"].restart()
        wait_until(lambda: self.second.dispatcher.workers_by_id["w1"].is_silent)
        self.first.unreached_workers.discard("w1")
        known = self.first.dispatcher.workers_by_id["w1"]
        wait_until(lambda: known.is_reached and not known.is_silent)
        self.second.table.may_follow.clear()
        # It may start nothing there, as it cannot commit.
        self.harness.submit(make_submission("j1", LONG), self.first.dispatcher)
        sleep(START_S)
        self.second.table.may_follow.set()
        self.check_runs_once()


class TestOwnerThatAsksItsPredecessor(EndOfTermCase):
    def test_job_that_a_healthy_owner_has_started_is_not_started_by_one_that_took_it_for_ended(
        self,
    ):
        """To its watchers it was not the owner while it asked, and so had stepped down."""
        first = self.add_owner("vm-1")
        second = self.add_watcher("vm-2", first)
        second.unreached_workers.add("w2")
        second.unreached_addresses.add("vm-1")
        first.table.is_cut = True
        self.entries.supersede_s = 0.4
        wait_until(lambda: read_term(self.harness.table).term.epoch == 2)
        third = self.entries.add("vm-3")
        third.unreached_workers.add("w1")
        self.entries.note_answer = lambda entry, address, answer: (
            third.table.may_read.clear() if entry is third and not answer.is_owner else None
        )
        second.unreached_addresses.clear()
        self.await_usable(second, 1)
        self.entries.supersede_s = 0.0
        wait_until(lambda: not read_term(self.harness.table).term.unconfirmed)
        # From here on the second owner acts under the lease of its last commit.
        second.table.is_cut = True
        third.table.may_read.set()
        wait_until(lambda: third.dispatcher is not None and third.dispatcher.is_loaded.is_set())
        self.await_usable(third, 1)
        self.harness.submit(make_submission("j1", LONG))
        if second.dispatcher is not None and not second.dispatcher.is_stopped():
            second.dispatcher.add_job(make_submission("j1", LONG))
        self.check_runs_once()


class TestOwnerThatHasNotBegunToAct(EndOfTermCase):
    """It is taken for lost while it loads, and goes on with that once its successor acts."""

    def test_job_that_it_is_told_of_is_started_by_its_successor_only(self):
        may_load = self.harness.hold_loads()
        self.addCleanup(may_load.set)
        first = self.entries.add("vm-1")
        wait_until(lambda: first.dispatcher is not None)
        second = self.add_watcher("vm-2", first)
        first.unreached_addresses.add("vm-2")
        second.unreached_addresses.add("vm-1")
        dispatcher = first.dispatcher
        first.table.is_cut = True
        wait_until(lambda: second.dispatcher is not None)
        may_load.set()
        first.table.is_cut = False
        self.await_usable(second, 2)
        self.harness.submit(make_submission("j1", LONG), dispatcher)
        second.dispatcher.add_job(make_submission("j1", LONG))
        sleep(START_S)
        self.check_runs_once()
        self.assertThat(second.dispatcher.settled, Equals(True))
        self.assertThat(dispatcher.is_stopped(), Equals(True))
        self.assertThat(dispatcher.counters.renewals, Equals(0))


class TestOwnerAfterTheOneThatSettled(EndOfTermCase):
    """The first owner is taken for lost, goes on, and confirms its end to nobody."""

    def setUp(self):
        super().setUp()
        self.first = self.add_owner("vm-1")
        second = self.add_watcher("vm-2", self.first)
        second.unreached_addresses.add("vm-1")
        self.first.table.is_cut = True
        # A worker that the second owner has reached would tell it of the later term.
        self.first.unreached_workers = {"w1", "w2"}
        self.await_usable(second, 2)
        wait_until(lambda: second.dispatcher.settled)
        self.second = second

    def add_third(self):
        self.second.is_stopped = True
        self.second.leadership.release()
        third = self.entries.add("vm-3")
        third.unreached_addresses.add("vm-1")
        wait_until(lambda: third.dispatcher is not None and third.dispatcher.is_loaded.is_set())
        return third

    def test_first_owner_that_may_still_act_does_not_count_as_ended(self):
        third = self.add_third()
        self.assertThat(self.first.dispatcher.may_act(), Equals(True))
        self.assertThat(third.dispatcher.recorder.unconfirmed, Equals(("vm-1",)))
        self.assertThat(third.dispatcher.late_jobs.may_be_started, Equals(True))

    def test_first_owner_counts_as_ended_once_its_lease_is_over(self):
        known = self.second.dispatcher.recorder
        wait_until(lambda: not known.unconfirmed, limit_s=OWNER_LEASE_S + START_S)
        self.assertThat(self.first.dispatcher.may_act(), Equals(False))
        third = self.add_third()
        self.assertThat(third.dispatcher.late_jobs.may_be_started, Equals(False))
