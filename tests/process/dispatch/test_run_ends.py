"""Tests of the evidence by which runs count as ended, and of what could overrule each kind."""

from typing import NamedTuple

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.exceptions import WorkerReplaced
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.run_ends import Evidence
from laburnumswitch.process.dispatch.run_ends import find_end
from laburnumswitch.process.dispatch.run_ends import has_ended
from laburnumswitch.process.dispatch.run_ends import refuses_start

SENT_S = 100.0
FENCE = 400_001


class Run(NamedTuple):
    number: int = 30_001
    fence: int = FENCE
    incarnation: int = 0
    started_s: float = SENT_S
    confirmed_s: float | None = None
    is_inherited: bool = False


class TestReportWithoutTheRun(TestCase):
    """The report answers a renewal that was sent at ``SENT_S`` under ``FENCE``."""

    def find(self, **fields):
        return find_end(Run(**fields), SENT_S, FENCE)

    def test_renewal_sent_before_the_confirmation_ends_no_run(self):
        self.assertThat(self.find(confirmed_s=SENT_S + 0.01), Is(None))
        self.assertThat(self.find(confirmed_s=SENT_S), Is(None))

    def test_renewal_sent_after_the_confirmation_ends_it(self):
        self.assertThat(self.find(confirmed_s=SENT_S - 0.01), Is(EndKind.UNREPORTED))

    def test_unconfirmed_start_under_the_same_token_may_be_on_its_way(self):
        self.assertThat(self.find(started_s=SENT_S - 5.0), Is(None))

    def test_unconfirmed_start_under_a_higher_token_may_be_on_its_way(self):
        self.assertThat(self.find(fence=FENCE + 1), Is(None))

    def test_unconfirmed_start_under_a_lower_token_is_voided(self):
        self.assertThat(self.find(fence=FENCE - 1), Is(EndKind.VOIDED))

    def test_lower_token_of_a_confirmed_run_voids_nothing(self):
        """The report was sent before the run was adopted, as the start of an earlier owner."""
        self.assertThat(self.find(fence=FENCE - 1, confirmed_s=SENT_S + 0.01), Is(None))


class TestRestart(TestCase):
    def check(self, incarnation, expected):
        evidence = Evidence(EndKind.RESTART, incarnation=8)
        self.assertThat(has_ended(Run(incarnation=incarnation), evidence), Is(expected))

    def test_run_of_the_incarnation_before_has_ended(self):
        self.check(7, True)

    def test_run_of_the_new_incarnation_goes_on(self):
        self.check(8, False)

    def test_run_that_no_incarnation_has_reported_may_be_of_the_new_one(self):
        self.check(0, False)


class TestLapse(TestCase):
    def check(self, lapses_s, expected):
        evidence = Evidence(EndKind.LAPSE, instant_s=SENT_S, lapses_s=lapses_s)
        self.assertThat(has_ended(Run(), evidence), Is(expected))

    def test_lease_that_a_later_command_has_extended_goes_on(self):
        self.check(SENT_S + 0.01, False)

    def test_lease_ends_after_its_bound_only(self):
        self.check(SENT_S, False)
        self.check(SENT_S - 0.01, True)


class TestVmList(TestCase):
    """A list that describes what incarnation 7 was at ``SENT_S`` or later."""

    def check(self, expected, **fields):
        evidence = Evidence(EndKind.VM_LIST, incarnation=7, instant_s=SENT_S)
        self.assertThat(has_ended(Run(**fields), evidence), Is(expected))

    def test_start_after_what_the_list_describes_may_be_of_the_next_incarnation(self):
        self.check(False, started_s=SENT_S)
        self.check(False, started_s=SENT_S + 1.0, confirmed_s=SENT_S + 1.1)

    def test_start_before_what_the_list_describes_has_ended(self):
        self.check(True, started_s=SENT_S - 0.01)

    def test_run_that_the_listed_incarnation_reported_has_ended(self):
        self.check(True, incarnation=7, started_s=SENT_S + 1.0)

    def test_list_says_nothing_of_a_later_incarnation(self):
        self.check(False, incarnation=8, started_s=SENT_S + 1.0)

    def test_list_of_an_unknown_incarnation_ends_only_starts_before_it(self):
        evidence = Evidence(EndKind.VM_LIST, incarnation=0, instant_s=SENT_S)
        self.assertThat(has_ended(Run(started_s=SENT_S + 1.0), evidence), Is(False))


class TestLaterRun(TestCase):
    def test_inherited_run_has_ended_before_a_later_one_was_started(self):
        evidence = Evidence(EndKind.LATER_RUN, run=30_002)
        self.assertThat(has_ended(Run(is_inherited=True), evidence), Is(True))

    def test_run_that_a_worker_has_reported_is_not_ended_by_a_later_one(self):
        evidence = Evidence(EndKind.LATER_RUN, run=30_002)
        self.assertThat(has_ended(Run(confirmed_s=SENT_S), evidence), Is(False))

    def test_earlier_run_that_is_reported_late_ends_none(self):
        for kind in (EndKind.LATER_RUN, EndKind.LATER_PLACEMENT):
            evidence = Evidence(kind, run=30_000)
            self.assertThat(has_ended(Run(is_inherited=True), evidence), Is(False))

    def test_run_does_not_end_itself(self):
        for kind in (EndKind.LATER_RUN, EndKind.LATER_PLACEMENT):
            evidence = Evidence(kind, run=30_001)
            self.assertThat(has_ended(Run(is_inherited=True), evidence), Is(False))


class TestRefusals(TestCase):
    def test_answers_that_say_that_nothing_was_started(self):
        refusals = [
            ConnectFailed("10.0.0.1:80", "timed out"),
            StartRefused("w1", "room"),
            StartRefused("w1", "fence"),
            WorkerReplaced("w1"),
            Throttled(1.0),
            Unavailable("w1 is unhealthy"),
            Refused("10.0.0.1:80", 400, ""),
        ]
        self.assertThat([refuses_start(each) for each in refusals], Equals([True] * 7))

    def test_start_whose_outcome_is_unknown_was_not_refused(self):
        unknown = [
            AnswerLost("10.0.0.1:80", "reset"),
            AnswerMalformed("10.0.0.1:80", "no JSON"),
            Refused("10.0.0.1:80", 502, "bad gateway"),
            Refused("10.0.0.1:80", 504, ""),
        ]
        self.assertThat([refuses_start(each) for each in unknown], Equals([False] * 4))
