"""Relay of configurations between entries that the store does not serve and others that it does.

A revoked key was accepted by an entry for as long as the store did not serve it.
"""

from time import time

from gevent import sleep
from gevent import spawn
from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.connection.lenient import decode_known_fields
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import Refused
from laburnumswitch.process.leadership.configuration_relay import ConfigurationRelay
from laburnumswitch.process.leadership.configuration_relay import encode_state
from laburnumswitch.process.leadership.leadership import EntryIdentity
from laburnumswitch.process.leadership.messages import RelayedConfiguration
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.peer_api import make_leadership_peer_handler
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.operations import FROM_STORE
from laburnumswitch.process.operating.operations import Operations
from tests.fakes import FakeClock
from tests.process.dispatch.harness import wait_until
from tests.process.leadership.test_peer_api import FakeDispatcher
from tests.request.test_authentication import make_configuration

OWNER = "10.0.0.9:1"
WATCHER = EntryIdentity("vm-2", "i2", "10.0.0.8:1", 1.0)
FIRST_AGE_S = 3.0
# Versions before the relay send these fields only.
EARLIER_ANSWER_FIELDS = WatchAnswer._fields.index("configuration")


class FakeLeadership:
    """An owner, as its peer handler sees it."""

    def __init__(self):
        self.dispatcher = FakeDispatcher()
        self.dispatcher.is_loaded.set()
        self.current_term = Term(7, "vm-1", "i1", OWNER)

    def note_watcher(self, vm_id, cpu_cores, address=""):
        pass

    def candidates(self):
        return ()

    def peer_addresses(self):
        return ()

    def ended_epoch(self):
        return 0

    def note_term(self, term):
        self.current_term = term


class MemoryPeers:
    """Calls to the handler of the owner's entry, encoded and decoded as on the wire."""

    def __init__(self, handler):
        self.handler = handler
        self.is_lost = False
        self.is_earlier_version = False
        self.bodies = []
        self.held_requests = None
        self.changed_body = None

    def watch(self, address, identity, wait_s, timeout_s, state):
        fields = {"vm": identity.vm_id, "cores": identity.cpu_cores, "wait": wait_s}
        if not self.is_earlier_version:
            fields |= encode_state(state)
        query = {name: str(value) for name, value in fields.items()}
        if self.held_requests is not None:
            self.held_requests.append(query)
            return AnswerLost(address, "timeout")
        answer = self._call("GET", "watch", query, b"", WatchAnswer)
        if self.is_earlier_version and isinstance(answer, WatchAnswer):
            return WatchAnswer(*answer[:EARLIER_ANSWER_FIELDS])
        return answer

    def fetch_configuration(self, address):
        return self._call("GET", "configuration", {}, b"", RelayedConfiguration)

    def send_configuration(self, address, relayed):
        return self._call("POST", "configuration", {}, encode(relayed), bool)

    def _call(self, method, name, query, body, answer_type):
        if self.is_lost:
            return AnswerLost(OWNER, "timeout")
        self.bodies.append((method, name, body))
        reply = self.handler(AdminRequest(method, (name,), query, {}, body))
        if reply.status != 200:
            return Refused(OWNER, reply.status, "")
        body = reply.body if name == "watch" else self.changed_body or reply.body
        try:
            return decode_known_fields(body, answer_type)
        except (DecodeError, ValidationError) as error:
            return AnswerMalformed(OWNER, str(error))


class RelayCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.leadership = FakeLeadership()
        self.owner = Operations(DecisionLog("vm-1", time, 1000))
        handler = make_leadership_peer_handler(
            lambda: self.leadership, "i1", self.owner, self.clock
        )
        self.peers = MemoryPeers(handler)
        self.watcher = Operations(DecisionLog("vm-2", time, 1000))
        self.relay = self._make_relay(self.watcher)

    def _make_relay(self, operations):
        return ConfigurationRelay(
            operations,
            self.peers,
            self.clock,
            self.clock.sleep,
            lambda: 0.0,
            lambda: FIRST_AGE_S,
        )

    def _read_store(self, operations, version, *keys):
        operations.adopt(make_configuration(version, depot=keys), FROM_STORE)
        operations.note_confirmed(self.clock())

    def _watch(self, wait_s=0.0):
        answer = self.relay.watch(OWNER, WATCHER, wait_s, 1.0)
        self.relay.exchange()
        return answer

    def _digests(self, operations):
        return operations.configuration.organisations_by_name["depot"].key_digests


