"""Workers that restart, and forget the fencing token, while an owner taken for lost still acts."""

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import TAKEOVER_WAIT_S
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

# One task fills a worker.
LONG = Step(1, cpu_millis=3000, memory_mb=100, estimate_ms=60_000)
TASK = TaskKey("j1", 0, 0, 0)
SHORT = LONG._replace(cpu_millis=1000)
# Within this time, in seconds, an owner renews leases and plans.
REACTION_S = 1.5


class Partition:
    """Links of one owner to emulated workers, and its access to the store.

    :ivar cut_ids: ids of the workers that it does not reach.
    :ivar holds_renewals: whether its renewals get no answers, while its other commands do.
    """

    def __init__(self, harness):
        self.cut_ids = set()
        self.holds_renewals = False
        self.is_cut_from_store = False
        self.table = harness.table
        self._harness = harness

    def make_link(self, listing):
        return _Link(self, self._harness.worker_by_id[listing.worker_id])

    def __getattr__(self, name):
        call = getattr(self.table, name)

        def call_unless_cut(*arguments):
            if self.is_cut_from_store:
                sleep(0.02)
                return Unavailable("cut off")
            return call(*arguments)

        return call_unless_cut


class _Link:
    def __init__(self, partition, worker):
        self.partition = partition
        self.worker = worker

    def __getattr__(self, name):
        call = getattr(self.worker, name)

        def call_unless_cut(*arguments):
            sleep(0.005)
            if self.worker.listing.worker_id in self.partition.cut_ids:
                return AnswerLost(self.worker.listing.worker_id, "cut off")
            return call(*arguments)

        return call_unless_cut

    def renew(self, renewal, timeout_s):
        """Renew a lease without a long poll, so that a cut takes effect at once."""
        if self.partition.holds_renewals:
            sleep(timeout_s)
            return AnswerLost(self.worker.listing.worker_id, "cut off")
        return self.__getattr__("renew")(renewal._replace(wait_s=0.0), timeout_s)

    def close(self):
        """Do nothing, as there are no connections."""


class TestOwnerTakenForLost(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        table = self.harness.table
        self.first_partition = Partition(self.harness)
        self.second_partition = Partition(self.harness)
        self.harness.table = self.first_partition
        self.first = self.start_owner("vm-1", self.first_partition, PredecessorState.ENDED)
        self.harness.table = table
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        workers = self.harness.worker_by_id
        self.holder_id = next(each for each in workers if workers[each].running())
        self.holder = workers[self.holder_id]
        known = self.first.workers_by_id[self.holder_id]
        wait_until(lambda: any(run.incarnation for run in known.runs_by_task.values()))

    def start_owner(self, vm_id, partition, predecessor):
        self.harness.make_link = partition.make_link
        owner = self.harness.start_owner(vm_id, predecessor)
        self.addCleanup(owner.stop)
        return owner

    def test_task_of_a_restarted_worker_is_not_started_by_both_owners(self):
        """The successor has voided starts of the earlier owner in the earlier incarnation only."""
        self.first_partition.is_cut_from_store = True
        self.first_partition.cut_ids = set(self.harness.worker_by_id)
        second = self.start_owner("vm-2", self.second_partition, PredecessorState.SILENT)
        wait_until(lambda: second.settled)
        known = second.workers_by_id[self.holder_id]
        wait_until(lambda: any(run.incarnation for run in known.runs_by_task.values()))
        self.second_partition.cut_ids = {self.holder_id}
        self.first_partition.cut_ids.discard(self.holder_id)
        self.holder.restart()
        wait_until(lambda: self.first.workers_by_id[self.holder_id].incarnation == 2)
        sleep(0.3)
        self.harness.list_worker(self.holder.listing)
        sleep(REACTION_S)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(2))

    def test_start_meant_for_the_earlier_incarnation_does_not_run_beside_the_successors(self):
        """The earlier owner does not know yet that its worker has restarted."""
        self.first_partition.is_cut_from_store = True
        self.first_partition.holds_renewals = True
        # No entry takes over earlier.
        sleep(TAKEOVER_WAIT_S)
        second = self.start_owner("vm-2", self.second_partition, PredecessorState.SILENT)
        wait_until(lambda: second.settled)
        self.second_partition.cut_ids = {self.holder_id}
        self.holder.restart()
        submission = make_submission("j2", SHORT)
        self.harness.submit(submission)
        others = [each for each in self.first.workers_by_id if each != self.holder_id]
        self.first.workers_by_id[others[0]].blocked_until_s = float("inf")
        self.assertThat(self.first.may_act(), Equals(True))
        self.first.add_job(submission)
        sleep(1.0)
        self.harness.list_worker(self.holder.listing)
        sleep(REACTION_S)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(3))
