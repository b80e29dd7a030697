"""How long an owner that is replaced may still send commands, as its successor knows."""

from time import monotonic
from time import time

from gevent import sleep
from gevent import spawn
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.process.dispatch.recorder import OWNER_LEASE_S
from laburnumswitch.process.dispatch.takeover import begin_dispatch
from laburnumswitch.process.leadership.leadership import EntryIdentity
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.leadership.leadership import LeadershipContext
from laburnumswitch.process.leadership.leadership import SILENT_TAKEOVER_WAIT_S
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.succession import Succession
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import wait_until

# Within this time, in seconds, an entry reads a term that was just stored.
READ_LIMIT_S = 0.3


class OneOwnerClient:
    """Calls to one owner, which answers watches while ``is_up`` and confirms no end."""

    def __init__(self, term):
        self.term = term
        self.is_up = True
        self.has_ended = False

    def watch(self, address, identity, wait_s, timeout_s):
        sleep(0.02)
        if not self.is_up:
            return AnswerLost(address, "timeout")
        epoch = self.term.epoch
        answer = WatchAnswer(epoch, self.term.incarnation, not self.has_ended, ("vm-2",), {}, 0.0)
        return answer._replace(ended_epoch=epoch if self.has_ended else 0)

    def supersede(self, address, term):
        sleep(0.02)
        return AnswerLost(address, "timeout")


