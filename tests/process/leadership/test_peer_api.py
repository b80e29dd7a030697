"""Answers of the owner to the entries that watch it."""

from time import monotonic
from time import time
from types import SimpleNamespace

from gevent import spawn
from gevent.event import Event
from msgspec.json import decode
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import IsInstance

from laburnumswitch.connection.lenient import decode_known_fields
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.admission import FLEET_COMPLETE_S
from laburnumswitch.process.dispatch.commitment import UNKNOWN_RETRY_AFTER_S
from laburnumswitch.process.dispatch.job_memory import JobMemory
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.organisation_admission import OrganisationAdmissions
from laburnumswitch.process.dispatch.organisation_jobs import ResourceSeconds
from laburnumswitch.process.dispatch.progress import withdraw_submission
from laburnumswitch.process.leadership.messages import AdmissionAnswer
from laburnumswitch.process.leadership.messages import AdmissionRequest
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.owner_link import OwnerAccess
from laburnumswitch.process.leadership.peer_api import describe_job
from laburnumswitch.process.leadership.peer_api import make_leadership_peer_handler
from laburnumswitch.process.leadership.peer_api import MAX_WATCH_WAIT_S
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.size import Size
from tests.process.dispatch.harness import DEPLOYMENT
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import QUEUE
from tests.process.dispatch.harness import wait_until

# Shorter than the owner holds a watch, by more than a busy machine delays a greenlet.
ANSWER_LIMIT_S = MAX_WATCH_WAIT_S / 2
# Reading of the owner's clock.
CLOCK_S = 1000.0


class FakeDispatcher:
    def __init__(self):
        self.epoch = 7
        self.stopped = Event()
        self.is_loaded = Event()
        self.pending = {}
        self.recorder = SimpleNamespace(since_last_commit_s=lambda: 0.1)
        self.organisation_admissions = OrganisationAdmissions()
        self.job_memory = JobMemory(DEPLOYMENT.memory_mb)

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
            note_watcher=lambda vm_id, cpu_cores, address: self.watchers.append(vm_id),
            candidates=lambda: tuple(self.watchers),
            peer_addresses=lambda: ("10.0.0.2:1",),
            current_term=Term(7, "vm-1", "i1", "10.0.0.1:1"),
            terms=[],
            superseding_epochs=[],
            ended_epoch=lambda: 6,
        )
        self.leadership.supersede = self.leadership.superseding_epochs.append
        self.leadership.note_term = self.leadership.terms.append
        self.operations = Operations(DecisionLog("vm-1", time, 1000))
        self.handle = make_leadership_peer_handler(
            lambda: self.leadership, "i1", self.operations, lambda: CLOCK_S
        )

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

    def test_watch_is_answered_as_soon_as_an_organisation_becomes_busy(self):
        # Until the next answer, entries would store more than can run in time.
        self.dispatcher.is_loaded.set()
        greenlet = self._watch_in_background()
        self.dispatcher.organisation_admissions.update_busy(["shop-a"], 0.0)
        self.assertThat(self._answer(greenlet).busy_organisations, Equals(("shop-a",)))

    def test_answer_of_the_previous_version_names_no_busy_organisation(self):
        fields = decode(self._watch(0.0))
        self.assertThat(WatchAnswer(*fields[:7]).busy_organisations, Equals(()))

    def test_answer_says_whether_the_memory_for_jobs_is_nearly_full(self):
        for share, is_full in ((0.5, False), (0.95, True)):
            memory = self.dispatcher.job_memory
            memory.note("j1", int(share * memory.limit_bytes))
            answer = WatchAnswer(*decode(self._watch(0.0)))
            self.assertThat(answer.is_memory_full, Equals(is_full))
        self.assertThat(WatchAnswer(*decode(self._watch(0.0))[:7]).is_memory_full, Equals(False))

    def test_answer_of_the_previous_version_counts_as_known(self):
        self.dispatcher.is_loaded.set()
        fields = decode(self._watch(0.0))
        answer = WatchAnswer(*fields[:6])
        self.assertThat(answer.knows_jobs, Equals(True))

    def test_superseded_entry_learns_the_later_term(self):
        """Without the store, an earlier owner would not know from whom to learn of versions."""
        term = Term(8, "vm-2", "i2", "10.0.0.2:1")
        for body, learned in ((b"", []), (b"[", []), (b"8", []), (encode(term), [term])):
            request = AdminRequest("POST", ("supersede", "8"), {}, {}, body)
            self.assertThat(self.handle(request).body, Equals(b"true"))
            self.assertThat(self.leadership.terms, Equals(learned))
        self.assertThat(self.leadership.superseding_epochs, Equals([8, 8, 8, 8]))

    def test_answer_of_the_previous_version_does_not_say_which_term_has_ended(self):
        fields = decode(self._watch(0.0))
        self.assertThat(WatchAnswer(*fields).ended_epoch, Equals(6))
        earlier = fields[: WatchAnswer._fields.index("ended_epoch")]
        self.assertThat(WatchAnswer(*earlier).ended_epoch, Is(None))


