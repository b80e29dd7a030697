"""Job API while the store or the owner is unavailable."""

from hashlib import sha256
from time import time

from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from laburnumswitch.exceptions import Unavailable
from laburnumswitch.platform.callers import decode_submission
from laburnumswitch.platform.callers import encode_pending
from laburnumswitch.platform.callers import encode_state
from laburnumswitch.process.dispatch.job_memory import LARGE_JOB_BYTES
from laburnumswitch.process.dispatch.job_memory import NO_MEMORY
from laburnumswitch.process.dispatch.job_spec import Limits
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import Progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.leadership.messages import AdmissionAnswer
from laburnumswitch.process.leadership.messages import JobStateAnswer
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.observed_table import FailFastTable
from laburnumswitch.process.rows.observed_table import ObservedTable
from laburnumswitch.process.rows.reach import AWAY_AFTER_S
from laburnumswitch.process.rows.reach import Reach
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.request.authentication import Revocation
from laburnumswitch.request.job_api import answer_request
from laburnumswitch.request.job_api import JobApiContext
from laburnumswitch.request.job_api import JobRequest
from laburnumswitch.request.refusal_log import RefusalLog
from laburnumswitch.size import Size
from standin.fleet.feed_table import FeedMemoryTable
from tests.fakes import FakeClock
from tests.process.dispatch.harness import QUEUE

JOB_ID = "5c0e7a21d94b36f8"
# Time within which a change of the configuration is in force, in seconds.
APPLY_S = 3.0
BODY = b'{"spec":"x","steps":[{"count":1}]}'
LASTING_BODY = b'{"spec":"x","steps":[{"count":3,"cpu":2000,"longRunning":true}]}'

LARGE_BODY = b'{"spec":"x","steps":[' + b'{"count":1},' * 99 + b'{"count":1}]}'


class FakeOwner:
    def __init__(self):
        self.notified = []
        self.cancelled = []
        self.state = ""
        self.is_unavailable = False
        self.can_store = False
        self.stored = []
        self.admission_requests = []
        self.retry_after_s = 0
        self.reason = ""
        self.busy = ()
        self.is_full = False

    def admit(self, request):
        self.admission_requests.append(request)
        if self.is_unavailable:
            return Unavailable("away")
        return AdmissionAnswer(self.retry_after_s, self.reason)

    def is_busy(self, organisation):
        return organisation in self.busy

    def is_memory_full(self):
        return self.is_full

    def notify_submitted(self, submission):
        self.notified.append(submission.job_id)

    def notify_cancelled(self, job_id):
        self.cancelled.append(job_id)

    def store_submission(self, submission):
        self.stored.append(submission.job_id)
        return self.can_store

    def store_cancellation(self, job_id, organisation):
        return self.can_store

    def job_state(self, job_id):
        return Unavailable("away") if self.is_unavailable else JobStateAnswer(self.state, True)

    def pending(self, queue):
        return Unavailable("still loading") if self.is_unavailable else 3

    def reaches_other_owner(self):
        return not self.is_unavailable


class JobApiCase(TestCase):
    """Sets up the job API of an entry without organisations."""

    authorization = ""

    def setUp(self):
        super().setUp()
        self.table = FeedMemoryTable()
        self.owner = FakeOwner()
        self.clock = FakeClock()
        self.log = DecisionLog("vm-1", time, 1000)
        self.operations = Operations(self.log)
        self.operations.apply(QueueConfiguration(1, {QUEUE.name: QUEUE}, {}))
        self.revocation = Revocation()
        self.context = JobApiContext(
            self.operations,
            self.table,
            self.owner,
            decode_submission,
            encode_state,
            encode_pending,
            self.log,
            self.clock,
            time,
            self.clock.sleep,
            Reach(self.clock),
            self.clock,
            lambda: self.revocation,
            RefusalLog(self.log, self.clock),
            lambda: APPLY_S,
        )
        # The tests of other matters are of an entry whose configuration is the newest one.
        self.operations.note_confirmed(float("inf"))

    def _ask(self, method, path=f"/o/{JOB_ID}", body=b"", host=QUEUE.host):
        request = JobRequest(method, host, path, body, 3.0, self.authorization)
        return answer_request(self.context, request)

    def _submit(self):
        return self._ask("POST", body=BODY)

    def _stored(self, key):
        return self.table.read((key,))[key].version > 0


