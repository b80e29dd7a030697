"""Job API where callers need API keys: refused keys, and jobs of other organisations."""

from testtools.matchers import Equals
from testtools.matchers import MatchesAny

from laburnumswitch.exceptions import OtherOrganisation
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import decode_stored_submission
from laburnumswitch.process.dispatch.progress import Progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.leadership.messages import JobStateAnswer
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.request.authentication import Revocation
from laburnumswitch.request.job_api import answer_request
from laburnumswitch.request.job_api import JobRequest
from laburnumswitch.request.job_api import refuse_early
from tests.process.dispatch.harness import QUEUE
from tests.request.test_authentication import KEYED
from tests.request.test_authentication import make_configuration
from tests.request.test_job_api import BODY
from tests.request.test_job_api import FakeOwner
from tests.request.test_job_api import JOB_ID
from tests.request.test_job_api import JobApiCase

OWN = "Bearer k1"
OTHER = "Bearer k3"
PUBLIC = QUEUE._replace(name="public", path_prefix="/public/")


class OrganisationOwner(FakeOwner):
    """An owner that knows the organisations of jobs, unless ``organisation`` is ``None``."""

    def __init__(self):
        super().__init__()
        self.organisation = None
        self.refuses = False

    def store_submission(self, submission):
        return OtherOrganisation(JOB_ID) if self.refuses else super().store_submission(submission)

    def store_cancellation(self, job_id, organisation):
        return OtherOrganisation(JOB_ID) if self.refuses else self.can_store

    def job_state(self, job_id):
        answer = super().job_state(job_id)
        if not isinstance(answer, JobStateAnswer):
            return answer
        return answer._replace(organisation=self.organisation)


class KeyCase(JobApiCase):
    def setUp(self):
        super().setUp()
        self.owner = OrganisationOwner()
        self.context = self.context._replace(owner=self.owner)
        self._publish(2, depot=("k1", "k2"), yard=("k3",))

    def _publish(self, version, **keys_by_name):
        configuration = make_configuration(version, **keys_by_name)
        queues = {**configuration.queues_by_name, PUBLIC.name: PUBLIC}
        self.operations.apply(configuration._replace(queues_by_name=queues))

    def _call(self, method, authorization, prefix="/o/", body=BODY, job_id=JOB_ID):
        request = JobRequest(
            method, QUEUE.host, prefix + job_id, body if method == "POST" else b"", 3.0
        )
        return answer_request(self.context, request._replace(authorization=authorization))

    def _store_job(self):
        self.assertThat(self._call("POST", OWN).status, Equals(200))


class TestKeys(KeyCase):
    def test_calls_without_an_accepted_key_do_nothing(self):
        self._store_job()
        commits = self.table.commits
        for authorization in ("", "Bearer unknown"):
            for method in ("POST", "GET", "DELETE"):
                self.assertThat(self._call(method, authorization).status, Equals(401))
            self.assertThat(self._call("GET", authorization, job_id="").status, Equals(401))
        self.assertThat(self.table.commits, Equals(commits))
        self.assertThat(self._call("GET", OWN, job_id="").status, Equals(200))

    def test_refusal_does_not_need_the_body(self):
        request = JobRequest("POST", QUEUE.host, f"/o/{JOB_ID}", b"", 3.0, "Bearer unknown")
        self.assertThat(refuse_early(self.context, request).status, Equals(401))
        self.assertThat(
            refuse_early(self.context, request._replace(authorization=OWN)), Equals(None)
        )

    def test_key_revoked_while_the_body_was_read_is_refused(self):
        """The key was checked before a body that may arrive seconds later."""
        request = JobRequest("POST", QUEUE.host, f"/o/{JOB_ID}", b"", 3.0, OWN)
        self.assertThat(refuse_early(self.context, request), Equals(None))
        self._publish(3, depot=("k2",), yard=("k3",))
        reply = answer_request(self.context, request._replace(body=BODY))
        self.assertThat(reply.status, Equals(401))
        self.assertThat(self.table.commits, Equals(0))

    def test_other_keys_of_the_organisation_work_for_its_jobs(self):
        self._store_job()
        self._publish(3, depot=("k2",), yard=("k3",))
        self.assertThat(self._call("GET", OWN).status, Equals(401))
        self.assertThat(self._call("GET", "Bearer k2").status, Equals(200))
        self.assertThat(self._call("DELETE", "Bearer k2").status, Equals(200))

    def test_organisation_is_stored_with_the_job(self):
        self._store_job()
        row = self.table.read((submission_key(JOB_ID),))[submission_key(JOB_ID)]
        submission = decode_stored_submission(row.key, row.value)
        self.assertThat(submission.organisation, Equals("depot"))

    def test_unconfirmed_configuration_is_not_taken_for_a_refusal_of_the_key(self):
        self.context = self.context._replace(revocation=lambda: Revocation(True, 5.0))
        self.operations.confirmed_s = self.clock() - 5.5
        self.operations.read_fails = True
        replies = [self._call("GET", OWN, job_id=f"{number:016x}") for number in range(30)]
        self.assertThat({reply.status for reply in replies}, Equals({503}))
        self.assertThat({reply.retry_after_s for reply in replies}, Equals({1, 2, 3}))
        self.assertThat(self._call("GET", "", "/public/").status, Equals(410))
        self.operations.note_confirmed(self.clock())
        self.assertThat(self._call("GET", OWN).status, Equals(410))