class TestCommandWindow(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.is_stopped = False
        self.addCleanup(setattr, self, "is_stopped", True)

    def _store(self, term):
        self.harness.table.commit(Transaction((), (Put(TERM_KEY, term),)))
        return monotonic()

    def _follow(self, client):
        def start_dispatcher(held, sent_s, predecessor):
            self.unconfirmed = held.term.unconfirmed
            dispatcher = begin_dispatch(self.harness.context(), held, sent_s, predecessor)
            self.addCleanup(dispatcher.stop)
            return dispatcher

        follower = Leadership(
            LeadershipContext(
                EntryIdentity("vm-2", "vm-2-i", "vm-2", 2.0),
                self.harness.table,
                client,
                start_dispatcher,
                DecisionLog("vm-2", time, 1000),
                monotonic,
                monotonic,
                sleep,
                lambda: self.is_stopped,
            )
        )
        spawn(follower.run)
        return follower

    def _commands_until_s(self, follower):
        wait_until(lambda: follower.dispatcher is not None)
        dispatcher = follower.dispatcher
        return dispatcher.unknown_runs_until_s - dispatcher.longest_lapse_s()

    def test_lost_owner_sends_no_commands_a_lease_after_its_last_commit_was_read(self):
        """The wait before the takeover would otherwise delay the restart of lost tasks as well."""
        term = Term(1, "vm-1", "vm-1-i", "vm-1")
        client = OneOwnerClient(term)
        client.is_up = False
        stored_s = self._store(term)
        until_s = self._commands_until_s(self._follow(client))
        self.assertThat(monotonic(), GreaterThan(stored_s + SILENT_TAKEOVER_WAIT_S))
        self.assertThat(until_s, LessThan(stored_s + OWNER_LEASE_S + READ_LIMIT_S))
        self.assertThat(until_s, GreaterThan(stored_s + OWNER_LEASE_S))

    def test_lease_of_an_owner_that_commits_counts_from_its_last_commit(self):
        client = OneOwnerClient(Term(1, "vm-1", "vm-1-i", "vm-1"))
        client.is_up = False
        self._store(client.term)
        follower = self._follow(client)
        sleep(1.0)
        stored_s = self._store(client.term)
        until_s = self._commands_until_s(follower)
        self.assertThat(until_s, GreaterThan(stored_s + OWNER_LEASE_S))

    def test_earlier_owners_are_not_asked_once_their_leases_have_expired(self):
        term = Term(2, "vm-1", "vm-1-i", "vm-1", unconfirmed=("vm-0",))
        self._store(term)
        client = OneOwnerClient(term)
        follower = self._follow(client)
        wait_until(lambda: follower.current_term.epoch == 2)
        follower._sighting = follower._sighting._replace(epoch_read_s=monotonic() - OWNER_LEASE_S)
        self._store(term._replace(owner=NO_OWNER))
        client.has_ended = True
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(follower.dispatcher.late_jobs.may_be_started, Equals(False))
        self.assertThat(self.unconfirmed, Equals(()))

    def test_leases_of_earlier_owners_do_not_begin_anew_with_each_owner(self):
        term = Term(2, "vm-1", "vm-1-i", "vm-1", unconfirmed=("vm-0",))
        stored_s = self._store(term)
        client = OneOwnerClient(term)
        follower = self._follow(client)
        sleep(1.0)
        self._store(term._replace(owner=NO_OWNER))
        client.has_ended = True
        until_s = self._commands_until_s(follower)
        self.assertThat(until_s, LessThan(stored_s + OWNER_LEASE_S + READ_LIMIT_S))
        self.assertThat(until_s, GreaterThan(stored_s + OWNER_LEASE_S))
        self.assertThat(self.unconfirmed, Equals(("vm-0",)))

    def _store_succession(self, *fields):
        put = Put(SUCCESSION_KEY, Succession(*fields))
        self.harness.table.commit(Transaction((), (put,)))

    def _replace_silent_owner(self, term):
        """Let an owner be taken for lost, and return its successor."""
        client = OneOwnerClient(term)
        client.is_up = False
        self._store(term)
        follower = self._follow(client)
        wait_until(lambda: follower.dispatcher is not None)
        return follower

    def test_lost_owner_that_had_not_begun_to_act_is_not_waited_for(self):
        """It cannot store any more that it may send commands."""
        self._store_succession(2, 1, True)
        follower = self._replace_silent_owner(Term(2, "vm-1", "vm-1-i", "vm-1"))
        self.assertThat(self._commands_until_s(follower), LessThan(monotonic()))
        self.assertThat(self.unconfirmed, Equals(()))
        self.assertThat(follower.dispatcher.late_jobs.may_be_started, Equals(False))

    def test_lost_owner_that_had_not_begun_to_act_leaves_those_before_it_to_be_asked(self):
        self._store_succession(2, 1, True)
        term = Term(2, "vm-1", "vm-1-i", "vm-1", unconfirmed=("vm-0",))
        follower = self._replace_silent_owner(term)
        self.assertThat(self._commands_until_s(follower), GreaterThan(monotonic()))
        self.assertThat(self.unconfirmed, Equals(("vm-0",)))
        self.assertThat(follower.dispatcher.late_jobs.may_be_started, Equals(True))

    def _check_waited_for(self):
        follower = self._replace_silent_owner(Term(2, "vm-1", "vm-1-i", "vm-1"))
        self.assertThat(self._commands_until_s(follower), GreaterThan(monotonic()))
        self.assertThat(self.unconfirmed, Equals(("vm-1",)))
        self.assertThat(follower.dispatcher.late_jobs.may_be_started, Equals(True))

    def test_lost_owner_that_may_have_sent_commands_is_waited_for(self):
        self._store_succession(2, 2, True)
        self._check_waited_for()

    def test_lost_owner_that_may_have_extended_leases_is_waited_for(self):
        self._store_succession(2, 1, True, 2)
        self._check_waited_for()

    def test_lost_owner_that_has_not_stored_whether_it_acts_is_waited_for(self):
        self._store_succession(1, 1, True)
        self._check_waited_for()

    def test_release_that_is_stored_after_the_owner_has_stepped_down_is_noticed_at_once(self):
        """An owner that leaves stops before it commits what it has queued and its handover."""
        term = Term(1, "vm-1", "vm-1-i", "vm-1")
        self._store(term)
        client = OneOwnerClient(term)
        follower = self._follow(client)
        wait_until(lambda: follower.current_term.epoch == 1)
        client.has_ended = True
        sleep(0.2)
        released_s = self._store(term._replace(owner=NO_OWNER))
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(monotonic() - released_s, LessThan(READ_LIMIT_S))