class TestJobApi(JobApiCase):
    def test_accepted_job_is_stored_and_the_owner_notified(self):
        self.assertThat(self._submit().status, Equals(200))
        self.assertThat(self._stored(submission_key(JOB_ID)), Equals(True))
        self.assertThat(self.owner.notified, Equals([JOB_ID]))

    def test_repeated_submission_is_one_job(self):
        self._submit()
        commits = self.table.commits
        self.assertThat(self._submit().status, Equals(200))
        self.assertThat(self.table.commits, Equals(commits))

    def test_submission_repeated_after_completion_is_one_job(self):
        self._submit()
        progress = Progress("orders", JobState.COMPLETED, [])
        self.table.commit(Transaction((), (Put(progress_key(JOB_ID), progress),)))
        commits = self.table.commits
        self.assertThat(self._submit().status, Equals(200))
        self.assertThat(self.table.commits, Equals(commits))

    def test_lost_answer_of_the_store_is_resolved_before_replying(self):
        self.table.lose_answers = 1
        self.assertThat(self._submit().status, Equals(200))
        self.assertThat(self.table.commits, Equals(1))

    def test_unknown_outcome_is_not_reported_as_not_run(self):
        self.table.delayed_commits = 100
        reply = self._submit()
        self.assertThat(reply.status, Equals(504))
        self.assertThat(reply.retry_after_s, GreaterThan(0))
        self.assertThat(self.table.apply_delayed_commits(), Equals(1))

    def test_submission_gives_up_early_while_the_store_is_down(self):
        self.table.down = True
        began_s = self.clock()
        self.assertThat(self._submit().status, Equals(504))
        # Retries end after MAX_RETRY_TIME_S, although the caller waits for 3 s.
        self.assertThat(self.clock() - began_s < 1.6, Equals(True))

    def test_owner_stores_what_this_entry_cannot(self):
        # The store refuses some entries and serves the others.
        self.table.down = True
        self.owner.can_store = True
        self.assertThat(self._submit().status, Equals(200))
        self.assertThat(self.owner.stored, Equals([JOB_ID]))
        self.assertThat(self._ask("DELETE").status, Equals(200))

    def test_owner_is_not_asked_while_the_store_answers(self):
        self.owner.can_store = True
        self._submit()
        self.assertThat(self.owner.stored, Equals([]))

    def _submit_lasting(self):
        return self._ask("POST", body=LASTING_BODY)

    def test_job_without_room_is_rejected_and_not_stored(self):
        self.owner.retry_after_s = 7
        reply = self._submit_lasting()
        self.assertThat((reply.status, reply.retry_after_s), Equals((503, 7)))
        self.assertThat(self._stored(submission_key(JOB_ID)), Equals(False))
        self.assertThat(self.owner.admission_requests[0].cpu_millis, Equals(6000))

    def test_repeated_job_that_is_stored_is_not_rejected(self):
        self._submit_lasting()
        self.owner.retry_after_s = 7
        self.assertThat(self._submit_lasting().status, Equals(200))

    def test_job_is_not_rejected_while_it_is_unknown_whether_it_is_stored(self):
        self.owner.retry_after_s = 7
        self.table.down = True
        self.assertThat(self._submit_lasting().status, Equals(504))

    def test_job_is_accepted_without_an_answer_of_the_owner(self):
        self.owner.is_unavailable = True
        self.assertThat(self._submit_lasting().status, Equals(200))

    def test_large_job_is_rejected_if_the_owner_has_no_memory_for_it(self):
        self.owner.retry_after_s, self.owner.reason = 7, NO_MEMORY
        reply = self._ask("POST", body=LARGE_BODY)
        self.assertThat((reply.status, reply.retry_after_s), Equals((503, 7)))
        self.assertThat(self._stored(submission_key(JOB_ID)), Equals(False))
        asked = self.owner.admission_requests[0].job_bytes
        self.assertThat(asked, GreaterThan(LARGE_JOB_BYTES))

    def test_large_job_is_rejected_without_an_answer_of_the_owner(self):
        # What entries accept meanwhile would have no bound.
        self.owner.is_unavailable = True
        reply = self._ask("POST", body=LARGE_BODY)
        self.assertThat((reply.status, reply.retry_after_s), Equals((503, 1)))
        self.assertThat(self._stored(submission_key(JOB_ID)), Equals(False))

    def test_owner_is_asked_about_each_job_once_its_memory_is_nearly_full(self):
        self.owner.is_full = True
        self.assertThat(self._submit().status, Equals(200))
        self.owner.retry_after_s, self.owner.reason = 7, NO_MEMORY
        path = f"{QUEUE.path_prefix}{JOB_ID[::-1]}"
        reply = self._ask("POST", path, BODY)
        self.assertThat((reply.status, reply.retry_after_s), Equals((503, 7)))

    def test_owner_is_not_asked_about_jobs_that_end_by_themselves(self):
        self.owner.retry_after_s = 7
        self.assertThat(self._submit().status, Equals(200))
        self.assertThat(self.owner.admission_requests, Equals([]))

    def test_routes(self):
        self.assertThat(self._ask("POST", "/x/1", BODY).status, Equals(404))
        self.assertThat(self._ask("POST", host="other", body=BODY).status, Equals(404))
        self.assertThat(self._ask("PUT").status, Equals(405))
        self.assertThat(self._ask("POST", body=b"{").status, Equals(400))
        self.assertThat(self._ask("GET", "/o/").body, Equals(b'{"pending":3}'))

    def test_submission_is_rejected_without_a_configuration(self):
        self.operations.configuration = None
        self.assertThat(self._submit().status, Equals(503))
        self.assertThat(self.table.commits, Equals(0))

    def test_state_comes_from_the_owner_or_the_store(self):
        self.assertThat(self._ask("GET").status, Equals(410))
        self._submit()
        self.assertThat(self._ask("GET").body, Equals(b'{"state":"queued"}'))
        self.owner.state = "running"
        self.assertThat(self._ask("GET").body, Equals(b'{"state":"running"}'))
        self.owner.is_unavailable = True
        self.assertThat(self._ask("GET").body, Equals(b'{"state":"queued"}'))
        progress = Progress("orders", JobState.COMPLETED, [])
        self.table.commit(Transaction((), (Put(progress_key(JOB_ID), progress),)))
        self.assertThat(self._ask("GET").body, Equals(b'{"state":"completed"}'))

    def test_unreadable_state_is_not_reported_as_an_unknown_job(self):
        self.owner.is_unavailable = True
        self.table.down = True
        self.assertThat(self._ask("GET").status, Equals(503))

    def test_unknown_number_of_pending_jobs_is_not_reported_as_a_number(self):
        self.owner.is_unavailable = True
        reply = self._ask("GET", "/o/")
        self.assertThat((reply.status, reply.body), Equals((503, b"")))
        self.assertThat(reply.retry_after_s, GreaterThan(0))

    def test_cancel(self):
        unknown = f"{QUEUE.path_prefix}{JOB_ID[::-1]}"
        self.assertThat(self._ask("DELETE", unknown).status, Equals(410))
        self._submit()
        self.assertThat(self._ask("DELETE").status, Equals(200))
        self.assertThat(self._stored(cancellation_key(JOB_ID)), Equals(True))
        self.assertThat(self.owner.cancelled, Equals([JOB_ID]))
        self.owner.is_unavailable = True
        self.assertThat(self._ask("GET").body, Equals(b'{"state":"cancelled"}'))

    def test_lower_version_of_the_configuration_is_not_adopted(self):
        self.operations.apply(QueueConfiguration(0, {}, {}))
        self.assertThat(self._submit().status, Equals(200))


