"""Numbers of pending jobs that entries give while the owner changes.

A number that is too low tells callers that their accepted jobs have begun.
"""

from time import monotonic
from time import time

from gevent import sleep
from gevent import spawn
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.lenient import decode_known_fields
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.leadership.leadership import BUSY_MAX_AGE_S
from laburnumswitch.process.leadership.leadership import EntryIdentity
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.leadership.leadership import LeadershipContext
from laburnumswitch.process.leadership.leadership import PENDING_MAX_AGE_S
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.owner_link import OwnerAccess
from laburnumswitch.process.leadership.peer_api import make_leadership_peer_handler
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.operations import Operations
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import QUEUE
from tests.process.dispatch.harness import wait_until

OWNER_ADDRESS = "10.0.0.9:1"
JOB_COUNT = 6


class MemoryPeers:
    """Calls of an entry to the handler of the owner's entry, in memory."""

    def __init__(self, handler):
        self.handler = handler
        self.is_cut = False

    def watch(self, address, identity, wait_s, timeout_s):
        sleep(0.01)
        if self.is_cut:
            return ConnectFailed(address, "timeout")
        fields = {"vm": identity.vm_id, "cores": str(identity.cpu_cores), "wait": str(wait_s)}
        reply = self.handler(AdminRequest("GET", ("watch",), fields, {}, b""))
        return decode_known_fields(reply.body, WatchAnswer)

    def supersede(self, address, epoch):
        return ConnectFailed(address, "timeout")


class TestPending(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = True
        self.is_stopped = False
        self.addCleanup(setattr, self, "is_stopped", True)
        self.elapsed_s = 0.0
        self.owner = self._make_entry("vm-1", None)
        handler = make_leadership_peer_handler(
            lambda: self.owner, "vm-1-i", Operations(self.harness.log), monotonic
        )
        self.peers = MemoryPeers(handler)
        self.owner_access = OwnerAccess(self.owner, self.peers, "vm-1")
        self.follower = self._make_entry("vm-2", self.peers)
        self.follower_access = OwnerAccess(self.follower, self.peers, "vm-2")

    def _make_entry(self, vm_id, peers):
        return Leadership(
            LeadershipContext(
                EntryIdentity(vm_id, f"{vm_id}-i", OWNER_ADDRESS, 1.0),
                self.harness.table,
                peers,
                lambda *arguments: self.fail("the owner is not replaced"),
                DecisionLog(vm_id, time, 1000),
                monotonic,
                lambda: monotonic() + self.elapsed_s,
                sleep,
                lambda: self.is_stopped,
            )
        )

    def _submit_jobs(self):
        for number in range(JOB_COUNT):
            self.harness.submit(make_submission(f"j{number}"))

    def _start_owner(self):
        self.owner.dispatcher = self.harness.start_owner("vm-1")
        self.addCleanup(self.owner.dispatcher.stop)

    def _start_slow_owner(self):
        """Start an owner that reads the stored jobs only once the returned event is set."""
        can_load = Event()
        load = self.harness.table.load

        def load_later(table):
            can_load.wait()
            return load(table)

        self.harness.table.load = load_later
        self.addCleanup(can_load.set)
        self._start_owner()
        return can_load

    def test_owner_that_is_still_loading_gives_no_number(self):
        """It gave no jobs as pending until it had read them."""
        self._submit_jobs()
        can_load = self._start_slow_owner()
        self.assertThat(self.owner_access.pending(QUEUE.name), IsInstance(Unavailable))
        can_load.set()
        wait_until(lambda: self.owner_access.pending(QUEUE.name) == JOB_COUNT)

    def test_follower_of_an_owner_that_is_still_loading_gives_no_number(self):
        """It took the empty list of a loading owner for a report of no pending jobs."""
        self._submit_jobs()
        can_load = self._start_slow_owner()
        spawn(self.follower.run)
        wait_until(lambda: "vm-2" in self.owner.watcher_by_vm)
        numbers = []
        for _ in range(20):
            numbers.append(self.follower_access.pending(QUEUE.name))
            sleep(0.01)
        for number in numbers:
            self.assertThat(number, IsInstance(Unavailable))
        can_load.set()
        wait_until(lambda: self.follower_access.pending(QUEUE.name) == JOB_COUNT)

    def test_number_of_an_earlier_owner_is_kept_while_its_successor_loads(self):
        self.follower.note_pending({QUEUE.name: 4})
        self._start_slow_owner()
        spawn(self.follower.run)
        wait_until(lambda: "vm-2" in self.owner.watcher_by_vm)
        self.assertThat(self.follower_access.pending(QUEUE.name), Equals(4))
        self.assertThat(self.follower_access.pending("other"), Equals(0))

    def test_number_that_is_too_old_is_not_given(self):
        """While no owner answers, the last number says nothing of the jobs accepted since."""
        self._start_owner()
        spawn(self.follower.run)
        wait_until(lambda: self.follower_access.pending(QUEUE.name) == 0)
        self.peers.is_cut = True
        self._submit_jobs()
        self.elapsed_s = PENDING_MAX_AGE_S + 2.0
        wait_until(lambda: isinstance(self.follower_access.pending(QUEUE.name), Unavailable))

    def test_entry_gives_no_number_before_it_knows_an_owner(self):
        self.assertThat(self.follower_access.pending(QUEUE.name), IsInstance(Unavailable))

    def test_owner_that_leaves_gives_its_last_number(self):
        """It gave the number from before its term, which may be minutes old."""
        self._submit_jobs()
        self.owner.note_pending({QUEUE.name: 1})
        self._start_owner()
        wait_until(self.owner.dispatcher.is_loaded.is_set)
        self.owner.release()
        self.assertThat(self.owner_access.pending(QUEUE.name), Equals(JOB_COUNT))
        self.elapsed_s = PENDING_MAX_AGE_S + 2.0
        self.assertThat(self.owner_access.pending(QUEUE.name), IsInstance(Unavailable))

    def test_busy_organisations_of_an_owner_that_is_gone_are_forgotten(self):
        """Without an owner nobody can be asked, and each job would wait for an answer."""
        self._start_owner()
        wait_until(self.owner.dispatcher.is_loaded.is_set)
        admissions = self.owner.dispatcher.organisation_admissions
        # Far in the future, as planning passes of the owner update it.
        admissions.update_busy(("shop-a",), monotonic() + 3600.0)
        self.assertThat(self.owner_access.is_busy("shop-a"), Equals(True))
        spawn(self.follower.run)
        wait_until(lambda: self.follower_access.is_busy("shop-a"))
        self.assertThat(self.follower_access.is_busy("shop-b"), Equals(False))
        self.peers.is_cut = True
        self.elapsed_s = BUSY_MAX_AGE_S + 2.0
        wait_until(lambda: not self.follower_access.is_busy("shop-a"))
