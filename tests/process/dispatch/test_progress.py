"""Tests of the stored submissions of jobs."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import OtherOrganisation
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.progress import decode_stored_submission
from laburnumswitch.process.dispatch.progress import store_submission
from laburnumswitch.process.dispatch.progress import submission_key
from standin.fleet.feed_table import FeedMemoryTable

SUBMISSION = Submission("00112233445566aa", "orders", "spec", (Step(1),), 5.0)


class TestStoredSubmission(TestCase):
    def test_row_without_an_organisation_is_readable_by_earlier_versions(self):
        # Their decoder refuses rows with more fields than they know.
        self.assertThat(len(self.stored(SUBMISSION)), Equals(len(SUBMISSION) - 1))

    def test_organisation_is_read_back(self):
        submission = SUBMISSION._replace(organisation="depot")
        row = self.stored(submission)
        self.assertThat(decode_stored_submission("submissions/x", row), Equals(submission))

    def test_job_of_another_organisation_is_not_taken_for_a_repeat(self):
        """It was answered as stored, although the job of the other one runs."""
        table = FeedMemoryTable()
        submission = SUBMISSION._replace(organisation="depot")
        for organisation, outcome in (
            ("depot", None),
            ("depot", None),
            ("yard", OtherOrganisation(SUBMISSION.job_id)),
            ("", OtherOrganisation(SUBMISSION.job_id)),
        ):
            stored = store_submission(table, submission._replace(organisation=organisation))
            self.assertThat(stored, Equals(outcome))

    def stored(self, submission):
        table = FeedMemoryTable()
        store_submission(table, submission)
        key = submission_key(submission.job_id)
        return table.read((key,))[key].value
