"""Tests of leader election: entries that watch an owner and take over, on one in-memory table."""

from collections import defaultdict
from json import loads
from time import monotonic
from time import time
from types import SimpleNamespace

from gevent import sleep
from gevent import spawn
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import LessThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import ConnectionRefused
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.leadership.leadership import EntryIdentity
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.leadership.leadership import LeadershipContext
from laburnumswitch.process.leadership.leadership import RETRY_S
from laburnumswitch.process.leadership.leadership import SILENT_TAKEOVER_WAIT_S
from laburnumswitch.process.leadership.leadership import SLOW_READ_S
from laburnumswitch.process.leadership.leadership import WATCH_WAIT_S
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.peer_api import make_leadership_peer_handler
from laburnumswitch.process.leadership.succession import decode_succession
from laburnumswitch.process.leadership.succession import may_send_commands
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import read_term
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.leadership.term import VersionedTerm
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import FeedMemoryTable
from tests.process.dispatch.harness import wait_until

# Within this time, in seconds, an entry without the store knows and reaches a new owner.
FIND_LIMIT_S = 1.0


class FakeRecorder:
    def __init__(self, table, held_term):
        self.table = table
        self.held_term = held_term
        self.unconfirmed = held_term.term.unconfirmed
        self.is_lost = False
        self.awaits_commit = False

    def require_commit(self):
        self.awaits_commit = True

    def touch(self):
        self.table.commit(Transaction((), (Put(TERM_KEY, self.held_term.term),)))

    def release(self):
        self.table.commit(Transaction((), (Put(TERM_KEY, self.held_term.term._replace(owner="")),)))
        self.is_lost = True


class FakeDispatcher:
    def __init__(self, table, held, predecessor):
        self.epoch = held.term.epoch
        self.predecessor = predecessor
        self.recorder = FakeRecorder(table, held)
        self.stopped = Event()
        self.is_loaded = Event()
        self.settled = predecessor is PredecessorState.ENDED
        self.predecessor_ended = False
        self._announce_commands(table)

    def _announce_commands(self, table):
        """Store that this owner may send commands, as one does once it has loaded."""
        stored = decode_succession(table.peek(SUCCESSION_KEY))
        if stored is not None:
            put = Put(SUCCESSION_KEY, may_send_commands(stored))
            table.commit(Transaction((), (put,)))

    def is_stopped(self):
        return self.stopped.is_set() or self.recorder.is_lost

    def stop(self):
        self.stopped.set()

    def supersede(self):
        self.stop()

    def release(self):
        self.stop()
        self.recorder.release()

    def spawn(self, function, *arguments):
        spawn(function, *arguments)

    def note_predecessor_ended(self):
        self.predecessor_ended = True


class FakeOwnerClient:
    """Calls the entries in memory; those in ``refusing``, ``silent`` and ``unreachable`` fail.

    Those in ``earlier_versions`` do not say which term they have ended.
    """

    def __init__(self):
        self.leadership_by_address = {}
        self.refusing = set()
        self.silent = set()
        self.unreachable = set()
        self.earlier_versions = set()
        self.store_silent_s = 0.0
        self.watch_timeout_s = 0.0
        self.supersede_timeout_s = 0.0
        self.waits_by_watcher = defaultdict(list)

    def watch(self, address, identity, wait_s, timeout_s):
        self.waits_by_watcher[identity.vm_id].append(wait_s)
        sleep(0.02)
        if address in self.refusing:
            return ConnectionRefused(address, "refused")
        if address in self.unreachable:
            return ConnectFailed(address, "timeout")
        if address in self.silent:
            sleep(self.watch_timeout_s)
            return AnswerLost(address, "timeout")
        owner = self.leadership_by_address[address]
        owner.note_watcher(identity.vm_id, identity.cpu_cores, identity.address)
        dispatcher = owner.dispatcher
        is_owner = dispatcher is not None and not dispatcher.is_stopped()
        epoch = dispatcher.epoch if is_owner else 0
        candidates = owner.candidates()
        silent_s = self.store_silent_s
        answer = WatchAnswer(epoch, f"{address}-i", is_owner, candidates, {"orders": 2}, silent_s)
        peers = owner.peer_addresses() if is_owner else ()
        return answer._replace(
            known_term=owner.current_term,
            peer_addresses=peers,
            ended_epoch=None if address in self.earlier_versions else owner.ended_epoch(),
        )

    def supersede(self, address, term):
        if address in self.refusing | self.silent | self.unreachable:
            sleep(self.supersede_timeout_s)
            return AnswerLost(address, "timeout")
        entry = self.leadership_by_address[address]
        if isinstance(entry, Leadership):
            entry.supersede(term.epoch)
            entry.note_term(term)
        return True