class TestVersions(RelayCase):
    def test_entry_without_the_store_learns_a_version_from_the_owner(self):
        self._read_store(self.watcher, 3, "k1", "k2")
        self._read_store(self.owner, 4, "k2")
        self._watch()
        self.assertThat(self.watcher.configuration, Equals(self.owner.configuration))
        self.assertThat(self.watcher.log.take(), Contains(b'"before":3,"source":"peer"'))

    def test_owner_without_the_store_learns_a_version_from_a_watcher(self):
        self._read_store(self.owner, 3, "k1", "k2")
        self._read_store(self.watcher, 4, "k2")
        self._watch()
        self.assertThat(self.owner.configuration, Equals(self.watcher.configuration))

    def test_version_learned_from_a_peer_survives_an_older_one_in_the_feed(self):
        """A feed that was delayed would otherwise put a revoked key in force again."""
        self._read_store(self.watcher, 3, "k1", "k2")
        self._read_store(self.owner, 5, "k2")
        self._watch()
        for version in (3, 4, 5):
            self.watcher.apply(make_configuration(version, depot=("k1", "k2")))
        self.assertThat(self.watcher.version(), Equals(5))
        self.assertThat(self._digests(self.watcher), Equals(self._digests(self.owner)))

    def test_late_message_with_an_older_version_changes_nothing(self):
        self._read_store(self.owner, 5, "k2")
        old = RelayedConfiguration(make_configuration(4, depot=("k1",)), 0.0)
        self.peers.send_configuration(OWNER, old)
        self.assertThat(self.owner.version(), Equals(5))

    def test_owner_that_adopts_a_version_ends_held_watches(self):
        """The version would otherwise reach the other watchers a second later."""
        self._read_store(self.watcher, 3)
        self._read_store(self.owner, 3)
        greenlet = spawn(self.relay.watch, OWNER, WATCHER, 60.0, 60.0)
        sleep(0.05)
        self.assertThat(greenlet.ready(), Equals(False))
        self._read_store(self.owner, 4)
        self.assertThat(greenlet.get(timeout=1.0).configuration, Equals(4))

    def test_running_relay_exchanges_after_answers_and_adoptions(self):
        is_stopped = []
        self.addCleanup(is_stopped.append, True)
        spawn(self.relay.run, lambda: bool(is_stopped))
        self._read_store(self.watcher, 3)
        self._read_store(self.owner, 4)
        self.relay.watch(OWNER, WATCHER, 0.0, 1.0)
        wait_until(lambda: self.watcher.version() == 4)
        self._read_store(self.watcher, 5)
        wait_until(lambda: self.owner.version() == 5)

    def test_lost_messages_are_repeated_with_the_next_watch(self):
        self._read_store(self.watcher, 3)
        self._read_store(self.owner, 4)
        self.relay.watch(OWNER, WATCHER, 0.0, 1.0)
        self.peers.is_lost = True
        self.relay.exchange()
        self.assertThat(self.watcher.version(), Equals(3))
        self.peers.is_lost = False
        self._watch()
        self.assertThat(self.watcher.version(), Equals(4))

    def test_keys_are_sent_as_digests_only(self):
        self._read_store(self.owner, 3)
        self._read_store(self.watcher, 4, "secret-key")
        self._watch()
        posted = [body for method, _, body in self.peers.bodies if method == "POST"]
        self.assertThat(len(posted), Equals(1))
        self.assertThat(b"secret-key" in posted[0], Equals(False))


class TestEarlierVersions(RelayCase):
    def test_entries_of_the_earlier_version_exchange_nothing(self):
        self._read_store(self.owner, 3)
        self._read_store(self.watcher, 4)
        self.peers.is_earlier_version = True
        answer = self._watch()
        self.assertThat((answer.is_owner, answer.configuration), Equals((True, 0)))
        self.assertThat([name for _, name, _ in self.peers.bodies], Equals(["watch"]))

    def test_answer_and_configuration_of_a_later_version_are_read(self):
        self._read_store(self.owner, 3, "k1")
        answer = encode((*self._watch(), "later"))
        self.assertThat(decode_known_fields(answer, WatchAnswer).configuration, Equals(3))
        relayed = decode(encode(RelayedConfiguration(self.owner.configuration, 1.0)))
        for queue in relayed[0][1].values():
            queue.append("later")
        for organisation in relayed[0][4].values():
            organisation.append("later")
        read = decode_known_fields(encode([*relayed, "later"]), RelayedConfiguration)
        self.assertThat(read.configuration, Equals(self.owner.configuration))


class TestMalformedMessages(RelayCase):
    """One malformed message must neither end a greenlet nor change what is in force."""

    def test_malformed_state_of_a_watcher_is_ignored(self):
        self._read_store(self.owner, 3)
        self.clock.sleep(10.0)
        before_s = self.owner.confirmed_s
        for changed in (
            {"configuration": "x"},
            {"configuration": "9" * 5000},
            {"configuration": "-1"},
            {"confirmed-age": "nan"},
            {"confirmed-age": "-1e9"},
            {"confirmed-age": "-inf"},
            {"answered": "nan"},
            {"answered": "inf"},
            {"answered": "x"},
        ):
            query = {"vm": "vm-2", "cores": "1.0", "wait": "0", "configuration": "3"}
            query |= {"confirmed-age": "0.5", "answered-by": "i1", "answered": "0.0", **changed}
            reply = self.peers.handler(AdminRequest("GET", ("watch",), query, {}, b""))
            self.assertThat(reply.status, Equals(200))
            self.assertThat(self.owner.confirmed_s <= self.clock(), Equals(True))
            self.assertThat(self.owner.version(), Equals(3))
        self.assertThat(self.owner.confirmed_s <= max(before_s, self.clock()), Equals(True))

    def test_malformed_configuration_of_the_owner_is_ignored(self):
        self._read_store(self.watcher, 3, "k1")
        self._read_store(self.owner, 4)
        confirmed_s = self.watcher.confirmed_s
        for body in (b"", b"{", b"null", b"[]", b"[[5]]", b'[["5",{},{}]]', b"[" * 9000):
            self.peers.changed_body = body or b"\x00"
            self._watch()
            self.assertThat(self.watcher.version(), Equals(3))
        self.assertThat(self.watcher.confirmed_s, Equals(confirmed_s))
        self.peers.changed_body = None
        self._watch()
        self.assertThat(self.watcher.version(), Equals(4))