class TestIsolatedEntry(TestJobApi):
    """An entry that is cut off held each request for two seconds, too long for another try."""

    def setUp(self):
        super().setUp()
        observed = ObservedTable(self.table, self.context.store_reach)
        self.context = self.context._replace(
            table=FailFastTable(observed, self.context.store_reach)
        )

    def lose_store(self):
        self.context.store_reach.note_failure()
        self.clock.sleep(AWAY_AFTER_S + 0.1)

    def test_requests_are_given_up_at_once(self):
        self.lose_store()
        self.owner.is_unavailable = True
        began_s = self.clock()
        # An earlier attempt may have stored the job: it cannot be said that it does not run.
        self.assertThat(self._submit().status, Equals(504))
        self.assertThat(self._ask("DELETE").status, Equals(504))
        self.assertThat(self._ask("GET").status, Equals(503))
        self.assertThat(self.clock(), Equals(began_s))

    def test_owner_stores_a_job_without_a_call_to_the_store(self):
        self.lose_store()
        self.owner.can_store = True
        began_s, commits = self.clock(), self.table.commits
        self.assertThat(self._submit().status, Equals(200))
        self.assertThat((self.clock(), self.table.commits), Equals((began_s, commits)))

    def test_requests_wait_for_a_store_that_is_away_for_all_entries(self):
        # At once, callers would use up their retries before the store is back.
        self.lose_store()
        began_s = self.clock()
        self.assertThat(self._submit().status, Equals(504))
        self.assertThat(self.clock() - began_s > 0.5, Equals(True))

    def test_entry_is_used_again_once_the_store_has_answered(self):
        self.lose_store()
        self.owner.is_unavailable = True
        self.context.store_reach.note_answer()
        self.assertThat(self._submit().status, Equals(200))


