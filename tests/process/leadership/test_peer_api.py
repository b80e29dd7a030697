"""Answers of the owner to the entries that watch it."""

from types import SimpleNamespace

from gevent import spawn
from gevent.event import Event
from msgspec.json import decode
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.lenient import decode_known_fields
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.admission import FLEET_COMPLETE_S
from laburnumswitch.process.dispatch.commitment import UNKNOWN_RETRY_AFTER_S
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.leadership.messages import AdmissionAnswer
from laburnumswitch.process.leadership.messages import AdmissionRequest
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.owner_link import OwnerAccess
from laburnumswitch.process.leadership.peer_api import make_leadership_peer_handler
from laburnumswitch.process.leadership.peer_api import MAX_WATCH_WAIT_S
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.operating.admin import AdminRequest
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import QUEUE
from tests.process.dispatch.harness import wait_until

# Shorter than the owner holds a watch, by more than a busy machine delays a greenlet.
ANSWER_LIMIT_S = MAX_WATCH_WAIT_S / 2


class FakeDispatcher:
    def __init__(self):
        self.epoch = 7
        self.stopped = Event()
        self.is_loaded = Event()
        self.pending = {}
        self.recorder = SimpleNamespace(since_last_commit_s=lambda: 0.1)

    def is_stopped(self):
        return self.stopped.is_set()

    def pending_by_queue(self):
        return self.pending


class TestWatch(TestCase):
    def setUp(self):
        super().setUp()
        self.dispatcher = FakeDispatcher()
        self.watchers = []
        self.leadership = SimpleNamespace(
            dispatcher=self.dispatcher,
            note_watcher=lambda vm_id, cpu_cores: self.watchers.append(vm_id),
            candidates=lambda: tuple(self.watchers),
        )
        self.handle = make_leadership_peer_handler(lambda: self.leadership, "i1")

    def _watch(self, wait_s):
        query = {"vm": "vm-2", "cores": "2.0", "wait": str(wait_s)}
        return self.handle(AdminRequest("GET", ("watch",), query, {}, b"")).body

    def _watch_in_background(self):
        greenlet = spawn(self._watch, MAX_WATCH_WAIT_S)
        greenlet.join(0.05)
        self.assertThat(greenlet.ready(), Equals(False))
        return greenlet

    def _answer(self, greenlet):
        return decode_known_fields(greenlet.get(timeout=ANSWER_LIMIT_S), WatchAnswer)

    def test_owner_that_is_still_loading_says_so(self):
        answer = decode_known_fields(self._watch(0.0), WatchAnswer)
        self.assertThat((answer.is_owner, answer.knows_jobs), Equals((True, False)))

    def test_watch_is_answered_as_soon_as_the_owner_has_loaded(self):
        """Watchers would otherwise not know the number of pending jobs for up to a second more."""
        greenlet = self._watch_in_background()
        self.dispatcher.pending = {"orders": 6}
        self.dispatcher.is_loaded.set()
        answer = self._answer(greenlet)
        self.assertThat(answer.knows_jobs, Equals(True))
        self.assertThat(answer.pending_by_queue, Equals({"orders": 6}))

    def test_watch_is_answered_as_soon_as_an_owner_steps_down(self):
        for is_loaded in (False, True):
            self.dispatcher = self.leadership.dispatcher = FakeDispatcher()
            if is_loaded:
                self.dispatcher.is_loaded.set()
            greenlet = self._watch_in_background()
            self.dispatcher.stopped.set()
            self.assertThat(self._answer(greenlet).is_owner, Equals(False))

    def test_answer_of_the_previous_version_counts_as_known(self):
        self.dispatcher.is_loaded.set()
        fields = decode(self._watch(0.0))
        answer = WatchAnswer(*fields[:6])
        self.assertThat(answer.knows_jobs, Equals(True))


class TestOversizedJob(TestCase):
    def test_job_of_a_million_tasks_is_refused(self):
        """A message of a few bytes at the internal port made the owner create them all."""
        dispatcher = DispatchHarness().start_owner()
        self.addCleanup(dispatcher.stop)
        wait_until(dispatcher.is_loaded.is_set)
        handle = make_leadership_peer_handler(lambda: SimpleNamespace(dispatcher=dispatcher), "i1")
        job = Submission("5c0e7a21d94b36f8", QUEUE.name, "x", (Step(count=1_000_000),), 1.0)
        for call in ("submitted", "store"):
            reply = handle(AdminRequest("POST", (call,), {}, {}, encode(job)))
            self.assertThat((reply.status, dispatcher.jobs_by_id), Equals((400, {})))


class TestAdmission(TestCase):
    """Entries ask the owner whether it has room for a job that lasts."""

    REQUEST = AdmissionRequest("5c0e7a21d94b36f8", QUEUE.name, 9000)

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(lambda: self.owner.knows_listings and len(self.owner.workers_by_id) == 2)
        # The workers have been listed for a while.
        self.owner.last_added_s -= FLEET_COMPLETE_S + 1.0
        self.leadership = SimpleNamespace(dispatcher=self.owner)
        self.handle = make_leadership_peer_handler(lambda: self.leadership, "i1")

    def _ask(self):
        return self.handle(AdminRequest("POST", ("admit",), {}, {}, encode(self.REQUEST)))

    def test_owner_answers_when_there_is_probably_room(self):
        answer = decode_known_fields(self._ask().body, AdmissionAnswer)
        self.assertThat(answer, Equals(AdmissionAnswer(UNKNOWN_RETRY_AFTER_S)))
        self.assertThat(self.owner.counters.rejected_jobs, Equals(1))
        self.assertThat(b'"event":"job_rejected"' in self.harness.log.take(), Equals(True))

    def test_entry_that_is_not_the_owner_does_not_answer(self):
        self.leadership.dispatcher = None
        self.assertThat(self._ask().status, Equals(503))

    def test_owner_asks_itself(self):
        access = OwnerAccess(self.leadership, None, "vm-1")
        self.assertThat(access.admit(self.REQUEST), Equals(AdmissionAnswer(UNKNOWN_RETRY_AFTER_S)))

    def test_no_answer_without_an_owner(self):
        self.leadership.dispatcher = None
        self.leadership.current_term = Term(1, NO_OWNER, "", "")
        access = OwnerAccess(self.leadership, None, "vm-1")
        self.assertThat(access.admit(self.REQUEST), IsInstance(Unavailable))