class TestOwnership(TestCase):
    """The owner stores for entries that the store does not serve, also for organisations."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(self.owner.is_loaded.is_set)
        self.leadership = SimpleNamespace(dispatcher=self.owner)
        operations = Operations(self.harness.log)
        self.handle = make_leadership_peer_handler(
            lambda: self.leadership, "i1", operations, monotonic
        )

    def _store(self, organisation):
        submission = make_submission("j1")._replace(organisation=organisation)
        self.harness.checker.record_submission(submission)
        request = AdminRequest("POST", ("store-owned",), {}, {}, encode(submission))
        return self.handle(request).status

    def _cancel(self, call, query):
        return self.handle(AdminRequest("POST", (call, "j1"), query, {}, b"")).status

    def test_owner_refuses_what_concerns_the_job_of_another_organisation(self):
        self.assertThat(self._store("depot"), Equals(200))
        for organisation in ("yard", ""):
            self.assertThat(self._store(organisation), Equals(403))
            query = {"organisation": organisation} if organisation else {}
            self.assertThat(self._cancel("cancel-owned", query), Equals(403))
        # Callers without a key, and entries of the earlier version, use the earlier call.
        self.assertThat(self._cancel("cancel", {}), Equals(403))
        self.assertThat(describe_job(self.owner, "j1").organisation, Equals("depot"))
        self.assertThat(self._cancel("cancel-owned", {"organisation": "depot"}), Equals(200))

    def test_owner_refuses_to_store_a_job_that_its_caller_has_cancelled(self):
        """The entry of the caller could not reach the store, another one has answered 410."""
        withdraw_submission(self.harness.table, "j1", 0.0)
        self.assertThat(self._store("depot"), Equals(410))
        self.assertThat(self.owner.knows_job("j1"), Equals(False))

    def test_organisation_of_a_job_that_the_owner_does_not_hold_is_unknown(self):
        self.owner.note_final("j2", JobState.COMPLETED)
        self.assertThat(describe_job(self.owner, "j2").organisation, Equals(None))


class TestOversizedJob(TestCase):
    def test_job_of_a_million_tasks_is_refused(self):
        """A message of a few bytes at the internal port made the owner create them all."""
        harness = DispatchHarness()
        dispatcher = harness.start_owner()
        self.addCleanup(dispatcher.stop)
        wait_until(dispatcher.is_loaded.is_set)
        leadership = SimpleNamespace(dispatcher=dispatcher)
        handle = make_leadership_peer_handler(
            lambda: leadership, "i1", harness.operations, monotonic
        )
        job = Submission("5c0e7a21d94b36f8", QUEUE.name, "x", (Step(count=1_000_000),), 1.0)
        for call in ("submitted", "store", "store-owned"):
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
        operations = Operations(self.harness.log)
        self.handle = make_leadership_peer_handler(
            lambda: self.leadership, "i1", operations, monotonic
        )

    def _ask(self, request=REQUEST):
        return self.handle(AdminRequest("POST", ("admit",), {}, {}, encode(request)))

    def test_request_of_the_previous_version_is_judged_as_before(self):
        reply = self._ask(tuple(self.REQUEST)[:3])
        self.assertThat(decode(reply.body), Equals([UNKNOWN_RETRY_AFTER_S, ""]))

    def test_owner_judges_the_job_of_an_organisation(self):
        operations = self.harness.operations
        organisations = {"shop-a": Organisation("shop-a", 1.0, Size(1_000, 0))}
        configuration = operations.configuration._replace(version=9)
        operations.apply(configuration._replace(organisations_by_name=organisations))
        request = self.REQUEST._replace(cpu_millis=0, organisation="shop-a")
        gang = request._replace(work=ResourceSeconds(1e6, 1.0, 0.0), widest_gang=Size(2_000, 0))
        answer = decode_known_fields(self._ask(gang).body, AdmissionAnswer)
        self.assertThat(answer.reason, Equals("gang"))

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
