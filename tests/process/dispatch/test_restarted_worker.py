"""Tests of workers that start again under their ids, on which tasks must not run twice."""

from json import loads
from time import monotonic

from gevent import sleep
from gevent import spawn
from gevent.event import AsyncResult
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import LessThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import WorkerReplaced
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.fleet import MIN_CLOCK_RATE
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.planner import plan
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.process.dispatch.worker_session import renew
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
# The worker's clock before its restart, in seconds, and one that is ahead of it, but not of the end
# of a lease that was granted before.
CLOCK_S = 1000.0
CLOCK_AHEAD_S = CLOCK_S + 3.0
# Within this time, in seconds, an owner reads the list of workers and plans.
REACTION_S = 1.5


class RestartedWorkerCase(TestCase):
    """One worker that the owner has reached, and a second one that is listed later."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=1)
        self.first = self.harness.worker_by_id["w1"]
        self.first.set_clock(CLOCK_S)
        # The first worker's answers to renewals are delayed until this is set.
        self.answers = Event()
        self.answers.set()
        # While this is set, renewals do not reach it.
        self.is_cut_off = False
        self.renewals = 0
        answer_renewal = self.first.renew

        def renew_late(renewal, timeout_s):
            self.renewals += 1
            # A call takes its time, so that one that is repeated at once is noticed.
            sleep(0.001)
            if self.is_cut_off:
                return AnswerLost("w1", "cut off")
            answer = answer_renewal(renewal, timeout_s)
            self.answers.wait()
            return AnswerLost("w1", "cut off") if self.is_cut_off else answer

        self.first.renew = renew_late
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(lambda: "w1" in self.owner.workers_by_id)
        wait_until(lambda: self.known().is_reached)

    def known(self):
        return self.owner.workers_by_id["w1"]

    def run_long_job(self):
        self.harness.submit(make_submission("j1", LONG), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 1)

    def fill_first_worker(self):
        """Leave no room for other runs on the first worker."""
        self.first.start = lambda command, timeout_s: StartRefused("w1", "room")

    def wait_until_reported(self):
        runs = self.known().runs_by_task.values()
        wait_until(lambda: any(run.progress_percent for run in runs))

    def add_second_worker(self, *others):
        """Add a worker, which is listed together with the given listings."""
        self.harness.add_worker(make_listing(2), others)
        wait_until(lambda: "w2" in self.owner.workers_by_id)

    def check_nothing_ran_twice(self):
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestStartAcceptedAfterTheRestart(RestartedWorkerCase):
    """The restarted worker accepts a start before the owner knows of the restart."""

    # Where the clock of the restarted worker begins, in seconds.
    clock_s = 0.0

    def setUp(self):
        super().setUp()
        self.answers.clear()
        self.first.restart(self.clock_s)
        self.run_long_job()

    def test_run_goes_on_when_the_restart_is_listed(self):
        self.add_second_worker(self.first.listing)
        sleep(REACTION_S)
        self.answers.set()
        sleep(REACTION_S)
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(len(self.first.running()), Equals(1))

    def test_run_goes_on_when_the_worker_answers(self):
        self.add_second_worker()
        self.answers.set()
        wait_until(lambda: self.known().incarnation == self.first.incarnation)
        sleep(REACTION_S)
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_run_goes_on_when_it_is_listed_at_another_address(self):
        self.first.listing = self.first.listing._replace(address="10.0.0.1:81")
        self.add_second_worker(self.first.listing)
        sleep(REACTION_S)
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(self.known().listing.address, Equals("10.0.0.1:81"))


class TestStartAcceptedByAWorkerWhoseClockIsAhead(TestStartAcceptedAfterTheRestart):
    """The clock of the restarted worker is ahead of the one before, as it may begin anywhere."""

    clock_s = CLOCK_AHEAD_S


class TestRunOfTheEarlierIncarnation(RestartedWorkerCase):
    """The worker restarts after it has reported the run."""

    def setUp(self):
        super().setUp()
        self.run_long_job()
        self.wait_until_reported()
        self.add_second_worker()
        self.first.restart()

    def test_task_starts_again_when_the_restart_is_listed(self):
        self.first.drops_calls = True
        self.harness.list_worker(self.first.listing)
        wait_until(lambda: self.harness.checker.start_count == 2, REACTION_S)
        self.check_nothing_ran_twice()

    def test_task_starts_again_when_the_worker_answers(self):
        wait_until(lambda: self.harness.checker.start_count == 2, REACTION_S)
        self.check_nothing_ran_twice()


class TestOwnerChangeAfterTheRestart(RestartedWorkerCase):
    def test_successor_waits_for_a_worker_stored_before_its_restart(self):
        # The stored row of the worker names its earlier incarnation, the listing the present one.
        self.first.restart()
        wait_until(lambda: self.known().incarnation == self.first.incarnation)
        self.harness.list_worker(self.first.listing)
        self.run_long_job()
        self.add_second_worker()
        self.owner.stop()
        self.first.drops_calls = True
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.check_nothing_ran_twice()
        self.assertThat(second.settled, Is(True))


class TestLeaseAfterTheRestart(RestartedWorkerCase):
    def test_lease_counted_by_the_clock_before_the_restart_has_lapsed_before_the_task_runs_again(
        self,
    ):
        # Calls reach the restarted worker, its answers are lost: its clock began anew, so it takes
        # the end of a lease for an instant in the far future.
        self.first.restart()
        self.first.drops_answers = True
        self.run_long_job()
        self.add_second_worker()
        wait_until(lambda: self.harness.checker.start_count == 2, 3 * BOUNDS.lease_s)
        self.check_nothing_ran_twice()

    def test_end_numbers_from_before_the_restart_acknowledge_no_end(self):
        # The task is done on the restarted worker before the owner knows of the restart.
        short = LONG._replace(estimate_ms=10)
        self.harness.submit(make_submission("j1", *[short] * 3), self.owner)
        wait_until(lambda: self.known().acknowledged_end == 3)
        self.first.restart()
        self.harness.submit(make_submission("j2", short), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 4)
        self.is_cut_off = True
        wait_until(lambda: self.known().is_silent)
        self.is_cut_off = False
        wait_until(lambda: self.owner.reported_state("j2") is JobState.COMPLETED, REACTION_S)
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(4))


class TestAnswerThatArrivesAfterTheRestart(RestartedWorkerCase):
    """The worker has made it before; it tells nothing of the time between."""

    def test_ends_after_the_restart_are_not_acknowledged_by_their_numbers_before_it(self):
        short = LONG._replace(estimate_ms=10)
        self.harness.submit(make_submission("j1", *[short] * 3), self.owner)
        wait_until(lambda: self.known().acknowledged_end == 3)
        renew_late = self.first.renew
        made = Event()

        def renew_at_once(renewal, timeout_s):
            self.answers.clear()
            made.set()
            return renew_late(renewal._replace(wait_s=0.0), timeout_s)

        self.first.renew = renew_at_once
        made.wait()
        self.first.renew = renew_late
        sleep(0.01)
        self.first.restart()
        self.harness.submit(make_submission("j2", short), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 4)
        sleep(0.1)
        self.answers.set()
        wait_until(lambda: self.owner.reported_state("j2") is JobState.COMPLETED)
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(4))


class TestLateMessages(RestartedWorkerCase):
    def send_renewal(self):
        """Send a renewal that is answered only when a report is delivered."""
        answer = AsyncResult()
        answering, self.first.renew = self.first.renew, lambda renewal, timeout_s: answer.get()
        spawn(renew, self.owner, self.known(), 0.0)
        sleep(0)
        self.first.renew = answering
        return answer

    def deliver(self, answer, report):
        answer.set(report)
        sleep(0.01)

    def test_report_from_before_the_restart_that_arrives_late_ends_no_run(self):
        late = self.send_renewal()
        self.first.restart()
        wait_until(lambda: self.known().incarnation == self.first.incarnation)
        self.run_long_job()
        self.wait_until_reported()
        self.fill_first_worker()
        self.add_second_worker()
        self.deliver(late, WorkerReport(CLOCK_S, self.first.incarnation - 1, (), ()))
        sleep(REACTION_S)
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_report_of_a_start_between_two_known_ones_ends_no_run(self):
        late = self.send_renewal()
        self.first.restart()
        self.first.restart()
        self.harness.list_worker(self.first.listing)
        wait_until(lambda: self.known().incarnation == self.first.incarnation)
        self.run_long_job()
        self.wait_until_reported()
        self.fill_first_worker()
        self.add_second_worker()
        self.deliver(late, WorkerReport(0.05, self.first.incarnation - 1, (), ()))
        sleep(REACTION_S)
        self.check_nothing_ran_twice()
        self.assertThat(self.known().incarnation, Equals(self.first.incarnation))

    def test_listing_from_before_the_restart_ends_no_run_of_a_silent_worker(self):
        before = self.first.listing
        self.first.restart()
        wait_until(lambda: self.known().incarnation == self.first.incarnation)
        self.run_long_job()
        self.add_second_worker()
        self.first.drops_calls = True
        known = self.known()
        wait_until(lambda: monotonic() - known.last_answer_s > 3.0)
        self.harness.list_worker(before)
        sleep(REACTION_S)
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_report_that_a_later_one_overtook_brings_no_ended_run_back(self):
        self.run_long_job()
        self.wait_until_reported()
        report = self.first.renew(Renewal(self.known().fence, 0, None, 0.0), 1.0)
        late = self.send_renewal()
        (run,) = self.known().runs_by_task.values()
        self.fill_first_worker()
        self.add_second_worker()
        self.first.stop(run.task, run.number, self.known().fence, 1.0)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.harness.log.take()
        self.deliver(late, report)
        sleep(0.05)
        self.assertThat(len(self.known().runs_by_task), Equals(0))
        names = [event["event"] for event in map(loads, self.harness.log.take().splitlines())]
        self.assertThat("run_unwanted" in names, Equals(False))


class TestUncertainIncarnation(RestartedWorkerCase):
    def setUp(self):
        super().setUp()
        self.relist(incarnation=9)
        wait_until(lambda: self.known().incarnation == 9 and self.known().is_reached)

    def relist(self, **changes):
        self.first.listing = self.first.listing._replace(**changes)
        self.first.incarnation = self.first.listing.incarnation
        self.harness.list_worker(self.first.listing)

    def restart(self, **changes):
        self.first.restart()
        self.relist(**changes)

    def test_worker_is_used_again_after_a_stale_listing_during_its_silence(self):
        self.is_cut_off = True
        wait_until(lambda: not self.known().is_reached)
        self.harness.list_worker(self.first.listing._replace(incarnation=8))
        wait_until(lambda: self.known().incarnation == 8)
        self.harness.list_worker(self.first.listing)
        self.is_cut_off = False
        wait_until(lambda: self.known().is_reached and self.known().incarnation == 9, 5.0)
        self.check_few_renewals()

    def test_restart_with_a_lower_number_is_used_at_its_new_address(self):
        self.is_cut_off = True
        self.restart(incarnation=5, address="10.0.0.1:81")
        wait_until(lambda: self.known().listing.address == "10.0.0.1:81", 2 * BOUNDS.lease_s)

    def test_listing_of_a_restart_with_a_lower_number_counts_once_the_worker_answers(self):
        self.is_cut_off = True
        self.restart(incarnation=5, cpu_millis=1000)
        sleep(1.0)
        self.is_cut_off = False
        wait_until(lambda: self.known().listing.cpu_millis == 1000, 3.0)

    def test_worker_that_does_not_say_when_it_started_is_not_called_all_the_time(self):
        self.restart(incarnation=0)
        sleep(1.1)
        self.check_few_renewals()
        self.run_long_job()

    def check_few_renewals(self):
        before = self.renewals
        sleep(1.0)
        self.assertThat(self.renewals - before, LessThan(20))


class TestOtherKind(TestCase):
    """A worker starts again under its id as another kind, and its listing lags behind."""

    def test_gets_no_starts_by_the_labels_of_its_earlier_incarnation(self):
        harness = DispatchHarness(workers=1, labels=("large", "r1"))
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: len(usable_workers(owner, "shop")) == 1)
        worker = harness.worker_by_id["w1"]
        worker.restart()
        wait_until(lambda: owner.workers_by_id["w1"].incarnation == 2)
        wait_until(lambda: len(usable_workers(owner, "shop")) == 1)
        step = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=20, required_label="large")
        harness.submit(make_submission("j1", step), owner)
        plan(owner)
        sleep(0)
        self.assertThat(harness.checker.start_count, Equals(0))
        harness.list_worker(worker.listing)
        wait_until(lambda: owner.reported_state("j1") is JobState.COMPLETED)


class TestStartDeliveredLate(RestartedWorkerCase):
    def test_start_voided_before_the_restart_does_not_run_after_it(self):
        # A restarted worker has seen no fencing token.
        start = self.first.start
        commands = []

        def lose(command, timeout_s):
            if commands:
                return StartRefused("w1", "room")
            commands.append(command)
            sleep(timeout_s)
            return AnswerLost("w1", "late")

        self.first.start = lose
        self.harness.submit(make_submission("j1", LONG), self.owner)
        wait_until(lambda: commands)
        self.add_second_worker()
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.first.restart()
        start(commands[0], 1.0)
        self.check_nothing_ran_twice()


class TestRefusals(RestartedWorkerCase):
    def test_answer_of_an_intermediary_is_no_refusal(self):
        # The worker carries out the start, and its answer is replaced on the way back.
        start = self.first.start

        def start_behind_gateway(command, timeout_s):
            start(command, timeout_s)
            return Refused("10.0.0.1:80", 502, "bad gateway")

        self.first.start = start_behind_gateway
        self.answers.clear()
        self.run_long_job()
        self.add_second_worker()
        sleep(REACTION_S)
        self.answers.set()
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(1))


class TestLapse(RestartedWorkerCase):
    def test_task_of_a_lapsed_lease_starts_again_only_once_its_run_has_ended(self):
        # Ending the runs takes the worker up to ``Bounds.stop_s``, also after a lapse.
        worker = self.known()
        lapses_s = worker.last_answer_s + self.owner.granted_lease_s() / MIN_CLOCK_RATE
        self.assertThat(worker.has_certainly_lapsed(lapses_s + 0.99 * BOUNDS.stop_s), Equals(False))


class LateLink:
    """Link to an address that the worker has left, where another one answers late."""

    def __init__(self):
        self.is_called = Event()
        self.answers = Event()

    def renew(self, renewal, timeout_s):
        self.is_called.set()
        self.answers.wait()
        return WorkerReplaced("w1")

    def close(self):
        """Do nothing, as there are no connections."""


class TestMovedWorker(RestartedWorkerCase):
    def test_late_answer_from_the_earlier_address_ends_no_run(self):
        self.run_long_job()
        self.wait_until_reported()
        self.add_second_worker()
        known = self.known()
        late = known.link = LateLink()
        late.is_called.wait()
        self.first.listing = self.first.listing._replace(address="10.0.0.1:81")
        self.harness.list_worker(self.first.listing)
        wait_until(lambda: known.link is not late)
        late.answers.set()
        sleep(REACTION_S)
        self.check_nothing_ran_twice()
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(known.is_dropped, Equals(False))
