"""Tests of what successive owners know of one another."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.leadership.succession import decode_succession
from laburnumswitch.process.leadership.succession import may_send_commands
from laburnumswitch.process.leadership.succession import succeed
from laburnumswitch.process.leadership.succession import Succession
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.rows.table import Row


class TestSuccession(TestCase):
    def test_first_owner_knows_that_nobody_has_acted(self):
        self.assertThat(succeed(None, Term()), Equals(Succession(1, 0, True)))

    def test_term_in_which_nothing_was_sent_leaves_the_last_one_that_acted(self):
        first = may_send_commands(succeed(None, Term()))
        second = succeed(first, Term(1))
        self.assertThat(succeed(second, Term(2)), Equals(Succession(3, 1, True)))

    def test_owner_of_an_earlier_version_may_have_acted_and_stored_no_placements(self):
        first = may_send_commands(succeed(None, Term()))
        self.assertThat(succeed(first, Term(2)), Equals(Succession(3, 2, False)))
        self.assertThat(succeed(None, Term(7)), Equals(Succession(8, 7, False)))

    def test_malformed_row_is_reported(self):
        self.assertThat(decode_succession(Row(SUCCESSION_KEY, 3, ["x"])), IsInstance(RowMalformed))
        self.assertThat(decode_succession(Row(SUCCESSION_KEY, 0, None)), Is(None))
        self.assertThat(
            decode_succession(Row(SUCCESSION_KEY, 3, [2, 1, True])), Equals((2, 1, True, 0))
        )