class TestQuota(JobApiCase):
    """Jobs of an organisation with a limit."""

    GANG = Step(3, cpu_millis=1_000, gang=True)
    authorization = "Bearer k1"

    def setUp(self):
        super().setUp()
        self.submission = Submission(JOB_ID, QUEUE.name, "x", (Step(1, 500),), time())
        self.context = self.context._replace(decode_submission=lambda *_: self.submission)
        digest = sha256(b"k1").hexdigest()
        organisations = {"shop-a": Organisation("shop-a", 1.0, Size(1_000, 0), (digest,))}
        queues = {QUEUE.name: QUEUE._replace(requires_key=True)}
        self.operations.apply(QueueConfiguration(2, queues, {}, Limits(), organisations))
        self.owner.retry_after_s, self.owner.reason = 4, "backlog"

    def test_job_of_a_busy_organisation_is_rejected_and_not_stored(self):
        self.owner.busy = ("shop-a",)
        reply = self._submit()
        self.assertThat((reply.status, reply.retry_after_s), Equals((429, 4)))
        self.assertThat(self._stored(submission_key(JOB_ID)), Equals(False))
        request = self.owner.admission_requests[0]
        self.assertThat((request.organisation, request.work.cpu_millis_s), Equals(("shop-a", 500)))

    def test_owner_is_asked_only_about_busy_organisations_and_what_may_never_fit(self):
        self.assertThat(self._submit().status, Equals(200))
        self.assertThat(self.owner.admission_requests, Equals([]))
        other_id = "1" * 16
        self.submission = self.submission._replace(job_id=other_id, steps=(self.GANG,))
        self.assertThat(self._ask("POST", f"/o/{other_id}", BODY).status, Equals(429))

    def test_stored_job_is_not_rejected_when_repeated(self):
        self._submit()
        self.owner.busy = ("shop-a",)
        self.assertThat(self._submit().status, Equals(200))

    def test_job_is_accepted_without_an_answer_of_an_owner_that_knows_quotas(self):
        # The previous version judges each job as one that lasts, and gives no reason.
        self.owner.busy = ("shop-a",)
        self.owner.reason = ""
        self.assertThat(self._submit().status, Equals(200))
        self.submission = self.submission._replace(job_id="2" * 16)
        self.owner.is_unavailable = True
        self.assertThat(self._ask("POST", f"/o/{'2' * 16}", BODY).status, Equals(200))

    def test_job_is_not_rejected_while_it_is_unknown_whether_it_is_stored(self):
        self.owner.busy = ("shop-a",)
        self.table.down = True
        self.assertThat(self._submit().status, Equals(504))