class TestJobsOfOthers(KeyCase):
    def test_other_organisation_can_neither_read_nor_cancel_nor_repeat(self):
        self._store_job()
        commits = self.table.commits
        for owner_organisation in (None, "depot"):
            # The owner knows the job, and whose it is, or only the store does.
            self.owner.organisation = owner_organisation
            for self.owner.state in ("", "running"):
                for method in ("GET", "DELETE", "POST"):
                    self.assertThat(self._call(method, OTHER).status, Equals(403))
                    self.assertThat(self._call(method, "", "/public/").status, Equals(403))
                self.assertThat(self._call("GET", OWN).status, Equals(200))
        self.assertThat(self.table.commits, Equals(commits))
        self.assertThat(self._stored(cancellation_key(JOB_ID)), Equals(False))

    def test_job_without_an_organisation_belongs_to_no_one(self):
        """Jobs that were accepted before there were organisations are still answered for."""
        self.assertThat(self._call("POST", "", "/public/").status, Equals(200))
        for authorization, prefix in ((OWN, "/o/"), (OTHER, "/o/"), ("", "/public/")):
            self.assertThat(self._call("GET", authorization, prefix).status, Equals(200))

    def test_check_that_cannot_be_made_is_neither_403_nor_410(self):
        """The owner of an earlier version does not name the organisation of a job."""
        self._store_job()
        self.table.down = True
        self.owner.state = "running"
        for authorization in (OWN, OTHER):
            self.assertThat(self._call("GET", authorization).status, Equals(503))
            self.assertThat(self._call("DELETE", authorization).status, Equals(504))
            self.assertThat(self._call("POST", authorization).status, Equals(504))

    def test_row_that_cannot_be_read_is_neither_403_nor_410(self):
        self.table.commit(Transaction((), (Put(submission_key(JOB_ID), {"of": "others"}),)))
        self.assertThat(self._call("GET", OWN).status, Equals(503))
        unknown = MatchesAny(Equals(503), Equals(504))
        for method in ("DELETE", "POST"):
            self.assertThat(self._call(method, OWN).status, unknown)

    def test_owner_refuses_for_an_entry_without_the_store(self):
        self.table.down = True
        self.owner.refuses = True
        for method in ("DELETE", "POST"):
            self.assertThat(self._call(method, OTHER).status, Equals(403))

    def test_job_whose_submission_was_removed_is_gone(self):
        progress = Progress(KEYED.name, JobState.COMPLETED, [])
        self.table.commit(Transaction((), (Put(progress_key(JOB_ID), progress),)))
        self.owner.state = "completed"
        self.assertThat(self._call("GET", OTHER).status, Equals(410))

    def test_submission_of_the_earlier_version_is_read(self):
        row = Submission(JOB_ID, KEYED.name, "x", (), 1.0)[:-1]
        self.table.commit(Transaction((), (Put(submission_key(JOB_ID), row),)))
        self.assertThat(self._call("GET", OWN).status, Equals(200))
