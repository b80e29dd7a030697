"""Starts that are held up between the decision of an owner and the moment at which they are sent.

An owner that another entry may have replaced by then has to ask the worker first.
"""

from time import monotonic
from types import SimpleNamespace

from gevent import sleep
from gevent import spawn_later
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan
from testtools.matchers import Not

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.platform.workers import format_task_id
from laburnumswitch.platform.workers import HttpWorkerLink
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import TAKEOVER_WAIT_S
from standin.fleet import worker as worker_module
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DEPLOYMENT
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until
from tests.process.dispatch.test_restarts_over_owners import OwnerTakenForLostCase

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
# Time for which the process of the first owner stands still, in seconds.
FREEZE_S = 2.5


class _SlowStartLink(HttpWorkerLink):
    """Link to an emulated worker whose starts take a while, which notes when each is sent."""

    START_S = 0.35

    def __init__(self, listing, worker, note_start, note_renewal):
        super().__init__(listing)
        self._worker = worker
        self._note_start = note_start
        self._note_renewal = note_renewal
        self._command_by_id = {}

    def renew(self, renewal, timeout_s):
        self._note_renewal()
        return self._worker.renew(renewal, timeout_s)

    def start(self, command, timeout_s):
        self._command_by_id[format_task_id(command.task)] = command
        return super().start(command, timeout_s)

    def _call(self, path, body, timeout_s):
        self._note_start(body["task"])
        sleep(self.START_S)
        self._worker.start(self._command_by_id[body["task"]], timeout_s)
        return SimpleNamespace(clock_ms=0.0)


class TestStartThatWaitsForOthers(TestCase):
    """Few commands are sent to one worker at the same time; the others wait for these."""

    def test_worker_is_asked_before_a_start_that_waited_until_another_entry_may_have_the_term(self):
        harness = DispatchHarness(workers=1)
        asked = []
        sent_unasked = []

        def note_renewal():
            if owner.recorder.may_have_successor():
                asked.append(True)

        def note_start(task):
            if owner.recorder.may_have_successor() and not asked:
                sent_unasked.append((task, round(owner.recorder.since_last_commit_s(), 2)))

        worker = harness.worker_by_id["w1"]
        harness.make_link = lambda listing: _SlowStartLink(
            listing, worker, note_start, note_renewal
        )
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: len(usable_workers(owner, "shop")) == 1)
        harness.table.commit = lambda transaction: Unavailable("cut off")
        wait_until(lambda: owner.recorder.since_last_commit_s() > 0.5 * TAKEOVER_WAIT_S)
        submission = make_submission("j1", LONG._replace(count=3))
        harness.checker.record_submission(submission)
        owner.add_job(submission)
        sleep(0.5)
        self.assertThat(sent_unasked, Equals([]))


class TestOwnerThatStandsStill(OwnerTakenForLostCase):
    """The first owner's process stands still between the check of its term and the start."""

    def setUp(self):
        super().setUp()
        self.frozen = False
        spawn = self.first.spawn

        def spawn_unless_frozen(function, *arguments):
            if function.__name__ == "_send_start":
                self.freeze()
                spawn_later(FREEZE_S, function, *arguments)
            else:
                spawn(function, *arguments)

        self.first.spawn = spawn_unless_frozen

    def freeze(self):
        """Let no other call of the first owner through; what it has begun goes on later."""

        def hold(renewal, timeout_s):
            sleep(2 * FREEZE_S)
            return AnswerLost("w1", "frozen")

        self.frozen = True
        self.table.is_cut = True
        self.link_by_pair["vm-1", "w1"].renew = hold

    def take_over_with_full_worker(self):
        """Start the second owner, which finds no room on the first worker."""
        sleep(TAKEOVER_WAIT_S)
        second = self.start_owner("vm-2", PredecessorState.SILENT)
        make_link = second.context.make_link

        def make_full_link(listing):
            link = make_link(listing)
            link.is_full = listing.worker_id == "w1"
            return link

        second.context = second.context._replace(make_link=make_full_link)
        return second

    def test_job_is_not_started_by_both(self):
        """The second owner knows that the worker runs nothing, and cannot reach it any more."""
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.frozen)
        second = self.take_over_with_full_worker()
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.assertThat(self.w1.running(), Equals(()))
        self.cut_second_owner_off()
        self.restart_worker()
        sleep(FREEZE_S)
        self.heal(second)
        self.check_runs_once()


class TestLeaseOfAWorkerThatIsListedAnew(OwnerTakenForLostCase):
    """The first owner extends the lease of a worker by the clock that it had before a restart."""

    LONGEST_LEASE_S = 10.0

    def setUp(self):
        self.patch(worker_module, "MAX_LEASE_S", self.LONGEST_LEASE_S)
        super().setUp()

    def start_owner(self, *arguments, **named):
        bounds = BOUNDS._replace(lease_s=self.LONGEST_LEASE_S)
        self.harness.deployment = DEPLOYMENT._replace(bounds=bounds)
        return super().start_owner(*arguments, **named)

    def test_its_end_is_known_to_the_second_owner_that_has_dropped_the_worker_meanwhile(self):
        second = self.take_over()
        wait_until(lambda: second.settled)
        extended_s = []
        link = self.link_by_pair["vm-1", "w1"]
        renew = link.renew

        def note_renewal(renewal, timeout_s):
            if renewal.until_s is not None and self.w1.incarnation == 2:
                extended_s.append(monotonic())
            return renew(renewal, timeout_s)

        link.renew = note_renewal
        self.link_by_pair["vm-2", "w1"].is_cut = True
        self.w1.restart(clock_s=0.0)
        wait_until(lambda: extended_s)
        second.drop_worker(second.workers_by_id["w1"], "its VM is down", EndKind.VM_LIST)
        self.harness.list_worker(self.w1.listing)
        wait_until(lambda: "w1" in second.workers_by_id)
        known = second.workers_by_id["w1"]
        wait_until(lambda: known.is_reached and known.lapse_bound_s)
        self.assertThat(known.incarnation, Equals(2))
        lease_end_s = extended_s[-1] + self.LONGEST_LEASE_S
        self.assertThat(known.lapse_bound_s, Not(LessThan(lease_end_s)))
