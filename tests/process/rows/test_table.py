"""Outcomes that the table client derives from answers other than a commit."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.connection.client import Response
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.process.rows.table import TableClient
from laburnumswitch.process.rows.table import Transaction


class OneAnswer:
    address = "127.0.0.1:1"

    def __init__(self, answer):
        self.call = lambda *_, **__: answer


def commit_answered(answer):
    return TableClient(OneAnswer(answer)).commit(Transaction()).tag


class TestCommit(TestCase):
    def test_statuses_that_prove_the_commit_was_not_applied(self):
        tags = {
            status: commit_answered(Response(status, (), b"")) for status in (400, 404, 429, 503)
        }
        expected = {400: "Unavailable", 404: "Unavailable", 429: "Throttled", 503: "Unavailable"}
        self.assertThat(tags, Equals(expected))

    def test_other_statuses_leave_the_outcome_unknown(self):
        for status in (201, 302, 500, 502, 504):
            tag = commit_answered(Response(status, (), b""))
            self.assertThat((status, tag), Equals((status, "OutcomeUnknown")))

    def test_lost_or_malformed_answer_is_unknown_and_failed_connect_is_not(self):
        self.assertThat(commit_answered(AnswerLost("a", "reset")), Equals("OutcomeUnknown"))
        self.assertThat(commit_answered(Response(200, (), b"{")), Equals("OutcomeUnknown"))
        self.assertThat(commit_answered(ConnectFailed("a", "refused")), Equals("Unavailable"))