class TestRefusals(JobApiCase):
    def test_refused_route_is_logged_with_the_version_and_its_age(self):
        """Calls for a route that a newer version had added were answered 404 without a line."""
        self.operations.confirmed_s = self.clock()
        self.clock.sleep(0.4)
        self.assertThat(self._ask("GET", "/unknown/").status, Equals(404))
        line = decode(self.log.take().splitlines()[-1])
        self.assertThat(
            {name: line[name] for name in ("event", "id", "reason", "configuration")},
            Equals(
                {
                    "event": "call_refused",
                    "id": "/unknown/",
                    "reason": "no such route",
                    "configuration": 1,
                }
            ),
        )
        self.assertThat(line["confirmed_s_ago"], Equals(0.4))
        counts = self.context.refusal_log.counts
        self.assertThat(counts, Equals({(404, "no such route"): 1}))


class TestUnconfirmedConfiguration(JobApiCase):
    """An entry that could not read the configuration answered as if its version were the newest."""

    def setUp(self):
        super().setUp()
        self.operations.confirmed_s = self.clock()

    def _statuses(self, *calls):
        return [self._ask(*call).status for call in calls]

    def test_unknown_route_is_refused_for_good_only_by_a_confirmed_version(self):
        call = ("GET", "/unknown/")
        self.assertThat(self._statuses(call), Equals([404]))
        self.clock.sleep(APPLY_S + 0.1)
        reply = self._ask(*call)
        self.assertThat((reply.status, reply.retry_after_s), Equals((503, 1)))

    def test_route_that_may_be_removed_takes_no_jobs_and_tells_no_numbers(self):
        self.clock.sleep(APPLY_S + 0.1)
        calls = (("POST", f"/o/{JOB_ID}", BODY), ("GET", "/o/"))
        self.assertThat(self._statuses(*calls), Equals([503, 503]))
        self.assertThat(self._stored(submission_key(JOB_ID)), Equals(False))

    def test_stored_job_is_told_and_cancelled_during_an_outage_of_the_store(self):
        self._submit()
        self.owner.state = "running"
        self.owner.can_store = True
        self.clock.sleep(APPLY_S + 0.1)
        self.operations.read_fails = True
        calls = (("GET", f"/o/{JOB_ID}"), ("DELETE", f"/o/{JOB_ID}"))
        self.assertThat(self._statuses(*calls), Equals([200, 200]))
        self.assertThat(self._statuses(("GET", "/unknown/")), Equals([503]))

    def test_call_waits_for_a_confirmation_that_is_about_to_arrive(self):
        """A process that was suspended has not yet processed the store's answer."""
        self.clock.sleep(APPLY_S + 0.1)
        sleep = self.clock.sleep

        def confirm_meanwhile(pause_s):
            sleep(pause_s)
            added = QUEUE._replace(name="added", path_prefix="/added/")
            self.operations.apply(QueueConfiguration(2, {added.name: added}, {}))
            self.operations.note_confirmed(self.clock())

        self.context = self.context._replace(sleep=confirm_meanwhile)
        calls = (("GET", "/added/"), ("GET", "/o/"))
        self.assertThat(self._statuses(*calls), Equals([200, 404]))