class TestConfirmation(RelayCase):
    """How old a configuration may be is counted from a read of the store, not from a message."""

    def test_owner_confirms_the_configuration_of_a_watcher(self):
        self._read_store(self.watcher, 3)
        self._read_store(self.owner, 3)
        self.clock.sleep(4.0)
        self.owner.note_confirmed(self.clock() - 1.5)
        self._watch()
        self.assertThat(self.clock() - self.watcher.confirmed_s, Equals(1.5))

    def test_newer_version_of_the_owner_confirms_only_once_it_is_fetched(self):
        self._read_store(self.watcher, 3)
        confirmed_s = self.watcher.confirmed_s
        self.clock.sleep(4.0)
        self._read_store(self.owner, 4)
        self.relay.watch(OWNER, WATCHER, 0.0, 1.0)
        self.assertThat(self.watcher.confirmed_s, Equals(confirmed_s))
        self.relay.exchange()
        self.assertThat(self.watcher.confirmed_s, Equals(self.clock()))

    def test_watcher_confirms_the_configuration_of_the_owner(self):
        self._read_store(self.watcher, 3)
        self._read_store(self.owner, 3)
        self._watch()
        self.clock.sleep(4.0)
        self._watch()
        self.watcher.note_confirmed(self.clock())
        self._watch()
        self.assertThat(self.owner.confirmed_s, Equals(self.clock()))

    def test_request_that_was_held_up_does_not_confirm_from_its_arrival(self):
        """A process that was paused would take an old confirmation for a recent one."""
        self._read_store(self.watcher, 3)
        self._read_store(self.owner, 3)
        self._watch()
        self.clock.sleep(1.0)
        self.watcher.note_confirmed(self.clock())
        self.peers.held_requests = []
        self._watch()
        self.clock.sleep(20.0)
        self.peers.handler(AdminRequest("GET", ("watch",), self.peers.held_requests[0], {}, b""))
        self.assertThat(self.owner.confirmed_s, LessThan(self.clock() - 19.0))

    def test_confirmations_do_not_grow_younger_between_entries_without_the_store(self):
        """Two entries that are cut off together would otherwise confirm each other for ever."""
        self._read_store(self.watcher, 3)
        self._read_store(self.owner, 3)
        read_s = self.clock()
        for _ in range(20):
            self._watch()
            self.clock.sleep(1.0)
        for operations in (self.owner, self.watcher):
            self.assertThat(operations.confirmed_s <= read_s, Equals(True))


class TestRestart(RelayCase):
    """After a restart, a key that was revoked meanwhile must not be accepted again."""

    def test_restarted_entry_takes_only_a_version_that_was_read_just_now(self):
        self._read_store(self.owner, 4, "k1")
        self.clock.sleep(FIRST_AGE_S + 0.5)
        self._watch()
        self.assertThat(self.watcher.configuration, Equals(None))
        self.owner.note_confirmed(self.clock() - 1.0)
        self._watch()
        self.assertThat(self.watcher.version(), Equals(4))

    def test_restarted_entry_takes_no_version_that_never_was_confirmed(self):
        self.owner.adopt(make_configuration(4, depot=("k1",)), FROM_STORE)
        self._watch()
        self.assertThat(self.watcher.configuration, Equals(None))

    def test_restarted_owner_takes_no_version_from_a_message_of_unknown_age(self):
        self._read_store(self.watcher, 4, "k1")
        relayed = RelayedConfiguration(self.watcher.configuration, 0.0)
        self.assertThat(self.peers.send_configuration(OWNER, relayed), Equals(False))
        self.assertThat(self.owner.configuration, Equals(None))

    def test_answer_to_an_earlier_process_confirms_nothing(self):
        self._read_store(self.watcher, 3)
        self._watch()
        self.peers.handler = make_leadership_peer_handler(
            lambda: self.leadership, "i3", self.owner, self.clock
        )
        self.owner.adopt(make_configuration(3), FROM_STORE)
        self._watch()
        self.assertThat(self.owner.confirmed_s, Equals(float("-inf")))