class TestLeadership(TestCase):
    def setUp(self):
        super().setUp()
        self.table = FeedMemoryTable()
        self.owner_client = FakeOwnerClient()
        self.is_stopped = False
        self.addCleanup(setattr, self, "is_stopped", True)

    def _add_entry(self, vm_id, cpu_cores):
        def start_dispatcher(held, proved_s, predecessor):
            return FakeDispatcher(self.table, held, predecessor.state)

        leadership = Leadership(
            LeadershipContext(
                EntryIdentity(vm_id, f"{vm_id}-i", vm_id, cpu_cores),
                self.table,
                self.owner_client,
                start_dispatcher,
                DecisionLog(vm_id, time, 10_000),
                monotonic,
                monotonic,
                sleep,
                lambda: self.is_stopped,
            )
        )
        self.owner_client.leadership_by_address[vm_id] = leadership
        spawn(leadership.run)
        return leadership

    def _add_stopped_entry(self, vm_id):
        term = VersionedTerm(Term(1, vm_id, f"{vm_id}-i", vm_id), 1)
        entry = SimpleNamespace(dispatcher=FakeDispatcher(self.table, term, PredecessorState.ENDED))
        self.owner_client.leadership_by_address[vm_id] = entry

    def _owner_and_follower(self):
        owner = self._add_entry("vm-1", 2.0)
        wait_until(lambda: owner.dispatcher is not None)
        follower = self._add_entry("vm-2", 2.0)
        wait_until(lambda: follower.pending_by_queue == {"orders": 2})
        return owner, follower

    def test_first_watch_of_a_new_owner_is_not_held(self):
        """The follower would otherwise keep what the earlier owner reported for a second more."""
        owner, follower = self._owner_and_follower()
        self._expect_first_watch_not_held("vm-2")
        owner.release()
        wait_until(lambda: follower.dispatcher is not None)
        self._expect_first_watch_not_held("vm-1")

    def _expect_first_watch_not_held(self, watcher):
        waits = self.owner_client.waits_by_watcher[watcher]
        wait_until(lambda: len(waits) >= 3)
        self.assertThat(waits[:3], Equals([0.0, WATCH_WAIT_S, WATCH_WAIT_S]))

    def test_one_of_several_becomes_the_owner_at_the_first_start(self):
        entries = [self._add_entry(f"vm-{number}", 1.0) for number in range(4)]
        wait_until(lambda: any(each.dispatcher for each in entries))
        sleep(0.5)
        self.assertThat(sum(each.dispatcher is not None for each in entries), Equals(1))

    def test_graceful_release_hands_over_at_once(self):
        owner, follower = self._owner_and_follower()
        owner.release()
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(follower.dispatcher.predecessor, Equals(PredecessorState.ENDED))
        self.assertThat(read_term(self.table).term.epoch, Equals(2))

    def test_entry_that_stops_while_it_takes_over_leaves_gracefully(self):
        """Its successor would otherwise find a dead owner, and wait for its lease as well."""
        commit = self.table.commit

        def commit_and_stop(transaction):
            outcome = commit(transaction)
            if not self.is_stopped:
                self.is_stopped = True
                entry.release()
            return outcome

        self.table.commit = commit_and_stop
        entry = self._add_entry("vm-1", 2.0)
        wait_until(lambda: read_term(self.table).term.epoch == 1)
        wait_until(lambda: read_term(self.table).term.owner == "", limit_s=3.0)
        self.assertThat(entry.dispatcher, Is(None))

    def test_owner_that_learns_late_of_its_term_acts_only_after_a_commit(self):
        """Others see an entry that does not act as the owner, and may have replaced it."""
        self._delay_answer(lambda: read_term(self.table).term.epoch < 2)
        first = self._add_entry("vm-1", 2.0)
        wait_until(lambda: read_term(self.table).term.epoch == 1)
        self.owner_client.unreachable.add("vm-1")
        second = self._add_entry("vm-2", 2.0)
        wait_until(lambda: first.dispatcher is not None)
        wait_until(lambda: second.dispatcher is not None)
        self.assertThat(second.dispatcher.predecessor, Equals(PredecessorState.SILENT))
        self.assertThat(second.dispatcher.predecessor_ended, Equals(False))
        self.assertThat(first.dispatcher.recorder.awaits_commit, Equals(True))

    def test_owner_that_says_that_it_has_stepped_down_has_ended(self):
        owner, follower = self._owner_and_follower()
        # With the store, it would take its own term again.
        self._cut(owner)
        owner.dispatcher.stop()
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(follower.dispatcher.predecessor, Equals(PredecessorState.ENDED))

    def test_owner_that_acts_under_an_earlier_term_has_not_ended(self):
        """Only the answer that a term has ended tells that its owner sends no more commands."""
        self.owner_client.supersede = lambda address, term: AnswerLost(address, "timeout")
        owner = self._add_entry("vm-1", 2.0)
        wait_until(lambda: owner.dispatcher is not None)
        term = read_term(self.table).term._replace(epoch=2)
        self.table.commit(Transaction((), (Put(TERM_KEY, term),)))
        follower = self._add_entry("vm-2", 2.0)
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(owner.dispatcher.is_stopped(), Equals(False))
        self.assertThat(follower.dispatcher.predecessor, Equals(PredecessorState.SILENT))

    def test_owner_of_an_earlier_version_that_does_not_act_may_begin_to(self):
        self.owner_client.earlier_versions.add("vm-1")
        self._delay_answer(lambda: read_term(self.table).term.epoch < 2)
        self._add_entry("vm-1", 2.0)
        wait_until(lambda: read_term(self.table).term.epoch == 1)
        second = self._add_entry("vm-2", 2.0)
        wait_until(lambda: second.dispatcher is not None)
        self.assertThat(second.dispatcher.predecessor, Equals(PredecessorState.SILENT))

    def test_only_a_later_term_ends_that_of_the_owner(self):
        owner = self._add_entry("vm-1", 2.0)
        wait_until(lambda: owner.dispatcher is not None)
        dispatcher = owner.dispatcher
        owner.supersede(dispatcher.epoch)
        self.assertThat(dispatcher.is_stopped(), Equals(False))
        owner.supersede(dispatcher.epoch + 1)
        self.assertThat(dispatcher.is_stopped(), Equals(True))

    def _delay_answer(self, is_delayed):
        """Delay the answer to the first commit for as long as ``is_delayed``.

        Nothing is stored of the succession, as by an earlier version: the owner may begin to act.
        """
        commit = self.table.commit

        def commit_and_answer_late(transaction):
            self.table.commit = commit
            outcome = commit(transaction)
            commit(Transaction((), (), (SUCCESSION_KEY,)))
            wait_until(lambda: not is_delayed())
            return outcome

        self.table.commit = commit_and_answer_late

    def test_owner_whose_predecessor_does_not_answer_keeps_the_term(self):
        """Others watch it while it asks, and would otherwise see an entry that does not act."""
        self.owner_client.supersede_timeout_s = 1.5
        owner, follower = self._owner_and_follower()
        smaller = self._add_entry("vm-3", 1.0)
        wait_until(lambda: owner.candidates() == ("vm-2", "vm-3"))
        self.owner_client.silent.add("vm-1")
        wait_until(lambda: read_term(self.table).term.epoch == 2)
        sleep(2.5)
        self.assertThat(read_term(self.table).term.epoch, Equals(2))
        self.assertThat(follower.dispatcher.epoch, Equals(2))
        self.assertThat(smaller.dispatcher, Is(None))

    def test_owner_that_is_slow_to_begin_keeps_the_term(self):
        answered_s = monotonic() + 1.0
        self._delay_answer(lambda: monotonic() < answered_s)
        first = self._add_entry("vm-1", 2.0)
        wait_until(lambda: read_term(self.table).term.epoch == 1)
        self._add_entry("vm-2", 2.0)
        sleep(2.5)
        self.assertThat(read_term(self.table).term.epoch, Equals(1))
        self.assertThat(first.dispatcher.epoch, Equals(1))

    def test_owner_that_is_slow_to_begin_does_not_count_as_ended(self):
        self._delay_answer(lambda: read_term(self.table).term.epoch < 2)
        self._add_entry("vm-1", 2.0)
        wait_until(lambda: read_term(self.table).term.epoch == 1)
        second = self._add_entry("vm-2", 2.0)
        wait_until(lambda: second.dispatcher is not None)
        self.assertThat(second.dispatcher.predecessor, Equals(PredecessorState.SILENT))

    def test_entry_that_was_superseded_before_it_began_does_not_act(self):
        """Its answer to the successor says that it sends no more commands."""
        is_delayed = [True]
        self._delay_answer(lambda: is_delayed[0])
        entry = self._add_entry("vm-1", 2.0)
        wait_until(lambda: read_term(self.table).term.epoch == 1)
        operations = Operations(DecisionLog("vm-1", time, 1000))
        handle = make_leadership_peer_handler(lambda: entry, "vm-1-i", operations, monotonic)
        self.owner_client.silent.add("vm-2")
        self.table.commit(Transaction((), (Put(TERM_KEY, Term(2, "vm-2", "vm-2-i", "vm-2")),)))
        request = AdminRequest("POST", ("supersede", "2"), {}, {}, b"")
        self.assertThat(handle(request).body, Equals(b"true"))
        is_delayed[0] = False
        sleep(0.1)
        self.assertThat(entry.dispatcher, Is(None))

    def test_dead_owner_is_replaced(self):
        owner, follower = self._owner_and_follower()
        self.owner_client.refusing.add("vm-1")
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(follower.dispatcher.predecessor, Equals(PredecessorState.REFUSING))

    def test_wait_for_an_owner_that_is_lost_right_after_its_takeover_does_not_begin_anew(self):
        """Its term has been unchanged for as long as its entry has not answered."""
        self.owner_client.silent.add("vm-0")
        self.owner_client.watch_timeout_s = 1.2
        self.table.commit(Transaction((), (Put(TERM_KEY, Term(1, "vm-0", "vm-0-i", "vm-0")),)))
        follower = self._add_entry("vm-1", 2.0)
        began_s = monotonic()
        wait_until(lambda: follower.dispatcher is not None)
        waited_s = monotonic() - began_s
        self.assertThat(waited_s, GreaterThan(SILENT_TAKEOVER_WAIT_S))
        self.assertThat(waited_s, LessThan(SILENT_TAKEOVER_WAIT_S + 0.5))

    def test_dead_owner_is_replaced_although_the_store_is_slow(self):
        self.owner_client.refusing.add("vm-0")
        self.table.commit(Transaction((), (Put(TERM_KEY, Term(1, "vm-0", "vm-0-i", "vm-0")),)))
        read = self.table.read

        def read_slowly(keys):
            sleep(1.5 * SLOW_READ_S)
            return read(keys)

        self.table.read = read_slowly
        follower = self._add_entry("vm-1", 2.0)
        sleep(SILENT_TAKEOVER_WAIT_S)
        self.assertThat(follower.dispatcher, Is(None))
        wait_until(lambda: follower.dispatcher is not None, limit_s=4.0)

    def test_silent_owner_that_commits_keeps_the_term(self):
        owner, follower = self._owner_and_follower()
        self.owner_client.silent.add("vm-1")
        for _ in range(30):
            owner.dispatcher.recorder.touch()
            sleep(0.1)
        self.assertThat(follower.dispatcher, Is(None))

    def test_silent_owner_may_still_act(self):
        owner, follower = self._owner_and_follower()
        self.owner_client.silent.add("vm-1")
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(follower.dispatcher.predecessor, Equals(PredecessorState.SILENT))

    def test_owner_that_cannot_be_reached_may_still_act(self):
        """Connecting through a partition times out; only a refusal shows that nobody listens."""
        owner, follower = self._owner_and_follower()
        self.owner_client.unreachable.add("vm-1")
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(follower.dispatcher.predecessor, Equals(PredecessorState.SILENT))

    def test_silent_owner_is_asked_until_it_confirms_its_end(self):
        owner, follower = self._owner_and_follower()
        self.owner_client.silent.add("vm-1")
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(follower.dispatcher.predecessor_ended, Equals(False))
        self.owner_client.silent.clear()
        wait_until(lambda: follower.dispatcher.predecessor_ended)

    def test_takeover_logs_how_long_no_owner_acted_and_whether_its_end_is_confirmed(self):
        owner, follower = self._owner_and_follower()
        self.owner_client.silent.add("vm-1")
        lost_s = monotonic()
        wait_until(lambda: follower.dispatcher is not None)
        unowned_s = monotonic() - lost_s
        sleep(RETRY_S)
        self.owner_client.silent.clear()
        wait_until(lambda: follower.dispatcher.predecessor_ended)
        lines = [loads(line) for line in follower._context.log.take().splitlines()]
        by_event = {line["event"]: line for line in lines}
        takeover = by_event["takeover"]
        self.assertThat(takeover["unconfirmed"], Equals(["vm-1"]))
        self.assertThat(abs(takeover["unowned_s"] - unowned_s), LessThan(0.2))
        self.assertThat(by_event["predecessor_unconfirmed"]["attempts"], Equals(1))
        self.assertThat(by_event["predecessor_confirmed"]["address"], Equals("vm-1"))
        self.assertThat(by_event["predecessor_confirmed"]["attempts"], GreaterThan(1))

    def test_owner_without_store_confirms_that_it_was_superseded(self):
        owner, follower = self._owner_and_follower()
        first = owner.dispatcher
        self.owner_client.store_silent_s = 5.0
        wait_until(lambda: follower.dispatcher is not None)
        self.assertThat(follower.dispatcher.predecessor, Equals(PredecessorState.SILENT))
        wait_until(lambda: follower.dispatcher.predecessor_ended)
        self.assertThat(first.is_stopped(), Equals(True))

    def test_owner_without_store_watches_its_successor(self):
        """It would otherwise learn of no configuration until the store serves it again."""
        owner, follower = self._owner_and_follower()
        self._cut(owner)
        self.owner_client.store_silent_s = 5.0
        wait_until(lambda: follower.dispatcher is not None)
        self.owner_client.store_silent_s = 0.0
        wait_until(lambda: owner.current_term.owner == "vm-2")
        wait_until(lambda: "vm-1" in follower.watcher_by_vm)

    def _cut(self, entry, wait_s=0.0):
        def refuse(*arguments):
            sleep(wait_s)
            return Unavailable("refused")

        table = SimpleNamespace(read=refuse, commit=refuse)
        entry._context = entry._context._replace(table=table)

    def test_entry_without_store_finds_the_successor_of_a_dead_owner(self):
        """Only the entries that watched the owner with it can tell who the new one is."""
        owner, follower = self._owner_and_follower()
        cut = self._add_entry("vm-3", 2.0)
        wait_until(lambda: {"vm-2", "vm-3"} <= set(cut._peer_addresses))
        self._cut(cut)
        self.owner_client.refusing.add("vm-1")
        wait_until(lambda: follower.dispatcher is not None)
        wait_until(lambda: cut.current_term.owner == "vm-2")
        wait_until(lambda: "vm-3" in follower.watcher_by_vm)

    def test_entries_without_store_find_a_new_owner_while_other_calls_wait(self):
        """They answered 503 for seconds: calls in turn each took until their time limits."""
        owner, follower = self._owner_and_follower()
        cut = [self._add_entry(f"vm-{number}", 2.0) for number in range(3, 7)]
        wait_until(lambda: all(len(each._peer_addresses) == 5 for each in cut))
        for each in cut:
            self._cut(each, wait_s=1.0)
        self.owner_client.watch_timeout_s = 1.5
        self.owner_client.silent |= {"vm-1", "vm-3"}
        wait_until(lambda: follower.dispatcher is not None)
        taken_s = monotonic()
        wait_until(lambda: all(each.current_term.owner == "vm-2" for each in cut))
        wait_until(lambda: not any(each.owner_reach.is_away() for each in cut))
        self.assertThat(monotonic() - taken_s, LessThan(FIND_LIMIT_S))

    def test_term_that_another_entry_tells_is_only_taken_if_it_is_later(self):
        follower = self._add_entry("vm-9", 2.0)
        self.is_stopped = True
        follower.current_term = Term(5, "vm-1", "i", "vm-1")
        for epoch in (4, 5):
            follower.note_term(Term(epoch, "vm-2", "i", "vm-2"))
            self.assertThat(follower.current_term.owner, Equals("vm-1"))

    def test_own_term_of_an_earlier_process_is_taken_at_once(self):
        self.table.commit(Transaction((), (Put(TERM_KEY, Term(7, "vm-1", "old", "vm-1")),)))
        owner = self._add_entry("vm-1", 2.0)
        wait_until(lambda: owner.dispatcher is not None)
        self.assertThat(owner.dispatcher.epoch, Equals(8))
        self.assertThat(owner.dispatcher.predecessor, Equals(PredecessorState.ENDED))

    def test_owner_that_ended_before_it_had_settled_leaves_earlier_owners_unknown(self):
        """An owner before it may be cut off and still send commands until its own lease expires."""
        self.owner_client.silent.add("vm-0")
        term = Term(7, "vm-1", "old", "vm-1", unconfirmed=("vm-0", "vm-1"))
        self.table.commit(Transaction((), (Put(TERM_KEY, term),)))
        owner = self._add_entry("vm-1", 2.0)
        wait_until(lambda: owner.dispatcher is not None)
        self.assertThat(owner.dispatcher.predecessor, Equals(PredecessorState.UNSETTLED))
        self.assertThat(owner.dispatcher.recorder.unconfirmed, Equals(("vm-0",)))
        self.assertThat(read_term(self.table).term.unconfirmed, Equals(("vm-0",)))
        self.assertThat(owner.dispatcher.predecessor_ended, Equals(False))

    def test_ends_of_all_earlier_owners_are_confirmed(self):
        self.owner_client.silent.update(("vm-0", "vm-1"))
        term = Term(7, "vm-1", "old", "vm-1", unconfirmed=("vm-0",))
        self.table.commit(Transaction((), (Put(TERM_KEY, term),)))
        owner = self._add_entry("vm-2", 2.0)
        wait_until(lambda: owner.dispatcher is not None)
        for address in ("vm-0", "vm-1"):
            self._add_stopped_entry(address)
        self.assertThat(owner.dispatcher.predecessor_ended, Equals(False))
        self.owner_client.silent.remove("vm-0")
        wait_until(lambda: owner.dispatcher.recorder.unconfirmed == ("vm-1",))
        self.assertThat(owner.dispatcher.predecessor_ended, Equals(False))
        self.owner_client.silent.remove("vm-1")
        wait_until(lambda: owner.dispatcher.predecessor_ended)

    def test_small_owner_that_never_settles_hands_over_as_well(self):
        """A small owner of a large fleet may be too slow to reach all workers in time."""
        owner = self._add_entry("vm-1", 0.5)
        wait_until(lambda: owner.dispatcher is not None)
        owner.dispatcher.settled = False
        larger = self._add_entry("vm-2", 2.0)
        wait_until(lambda: larger.dispatcher is not None)
        self.assertThat(owner.dispatcher, Is(None))

    def test_small_owner_hands_over_to_a_larger_entry(self):
        owner = self._add_entry("vm-1", 0.5)
        wait_until(lambda: owner.dispatcher is not None)
        larger = self._add_entry("vm-2", 2.0)
        wait_until(lambda: larger.dispatcher is not None)
        self.assertThat(owner.dispatcher, Is(None))

    def test_largest_candidates_come_first(self):
        owner = self._add_entry("vm-1", 2.0)
        owner.note_watcher("small", 0.5)
        owner.note_watcher("large", 2.0)
        self.assertThat(owner.candidates(), Equals(("large", "small")))

    def _free_term_of_an_owner_whose_candidates_have_left(self):
        """Follow an owner as its last candidate, behind three that have left; the term is free."""
        owner = self._add_entry("vm-1", 2.0)
        wait_until(lambda: owner.dispatcher is not None)
        for number in range(3):
            owner.note_watcher(f"left-{number}", 3.0)
        larger = self._add_entry("vm-2", 2.0)
        wait_until(lambda: larger.pending_by_queue == {"orders": 2})
        self._cut(owner)
        owner.release()
        return larger

    def test_small_entry_that_has_just_started_leaves_the_free_term_to_a_larger_one(self):
        """It would load the jobs several times as long, and hand over to the larger one after."""
        larger = self._free_term_of_an_owner_whose_candidates_have_left()
        small = self._add_entry("vm-3", 0.5)
        wait_until(lambda: larger.dispatcher is not None or small.dispatcher is not None)
        self.assertThat(small.dispatcher, Is(None))
        self.assertThat(larger.dispatcher.predecessor, Equals(PredecessorState.ENDED))

    def test_small_entries_take_a_free_term_that_no_larger_one_takes(self):
        began_s = monotonic()
        smallest = self._add_entry("vm-1", 0.05)
        wait_until(lambda: smallest.dispatcher is not None)
        self.assertThat(monotonic() - began_s, LessThan(1.5))
